//! The deadline of a call.
//!
//! It travels as remaining time, since the clocks of two VMs differ, and each
//! node makes it smaller by what it spent.

use std::time::{Duration, Instant};

use crate::clock::SharedClock;

/// Time that an attempt needs at least; none starts with less left.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(2);

/// When a call must have its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallDeadline {
    at: Instant,
}

impl CallDeadline {
    /// Returns the deadline of a call that arrives now: the route's time, or
    /// less when the caller asks for less.
    pub fn for_call(clock: &SharedClock, route: Duration, asked: Option<Duration>) -> Self {
        let time = asked.map_or(route, |asked| asked.min(route));
        Self {
            at: clock.now() + time,
        }
    }

    /// Returns the point in time.
    pub fn at(self) -> Instant {
        self.at
    }

    /// Returns the time that is left.
    pub fn remaining(self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now)
    }

    /// Tells whether an attempt that starts now can still be of use.
    pub fn allows_attempt(self, now: Instant) -> bool {
        self.remaining(now) >= MIN_ATTEMPT_TIME
    }
}
