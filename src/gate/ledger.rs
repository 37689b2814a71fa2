//! What a gate remembers of the calls it was given.
//!
//! A node that loses its exchange with a gate can ask what became of the call.
//! If the call has not started, asking revokes it: the gate will never start
//! it, and the asker may truthfully say `not-run`. If it runs or ran, the
//! asker gets the answer. So a cut link between two nodes loses no call.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::watch;

use crate::clock::{SharedClock, lock};
use crate::gate::outcome::RefusalReason;
use crate::ids::CallId;
use crate::invariant::{Invariant, check};

/// How long an answer is kept for a node that lost its exchange.
pub const ANSWER_RETENTION: Duration = Duration::from_secs(30);

/// How long a revoked call stays revoked. Its request can still sit in a
/// socket buffer, but not for as long as this.
pub const REVOCATION_RETENTION: Duration = Duration::from_secs(600);

/// Most calls remembered.
pub const MAX_LEDGER_CALLS: usize = 65_536;

/// Largest answer body kept, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 256 * 1024;

/// Most bytes of answers kept.
pub const MAX_STORED_ANSWER_BYTES: usize = 16 * 1024 * 1024;

record! {
    /// How a call ended.
    pub enum CallResult {
        /// The target answered.
        Answered(StoredAnswer),
        /// The call was refused before it started.
        Refused(RefusalReason),
        /// The exchange with the target was lost after it started.
        Lost,
        /// The target answered, but the answer is too large to keep.
        TooLarge,
    }

    /// A whole answer.
    pub struct StoredAnswer {
        /// HTTP status.
        pub status: u16,
        /// Names and values of the headers.
        pub headers: Vec<(Bytes, Bytes)>,
        /// Body.
        pub body: Bytes,
    }
}

#[derive(Debug)]
enum CallState {
    Waiting(watch::Receiver<Option<Arc<CallResult>>>),
    Revoked,
    Running(watch::Receiver<Option<Arc<CallResult>>>),
    Ended(Arc<CallResult>),
}

/// What a gate knows of a call that it is asked about.
#[derive(Debug)]
pub enum CallStatus {
    /// The call never started and never will.
    NotRun(RefusalReason),
    /// The call waits or runs; the receiver gets its end.
    Running(watch::Receiver<Option<Arc<CallResult>>>),
    /// The call ended.
    Ended(Arc<CallResult>),
    /// The gate cannot say.
    Unknown,
}

#[derive(Debug, Default)]
struct LedgerState {
    calls: HashMap<CallId, CallState>,
    expiry: VecDeque<(Instant, CallId)>,
    kept: usize,
}

/// The calls of one gate; a cheap handle.
#[derive(Debug, Clone)]
pub struct CallLedger {
    state: Arc<Mutex<LedgerState>>,
    clock: SharedClock,
}

/// A call that was entered; entering ends when it is dropped unstarted.
#[derive(Debug)]
pub struct CallTicket {
    ledger: CallLedger,
    call: CallId,
    sender: watch::Sender<Option<Arc<CallResult>>>,
    is_started: bool,
    is_ended: bool,
}

impl CallLedger {
    /// Returns an empty ledger.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            state: Arc::default(),
            clock,
        }
    }

    /// Enters a call.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Revoked`] when the call was revoked or entered before,
    /// [`RefusalReason::Saturated`] when the ledger is full.
    pub fn register(&self, call: CallId) -> Result<CallTicket, RefusalReason> {
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
        Ok(CallTicket {
            ledger: self.clone(),
            call,
            sender,
            is_started: false,
            is_ended: false,
        })
    }

    /// Asks about a call and revokes it if it has not started.
    pub fn revoke(&self, call: CallId) -> CallStatus {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.expire(now);
        let is_full = state.calls.len() >= MAX_LEDGER_CALLS;
        match state.calls.get(&call) {
            Some(CallState::Running(receiver)) => return CallStatus::Running(receiver.clone()),
            Some(CallState::Ended(end)) => return status_of(end),
            Some(CallState::Revoked) => return CallStatus::NotRun(RefusalReason::Revoked),
            Some(CallState::Waiting(_)) => {}
            None if is_full => return CallStatus::Unknown,
            None => {}
        }
        state.calls.insert(call, CallState::Revoked);
        state.expiry.push_back((now + REVOCATION_RETENTION, call));
        CallStatus::NotRun(RefusalReason::Revoked)
    }

    /// Asks about a call without revoking it. A call that the ledger does not
    /// know may have run and been forgotten.
    pub fn status(&self, call: CallId) -> CallStatus {
        match lock(&self.state).calls.get(&call) {
            Some(CallState::Waiting(receiver) | CallState::Running(receiver)) => {
                CallStatus::Running(receiver.clone())
            }
            Some(CallState::Ended(end)) => status_of(end),
            Some(CallState::Revoked) => CallStatus::NotRun(RefusalReason::Revoked),
            None => CallStatus::Unknown,
        }
    }
}

fn status_of(end: &Arc<CallResult>) -> CallStatus {
    match end.as_ref() {
        CallResult::Refused(reason) => CallStatus::NotRun(*reason),
        CallResult::Answered(_) | CallResult::Lost | CallResult::TooLarge => {
            CallStatus::Ended(Arc::clone(end))
        }
    }
}

impl LedgerState {
    fn expire(&mut self, now: Instant) {
        while let Some((when, call)) = self.expiry.front().copied() {
            // Revoked calls wait longer than answers, so the queue is not in
            // strict order; what is found late only stays a little longer.
            if when > now && self.calls.len() < MAX_LEDGER_CALLS / 2 {
                return;
            }
            if when > now && matches!(self.calls.get(&call), Some(CallState::Revoked)) {
                return;
            }
            self.expiry.pop_front();
            if let Some(CallState::Ended(end)) = self.calls.remove(&call) {
                self.kept -= kept_bytes(&end);
            }
        }
    }
}

fn kept_bytes(end: &CallResult) -> usize {
    match end {
        CallResult::Answered(answer) => answer.body.len(),
        CallResult::Refused(_) | CallResult::Lost | CallResult::TooLarge => 0,
    }
}

impl CallTicket {
    /// Starts the call: from here on it counts as run.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Revoked`] when the call was revoked while it waited.
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

    /// Ends the call and keeps its end for those who ask.
    pub fn finish(mut self, end: CallResult) {
        self.finish_with(end);
    }

    /// Ends a started call of which its target said that it did not run it.
    pub fn finish_not_run(mut self, reason: RefusalReason) {
        self.is_started = false;
        self.finish_with(CallResult::Refused(reason));
    }

    fn finish_with(&mut self, end: CallResult) {
        self.is_ended = true;
        let is_refusal = matches!(end, CallResult::Refused(_));
        check(Invariant::NotRunStays, !(is_refusal && self.is_started));
        let now = self.ledger.clock.now();
        let mut state = lock(&self.ledger.state);
        if matches!(state.calls.get(&self.call), Some(CallState::Revoked)) {
            drop(state);
            let end = CallResult::Refused(RefusalReason::Revoked);
            self.sender.send_replace(Some(Arc::new(end)));
            return;
        }
        let is_over = state.kept + kept_bytes(&end) > MAX_STORED_ANSWER_BYTES;
        let end = Arc::new(if is_over { CallResult::TooLarge } else { end });
        state.kept += kept_bytes(&end);
        state
            .calls
            .insert(self.call, CallState::Ended(Arc::clone(&end)));
        state.expiry.push_back((now + ANSWER_RETENTION, self.call));
        drop(state);
        self.sender.send_replace(Some(end));
    }
}

impl Drop for CallTicket {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        // A task that was cancelled: started calls may have run.
        let end = if self.is_started {
            CallResult::Lost
        } else {
            CallResult::Refused(RefusalReason::Revoked)
        };
        self.finish_with(end);
    }
}
