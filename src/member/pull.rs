//! A lease that keeps a node from pulling the configuration several times at
//! once.
//!
//! Several peers may announce a new version, and one pull is enough. But the
//! peer that is asked may freeze or be cut off before it answers, and a pull
//! that waits for it must not keep this node from asking another one. So a pull
//! holds the lease only for a short time. Two pulls at once are harmless,
//! because versions only increase.

use std::time::{Duration, Instant};

/// Time for which a pull keeps others from starting. A delta crosses regions in
/// about 20 ms, and a whole document of 100 kB takes 120 ms on a link of 7
/// Mbit/s; a change has to be in force within 2 s.
pub const PULL_LEASE_TTL: Duration = Duration::from_millis(500);

/// The lease, which is held by the pull in progress, if there is one.
#[derive(Debug, Default)]
pub struct PullLease {
    started_at: Option<Instant>,
}

impl PullLease {
    /// Starts a pull, unless another one started within [`PULL_LEASE_TTL`].
    /// Returns its start time, which identifies it to [`Self::finish`].
    pub fn try_start(&mut self, now: Instant) -> Option<Instant> {
        let is_held = self
            .started_at
            .is_some_and(|started_at| now.saturating_duration_since(started_at) < PULL_LEASE_TTL);
        if is_held {
            return None;
        }
        self.started_at = Some(now);
        self.started_at
    }

    /// Ends the pull that started at `started_at`. If another pull has taken
    /// over the lease, that pull keeps it.
    pub fn finish(&mut self, started_at: Instant) {
        if self.started_at == Some(started_at) {
            self.started_at = None;
        }
    }
}
