//! The table of members and the rule that merges what others say into it.
//!
//! A record replaces another of the same member only with a higher rank:
//! incarnation, then the member's own sequence, then standing. So the order
//! in which rumors arrive does not matter, and an old one changes nothing.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{ConfigVersion, DataCentre, NodeAddress, Sequence};
use crate::member::record::{MemberRecord, MemberState, TargetDeparture};

/// Most members that a node keeps.
pub const MAX_MEMBERS: usize = 8192;

/// How long a dead or left member is remembered. A late rumor that it was
/// alive must still meet its tombstone.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// What a merge did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum MergeOutcome {
    /// The record says nothing new.
    Unchanged,
    /// The record was taken.
    Applied,
    /// The record claims that this node is not alive; the node has raised its
    /// sequence and must spread its own record.
    Refuted,
    /// The table is full.
    Full,
}

/// A member with what this node saw of it.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// What the member says.
    pub record: MemberRecord,
    /// Highest version that this node saw the member hold.
    pub held_version: ConfigVersion,
    /// Targets that the member's last life with any knew to leave. A restarted
    /// member knows none until it is told.
    pub departures: Vec<TargetDeparture>,
    /// When the standing last changed.
    pub updated_at: Instant,
    digest: u64,
}

/// All members, this node included.
#[derive(Debug)]
pub struct MemberTable {
    own: NodeAddress,
    members: BTreeMap<NodeAddress, MemberEntry>,
    digests: BTreeMap<DataCentre, u64>,
    generation: u64,
}

impl MemberTable {
    /// Returns a table that holds only this node.
    pub fn new(own: MemberRecord, now: Instant) -> Self {
        let mut table = Self {
            own: own.address,
            members: BTreeMap::new(),
            digests: BTreeMap::new(),
            generation: 0,
        };
        table.put(own, now);
        table
    }

    /// Returns the record of this node.
    pub fn own(&self) -> &MemberRecord {
        &self.members[&self.own].record
    }

    /// Returns a number that rises with every change of the table.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Changes the record of this node and raises its sequence.
    pub fn update_own<F>(&mut self, now: Instant, change: F) -> MemberRecord
    where
        F: FnOnce(&mut MemberRecord),
    {
        let mut record = self.own().clone();
        change(&mut record);
        record.sequence = Sequence(record.sequence.0 + 1);
        self.put(record.clone(), now);
        record
    }

    /// Returns a member.
    pub fn get(&self, address: NodeAddress) -> Option<&MemberEntry> {
        self.members.get(&address)
    }

    /// Returns all members in the order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Returns the live members of a data centre, this node included.
    pub fn live_in<'a>(
        &'a self,
        data_centre: &'a DataCentre,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        self.members
            .values()
            .map(|entry| &entry.record)
            .filter(move |record| record.is_live() && record.data_centre == *data_centre)
    }

    /// Returns the number of members, dead ones included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether the table is empty, which it never is.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Merges what another node says about a member.
    pub fn merge(&mut self, record: MemberRecord, now: Instant) -> MergeOutcome {
        if record.address == self.own {
            return self.merge_own(&record, now);
        }
        match self.members.get(&record.address) {
            Some(held) if held.record.rank() >= record.rank() => return MergeOutcome::Unchanged,
            None if self.members.len() >= MAX_MEMBERS => return MergeOutcome::Full,
            Some(_) | None => {}
        }
        self.put(record, now);
        MergeOutcome::Applied
    }

    /// Marks a member as seen with a version; versions only rise.
    pub fn record_held_version(&mut self, address: NodeAddress, version: ConfigVersion) {
        if let Some(entry) = self.members.get_mut(&address) {
            entry.held_version = entry.held_version.max(version);
        }
    }

    /// Changes the standing of a member for the statement that this node
    /// knows, and returns the record to spread when that changed anything.
    pub fn set_state(
        &mut self,
        address: NodeAddress,
        state: MemberState,
        now: Instant,
    ) -> Option<MemberRecord> {
        let entry = self.members.get(&address)?;
        if address == self.own || entry.record.state >= state {
            return None;
        }
        let mut record = entry.record.clone();
        record.state = state;
        self.put(record.clone(), now);
        Some(record)
    }

    /// Returns the suspects of `data_centre` that did not refute for `timeout`.
    pub fn overdue_suspects(
        &self,
        data_centre: &DataCentre,
        timeout: Duration,
        now: Instant,
    ) -> Vec<NodeAddress> {
        self.members
            .values()
            .filter(|entry| {
                entry.record.state == MemberState::Suspect
                    && entry.record.data_centre == *data_centre
                    && now.duration_since(entry.updated_at) >= timeout
            })
            .map(|entry| entry.record.address)
            .collect()
    }

    /// Forgets members that have been gone for [`TOMBSTONE_RETENTION`].
    pub fn remove_expired_tombstones(&mut self, now: Instant) {
        let gone: Vec<_> = self
            .members
            .values()
            .filter(|entry| {
                !entry.record.is_live()
                    && now.duration_since(entry.updated_at) >= TOMBSTONE_RETENTION
            })
            .map(|entry| entry.record.address)
            .collect();
        for address in gone {
            if let Some(entry) = self.members.remove(&address) {
                self.toggle_digest(&entry.record.data_centre, entry.digest);
            }
        }
    }

    /// Returns the digest of each data centre; equal digests mean that two
    /// nodes hold the same records.
    pub fn digests(&self) -> &BTreeMap<DataCentre, u64> {
        &self.digests
    }

    /// Returns one digest over all members.
    pub fn digest(&self) -> u64 {
        self.digests.values().fold(0, |sum, digest| sum ^ digest)
    }

    /// Tells whether so large a share of a data centre looks dead that the
    /// likelier reason is this node's own link.
    pub fn is_likely_cut_off(&self, data_centre: &DataCentre) -> bool {
        let mut all = 0;
        let mut lost = 0;
        for entry in self.members.values() {
            if entry.record.data_centre == *data_centre && entry.record.state != MemberState::Left {
                all += 1;
                lost += u32::from(entry.record.state != MemberState::Alive);
            }
        }
        // Two of three lost is what a cut looks like; below four members the
        // share says nothing.
        all >= 4 && lost * 3 >= all * 2
    }

    fn merge_own(&mut self, record: &MemberRecord, now: Instant) -> MergeOutcome {
        let own = self.own();
        let is_older = record.incarnation < own.incarnation;
        let is_same_life = record.incarnation == own.incarnation;
        let is_stale = is_same_life && record.sequence < own.sequence;
        let is_agreed = is_same_life && record.rank() <= own.rank();
        if is_older || is_stale || is_agreed {
            return MergeOutcome::Unchanged;
        }
        let (incarnation, sequence) = (record.incarnation, record.sequence);
        self.update_own(now, |own| {
            own.incarnation = own.incarnation.max(incarnation);
            own.sequence = own.sequence.max(sequence);
        });
        MergeOutcome::Refuted
    }

    fn put(&mut self, record: MemberRecord, now: Instant) {
        let old = self.members.remove(&record.address);
        if let Some(old) = &old {
            self.toggle_digest(&old.record.data_centre, old.digest);
        }
        let (held_version, mut departures) = old
            .map(|old| (old.held_version, old.departures))
            .unwrap_or_default();
        if !record.departures.is_empty() {
            departures.clone_from(&record.departures);
        }
        let digest = record.digest();
        self.toggle_digest(&record.data_centre.clone(), digest);
        self.generation += 1;
        let entry = MemberEntry {
            record,
            held_version,
            departures,
            updated_at: now,
            digest,
        };
        self.members.insert(entry.record.address, entry);
    }

    /// Exclusive or both adds a record to a digest and takes it out again.
    fn toggle_digest(&mut self, data_centre: &DataCentre, digest: u64) {
        *self.digests.entry(data_centre.clone()).or_default() ^= digest;
    }
}
