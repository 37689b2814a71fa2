//! Whether this node still hears any other.
//!
//! A node that is cut off from the others keeps its callers, and all that it
//! can do for most of them is to let them wait for connections that do not
//! open. It notices by silence: in every second it probes a member and is
//! probed by some, so no word from anybody for a while means that its own link
//! is gone. It then says that it is not ready, so that callers go elsewhere,
//! and refuses at once what its own target cannot serve.

use std::time::{Duration, Instant};

/// Silence after which a node counts as cut off: two rounds of probes with
/// their time for an answer. Lost datagrams do not last as long.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Least number of other members whose silence says something: fewer may all
/// be gone.
pub const MIN_OTHER_MEMBERS: usize = 3;

/// When this node last heard another.
#[derive(Debug, Clone, Copy)]
pub struct LinkMonitor {
    heard: Instant,
}

impl LinkMonitor {
    /// Returns the standing of a node that starts now.
    pub fn new(now: Instant) -> Self {
        Self { heard: now }
    }

    /// Notes a sign of life of another node.
    pub fn record_contact(&mut self, now: Instant) {
        self.heard = self.heard.max(now);
    }

    /// Tells whether no other node was heard for [`ISOLATION_TIMEOUT`].
    pub fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) >= ISOLATION_TIMEOUT
    }

    /// Tells whether the node is cut off, as one of `others` members besides it
    /// that are expected to live.
    pub fn is_isolated(&self, others: usize, now: Instant) -> bool {
        others >= MIN_OTHER_MEMBERS && self.is_silent(now)
    }
}
