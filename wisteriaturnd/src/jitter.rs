//! Pauses that differ from node to node, so that a herd does not act as one.

use std::time::Duration;

use rand::RngExt;

/// Returns a time within three tenths of `time`.
pub fn jittered(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.7..1.3))
}
