//! Quarantine for requests that crash the targets that run them.
//!
//! Retrying such a request, or letting its caller send it again, crashes one
//! target after another. A request that was running when its target's process
//! was lost becomes suspect and is not retried. Once two distinct targets
//! were lost while running it, it is quarantined for a limited time.
//!
//! Other requests that were running at the time of the crash become suspect as
//! well. A request is therefore not suspected if one with the same fingerprint
//! completed recently, and a suspect is cleared when one with its fingerprint
//! completes. This keeps a busy page available that shares a target with a
//! crashing request.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::{Fingerprint, NodeAddress};

/// Number of distinct lost targets at which a request is quarantined.
pub const MIN_LOSSES_FOR_QUARANTINE: usize = 2;

/// Time for which a request stays quarantined after its last loss.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(300);

/// Time for which a request stays suspect after its last loss.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of suspects to track.
pub const MAX_SUSPECTS: usize = 4096;

/// Maximum number of fingerprints of completed requests to keep.
pub const MAX_SUCCESSES: usize = 8192;

/// The quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request is not suspect.
    Clean,
    /// One target was lost while it ran the request.
    Suspect,
    /// The request is refused until this time.
    Quarantined(Instant),
}

/// The latest target loss at one node. A cleared loss is kept so that a late
/// rumor of it is recognised as old. If cleared losses were removed, nodes
/// would keep sending each other the loss and its clearing in an endless loop.
#[derive(Debug, Clone, Copy)]
struct TargetLoss {
    number: u64,
    is_cleared: bool,
}

#[derive(Debug)]
struct SuspectEntry {
    losses: HashMap<NodeAddress, TargetLoss>,
    last_loss_at: Instant,
}

impl SuspectEntry {
    /// Returns the number of lost targets that have not been cleared.
    fn uncleared_losses(&self) -> usize {
        self.losses.values().filter(|loss| !loss.is_cleared).count()
    }
}

/// The suspect and the recently completed requests known to one node.
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

    /// Records that the target at `node` was lost while it ran a request.
    ///
    /// `loss_number` counts the losses at that node. Returns `true` if this loss was
    /// not known before, so that each node forwards it only once.
    pub fn record_target_loss(
        &mut self,
        fingerprint: Fingerprint,
        node: NodeAddress,
        loss_number: u64,
        now: Instant,
    ) -> bool {
        self.remove_expired(now);
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            self.evict_one();
        }
        let entry = self
            .suspects
            .entry(fingerprint)
            .or_insert_with(|| SuspectEntry {
                losses: HashMap::new(),
                last_loss_at: now,
            });
        let is_known = entry
            .losses
            .get(&node)
            .is_some_and(|known| known.number >= loss_number);
        if is_known {
            return false;
        }
        let loss = TargetLoss {
            number: loss_number,
            is_cleared: false,
        };
        entry.losses.insert(node, loss);
        entry.last_loss_at = now;
        true
    }

    /// Records that a request completed. Returns `true` if this cleared a
    /// suspect.
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

    /// Clears a suspect request. A quarantined request is not cleared; it is
    /// released only when its quarantine ends. Returns `true` if a suspect was
    /// cleared.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(entry) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let losses = entry.uncleared_losses();
        if losses == 0 || losses >= MIN_LOSSES_FOR_QUARANTINE {
            return false;
        }
        for loss in entry.losses.values_mut() {
            loss.is_cleared = true;
        }
        true
    }

    /// Returns `true` if a request with this fingerprint completed recently.
    pub fn has_recent_success(&self, fingerprint: Fingerprint) -> bool {
        self.successes.contains(&fingerprint)
    }

    /// Returns the quarantine status of a request at `now`.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        let Some(entry) = self.suspects.get(&fingerprint) else {
            return QuarantineStatus::Clean;
        };
        let until = entry.last_loss_at + QUARANTINE_DURATION;
        let losses = entry.uncleared_losses();
        if losses >= MIN_LOSSES_FOR_QUARANTINE && now < until {
            return QuarantineStatus::Quarantined(until);
        }
        let is_expired = now >= entry.last_loss_at + SUSPECT_RETENTION;
        if losses == 0 || losses >= MIN_LOSSES_FOR_QUARANTINE || is_expired {
            return QuarantineStatus::Clean;
        }
        QuarantineStatus::Suspect
    }

    fn remove_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, entry| {
            let retention = if entry.uncleared_losses() >= MIN_LOSSES_FOR_QUARANTINE {
                QUARANTINE_DURATION
            } else {
                SUSPECT_RETENTION
            };
            now < entry.last_loss_at + retention
        });
    }

    /// Removes the entry with the fewest losses and, among those, the oldest.
    fn evict_one(&mut self) {
        let evicted = self
            .suspects
            .iter()
            .min_by_key(|(_, entry)| (entry.uncleared_losses(), entry.last_loss_at))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = evicted {
            self.suspects.remove(&fingerprint);
        }
    }
}
