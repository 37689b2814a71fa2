//! The member table and the rule by which it merges the records of other nodes.
//!
//! A record replaces another of the same member only if its rank is higher: by
//! incarnation, then by the member's own sequence number, then by state. The
//! order in which rumors arrive therefore doesn't matter, and an old one
//! changes nothing.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{ConfigVersion, DataCentre, NodeAddress, Sequence};
use crate::member::record::{MemberRecord, MemberState, TargetDeparture};

/// Maximum number of members in the table.
pub const MAX_MEMBERS: usize = 8192;

/// How long the tombstone of a dead or left member is kept. A late rumor that
/// the member was alive must still meet its tombstone.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// The result of merging a record into the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum MergeOutcome {
    /// The record is not newer than the one in the table.
    Unchanged,
    /// The record was stored in the table.
    Applied,
    /// The record outranks this node's own record, usually because it claims
    /// that the node is not alive. The node has raised its own sequence number
    /// above it and must spread its own record.
    Refuted,
    /// The table is full and the record is of an unknown member.
    Full,
}

/// A member's record and what this node has observed about the member.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// The latest record of the member.
    pub record: MemberRecord,
    /// The highest configuration version that this node has seen the member
    /// hold.
    pub held_version: ConfigVersion,
    /// The departures in the latest record that had any. A restarted member
    /// knows none of its earlier departures until it is told.
    pub departures: Vec<TargetDeparture>,
    /// When the record was last replaced.
    pub updated_at: Instant,
    digest: u64,
}

/// All known members, including this node.
#[derive(Debug)]
pub struct MemberTable {
    own_address: NodeAddress,
    members: BTreeMap<NodeAddress, MemberEntry>,
    digests: BTreeMap<DataCentre, u64>,
    generation: u64,
}

impl MemberTable {
    /// Returns a table that contains only this node.
    pub fn new(own: MemberRecord, now: Instant) -> Self {
        let mut table = Self {
            own_address: own.address,
            members: BTreeMap::new(),
            digests: BTreeMap::new(),
            generation: 0,
        };
        table.put(own, now);
        table
    }

    /// Returns the record of this node.
    pub fn own(&self) -> &MemberRecord {
        &self.members[&self.own_address].record
    }

    /// Returns a number that increases whenever a record is stored.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Changes the record of this node and raises its sequence number.
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

    /// Returns the entry of a member.
    pub fn get(&self, address: NodeAddress) -> Option<&MemberEntry> {
        self.members.get(&address)
    }

    /// Returns all members, ordered by address.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Returns the live members of a data centre, including this node.
    pub fn live_in<'a>(
        &'a self,
        data_centre: &'a DataCentre,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        self.members
            .values()
            .map(|entry| &entry.record)
            .filter(move |record| record.is_live() && record.data_centre == *data_centre)
    }

    /// Returns the number of members, including dead ones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns `true` if the table has no members. That is never the case,
    /// because it always contains this node.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Merges a record of a member that another node has sent.
    pub fn merge(&mut self, record: MemberRecord, now: Instant) -> MergeOutcome {
        if record.address == self.own_address {
            return self.merge_own(&record, now);
        }
        match self.members.get(&record.address) {
            Some(current) if current.record.rank() >= record.rank() => {
                return MergeOutcome::Unchanged;
            }
            None if self.members.len() >= MAX_MEMBERS => return MergeOutcome::Full,
            Some(_) | None => {}
        }
        self.put(record, now);
        MergeOutcome::Applied
    }

    /// Returns the departures that a member announced before it was restarted and has not
    /// announced again since.
    pub fn forgotten_departures(&self, address: NodeAddress) -> Vec<TargetDeparture> {
        let Some(entry) = self.members.get(&address) else {
            return Vec::new();
        };
        if !entry.record.is_live() || !entry.record.departures.is_empty() {
            return Vec::new();
        }
        entry.departures.clone()
    }

    /// Records that a member holds a configuration version. A lower version
    /// than before is ignored.
    pub fn record_held_version(&mut self, address: NodeAddress, version: ConfigVersion) {
        if let Some(entry) = self.members.get_mut(&address) {
            entry.held_version = entry.held_version.max(version);
        }
    }

    /// Raises the state of a member, without a new announcement by the member.
    /// Returns the record to spread, or `None` if nothing changed.
    pub fn set_state(
        &mut self,
        address: NodeAddress,
        state: MemberState,
        now: Instant,
    ) -> Option<MemberRecord> {
        let entry = self.members.get(&address)?;
        if address == self.own_address || entry.record.state >= state {
            return None;
        }
        let mut record = entry.record.clone();
        record.state = state;
        self.put(record.clone(), now);
        Some(record)
    }

    /// Returns the suspects of `data_centre` that have not refuted the
    /// suspicion within `timeout`.
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

    /// Removes members that have been dead or left for [`TOMBSTONE_RETENTION`].
    pub fn remove_expired_tombstones(&mut self, now: Instant) {
        let expired: Vec<_> = self
            .members
            .values()
            .filter(|entry| {
                !entry.record.is_live()
                    && now.duration_since(entry.updated_at) >= TOMBSTONE_RETENTION
            })
            .map(|entry| entry.record.address)
            .collect();
        for address in expired {
            if let Some(entry) = self.members.remove(&address) {
                self.toggle_digest(&entry.record.data_centre, entry.digest);
            }
        }
    }

    /// Returns the digest of each data centre. Two nodes with equal digests
    /// hold the same records.
    pub fn digests(&self) -> &BTreeMap<DataCentre, u64> {
        &self.digests
    }

    /// Returns one digest over all members.
    pub fn digest(&self) -> u64 {
        self.digests
            .values()
            .fold(0, |combined, digest| combined ^ digest)
    }

    /// Returns `true` if so many members of a data centre appear lost that a
    /// fault of this node's own link is the more likely reason.
    pub fn is_likely_cut_off(&self, data_centre: &DataCentre) -> bool {
        let mut known = 0;
        let mut unreachable = 0;
        for entry in self.members.values() {
            if entry.record.data_centre == *data_centre && entry.record.state != MemberState::Left {
                known += 1;
                unreachable += u32::from(entry.record.state != MemberState::Alive);
            }
        }
        // A cut link shows as two thirds or more of the members appearing lost.
        // With fewer than four members, the share is not conclusive.
        known >= 4 && unreachable * 3 >= known * 2
    }

    fn merge_own(&mut self, record: &MemberRecord, now: Instant) -> MergeOutcome {
        let own = self.own();
        let is_older_incarnation = record.incarnation < own.incarnation;
        let is_same_incarnation = record.incarnation == own.incarnation;
        let is_stale = is_same_incarnation && record.sequence < own.sequence;
        let is_covered = is_same_incarnation && record.rank() <= own.rank();
        if is_older_incarnation || is_stale || is_covered {
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
        let previous = self.members.remove(&record.address);
        if let Some(previous) = &previous {
            self.toggle_digest(&previous.record.data_centre, previous.digest);
        }
        let (held_version, mut departures) = previous
            .map(|previous| (previous.held_version, previous.departures))
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

    /// Adds a record's digest to the digest of its data centre, or removes it:
    /// exclusive or does both.
    fn toggle_digest(&mut self, data_centre: &DataCentre, digest: u64) {
        *self.digests.entry(data_centre.clone()).or_default() ^= digest;
    }
}
