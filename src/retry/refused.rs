//! Limits the attempts that follow refusals by full gates.
//!
//! It is designed for an overload of a whole service. A call that one gate refuses
//! is usually served by another, because some targets have a queue while others
//! have free slots. When all of them are full, every further attempt is refused
//! as well, and costs both nodes about as much as a call that runs: at ten
//! refused attempts for each run, small VMs do little else, and the overload
//! outlasts its cause. So each call of a route that is not throttled earns an
//! attempt, and an attempt after a refusal takes one. While none is left, calls
//! wait at the first gate that admits them, and a call that is refused there is
//! refused to its caller.
//!
//! This is separate from the budget of retries that reached a target
//! ([`crate::retry::budget`]): a refused attempt costs no target anything.

/// Attempts that each call earns, so that a service sees at most two attempts for
/// each call.
const EARNED_PER_CALL: f64 = 1.0;

/// Maximum number of attempts that can be saved up, for a short burst.
const MAX_SAVED: f64 = 10.0;

/// The attempts that one node may still make after refusals at one service.
#[derive(Debug, Clone)]
pub struct RefusalBudget {
    attempts: f64,
}

impl Default for RefusalBudget {
    /// Returns a full budget.
    fn default() -> Self {
        Self {
            attempts: MAX_SAVED,
        }
    }
}

impl RefusalBudget {
    /// Records a call, which earns an attempt.
    pub fn record_call(&mut self) {
        self.attempts = (self.attempts + EARNED_PER_CALL).min(MAX_SAVED);
    }

    /// Returns `true` if another attempt may follow a refusal.
    pub fn has_attempt(&self) -> bool {
        self.attempts >= 1.0
    }

    /// Takes an attempt after a gate refused a call that can't be served there in
    /// time. Returns `false` if none is left.
    pub fn try_take(&mut self) -> bool {
        let is_taken = self.has_attempt();
        if is_taken {
            self.attempts -= 1.0;
        }
        is_taken
    }

    /// Takes an attempt after a gate sent a call on because another target is
    /// better. That call has to be placed somewhere, so the budget may go into
    /// debt, down to the negative of what can be saved up.
    pub fn take_owed(&mut self) {
        self.attempts = (self.attempts - 1.0).max(-MAX_SAVED);
    }
}
