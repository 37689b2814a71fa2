//! Records the state and the result of the calls that a gate has received.
//!
//! A node whose connection to a gate breaks during a call can send the gate an
//! inquiry about the call. If the call has not started, the inquiry revokes it:
//! the gate will never start it, so the node can safely report `not-run`. If
//! the call is running or has finished, the node receives its result. A broken
//! connection between two nodes therefore loses no call.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::watch;

use crate::clock::{SharedClock, lock};
use crate::gate::outcome::RefusalReason;
use crate::ids::CallId;
use crate::invariant::{Invariant, check};

/// Time for which an answer is stored for a node whose connection broke.
pub const ANSWER_RETENTION: Duration = Duration::from_secs(30);

/// Time for which a revoked call stays revoked. Its request may still be in a
/// socket buffer, but not for this long.
pub const REVOCATION_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of calls in the ledger.
pub const MAX_LEDGER_CALLS: usize = 65_536;

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

#[derive(Debug, Default)]
struct LedgerState {
    calls: HashMap<CallId, CallState>,
    expiry: VecDeque<(Instant, CallId)>,
    stored_bytes: usize,
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
    /// Returns an empty ledger.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            state: Arc::default(),
            clock,
        }
    }

    /// Registers a call.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::Revoked`] if the call was revoked or registered
    /// before and [`RefusalReason::Saturated`] if the ledger is full.
    pub fn register(&self, call: CallId) -> Result<CallGuard, RefusalReason> {
        let mut state = lock(&self.state);
        state.expire(self.clock.now());
        if state.calls.contains_key(&call) {
            return Err(RefusalReason::Revoked);
        }
        if state.calls.len() >= MAX_LEDGER_CALLS {
            return Err(RefusalReason::Saturated);
        }
        let (sender, receiver) = watch::channel(None);
        state.calls.insert(call, CallState::Waiting(receiver));
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
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.expire(now);
        let is_full = state.calls.len() >= MAX_LEDGER_CALLS;
        match state.calls.get(&call) {
            Some(CallState::Running(receiver)) => return CallStatus::Running(receiver.clone()),
            Some(CallState::Finished(result)) => return status_of(result),
            Some(CallState::Revoked) => return CallStatus::NotRun(RefusalReason::Revoked),
            Some(CallState::Waiting(_)) => {}
            None if is_full => return CallStatus::Unknown,
            None => {}
        }
        state.calls.insert(call, CallState::Revoked);
        state.expiry.push_back((now + REVOCATION_RETENTION, call));
        CallStatus::NotRun(RefusalReason::Revoked)
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
            None => CallStatus::Unknown,
        }
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
    /// Removes expired calls from the front of the expiry queue and, while the
    /// ledger is at least half full, also results that have not expired yet.
    /// Stops at a revocation that has not expired.
    fn expire(&mut self, now: Instant) {
        while let Some((expires, call)) = self.expiry.front().copied() {
            // Revocations are retained for longer than answers, so the queue is
            // not strictly ordered by expiry. An answer behind a revocation is
            // retained until the revocation expires.
            if expires > now && self.calls.len() < MAX_LEDGER_CALLS / 2 {
                return;
            }
            if expires > now && matches!(self.calls.get(&call), Some(CallState::Revoked)) {
                return;
            }
            self.expiry.pop_front();
            if let Some(CallState::Finished(result)) = self.calls.remove(&call) {
                self.stored_bytes -= stored_bytes(&result);
            }
        }
    }
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
        let now = self.ledger.clock.now();
        let mut state = lock(&self.ledger.state);
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
        state
            .calls
            .insert(self.call, CallState::Finished(Arc::clone(&result)));
        state.expiry.push_back((now + ANSWER_RETENTION, self.call));
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
