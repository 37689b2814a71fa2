//! Clock abstraction that lets tests control the time.
//!
//! Decision logic never calls `Instant::now` itself, since a test of what
//! happens after a minute would then take a minute. It takes a [`SharedClock`]
//! and uses the standard time types.

use std::fmt::Debug;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of monotonic and wall-clock time.
pub trait Clock: Debug + Send + Sync {
    /// Returns the current monotonic time.
    fn now(&self) -> Instant;

    /// Returns the current wall-clock time, which can jump in either direction.
    fn wall_time(&self) -> SystemTime;

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn unix_millis(&self) -> u64 {
        let elapsed = self
            .wall_time()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A clock shared between tasks.
pub type SharedClock = Arc<dyn Clock>;

/// The operating system's clock.
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

/// A clock for tests that moves only when [`ManualClock::advance`] is called.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Returns a stopped clock.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        })
    }

    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        *lock(&self.elapsed) += step;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + *lock(&self.elapsed)
    }

    fn wall_time(&self) -> SystemTime {
        // An arbitrary fixed date, so that no test depends on the day it runs.
        UNIX_EPOCH + Duration::from_secs(1_700_000_000) + *lock(&self.elapsed)
    }
}

/// Locks a mutex, ignoring poisoning.
///
/// Every critical section in this crate leaves its data consistent at each
/// step, so the data is still usable after a lock holder has panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
