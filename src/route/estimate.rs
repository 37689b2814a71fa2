//! Estimates the size and the duration of the answers of each route.
//!
//! Links between regions are billed by volume and some links have little
//! bandwidth, so the size of an answer decides how far away a call may go. It
//! is not known in advance, so it is learned from the answers that pass through
//! this node.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clock::lock;
use crate::ids::RouteName;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Estimated size in bytes before the first answer: a small page.
const DEFAULT_ANSWER_BYTES: f64 = 2048.0;

/// Maximum number of routes with averages. A further route clears all of them.
const MAX_ROUTES: usize = 4096;

/// Estimated duration before the first answer.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(150);

/// The estimate for the next answer of a route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerEstimate {
    /// Size of the answer in bytes.
    pub bytes: f64,
    /// Time until the answer arrives.
    pub run_time: Duration,
}

/// Moving averages of answer sizes and durations by route. Clones share the
/// same averages.
#[derive(Debug, Clone, Default)]
pub struct AnswerEstimator {
    averages: Arc<Mutex<HashMap<RouteName, AnswerEstimate>>>,
}

impl AnswerEstimator {
    /// Returns an estimator without any samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the size of one answer in bytes and the time that it took.
    pub fn record(&self, route: &RouteName, bytes: u64, elapsed: Duration) {
        let bytes = bytes as f64;
        let mut averages = lock(&self.averages);
        if let Some(average) = averages.get_mut(route) {
            average.bytes += (bytes - average.bytes) * SAMPLE_WEIGHT;
            average.run_time =
                average.run_time.mul_f64(1.0 - SAMPLE_WEIGHT) + elapsed.mul_f64(SAMPLE_WEIGHT);
            return;
        }
        if averages.len() >= MAX_ROUTES {
            averages.clear();
        }
        averages.insert(
            route.clone(),
            AnswerEstimate {
                bytes,
                run_time: elapsed,
            },
        );
    }

    /// Returns the averages of a route, or `None` if it has had no answer.
    pub fn measured(&self, route: &RouteName) -> Option<AnswerEstimate> {
        lock(&self.averages).get(route).copied()
    }

    /// Returns the estimate for the next answer of a route, falling back to
    /// fixed defaults.
    pub fn estimate(&self, route: &RouteName) -> AnswerEstimate {
        self.measured(route).unwrap_or(AnswerEstimate {
            bytes: DEFAULT_ANSWER_BYTES,
            run_time: DEFAULT_RUN_TIME,
        })
    }
}
