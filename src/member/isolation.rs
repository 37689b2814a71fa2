//! Detects that this node is cut off from all other nodes.
//!
//! A node that is cut off from the others keeps its callers, and would let most
//! of their calls wait for connections that never open. It detects the cut by
//! silence: every second it probes a member and is probed by some, so hearing
//! from no node for a while means that its own link is down. It then reports
//! that it is not ready, so that callers go elsewhere, and immediately refuses
//! calls that its own target cannot serve.

use std::time::{Duration, Instant};

/// Silence after which a node considers itself cut off: two probe rounds, each
/// with the time to wait for an answer. Losses of single datagrams do not last
/// that long.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Minimum number of other members whose silence is conclusive: if there are
/// fewer, all of them may be gone.
pub const MIN_OTHER_MEMBERS: usize = 3;

/// Tracks when this node last heard from another node.
#[derive(Debug, Clone, Copy)]
pub struct LinkMonitor {
    last_heard: Instant,
}

impl LinkMonitor {
    /// Returns a monitor for a node that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_heard: now }
    }

    /// Records a message from another node. An earlier time than the last one
    /// is ignored.
    pub fn record_contact(&mut self, now: Instant) {
        self.last_heard = self.last_heard.max(now);
    }

    /// Returns `true` if another node has been heard within `time`.
    pub fn was_heard_within(&self, time: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) < time
    }

    /// Returns `true` if no other node has been heard for at least
    /// [`ISOLATION_TIMEOUT`].
    pub fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) >= ISOLATION_TIMEOUT
    }

    /// Returns `true` if the node is cut off, given the number of other members
    /// that are expected to be alive.
    pub fn is_isolated(&self, other_members: usize, now: Instant) -> bool {
        other_members >= MIN_OTHER_MEMBERS && self.is_silent(now)
    }
}
