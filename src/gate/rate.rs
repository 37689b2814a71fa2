//! Limits the rate of requests to a target.
//!
//! It is designed for a target in trouble that names a fraction of the requests per second
//! that it got a moment before, while callers and their retries keep coming. Slots do not
//! bound a rate: with short runs, a few slots let any rate pass. All requests to a target
//! pass its gate, so the gate alone keeps the limit, and it counts each request that it
//! sends, whoever made it and whether it is a first attempt or a retry.
//!
//! A bucket starts empty: the target has just got the requests that made it name its limit,
//! or this node has just been restarted and does not know how many it got.
//!
//! The trade-off: a target with a very low limit gets a few requests more than it asks for.
//! They are the only way to learn that its limit is over.

use std::time::{Duration, Instant};

use crate::ids::RequestRate;

/// Time for which unused requests can be saved up, for calls that arrive together.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Lowest rate at which a target gets requests, whatever its limit is. It stays within the
/// handful of requests that the users' rules allow beside any limit.
const MIN_REQUESTS_PER_SECOND: f64 = 0.5;

/// A token bucket for the requests to one target.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    limit: RequestRate,
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Returns an empty bucket.
    pub fn new(limit: RequestRate, now: Instant) -> Self {
        Self {
            limit,
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Changes the limit from `now` on.
    pub fn set_limit(&mut self, limit: RequestRate, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
        self.limit = limit;
    }

    /// Takes a token for one request. Returns `false` if there is none.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the time until `count` requests could have been sent.
    pub fn wait_for(&self, count: usize, now: Instant) -> Duration {
        let missing = (count as f64 - self.tokens_at(now)).max(0.0);
        Duration::from_secs_f64(missing / self.rate())
    }

    /// Returns the time between two requests at the limit.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate())
    }

    fn rate(&self) -> f64 {
        self.limit.per_second().max(MIN_REQUESTS_PER_SECOND)
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        // At least one token must fit, or a slow target would get nothing at all.
        let capacity = (self.rate() * BURST_TIME.as_secs_f64()).max(1.0);
        (self.tokens + self.rate() * age.as_secs_f64()).min(capacity)
    }
}
