//! The slots of a target and the short queue in front of them.
//!
//! The load pattern: for some seconds more calls come than the target can run.
//! Served in the order of arrival, all of them would be late, and slots would
//! be spent on answers that nobody waits for any more. So a call that cannot
//! end before its deadline is refused when it arrives, with the time after which
//! there is room. Of those that wait, the ones that can still be in time go
//! first, by class, priority and aim; the others get what is left, and only a
//! few of them may wait, since most would be refused in the end.
//!
//! A second pattern: many nodes send to many targets, and each knows of a
//! target's load only what its own last call there told it. Some targets then
//! have a queue while others have free slots. So a call says how long a wait
//! here is better than going elsewhere, and is sent on at once when the wait is
//! longer; see [docs/decisions/0012](../../docs/decisions/0012-sent-on.md).

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::clock::{SharedClock, lock};
use crate::config::resource::CallClass;
use crate::gate::outcome::RefusalReason;
use crate::ids::CallPriority;
use crate::invariant::{Invariant, check};

/// Waiting calls allowed for each slot.
pub const MAX_QUEUED_PER_SLOT: usize = 4;

/// Late calls that may wait, as a share of the slots.
const MAX_LATE_PER_SLOT: f64 = 0.4;

/// Part of the expected run that a call needs to have a chance: run times
/// spread, and short runs are common.
const MIN_RUN_FACTOR: f64 = 0.6;

/// Multiple of the expected run that a call must have left to be likely in time.
/// With one, half of those that just get in are late, and under a standing
/// overload nearly all calls just get in.
pub const LIKELY_RUN_FACTOR: f64 = 1.3;

/// Share of the running mean that a new sample gets is 1 / this.
const MEAN_RUN_DIVISOR: u32 = 8;

/// The order in which calls wait: by class, then by priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    class: CallClass,
    priority: CallPriority,
}

impl QueueRank {
    /// Returns the rank of a call.
    pub fn new(class: CallClass, priority: CallPriority) -> Self {
        Self { class, priority }
    }
}

/// What a call that waits for a slot needs to know.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// Its rank.
    pub rank: QueueRank,
    /// Until when its answer is worth most.
    pub aim: Instant,
    /// Until when its answer is worth anything.
    pub deadline: Instant,
    /// How long it is expected to hold the slot.
    pub expected_run: Duration,
    /// Longest wait that is better than going to another target.
    pub patience: Duration,
}

impl SlotRequest {
    /// Tells whether a call that starts at `start` is likely in time.
    fn is_in_time(&self, start: Instant) -> bool {
        start + self.expected_run.mul_f64(LIKELY_RUN_FACTOR) <= self.aim
    }

    /// Tells whether a call that starts at `start` has a chance to end.
    fn can_end(&self, start: Instant) -> bool {
        start < self.deadline && start + self.expected_run.mul_f64(MIN_RUN_FACTOR) <= self.deadline
    }
}

type WaitKey = (QueueRank, Instant, u64);

#[derive(Debug)]
struct WaitingCall {
    demand: SlotRequest,
    sender: oneshot::Sender<Result<SlotPermit, RefusalReason>>,
}

#[derive(Debug)]
struct GateState {
    slots: usize,
    busy: usize,
    is_draining: bool,
    next_ticket: u64,
    waiting: BTreeMap<WaitKey, WaitingCall>,
    mean_run: Duration,
}

/// Admits calls to a target; a cheap handle.
#[derive(Debug, Clone)]
pub struct SlotGate {
    state: Arc<Mutex<GateState>>,
    clock: SharedClock,
}

/// The right to run one call; gives the slot back when dropped.
#[derive(Debug)]
pub struct SlotPermit {
    gate: SlotGate,
    started: Instant,
}

/// How full a gate is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateLoad {
    /// Calls that the target runs at once.
    pub slots: usize,
    /// Calls running.
    pub busy: usize,
    /// Calls waiting.
    pub waiting: usize,
    /// Mean time that a call holds its slot.
    pub mean_run: Duration,
}

impl GateLoad {
    /// Returns the time after which one more call can expect a slot.
    pub fn expected_wait(&self) -> Duration {
        if self.busy < self.slots && self.waiting == 0 {
            return Duration::ZERO;
        }
        // Of `slots` running calls one ends every `mean_run / slots`.
        let slots = u32::try_from(self.slots.max(1)).unwrap_or(u32::MAX);
        let ahead = u32::try_from(self.waiting + 1).unwrap_or(u32::MAX);
        self.mean_run / slots * ahead
    }
}

impl SlotGate {
    /// Returns a gate with a number of slots.
    pub fn new(slots: u16, clock: SharedClock) -> Self {
        Self {
            state: Arc::new(Mutex::new(GateState {
                slots: usize::from(slots),
                busy: 0,
                is_draining: false,
                next_ticket: 0,
                waiting: BTreeMap::new(),
                mean_run: Duration::ZERO,
            })),
            clock,
        }
    }

    /// Changes the number of slots; running calls go on.
    pub fn set_slots(&self, slots: u16) {
        lock(&self.state).slots = usize::from(slots);
        self.hand_out();
    }

    /// Refuses every call that waits and every later one.
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

    /// Admits calls again.
    pub fn resume(&self) {
        lock(&self.state).is_draining = false;
    }

    /// Returns how full the gate is.
    pub fn load(&self) -> GateLoad {
        let state = lock(&self.state);
        GateLoad {
            slots: state.slots,
            busy: state.busy,
            waiting: state.waiting.len(),
            mean_run: state.mean_run,
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The reason for which the call was refused; it was then not run.
    pub async fn acquire(
        &self,
        class: CallClass,
        deadline: Instant,
    ) -> Result<SlotPermit, RefusalReason> {
        let demand = SlotRequest {
            rank: QueueRank::new(class, CallPriority::default()),
            aim: deadline,
            deadline,
            expected_run: Duration::ZERO,
            patience: Duration::MAX,
        };
        self.acquire_for(demand).await
    }

    /// Waits for a slot, in the order that the demand gives.
    ///
    /// # Errors
    ///
    /// As of [`Self::acquire`].
    pub async fn acquire_for(&self, demand: SlotRequest) -> Result<SlotPermit, RefusalReason> {
        let receiver = match self.try_enter(demand)? {
            Entry::Admitted(permit) => return Ok(permit),
            Entry::Waiting(receiver) => receiver,
        };
        receiver.await.unwrap_or(Err(RefusalReason::Draining))
    }

    fn try_enter(&self, demand: SlotRequest) -> Result<Entry, RefusalReason> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.is_draining {
            return Err(RefusalReason::Draining);
        }
        if now >= demand.deadline {
            return Err(RefusalReason::Deadline);
        }
        if state.busy < state.slots && state.waiting.is_empty() {
            state.busy += 1;
            return Ok(Entry::Admitted(self.permit(now)));
        }
        let place = (demand.rank, demand.aim, u64::MAX);
        let ahead = state.waiting.range(..place).count();
        let wait = state.expected_wait(ahead);
        if wait > demand.patience {
            return Err(RefusalReason::Crowded);
        }
        let start = now + wait;
        if !demand.can_end(start) {
            return Err(RefusalReason::Saturated);
        }
        if !demand.is_in_time(start) && !state.has_room_for_late(now) {
            return Err(RefusalReason::Saturated);
        }
        state.make_room(&demand)?;
        let (sender, receiver) = oneshot::channel();
        let key = (demand.rank, demand.aim, state.next_ticket);
        state.next_ticket += 1;
        state.waiting.insert(key, WaitingCall { demand, sender });
        Ok(Entry::Waiting(receiver))
    }

    fn permit(&self, started: Instant) -> SlotPermit {
        SlotPermit {
            gate: self.clone(),
            started,
        }
    }

    /// Gives free slots to the calls that wait, skipping those that gave up.
    fn hand_out(&self) {
        let now = self.clock.now();
        self.refuse_hopeless(now);
        loop {
            let mut state = lock(&self.state);
            if state.busy >= state.slots {
                return;
            }
            let Some(call) = state.take_next(now) else {
                return;
            };
            if call.sender.is_closed() {
                continue;
            }
            check(Invariant::DrainedGate, !state.is_draining);
            state.busy += 1;
            drop(state);
            // When the receiver is gone the permit comes back here and its
            // drop frees the slot again.
            drop(call.sender.send(Ok(self.permit(now))));
        }
    }

    /// Refuses the calls that cannot end any more, as soon as that is known.
    fn refuse_hopeless(&self, now: Instant) {
        let hopeless: Vec<WaitingCall> = lock(&self.state)
            .waiting
            .extract_if(.., |_, call| !call.demand.can_end(now))
            .map(|(_, call)| call)
            .collect();
        for call in hopeless {
            let _ = call.sender.send(Err(RefusalReason::Deadline));
        }
        let crowded_out = lock(&self.state).take_surplus_late(now);
        for call in crowded_out {
            let _ = call.sender.send(Err(RefusalReason::Saturated));
        }
    }
}

enum Entry {
    Admitted(SlotPermit),
    Waiting(oneshot::Receiver<Result<SlotPermit, RefusalReason>>),
}

impl GateState {
    fn expected_wait(&self, ahead: usize) -> Duration {
        // Of `slots` running calls one ends every `mean_run / slots`.
        let slots = u32::try_from(self.slots.max(1)).unwrap_or(u32::MAX);
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.mean_run / slots * ahead
    }

    fn has_room_for_late(&self, now: Instant) -> bool {
        let late = self
            .waiting
            .values()
            .filter(|call| !call.demand.is_in_time(now))
            .count();
        (late as f64) < self.slots as f64 * MAX_LATE_PER_SLOT
    }

    /// Takes the late calls for which there is no room, those with the least time
    /// left: while calls in time keep coming they would wait in vain.
    fn take_surplus_late(&mut self, now: Instant) -> Vec<WaitingCall> {
        let late: Vec<WaitKey> = self
            .waiting
            .iter()
            .filter(|(_, call)| !call.demand.is_in_time(now))
            .map(|(key, _)| *key)
            .collect();
        let room = (self.slots as f64 * MAX_LATE_PER_SLOT).ceil() as usize;
        let surplus = late.len().saturating_sub(room);
        late.iter()
            .take(surplus)
            .filter_map(|key| self.waiting.remove(key))
            .collect()
    }

    /// Takes the first call that can be in time, else the first one.
    fn take_next(&mut self, now: Instant) -> Option<WaitingCall> {
        let in_time = self
            .waiting
            .iter()
            .find(|(_, call)| call.demand.is_in_time(now))
            .map(|(key, _)| *key);
        match in_time {
            Some(key) => self.waiting.remove(&key),
            None => self.waiting.pop_first().map(|(_, call)| call),
        }
    }

    /// Refuses the newcomer or the last of the queue, whichever is served later.
    fn make_room(&mut self, demand: &SlotRequest) -> Result<(), RefusalReason> {
        // A caller that gave up must not take the place of one that waits.
        self.waiting.retain(|_, call| !call.sender.is_closed());
        if self.waiting.len() < self.slots.max(1) * MAX_QUEUED_PER_SLOT {
            return Ok(());
        }
        let Some(last) = self.waiting.last_entry() else {
            return Ok(());
        };
        let (last_rank, last_aim, _) = *last.key();
        if (last_rank, last_aim) <= (demand.rank, demand.aim) {
            return Err(RefusalReason::Saturated);
        }
        let _ = last.remove().sender.send(Err(RefusalReason::Saturated));
        Ok(())
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let run = self.gate.clock.now().duration_since(self.started);
        {
            let mut state = lock(&self.gate.state);
            state.busy -= 1;
            state.mean_run = if state.mean_run.is_zero() {
                run
            } else {
                (state.mean_run * (MEAN_RUN_DIVISOR - 1) + run) / MEAN_RUN_DIVISOR
            };
        }
        self.gate.hand_out();
    }
}
