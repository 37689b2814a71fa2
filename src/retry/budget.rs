//! A budget of retries as a share of recent calls.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::clock::{SharedClock, lock};
use crate::ids::Percent;

/// Retries a second allowed at any rate of calls, so that a service with few
/// calls can be retried at all.
pub const MIN_RETRIES_PER_SECOND: f64 = 1.0;

/// Most retries kept. A burst of failures may spend what some seconds of calls
/// have earned, not what a quiet night has.
pub const MAX_TOKENS: f64 = 100.0;

/// Time over which unused retries are kept.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// The retries that all nodes together may add for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries as a share of the calls, 0 to 1.
    pub ratio: f64,
    /// Retries in one window at any rate of calls, by all nodes together.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Part of a shared limit that is used. A retry makes its own calls again, and
/// those count as retries of other services, which no node here can see.
const SHARED_LIMIT_FRACTION: f64 = 0.4;

/// Least number of retries that one node keeps of a shared slack.
const MIN_SHARED_TOKENS: f64 = 2.0;

/// How the tokens of one node are earned and kept.
#[derive(Debug, Clone, Copy)]
struct TokenRate {
    floor_per_second: f64,
    floor: f64,
    most: f64,
}

impl TokenRate {
    fn alone() -> Self {
        Self {
            floor_per_second: MIN_RETRIES_PER_SECOND,
            floor: MIN_RETRIES_PER_SECOND * BUDGET_WINDOW.as_secs_f64(),
            most: MAX_TOKENS,
        }
    }

    /// Returns the share of one of `members` nodes: what it may keep for a burst
    /// is also what it earns in a window, and the two together stay below the
    /// slack when all nodes spend theirs, but for the least that each may keep.
    fn share_of(limit: RetryLimit, members: usize) -> Self {
        let share = limit.slack * SHARED_LIMIT_FRACTION / members.max(1) as f64;
        let floor_per_second = share / limit.window.as_secs_f64().max(1.0);
        let floor = share.max(MIN_SHARED_TOKENS);
        Self {
            floor_per_second,
            floor,
            most: floor,
        }
    }
}

#[derive(Debug)]
struct BudgetState {
    tokens: f64,
    rate: TokenRate,
    updated: Instant,
}

/// The retries that one node may add for one service.
#[derive(Debug)]
pub struct RetryBudget {
    state: Mutex<BudgetState>,
    limit: Option<RetryLimit>,
    clock: SharedClock,
}

impl RetryBudget {
    /// Returns a budget with the floor's worth of retries.
    pub fn new(clock: SharedClock) -> Self {
        let updated = clock.now();
        Self {
            state: Mutex::new(BudgetState {
                tokens: MIN_RETRIES_PER_SECOND * BUDGET_WINDOW.as_secs_f64(),
                rate: TokenRate::alone(),
                updated,
            }),
            limit: None,
            clock,
        }
    }

    /// Returns the share that one of `members` nodes has of a limit on all.
    pub fn shared(clock: SharedClock, limit: RetryLimit, members: usize) -> Self {
        let rate = TokenRate::share_of(limit, members);
        Self {
            state: Mutex::new(BudgetState {
                tokens: rate.floor,
                rate,
                updated: clock.now(),
            }),
            limit: Some(limit),
            clock,
        }
    }

    /// Takes note of how many nodes share the limit.
    pub fn set_members(&self, members: usize) {
        if let Some(limit) = self.limit {
            lock(&self.state).rate = TokenRate::share_of(limit, members);
        }
    }

    /// Counts a first attempt, which earns a share of a retry.
    pub fn record_call(&self, share: Percent) {
        let share = match self.limit {
            Some(limit) => limit.ratio * SHARED_LIMIT_FRACTION,
            None => f64::from(share.0) / 100.0,
        };
        let mut state = lock(&self.state);
        state.tokens = (state.tokens + share).min(state.rate.most.max(state.tokens));
    }

    /// Tells whether there is a retry in the budget, without taking it.
    pub fn has_retry(&self) -> bool {
        self.renewed().tokens >= 1.0
    }

    /// Takes a retry from the budget; returns whether there was one.
    pub fn try_take(&self) -> bool {
        let mut state = self.renewed();
        if state.tokens < 1.0 {
            return false;
        }
        state.tokens -= 1.0;
        true
    }

    /// Returns the state with what was earned until now.
    fn renewed(&self) -> std::sync::MutexGuard<'_, BudgetState> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let elapsed = now.duration_since(state.updated).as_secs_f64();
        state.updated = now;
        let rate = state.rate;
        if state.tokens < rate.floor {
            let earned = elapsed * rate.floor_per_second;
            state.tokens = (state.tokens + earned).min(rate.floor);
        }
        state
    }
}
