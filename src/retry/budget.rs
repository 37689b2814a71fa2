//! A budget of retries as a share of recent calls.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::clock::{SharedClock, lock};
use crate::ids::Percent;

/// Retries a second allowed at any rate of calls, so that a service with few
/// calls can be retried at all.
pub const FLOOR_PER_SECOND: f64 = 1.0;

/// Most retries kept. A burst of failures may spend what some seconds of calls
/// have earned, not what a quiet night has.
pub const MOST_TOKENS: f64 = 100.0;

/// Time over which unused retries are kept.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct BudgetState {
    tokens: f64,
    updated: Instant,
}

/// The retries that one node may add for one service.
#[derive(Debug)]
pub struct RetryBudget {
    state: Mutex<BudgetState>,
    clock: SharedClock,
}

impl RetryBudget {
    /// Returns a budget with the floor's worth of retries.
    pub fn new(clock: SharedClock) -> Self {
        let updated = clock.now();
        Self {
            state: Mutex::new(BudgetState {
                tokens: FLOOR_PER_SECOND * BUDGET_WINDOW.as_secs_f64(),
                updated,
            }),
            clock,
        }
    }

    /// Counts a first attempt, which earns a share of a retry.
    pub fn note_call(&self, share: Percent) {
        let mut state = lock(&self.state);
        state.tokens = (state.tokens + f64::from(share.0) / 100.0).min(MOST_TOKENS);
    }

    /// Takes a retry from the budget; returns whether there was one.
    pub fn try_take(&self) -> bool {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let elapsed = now.duration_since(state.updated).as_secs_f64();
        state.updated = now;
        let floor = FLOOR_PER_SECOND * BUDGET_WINDOW.as_secs_f64();
        if state.tokens < floor {
            state.tokens = (state.tokens + elapsed * FLOOR_PER_SECOND).min(floor);
        }
        if state.tokens < 1.0 {
            return false;
        }
        state.tokens -= 1.0;
        true
    }
}
