//! Requests that crash the targets which run them.
//!
//! Sending such a request on, or letting its caller send it again, takes one
//! target after another down. A request that was running when its target's
//! process was lost becomes suspect, and nobody retries it. After two distinct
//! targets it is quarantined for a time. A request of the same fingerprint
//! that ran to its end shortly before was likely only near the crash, and is
//! left alone; one that runs to its end later is cleared. So a busy page that
//! shares a target with a bad request keeps being served.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::{Fingerprint, NodeAddress};

/// Distinct targets lost before a request is quarantined.
pub const MIN_LOSSES_FOR_QUARANTINE: usize = 2;

/// How long a request stays quarantined.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(300);

/// How long a request stays suspect.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(600);

/// Most suspects remembered.
pub const MAX_SUSPECTS: usize = 4096;

/// Most fingerprints remembered as having run to their end.
pub const MAX_SUCCESSES: usize = 8192;

/// The standing of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing is known against it.
    Clean,
    /// One target was lost while running it.
    Suspect,
    /// It is refused until this time.
    Quarantined(Instant),
}

/// The last loss at one node. One that was cleared is kept, so that late news
/// of it is known to be old: nodes that forgot it would tell each other of the
/// loss and of its clearing in turns, without end.
#[derive(Debug, Clone, Copy)]
struct LossMark {
    number: u64,
    is_cleared: bool,
}

#[derive(Debug)]
struct SuspectEntry {
    losses: HashMap<NodeAddress, LossMark>,
    last: Instant,
}

impl SuspectEntry {
    /// Returns the number of targets that were lost and not cleared.
    fn count(&self) -> usize {
        self.losses.values().filter(|loss| !loss.is_cleared).count()
    }
}

/// Suspects and recent successes of one node.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<Fingerprint, SuspectEntry>,
    successes: HashSet<Fingerprint>,
    success_order: VecDeque<Fingerprint>,
}

impl SuspectTable {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a target was lost while it ran a request. Returns whether
    /// that was new, so that it is spread once.
    pub fn record_target_loss(
        &mut self,
        fingerprint: Fingerprint,
        node: NodeAddress,
        loss: u64,
        now: Instant,
    ) -> bool {
        self.forget_old(now);
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            self.drop_oldest();
        }
        let entry = self
            .suspects
            .entry(fingerprint)
            .or_insert_with(|| SuspectEntry {
                losses: HashMap::new(),
                last: now,
            });
        let is_known = entry
            .losses
            .get(&node)
            .is_some_and(|held| held.number >= loss);
        if is_known {
            return false;
        }
        let mark = LossMark {
            number: loss,
            is_cleared: false,
        };
        entry.losses.insert(node, mark);
        entry.last = now;
        true
    }

    /// Notes that a request ran to its end. Returns whether that clears it.
    pub fn record_success(&mut self, fingerprint: Fingerprint) -> bool {
        if self.successes.insert(fingerprint) {
            self.success_order.push_back(fingerprint);
        }
        if self.success_order.len() > MAX_SUCCESSES
            && let Some(oldest) = self.success_order.pop_front()
        {
            self.successes.remove(&oldest);
        }
        self.clear(fingerprint)
    }

    /// Forgets what is held against a request, unless it is quarantined: only
    /// time ends a quarantine.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(entry) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let count = entry.count();
        if count == 0 || count >= MIN_LOSSES_FOR_QUARANTINE {
            return false;
        }
        for loss in entry.losses.values_mut() {
            loss.is_cleared = true;
        }
        true
    }

    /// Tells whether a request ran to its end recently.
    pub fn has_recent_success(&self, fingerprint: Fingerprint) -> bool {
        self.successes.contains(&fingerprint)
    }

    /// Returns the standing of a request.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        let Some(entry) = self.suspects.get(&fingerprint) else {
            return QuarantineStatus::Clean;
        };
        let until = entry.last + QUARANTINE_DURATION;
        let count = entry.count();
        if count >= MIN_LOSSES_FOR_QUARANTINE && now < until {
            return QuarantineStatus::Quarantined(until);
        }
        let is_over = now >= entry.last + SUSPECT_RETENTION;
        if count == 0 || count >= MIN_LOSSES_FOR_QUARANTINE || is_over {
            return QuarantineStatus::Clean;
        }
        QuarantineStatus::Suspect
    }

    fn forget_old(&mut self, now: Instant) {
        self.suspects.retain(|_, entry| {
            let time = if entry.count() >= MIN_LOSSES_FOR_QUARANTINE {
                QUARANTINE_DURATION
            } else {
                SUSPECT_RETENTION
            };
            now < entry.last + time
        });
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, entry)| (entry.count(), entry.last))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.suspects.remove(&fingerprint);
        }
    }
}
