//! Deadline propagation.
//!
//! A deadline is sent to the next node as the remaining time, because the clocks
//! of two VMs differ. Each node subtracts the time that it has spent.

use std::time::{Duration, Instant};

use crate::clock::SharedClock;

/// Minimum remaining time for an attempt; with less, no attempt is started.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(2);

/// The time by which a call must have its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallDeadline {
    at: Instant,
}

impl CallDeadline {
    /// Returns the deadline of a call that arrives now: after the route's timeout,
    /// or after the requested one if that is shorter.
    pub fn for_call(
        clock: &SharedClock,
        route_timeout: Duration,
        requested_timeout: Option<Duration>,
    ) -> Self {
        let timeout =
            requested_timeout.map_or(route_timeout, |requested| requested.min(route_timeout));
        Self {
            at: clock.now() + timeout,
        }
    }

    /// Returns the deadline as an [`Instant`].
    pub fn at(self) -> Instant {
        self.at
    }

    /// Returns the time from `now` until the deadline, or zero if it has passed.
    pub fn remaining(self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now)
    }

    /// Returns `true` if enough time remains to start an attempt.
    pub fn allows_attempt(self, now: Instant) -> bool {
        self.remaining(now) >= MIN_ATTEMPT_TIME
    }
}
