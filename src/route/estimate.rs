//! How large the answers of a route are and how long they take.
//!
//! Links between regions are billed by volume and some links are thin, so the
//! size of an answer decides how far away a call may go. It is learned from
//! the answers that passed, since nobody announces it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clock::lock;
use crate::ids::RouteName;

/// Share of the mean that a new sample gets.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Size that is assumed before the first answer, in bytes: a small page.
const FIRST_GUESS: f64 = 2048.0;

/// Most routes remembered.
const ROUTE_LIMIT: usize = 4096;

/// Time that is assumed before the first answer.
const FIRST_RUN: Duration = Duration::from_millis(150);

/// What to expect of the next answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerEstimate {
    /// Size in bytes.
    pub bytes: f64,
    /// Time until it is there.
    pub run: Duration,
}

/// Mean sizes of answers by route; a cheap handle.
#[derive(Debug, Clone, Default)]
pub struct AnswerEstimator {
    means: Arc<Mutex<HashMap<RouteName, AnswerEstimate>>>,
}

impl AnswerEstimator {
    /// Returns an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the size of one answer in bytes and the time that it took.
    pub fn record(&self, route: &RouteName, bytes: u64, took: Duration) {
        let bytes = bytes as f64;
        let mut means = lock(&self.means);
        if let Some(mean) = means.get_mut(route) {
            mean.bytes += (bytes - mean.bytes) * SAMPLE_WEIGHT;
            mean.run = mean.run.mul_f64(1.0 - SAMPLE_WEIGHT) + took.mul_f64(SAMPLE_WEIGHT);
            return;
        }
        if means.len() >= ROUTE_LIMIT {
            means.clear();
        }
        means.insert(route.clone(), AnswerEstimate { bytes, run: took });
    }

    /// Returns the means of a route that had answers.
    pub fn measured(&self, route: &RouteName) -> Option<AnswerEstimate> {
        lock(&self.means).get(route).copied()
    }

    /// Returns what to expect of the next answer.
    pub fn estimate(&self, route: &RouteName) -> AnswerEstimate {
        self.measured(route).unwrap_or(AnswerEstimate {
            bytes: FIRST_GUESS,
            run: FIRST_RUN,
        })
    }
}
