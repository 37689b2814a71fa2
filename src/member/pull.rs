//! Which pull of the configuration counts as under way.
//!
//! Signs of a new version come from several peers, and one pull is enough. But
//! a peer that is asked may freeze or be cut off with the answer under way, and
//! a pull that waits for it must not keep this node from asking another: it
//! holds its place for a moment only. Two pulls at once do no harm, since
//! versions only rise.

use std::time::{Duration, Instant};

/// Time for which a pull keeps others from starting. A difference crosses
/// regions in some 20 ms, and a whole document of 100 kB a link of 7 Mbit/s in
/// 120 ms; a change has to be in force within 2 s.
pub const PULL_LEASE_TTL: Duration = Duration::from_millis(500);

/// The pull under way, if there is one.
#[derive(Debug, Default)]
pub struct PullLease {
    began: Option<Instant>,
}

impl PullLease {
    /// Starts a pull unless one began a moment ago. Returns its start, by which
    /// it ends itself.
    pub fn try_start(&mut self, now: Instant) -> Option<Instant> {
        let is_held = self
            .began
            .is_some_and(|began| now.saturating_duration_since(began) < PULL_LEASE_TTL);
        if is_held {
            return None;
        }
        self.began = Some(now);
        self.began
    }

    /// Ends the pull that began at `began`; one that took its place goes on.
    pub fn finish(&mut self, began: Instant) {
        if self.began == Some(began) {
            self.began = None;
        }
    }
}
