//! Call outcomes and refusal reasons that are reported to callers.
//!
//! Every call has one of three outcomes. `not-run` is reported only if the call
//! provably did not run: a gate refused it before sending the first byte to the
//! target, or no byte of it was sent to any gate. Any other call without a
//! complete answer is `unknown`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The outcome of a call.
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

/// The reason why a call has no answer from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum RefusalReason {
    /// All slots of the target are in use, and its queue has no place in which
    /// the call could be served in time.
    Saturated,
    /// The expected wait for a slot is longer than the call's limit for waiting
    /// at this gate instead of trying another target.
    Crowded,
    /// The call could not finish before its deadline.
    Deadline,
    /// The target or its node is draining.
    Draining,
    /// The node has no target for the service.
    NoTarget,
    /// The request was running on several targets when they crashed.
    Quarantined,
    /// The call was revoked before it started.
    Revoked,
    /// The gate could not be reached.
    Unreachable,
    /// The idempotency key could not be claimed in time.
    ClaimUnavailable,
    /// Another execution holds the idempotency key and its answer is not
    /// available.
    ClaimLost,
    /// The route's limit of concurrent calls is reached.
    RouteLimit,
    /// The node does not have a current configuration view yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The connection to the gate broke before the complete answer arrived.
    GateLost,
    /// The connection to the target broke before the complete answer arrived.
    TargetLost,
    /// The request is malformed or exceeds a limit.
    BadRequest,
    /// The target reported that it did not run the call.
    TargetBusy,
    /// No team holds the caller's key, or the caller showed none.
    UnknownKey,
    /// The caller's team has used up its allowance.
    OverAllowance,
    /// This node cannot find out whether the caller's team has room.
    AllowanceUnknown,
}

impl CallOutcome {
    /// Returns the name used in headers and logs.
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

const REASON_NAMES: [(RefusalReason, &str); 20] = [
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
    (RefusalReason::UnknownKey, "unknown-key"),
    (RefusalReason::OverAllowance, "over-allowance"),
    (RefusalReason::AllowanceUnknown, "allowance-unknown"),
];

impl RefusalReason {
    /// Returns the name used in headers and logs.
    pub fn name(self) -> &'static str {
        REASON_NAMES
            .iter()
            .find(|(reason, _)| *reason == self)
            .map(|(_, name)| *name)
            .unwrap_or_default()
    }

    /// Returns `true` if a call that ended for this reason may have reached a
    /// target, so that a retry can add load to a second one.
    pub fn may_have_reached_target(self) -> bool {
        matches!(
            self,
            RefusalReason::GateLost
                | RefusalReason::TargetLost
                | RefusalReason::TargetBusy
                | RefusalReason::Deadline
        )
    }

    /// Returns `true` if the call may succeed on another target.
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
