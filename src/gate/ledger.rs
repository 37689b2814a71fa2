//! Records the state and the result of the calls that a gate has received.
//!
//! A node whose connection to a gate breaks during a call can send the gate an
//! inquiry about the call. If the call has not started, the inquiry revokes it:
//! the gate will never start it, so the node can safely report `not-run`. If
//! the call is running or has finished, the node receives its result. A broken
//! connection between two nodes therefore loses no call.
//!
//! The trade-off: answers are kept briefly, since they are large. That a call ran, or that
//! it was revoked, is a few bytes and is kept for longer. Each kind expires in its own
//! order and has its own bound, so that none holds back another. Where a bound is reached,
//! the gate gives up knowledge and not calls: it answers `unknown` where it can no longer
//! prove `not-run`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::watch;

use crate::clock::{SharedClock, lock};
use crate::gate::expiry::ExpiryQueue;
use crate::gate::outcome::RefusalReason;
use crate::ids::CallId;
use crate::invariant::{Invariant, check};

/// Time for which an answer is stored for a node whose connection broke.
pub const ANSWER_RETENTION: Duration = Duration::from_secs(30);

/// Time for which the gate remembers that a call ran or was revoked.
///
/// The request of a revoked call may still be on its way: the system gives up on
/// unacknowledged bytes after 1.5 s, and what it has received waits in a socket buffer
/// until this process reads it. Time in which this process was paused does not count. Nodes
/// inquire about a call that ran only while [`can_tell_outcome`] holds.
pub const ID_RETENTION: Duration = Duration::from_secs(600);

/// Returns `true` if the ledger of a gate can still tell the outcome of a call that was
/// sent to it `age` ago. Later, a call that ran may look like one that never arrived.
pub fn can_tell_outcome(age: Duration) -> bool {
    age < ID_RETENTION / 2
}

/// Maximum time that counts between two uses of the ledger. While the process is paused
/// no request is read, so a revocation must not expire.
const MAX_TIME_STEP: Duration = Duration::from_secs(1);

/// Bounds on what a ledger holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Maximum number of calls that wait or run.
    pub open: usize,
    /// Maximum number of results.
    pub results: usize,
    /// Maximum number of ids of calls that ran.
    pub ended: usize,
    /// Maximum number of ids of revoked calls.
    pub revoked: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            open: 65_536,
            results: 32_768,
            ended: 65_536,
            revoked: 16_384,
        }
    }
}

/// What a ledger has given up because a bound was reached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LedgerLosses {
    /// Results that were dropped before their time.
    pub results: u64,
    /// Ids of calls that ran which were dropped before their time.
    pub ended: u64,
    /// Revocations that were answered `unknown`.
    pub revocations: u64,
}

/// Maximum size of a stored answer body, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 256 * 1024;

/// Maximum total size of stored answer bodies, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 16 * 1024 * 1024;

record! {
    /// The result of a call.
    pub enum CallResult {
        /// The target answered.
        Answered(StoredAnswer),
        /// The call was refused before it started.
        Refused(RefusalReason),
        /// The connection to the target broke after the call had started.
        Lost,
        /// The target answered, but the answer is too large to store.
        TooLarge,
    }

    /// A complete answer.
    pub struct StoredAnswer {
        /// HTTP status code.
        pub status: u16,
        /// Header names and values.
        pub headers: Vec<(Bytes, Bytes)>,
        /// Answer body.
        pub body: Bytes,
    }
}

#[derive(Debug)]
enum CallState {
    Waiting(watch::Receiver<Option<Arc<CallResult>>>),
    Revoked,
    Running(watch::Receiver<Option<Arc<CallResult>>>),
    Finished(Arc<CallResult>),
    /// The call ran, and its result is no longer stored.
    Ended,
}

/// The status of a call, as reported to a node that inquires about it.
#[derive(Debug)]
pub enum CallStatus {
    /// The call has not started and never will.
    NotRun(RefusalReason),
    /// The call is waiting or running; the receiver yields its result.
    Running(watch::Receiver<Option<Arc<CallResult>>>),
    /// The call has finished.
    Ended(Arc<CallResult>),
    /// The gate does not know whether the call ran.
    Unknown,
}

#[derive(Debug)]
struct LedgerState {
    limits: LedgerLimits,
    calls: HashMap<CallId, CallState>,
    /// Number of calls that wait or run.
    open: usize,
    results: ExpiryQueue,
    ended: ExpiryQueue,
    revoked: ExpiryQueue,
    stored_bytes: usize,
    /// Time that has passed for the ledger, in steps of at most [`MAX_TIME_STEP`].
    time: Duration,
    last_used: Instant,
    /// Until then, a call that is not in the ledger may have run.
    may_have_run_until: Duration,
    losses: LedgerLosses,
}

/// The ledger of one gate's calls. Clones are cheap and share the ledger.
#[derive(Debug, Clone)]
pub struct CallLedger {
    state: Arc<Mutex<LedgerState>>,
    clock: SharedClock,
}

/// Guard for a registered call. A call that is dropped before it was started
/// is recorded as revoked, one that is dropped later as lost.
#[derive(Debug)]
pub struct CallGuard {
    ledger: CallLedger,
    call: CallId,
    sender: watch::Sender<Option<Arc<CallResult>>>,
    is_started: bool,
    is_finished: bool,
}

impl CallLedger {
    /// Returns an empty ledger with the default limits.
    pub fn new(clock: SharedClock) -> Self {
        Self::with_limits(clock, LedgerLimits::default())
    }

    /// Returns an empty ledger.
    pub fn with_limits(clock: SharedClock, limits: LedgerLimits) -> Self {
        Self {
            state: Arc::new(Mutex::new(LedgerState {
                limits,
                calls: HashMap::new(),
                open: 0,
                results: ExpiryQueue::default(),
                ended: ExpiryQueue::default(),
                revoked: ExpiryQueue::default(),
                stored_bytes: 0,
                time: Duration::ZERO,
                last_used: clock.now(),
                may_have_run_until: Duration::ZERO,
                losses: LedgerLosses::default(),
            })),
            clock,
        }
    }

    /// Registers a call.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::Revoked`] if the call was revoked or registered
    /// before and [`RefusalReason::Saturated`] if too many calls wait or run.
    pub fn register(&self, call: CallId) -> Result<CallGuard, RefusalReason> {
        let mut state = lock(&self.state);
        state.expire(self.clock.now());
        if state.calls.contains_key(&call) {
            return Err(RefusalReason::Revoked);
        }
        if state.open >= state.limits.open {
            return Err(RefusalReason::Saturated);
        }
        let (sender, receiver) = watch::channel(None);
        state.calls.insert(call, CallState::Waiting(receiver));
        state.open += 1;
        Ok(CallGuard {
            ledger: self.clone(),
            call,
            sender,
            is_started: false,
            is_finished: false,
        })
    }

    /// Returns the status of a call and revokes the call if it has not started.
    pub fn revoke(&self, call: CallId) -> CallStatus {
        let mut state = lock(&self.state);
        state.expire(self.clock.now());
        let reason = match state.calls.get(&call) {
            Some(CallState::Running(receiver)) => return CallStatus::Running(receiver.clone()),
            Some(CallState::Ended) => return CallStatus::Unknown,
            Some(CallState::Revoked) => return CallStatus::NotRun(RefusalReason::Revoked),
            Some(CallState::Finished(result)) => match result.as_ref() {
                CallResult::Refused(reason) => *reason,
                _ => return status_of(result),
            },
            Some(CallState::Waiting(_)) => RefusalReason::Revoked,
            None if !state.may_revoke_unknown() => {
                state.losses.revocations += 1;
                return CallStatus::Unknown;
            }
            None => RefusalReason::Revoked,
        };
        state.insert_revoked(call);
        CallStatus::NotRun(reason)
    }

    /// Returns the status of a call without revoking it. The status of a call
    /// that is not in the ledger is unknown, since it may have run and expired.
    pub fn status(&self, call: CallId) -> CallStatus {
        match lock(&self.state).calls.get(&call) {
            Some(CallState::Waiting(receiver) | CallState::Running(receiver)) => {
                CallStatus::Running(receiver.clone())
            }
            Some(CallState::Finished(result)) => status_of(result),
            Some(CallState::Revoked) => CallStatus::NotRun(RefusalReason::Revoked),
            Some(CallState::Ended) | None => CallStatus::Unknown,
        }
    }

    /// Returns what the ledger has given up since the last call of this method.
    pub fn take_losses(&self) -> LedgerLosses {
        std::mem::take(&mut lock(&self.state).losses)
    }
}

fn status_of(result: &Arc<CallResult>) -> CallStatus {
    match result.as_ref() {
        CallResult::Refused(reason) => CallStatus::NotRun(*reason),
        CallResult::Answered(_) | CallResult::Lost | CallResult::TooLarge => {
            CallStatus::Ended(Arc::clone(result))
        }
    }
}

impl LedgerState {
    /// Removes what has expired or exceeds its limit.
    fn expire(&mut self, now: Instant) {
        let step = now.saturating_duration_since(self.last_used);
        self.time += step.min(MAX_TIME_STEP);
        self.last_used = now;
        let (time, limits) = (self.time, self.limits);
        while let Some(id) = self.results.pop(time, limits.results) {
            self.losses.results += u64::from(!id.has_expired);
            self.forget_result(id.call);
        }
        while let Some(id) = self.ended.pop(time, limits.ended) {
            if !id.has_expired {
                self.losses.ended += 1;
                self.may_have_run_until = self.may_have_run_until.max(id.expires_at);
            }
            self.calls.remove(&id.call);
        }
        // No id of a revoked call may be removed early: its request may still arrive.
        while let Some(id) = self.revoked.pop(time, usize::MAX) {
            if let Some(CallState::Revoked) = self.calls.get(&id.call) {
                self.calls.remove(&id.call);
            }
        }
    }

    /// Drops the result of a call. If the call ran, its id is kept.
    fn forget_result(&mut self, call: CallId) {
        let Some(CallState::Finished(result)) = self.calls.get(&call) else {
            return;
        };
        self.stored_bytes -= stored_bytes(result);
        if matches!(result.as_ref(), CallResult::Refused(_)) {
            self.calls.remove(&call);
            return;
        }
        self.calls.insert(call, CallState::Ended);
        self.ended.push(self.time + ID_RETENTION, call);
    }

    /// Returns `true` if a call that is not in the ledger has provably not started and its
    /// id can be kept so that it never does.
    fn may_revoke_unknown(&self) -> bool {
        self.time >= self.may_have_run_until && self.revoked.len() < self.limits.revoked
    }

    fn insert_revoked(&mut self, call: CallId) {
        let previous = self.calls.insert(call, CallState::Revoked);
        self.open -= usize::from(is_open(previous.as_ref()));
        self.revoked.push(self.time + ID_RETENTION, call);
    }
}

fn is_open(state: Option<&CallState>) -> bool {
    matches!(state, Some(CallState::Waiting(_) | CallState::Running(_)))
}

fn stored_bytes(result: &CallResult) -> usize {
    match result {
        CallResult::Answered(answer) => answer.body.len(),
        CallResult::Refused(_) | CallResult::Lost | CallResult::TooLarge => 0,
    }
}

impl CallGuard {
    /// Marks the call as started. From here on it may have run.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::Revoked`] if the call was revoked while it waited.
    pub fn start(&mut self) -> Result<(), RefusalReason> {
        let mut state = lock(&self.ledger.state);
        check(Invariant::SentOnce, !self.is_started);
        let Some(CallState::Waiting(receiver)) = state.calls.get(&self.call) else {
            return Err(RefusalReason::Revoked);
        };
        let running = CallState::Running(receiver.clone());
        state.calls.insert(self.call, running);
        self.is_started = true;
        Ok(())
    }

    /// Finishes the call and stores its result for nodes that inquire about it.
    pub fn finish(mut self, result: CallResult) {
        self.finish_with(result);
    }

    /// Finishes a started call that its target reported as not run.
    pub fn finish_not_run(mut self, reason: RefusalReason) {
        self.is_started = false;
        self.finish_with(CallResult::Refused(reason));
    }

    fn finish_with(&mut self, result: CallResult) {
        self.is_finished = true;
        let is_refusal = matches!(result, CallResult::Refused(_));
        check(Invariant::NotRunStays, !(is_refusal && self.is_started));
        let mut state = lock(&self.ledger.state);
        state.expire(self.ledger.clock.now());
        if matches!(state.calls.get(&self.call), Some(CallState::Revoked)) {
            drop(state);
            let result = CallResult::Refused(RefusalReason::Revoked);
            self.sender.send_replace(Some(Arc::new(result)));
            return;
        }
        let exceeds_limit = state.stored_bytes + stored_bytes(&result) > MAX_STORED_ANSWER_BYTES;
        let result = Arc::new(if exceeds_limit {
            CallResult::TooLarge
        } else {
            result
        });
        state.stored_bytes += stored_bytes(&result);
        let finished = CallState::Finished(Arc::clone(&result));
        let previous = state.calls.insert(self.call, finished);
        state.open -= usize::from(is_open(previous.as_ref()));
        let expires_at = state.time + ANSWER_RETENTION;
        state.results.push(expires_at, self.call);
        drop(state);
        self.sender.send_replace(Some(result));
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        // The task that handled the call was cancelled. A started call may
        // have run.
        let result = if self.is_started {
            CallResult::Lost
        } else {
            CallResult::Refused(RefusalReason::Revoked)
        };
        self.finish_with(result);
    }
}
