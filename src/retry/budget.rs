//! Retry budget: limits retries to a share of recent calls.
//!
//! The budget is a token bucket. Every first attempt adds a fraction of a token,
//! a small number of tokens is added per unit of time, and every retry takes one
//! token.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::clock::{SharedClock, lock};
use crate::ids::Percent;

/// Retries per second that are allowed at any call rate, so that a service with
/// few calls can be retried at all.
pub const MIN_RETRIES_PER_SECOND: f64 = 1.0;

/// Capacity of the budget. It lets a burst of failures spend the tokens that some
/// seconds of calls have added, but not those accumulated over hours without
/// failures.
pub const MAX_TOKENS: f64 = 100.0;

/// Time over which the tokens that are added per unit of time can accumulate.
/// Beyond that, only first attempts add tokens.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// A limit on the retries that all nodes together send to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries as a fraction of the calls, from 0 to 1.
    pub ratio: f64,
    /// Additional retries of all nodes together in one window at any call rate.
    pub slack: f64,
    /// The window to which `slack` applies.
    pub window: Duration,
}

/// Fraction of a shared limit that the nodes use. A retried call repeats its own
/// calls to other services, which count as retries of those services and which
/// the nodes cannot detect.
const SHARED_LIMIT_FRACTION: f64 = 0.4;

/// Minimum capacity of one node's share of a limit, in tokens.
const MIN_SHARED_TOKENS: f64 = 2.0;

/// The refill rate and the capacity of one node's token bucket.
#[derive(Debug, Clone, Copy)]
struct BucketParameters {
    /// Tokens added per second while there are fewer than `refill_level`.
    refill_per_second: f64,
    /// Number of tokens up to which they are added over time.
    refill_level: f64,
    /// Maximum number of tokens.
    capacity: f64,
}

impl BucketParameters {
    /// Returns the parameters of a budget without a shared limit.
    fn unshared() -> Self {
        Self {
            refill_per_second: MIN_RETRIES_PER_SECOND,
            refill_level: MIN_RETRIES_PER_SECOND * BUDGET_WINDOW.as_secs_f64(),
            capacity: MAX_TOKENS,
        }
    }

    /// Returns the parameters of one of `members` nodes that share a limit.
    ///
    /// A node can accumulate as many tokens for a burst as are added over time in
    /// one window. If all nodes spend both, the sum stays below the limit's
    /// slack, except that every node may accumulate at least
    /// `MIN_SHARED_TOKENS`.
    fn share_of(limit: RetryLimit, members: usize) -> Self {
        let share = limit.slack * SHARED_LIMIT_FRACTION / members.max(1) as f64;
        let refill_per_second = share / limit.window.as_secs_f64().max(1.0);
        let refill_level = share.max(MIN_SHARED_TOKENS);
        Self {
            refill_per_second,
            refill_level,
            capacity: refill_level,
        }
    }
}

#[derive(Debug)]
struct BudgetState {
    tokens: f64,
    parameters: BucketParameters,
    refilled_at: Instant,
}

/// The budget of one node for retries to one service.
#[derive(Debug)]
pub struct RetryBudget {
    state: Mutex<BudgetState>,
    limit: Option<RetryLimit>,
    clock: SharedClock,
}

impl RetryBudget {
    /// Returns a budget without a shared limit. It starts with the tokens that are
    /// added over time in [`BUDGET_WINDOW`].
    pub fn new(clock: SharedClock) -> Self {
        let refilled_at = clock.now();
        Self {
            state: Mutex::new(BudgetState {
                tokens: MIN_RETRIES_PER_SECOND * BUDGET_WINDOW.as_secs_f64(),
                parameters: BucketParameters::unshared(),
                refilled_at,
            }),
            limit: None,
            clock,
        }
    }

    /// Returns the budget of one of `members` nodes that share a limit.
    pub fn shared(clock: SharedClock, limit: RetryLimit, members: usize) -> Self {
        let parameters = BucketParameters::share_of(limit, members);
        Self {
            state: Mutex::new(BudgetState {
                tokens: parameters.refill_level,
                parameters,
                refilled_at: clock.now(),
            }),
            limit: Some(limit),
            clock,
        }
    }

    /// Updates the number of nodes that share the limit.
    pub fn set_members(&self, members: usize) {
        if let Some(limit) = self.limit {
            lock(&self.state).parameters = BucketParameters::share_of(limit, members);
        }
    }

    /// Records the first attempt of a call, which adds a fraction of a token.
    ///
    /// The fraction follows from the ratio of the shared limit or, if there is no
    /// shared limit, from `retry_percent`.
    pub fn record_call(&self, retry_percent: Percent) {
        let earned = match self.limit {
            Some(limit) => limit.ratio * SHARED_LIMIT_FRACTION,
            None => f64::from(retry_percent.0) / 100.0,
        };
        let mut state = lock(&self.state);
        state.tokens = (state.tokens + earned).min(state.parameters.capacity.max(state.tokens));
    }

    /// Returns `true` if the budget allows a retry, without taking a token.
    pub fn has_retry(&self) -> bool {
        self.refill().tokens >= 1.0
    }

    /// Takes the token for one retry. Returns `false` if there is none.
    pub fn try_take(&self) -> bool {
        let mut state = self.refill();
        if state.tokens < 1.0 {
            return false;
        }
        state.tokens -= 1.0;
        true
    }

    /// Locks the state and adds the tokens that are due.
    fn refill(&self) -> std::sync::MutexGuard<'_, BudgetState> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let elapsed = now.duration_since(state.refilled_at).as_secs_f64();
        state.refilled_at = now;
        let parameters = state.parameters;
        if state.tokens < parameters.refill_level {
            let earned = elapsed * parameters.refill_per_second;
            state.tokens = (state.tokens + earned).min(parameters.refill_level);
        }
        state
    }
}
