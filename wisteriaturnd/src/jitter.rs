//! Random jitter for delays, so that many nodes do not act at the same moment.

use std::time::Duration;

use rand::RngExt;

/// Returns a random duration that differs from `duration` by at most 30 percent.
pub fn jittered(duration: Duration) -> Duration {
    duration.mul_f64(rand::rng().random_range(0.7..1.3))
}
