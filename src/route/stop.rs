//! Which calls a node still takes while it stops.
//!
//! Each call that a stopping node takes is a promise that its caller gets an answer
//! before the node ends. A node that refused all calls from the start of its stop would
//! keep that promise, but callers need some time to notice that it is not ready, and its
//! targets make calls of their own through it. So the node decides for each call:
//!
//! * A call whose deadline passes before calls are cut is always taken. It is answered
//!   by then, whatever its target does.
//! * Any other call is taken only while callers can't know of the stop yet, and only if
//!   it is expected to finish in time. Its target may still be slower than expected.
//!
//! The load pattern: callers whose data centre has no other node, and targets that run
//! calls taken before the stop, keep sending until the ports of the node are closed.
//!
//! See [docs/decisions/0017](../../docs/decisions/0017-calls-during-a-stop.md).

use std::time::{Duration, Instant};

use crate::gate::slots::LIKELY_RUN_FACTOR;
use crate::retry::deadline::CallDeadline;

/// Time for sending an answer that is complete only when its deadline passes.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// The points in time of a planned stop, in the order in which they pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// When the gates of the node start to refuse calls.
    pub gates_close_at: Instant,
    /// When callers and other nodes have been told of the stop.
    pub callers_told_at: Instant,
    /// When the node interrupts the calls that are still in flight.
    pub calls_cut_at: Instant,
}

impl StopSchedule {
    /// Returns `true` if a gate of the node still takes a call that is expected to run
    /// for `run_time`.
    pub fn gate_takes(&self, run_time: Duration, now: Instant) -> bool {
        now + run_time.mul_f64(LIKELY_RUN_FACTOR) <= self.gates_close_at
    }

    /// Returns `true` if the ingress of the node still takes a call whose answer is
    /// expected after `answer_time`.
    pub fn ingress_takes(
        &self,
        deadline: CallDeadline,
        answer_time: Duration,
        now: Instant,
    ) -> bool {
        let is_answered_in_time = deadline.at() + ANSWER_TIME <= self.calls_cut_at;
        let is_expected_in_time =
            now + answer_time.mul_f64(LIKELY_RUN_FACTOR) + ANSWER_TIME <= self.calls_cut_at;
        is_answered_in_time || (now < self.callers_told_at && is_expected_in_time)
    }

    /// Returns the time that is left for calls in flight.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.calls_cut_at.saturating_duration_since(now)
    }
}
