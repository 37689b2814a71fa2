//! What a caller is told about its call.
//!
//! The set is closed. `not-run` needs proof: a gate refused before the first
//! byte went to the target, or no gate was sent a byte. Everything else
//! without a whole answer is `unknown`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The target answered.
    Done,
    /// The call was not run and will not be.
    NotRun,
    /// The call may have been run.
    Unknown,
}

/// Why there is no answer from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum RefusalReason {
    /// The target's slots and its queue are full.
    Saturated,
    /// The wait for a slot is longer than the call wants to wait here.
    Crowded,
    /// The call could not end before its deadline.
    Deadline,
    /// The target or its node leaves.
    Draining,
    /// The node has no target for the service.
    NoTarget,
    /// The request crashed targets before.
    Quarantined,
    /// The call was revoked before it started.
    Revoked,
    /// The gate could not be reached.
    Unreachable,
    /// The idempotency key could not be claimed in time.
    ClaimUnavailable,
    /// Another run holds the idempotency key and its answer is not at hand.
    ClaimLost,
    /// The route's bound of calls under way is reached.
    RouteLimit,
    /// The node does not have a current view yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The exchange with the gate was lost.
    GateLost,
    /// The exchange with the target was lost.
    TargetLost,
    /// The request is malformed or over a bound.
    BadRequest,
    /// The target said that it did not run the call.
    TargetBusy,
}

impl CallOutcome {
    /// Returns the name that headers and logs use.
    pub fn name(self) -> &'static str {
        match self {
            CallOutcome::Done => "done",
            CallOutcome::NotRun => "not-run",
            CallOutcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for CallOutcome {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "done" => Ok(CallOutcome::Done),
            "not-run" => Ok(CallOutcome::NotRun),
            "unknown" => Ok(CallOutcome::Unknown),
            _ => Err(format!("unknown outcome {text:?}")),
        }
    }
}

const REASON_NAMES: [(RefusalReason, &str); 17] = [
    (RefusalReason::Saturated, "saturated"),
    (RefusalReason::Crowded, "crowded"),
    (RefusalReason::Deadline, "deadline"),
    (RefusalReason::Draining, "draining"),
    (RefusalReason::NoTarget, "no-target"),
    (RefusalReason::Quarantined, "quarantined"),
    (RefusalReason::Revoked, "revoked"),
    (RefusalReason::Unreachable, "unreachable"),
    (RefusalReason::ClaimUnavailable, "claim-unavailable"),
    (RefusalReason::ClaimLost, "claim-lost"),
    (RefusalReason::RouteLimit, "route-limit"),
    (RefusalReason::NotReady, "not-ready"),
    (RefusalReason::NoRoute, "no-route"),
    (RefusalReason::GateLost, "gate-lost"),
    (RefusalReason::TargetLost, "target-lost"),
    (RefusalReason::BadRequest, "bad-request"),
    (RefusalReason::TargetBusy, "target-busy"),
];

impl RefusalReason {
    /// Returns the name that headers and logs use.
    pub fn name(self) -> &'static str {
        REASON_NAMES
            .iter()
            .find(|(reason, _)| *reason == self)
            .map(|(_, name)| *name)
            .unwrap_or_default()
    }

    /// Tells whether a call that ended so may have reached a target, so that
    /// sending it again is work for a second one.
    pub fn may_have_reached_target(self) -> bool {
        matches!(
            self,
            RefusalReason::GateLost
                | RefusalReason::TargetLost
                | RefusalReason::TargetBusy
                | RefusalReason::Deadline
        )
    }

    /// Tells whether another target may do better.
    pub fn is_retryable_elsewhere(self) -> bool {
        matches!(
            self,
            RefusalReason::Saturated
                | RefusalReason::Crowded
                | RefusalReason::Draining
                | RefusalReason::NoTarget
                | RefusalReason::Revoked
                | RefusalReason::Unreachable
                | RefusalReason::NotReady
                | RefusalReason::GateLost
                | RefusalReason::TargetLost
                | RefusalReason::TargetBusy
        )
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for RefusalReason {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        REASON_NAMES
            .iter()
            .find(|(_, name)| *name == text)
            .map(|(reason, _)| *reason)
            .ok_or_else(|| format!("unknown reason {text:?}"))
    }
}
