//! The clock as an interface.
//!
//! Decisions never call `Instant::now` themselves: a test that wants to see
//! what happens after a minute would have to wait a minute. They take a
//! [`SharedClock`] and use the standard time types.

use std::fmt::Debug;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Tells the time.
pub trait Clock: Debug + Send + Sync {
    /// Returns a point on a clock that never goes back.
    fn now(&self) -> Instant;

    /// Returns the wall time, which may jump either way.
    fn wall_time(&self) -> SystemTime;

    /// Returns the wall time in milliseconds since the Unix epoch.
    fn unix_millis(&self) -> u64 {
        let elapsed = self
            .wall_time()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A clock that is shared between tasks.
pub type SharedClock = Arc<dyn Clock>;

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when it is told to.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Returns a clock that stands still.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        })
    }

    /// Moves the clock forward.
    pub fn advance(&self, step: Duration) {
        *lock(&self.elapsed) += step;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + *lock(&self.elapsed)
    }

    fn wall_time(&self) -> SystemTime {
        // An arbitrary fixed date: a test must not depend on the day it runs.
        UNIX_EPOCH + Duration::from_secs(1_700_000_000) + *lock(&self.elapsed)
    }
}

/// Locks a mutex and goes on when an earlier holder panicked.
///
/// Every critical section in this crate leaves its data whole at each step,
/// so the data behind a poisoned mutex is still usable.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
