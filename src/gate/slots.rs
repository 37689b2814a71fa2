//! Concurrency and rate limit of a target, with a short, deadline-aware queue.
//!
//! The queue is designed for overloads that last some seconds. If calls were
//! served in order of arrival during an overload, all of them would be late,
//! and slots would be spent on answers that no caller waits for any more. So a
//! call that cannot finish before its deadline is refused on arrival, and its
//! caller is told when to expect a slot. Waiting calls that can still meet their
//! soft deadline are served first, ordered by class, priority and soft deadline.
//! The remaining capacity goes to late calls, of which only a few may
//! wait, since most of them would be refused in the end.
//!
//! A node knows a target's load only from its own last call there. When many
//! nodes send to many targets, some targets therefore have a queue while others
//! have free slots. So each call carries the longest wait that is still better
//! than trying another target, and is refused immediately if its expected wait
//! is longer; see [docs/decisions/0012](../../docs/decisions/0012-sent-on.md).

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::futures::OwnedNotified;
use tokio::sync::{Notify, oneshot};

use crate::clock::{SharedClock, lock};
use crate::config::resource::CallClass;
use crate::gate::outcome::RefusalReason;
use crate::gate::rate::TokenBucket;
use crate::ids::{CallPriority, RequestRate};
use crate::invariant::{Invariant, check};

/// Maximum number of waiting calls per slot.
pub const MAX_QUEUED_PER_SLOT: usize = 4;

/// Maximum number of waiting late calls per slot.
const MAX_LATE_PER_SLOT: f64 = 0.4;

/// Minimum time that a call must have left before its deadline, as a multiple of
/// its expected run time. Less than 1 because run times vary and short runs are
/// common.
const MIN_RUN_FACTOR: f64 = 0.6;

/// Time that a call must have left before its soft deadline to be considered in
/// time, as a multiple of its expected run time. With a factor of 1, half of the
/// calls that are barely admitted would be late, and under sustained overload
/// nearly all calls are barely admitted.
pub const LIKELY_RUN_FACTOR: f64 = 1.3;

/// How many times longer the mean run must be for a call to count as short.
const SHORT_RUN_DIVISOR: u32 = 2;

/// Divisor of the moving average of run times: a new sample is weighted with
/// 1 / `MEAN_RUN_TIME_DIVISOR`.
const MEAN_RUN_TIME_DIVISOR: u32 = 8;

/// Minimum time between two checks whether the limit allows a waiting call.
const MIN_START_INTERVAL: Duration = Duration::from_millis(5);

/// The rank of a call in the queue: by class, then by priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    class: CallClass,
    priority: CallPriority,
    /// Whether the call does not come from a run that is at work.
    is_first_hand: bool,
}

impl QueueRank {
    /// Returns the rank of a call with this class and priority.
    pub fn new(class: CallClass, priority: CallPriority) -> Self {
        Self {
            class,
            priority,
            is_first_hand: true,
        }
    }

    /// Returns the rank of a call that a run at work makes. Its caller already holds a slot,
    /// which is lost if the call fails, so it goes before all first-hand calls.
    pub fn of_run(class: CallClass) -> Self {
        Self {
            class,
            priority: CallPriority::default(),
            is_first_hand: false,
        }
    }
}

/// A request for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// Rank in the queue.
    pub rank: QueueRank,
    /// Time up to which the answer has its full value, as sent in
    /// `wisteriaturn-aim-ms`. Calls that can finish by this time are served first.
    pub soft_deadline: Instant,
    /// Time after which the answer is useless.
    pub deadline: Instant,
    /// Expected time for which the call holds the slot.
    pub expected_run_time: Duration,
    /// Longest wait that is still better than trying another target, as sent in
    /// `wisteriaturn-patience-ms`.
    pub max_wait: Duration,
}

impl SlotRequest {
    /// Returns the request of a call that takes far less time than the others of its target.
    /// It stays in time until its deadline, and so keeps its place.
    ///
    /// It is designed for lookups that runs elsewhere wait for, while a burst of long calls
    /// fills their target. Their soft deadline is over after a few of these; served as late
    /// ones, most of them fail, and with each a run that has held a slot. Serving them first
    /// costs the long calls little.
    pub fn if_short(self, mean_run_time: Duration) -> Self {
        let is_short = self.expected_run_time * SHORT_RUN_DIVISOR <= mean_run_time;
        if !is_short || self.expected_run_time.is_zero() {
            return self;
        }
        Self {
            soft_deadline: self.soft_deadline.max(self.deadline),
            ..self
        }
    }

    /// Returns `true` if a call that starts at `start` will probably meet its soft
    /// deadline.
    fn is_in_time(&self, start: Instant) -> bool {
        start + self.expected_run_time.mul_f64(LIKELY_RUN_FACTOR) <= self.soft_deadline
    }

    /// Returns `true` if a call that starts at `start` may finish before its
    /// deadline.
    pub(crate) fn can_finish(&self, start: Instant) -> bool {
        start < self.deadline
            && start + self.expected_run_time.mul_f64(MIN_RUN_FACTOR) <= self.deadline
    }
}

/// Rank, soft deadline and a sequence number that keeps keys unique.
type QueueKey = (QueueRank, Instant, u64);

#[derive(Debug)]
struct WaitingCall {
    request: SlotRequest,
    sender: oneshot::Sender<Result<SlotPermit, RefusalReason>>,
}

#[derive(Debug)]
struct GateState {
    slots: usize,
    busy: usize,
    is_draining: bool,
    next_sequence: u64,
    waiting: BTreeMap<QueueKey, WaitingCall>,
    mean_run_time: Duration,
    /// Limits the rate of calls if the target has named a limit.
    bucket: Option<TokenBucket>,
}

/// Admits calls to a target. Clones are cheap and share the slots and the queue.
#[derive(Debug, Clone)]
pub struct SlotGate {
    state: Arc<Mutex<GateState>>,
    limit_changed: Arc<Notify>,
    clock: SharedClock,
}

/// Permission to run one call. Frees the slot when dropped.
#[derive(Debug)]
pub struct SlotPermit {
    gate: SlotGate,
    started_at: Instant,
}

/// The load of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateLoad {
    /// Maximum number of calls that the target runs concurrently.
    pub slots: usize,
    /// Number of running calls.
    pub busy: usize,
    /// Number of waiting calls.
    pub waiting: usize,
    /// Moving average of the time for which calls hold a slot.
    pub mean_run_time: Duration,
    /// Limit on the rate of calls, if the target has named one.
    pub limit: Option<RequestRate>,
    /// Time until the limit allows an additional call.
    pub limit_wait: Duration,
}

impl GateLoad {
    /// Returns the time after which an additional call can expect to start.
    pub fn expected_wait(&self) -> Duration {
        slot_wait(self.slots, self.busy, self.waiting, self.mean_run_time).max(self.limit_wait)
    }
}

/// Returns the time after which a call with `ahead` calls in front of it in the queue
/// can expect a slot.
fn slot_wait(slots: usize, busy: usize, ahead: usize, mean_run_time: Duration) -> Duration {
    if busy + ahead < slots {
        return Duration::ZERO;
    }
    // With all slots in use, one call finishes every `mean_run_time / slots`.
    let slots = u32::try_from(slots.max(1)).unwrap_or(u32::MAX);
    let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
    mean_run_time / slots * ahead
}

impl SlotGate {
    /// Returns a gate that runs up to `slots` calls concurrently.
    pub fn new(slots: u16, clock: SharedClock) -> Self {
        Self {
            state: Arc::new(Mutex::new(GateState {
                slots: usize::from(slots),
                busy: 0,
                is_draining: false,
                next_sequence: 0,
                waiting: BTreeMap::new(),
                mean_run_time: Duration::ZERO,
                bucket: None,
            })),
            limit_changed: Arc::default(),
            clock,
        }
    }

    /// Changes the number of slots. Running calls continue even if they exceed
    /// the new number.
    pub fn set_slots(&self, slots: u16) {
        lock(&self.state).slots = usize::from(slots);
        self.assign_free_slots();
    }

    /// Changes or removes the limit on the rate of calls.
    pub fn set_limit(&self, limit: Option<RequestRate>) {
        let now = self.clock.now();
        {
            let mut state = lock(&self.state);
            match (&mut state.bucket, limit) {
                (Some(bucket), Some(limit)) => bucket.set_limit(limit, now),
                (bucket, limit) => *bucket = limit.map(|limit| TokenBucket::new(limit, now)),
            }
        }
        self.limit_changed.notify_waiters();
        self.assign_free_slots();
    }

    /// Returns a future that completes when the limit is changed after this call.
    pub fn limit_changed(&self) -> OwnedNotified {
        Arc::clone(&self.limit_changed).notified_owned()
    }

    /// Returns when [`Self::start_waiting`] should be called next, because the limit may
    /// allow a waiting call by then, or `None` if there is no limit. Ends of calls are
    /// noticed without that.
    pub fn next_start(&self) -> Option<Instant> {
        let now = self.clock.now();
        let state = lock(&self.state);
        let bucket = state.bucket.as_ref()?;
        let wait = bucket.wait_for(1, now);
        // With a token left, the calls wait for a slot, and may use up the token.
        let wait = if wait.is_zero() {
            bucket.interval()
        } else {
            wait
        };
        Some(now + wait.max(MIN_START_INTERVAL))
    }

    /// Starts the waiting calls that the slots and the limit allow.
    pub fn start_waiting(&self) {
        self.assign_free_slots();
    }

    /// Refuses all waiting calls and all calls that arrive until
    /// [`Self::resume`] is called.
    pub fn drain(&self) {
        let waiting = {
            let mut state = lock(&self.state);
            state.is_draining = true;
            std::mem::take(&mut state.waiting)
        };
        for call in waiting.into_values() {
            let _ = call.sender.send(Err(RefusalReason::Draining));
        }
    }

    /// Admits calls again after [`Self::drain`].
    pub fn resume(&self) {
        lock(&self.state).is_draining = false;
    }

    /// Returns the current load of the gate.
    pub fn load(&self) -> GateLoad {
        let now = self.clock.now();
        let state = lock(&self.state);
        GateLoad {
            slots: state.slots,
            busy: state.busy,
            waiting: state.waiting.len(),
            mean_run_time: state.mean_run_time,
            limit: state.bucket.map(|bucket| bucket.limit()),
            limit_wait: state.limit_wait(state.waiting.len(), now),
        }
    }

    /// Waits for a slot for a call with default priority, unknown run time and no
    /// limit on its wait other than its deadline.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call was refused. A refused call was not run.
    pub async fn acquire(
        &self,
        class: CallClass,
        deadline: Instant,
    ) -> Result<SlotPermit, RefusalReason> {
        let request = SlotRequest {
            rank: QueueRank::new(class, CallPriority::default()),
            soft_deadline: deadline,
            deadline,
            expected_run_time: Duration::ZERO,
            max_wait: Duration::MAX,
        };
        self.acquire_for(request).await
    }

    /// Waits for a slot. The request determines the call's place in the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call was refused. A refused call was not run.
    pub async fn acquire_for(&self, request: SlotRequest) -> Result<SlotPermit, RefusalReason> {
        let receiver = match self.try_admit(request)? {
            Admission::Admitted(permit) => return Ok(permit),
            Admission::Waiting(receiver) => receiver,
        };
        receiver.await.unwrap_or(Err(RefusalReason::Draining))
    }

    fn try_admit(&self, request: SlotRequest) -> Result<Admission, RefusalReason> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.is_draining {
            return Err(RefusalReason::Draining);
        }
        if now >= request.deadline {
            return Err(RefusalReason::Deadline);
        }
        if state.waiting.is_empty() && state.try_take_slot(now) {
            return Ok(Admission::Admitted(self.permit(now)));
        }
        let key_bound = (request.rank, request.soft_deadline, u64::MAX);
        let ahead = state.waiting.range(..key_bound).count();
        let wait = state.expected_wait(ahead, now);
        if wait > request.max_wait {
            return Err(RefusalReason::Crowded);
        }
        let start = now + wait;
        if !request.can_finish(start) {
            return Err(RefusalReason::Saturated);
        }
        if !request.is_in_time(start) && !state.can_queue_late(now) {
            return Err(RefusalReason::Saturated);
        }
        state.ensure_capacity(&request)?;
        let (sender, receiver) = oneshot::channel();
        let key = (request.rank, request.soft_deadline, state.next_sequence);
        state.next_sequence += 1;
        state.waiting.insert(key, WaitingCall { request, sender });
        Ok(Admission::Waiting(receiver))
    }

    fn permit(&self, started_at: Instant) -> SlotPermit {
        SlotPermit {
            gate: self.clone(),
            started_at,
        }
    }

    /// Assigns free slots to waiting calls as far as the limit allows, skipping those
    /// whose caller gave up.
    fn assign_free_slots(&self) {
        let now = self.clock.now();
        self.shed_waiting(now);
        loop {
            let mut state = lock(&self.state);
            state.remove_closed();
            if state.waiting.is_empty() || !state.try_take_slot(now) {
                return;
            }
            let Some(call) = state.take_next(now) else {
                return;
            };
            check(Invariant::DrainedGate, !state.is_draining);
            drop(state);
            // If the receiver is gone, `send` returns the permit, and dropping it
            // frees the slot again.
            drop(call.sender.send(Ok(self.permit(now))));
        }
    }

    /// Refuses the waiting calls that can no longer finish before their deadline,
    /// and the late calls that exceed their limit.
    fn shed_waiting(&self, now: Instant) {
        let expired: Vec<WaitingCall> = lock(&self.state)
            .waiting
            .extract_if(.., |_, call| !call.request.can_finish(now))
            .map(|(_, call)| call)
            .collect();
        for call in expired {
            let _ = call.sender.send(Err(RefusalReason::Deadline));
        }
        let surplus = lock(&self.state).take_surplus_late(now);
        for call in surplus {
            let _ = call.sender.send(Err(RefusalReason::Saturated));
        }
    }
}

enum Admission {
    Admitted(SlotPermit),
    Waiting(oneshot::Receiver<Result<SlotPermit, RefusalReason>>),
}

impl GateState {
    /// Returns the expected wait of a call with `ahead` calls in front of it in
    /// the queue.
    fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        slot_wait(self.slots, self.busy, ahead, self.mean_run_time).max(self.limit_wait(ahead, now))
    }

    /// Returns the time until the limit allows a call with `ahead` calls in front of it.
    fn limit_wait(&self, ahead: usize, now: Instant) -> Duration {
        self.bucket
            .map_or(Duration::ZERO, |bucket| bucket.wait_for(ahead + 1, now))
    }

    /// Takes a slot for a call that starts now, if one is free and the limit allows it.
    fn try_take_slot(&mut self, now: Instant) -> bool {
        let may_start = self.busy < self.slots
            && self
                .bucket
                .as_mut()
                .is_none_or(|bucket| bucket.try_take(now));
        if may_start {
            self.busy += 1;
        }
        may_start
    }

    /// Removes the waiting calls whose caller gave up.
    fn remove_closed(&mut self) {
        self.waiting.retain(|_, call| !call.sender.is_closed());
    }

    fn can_queue_late(&self, now: Instant) -> bool {
        let late = self
            .waiting
            .values()
            .filter(|call| !call.request.is_in_time(now))
            .count();
        (late as f64) < self.slots as f64 * MAX_LATE_PER_SLOT
    }

    /// Removes and returns the late calls that exceed the limit, starting at the
    /// front of the queue. These have the least time left within their rank, and
    /// would wait in vain while calls that can be in time keep arriving.
    fn take_surplus_late(&mut self, now: Instant) -> Vec<WaitingCall> {
        let late: Vec<QueueKey> = self
            .waiting
            .iter()
            .filter(|(_, call)| !call.request.is_in_time(now))
            .map(|(key, _)| *key)
            .collect();
        let limit = (self.slots as f64 * MAX_LATE_PER_SLOT).ceil() as usize;
        let surplus = late.len().saturating_sub(limit);
        late.iter()
            .take(surplus)
            .filter_map(|key| self.waiting.remove(key))
            .collect()
    }

    /// Removes and returns the first call that can be in time, or the first call
    /// if there is none.
    fn take_next(&mut self, now: Instant) -> Option<WaitingCall> {
        let in_time = self
            .waiting
            .iter()
            .find(|(_, call)| call.request.is_in_time(now))
            .map(|(key, _)| *key);
        match in_time {
            Some(key) => self.waiting.remove(&key),
            None => self.waiting.pop_first().map(|(_, call)| call),
        }
    }

    /// If the queue is full, refuses the new call or the last call in the queue,
    /// whichever would be served later.
    fn ensure_capacity(&mut self, request: &SlotRequest) -> Result<(), RefusalReason> {
        // Calls whose caller gave up must not count against the limit.
        self.remove_closed();
        if self.waiting.len() < self.slots.max(1) * MAX_QUEUED_PER_SLOT {
            return Ok(());
        }
        let Some(last) = self.waiting.last_entry() else {
            return Ok(());
        };
        let (last_rank, last_soft_deadline, _) = *last.key();
        if (last_rank, last_soft_deadline) <= (request.rank, request.soft_deadline) {
            return Err(RefusalReason::Saturated);
        }
        let _ = last.remove().sender.send(Err(RefusalReason::Saturated));
        Ok(())
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let run_time = self.gate.clock.now().duration_since(self.started_at);
        {
            let mut state = lock(&self.gate.state);
            state.busy -= 1;
            state.mean_run_time = if state.mean_run_time.is_zero() {
                run_time
            } else {
                (state.mean_run_time * (MEAN_RUN_TIME_DIVISOR - 1) + run_time)
                    / MEAN_RUN_TIME_DIVISOR
            };
        }
        self.gate.assign_free_slots();
    }
}
