//! The slots of a target and the short queue in front of them.
//!
//! A call that cannot start before its deadline is refused when it arrives,
//! not when the deadline is over: by then its caller has waited for nothing
//! and a slot may have been spent on an answer that nobody takes. The queue is
//! ordered by class, then by deadline. A plain semaphore is first come, first
//! served, and under overload serves only calls that are about to give up.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::clock::{SharedClock, lock};
use crate::config::resource::CallClass;
use crate::gate::outcome::RefusalReason;
use crate::ids::CallPriority;
use crate::invariant::{Rule, check};

/// Waiting calls allowed for each slot.
pub const QUEUE_PER_SLOT: usize = 4;

/// Share of the running mean that a new sample gets is 1 / this.
const MEAN_WEIGHT: u32 = 8;

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

type WaitKey = (QueueRank, Instant, u64);

#[derive(Debug)]
struct GateState {
    slots: usize,
    busy: usize,
    is_draining: bool,
    next_ticket: u64,
    waiting: BTreeMap<WaitKey, oneshot::Sender<Result<SlotPermit, RefusalReason>>>,
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
    pub fn room_after(&self) -> Duration {
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
        for sender in waiting.into_values() {
            let _ = sender.send(Err(RefusalReason::Draining));
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
        let rank = QueueRank::new(class, CallPriority::default());
        self.acquire_ranked(rank, deadline).await
    }

    /// Waits for a slot, in the order of `rank`.
    ///
    /// # Errors
    ///
    /// As of [`Self::acquire`].
    pub async fn acquire_ranked(
        &self,
        rank: QueueRank,
        deadline: Instant,
    ) -> Result<SlotPermit, RefusalReason> {
        let receiver = match self.try_enter(rank, deadline)? {
            Entry::Admitted(permit) => return Ok(permit),
            Entry::Waiting(receiver) => receiver,
        };
        receiver.await.unwrap_or(Err(RefusalReason::Draining))
    }

    fn try_enter(&self, rank: QueueRank, deadline: Instant) -> Result<Entry, RefusalReason> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.is_draining {
            return Err(RefusalReason::Draining);
        }
        if now >= deadline {
            return Err(RefusalReason::Deadline);
        }
        if state.busy < state.slots && state.waiting.is_empty() {
            state.busy += 1;
            return Ok(Entry::Admitted(self.permit(now)));
        }
        let ahead = state.waiting.range(..(rank, deadline, u64::MAX)).count();
        if now + state.expected_wait(ahead) > deadline {
            return Err(RefusalReason::Saturated);
        }
        state.make_room(rank, deadline)?;
        let (sender, receiver) = oneshot::channel();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiting.insert((rank, deadline, ticket), sender);
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
        loop {
            let mut state = lock(&self.state);
            if state.busy >= state.slots {
                return;
            }
            let Some(((_, deadline, _), sender)) = state.waiting.pop_first() else {
                return;
            };
            if now >= deadline {
                drop(state);
                let _ = sender.send(Err(RefusalReason::Deadline));
                continue;
            }
            if sender.is_closed() {
                continue;
            }
            check(Rule::DrainedGate, !state.is_draining);
            state.busy += 1;
            drop(state);
            // When the receiver is gone the permit comes back here and its
            // drop frees the slot again.
            drop(sender.send(Ok(self.permit(now))));
        }
    }
}

enum Entry {
    Admitted(SlotPermit),
    Waiting(oneshot::Receiver<Result<SlotPermit, RefusalReason>>),
}

impl GateState {
    fn expected_wait(&self, ahead: usize) -> Duration {
        let turns = (ahead + 1).div_ceil(self.slots.max(1));
        self.mean_run * u32::try_from(turns).unwrap_or(u32::MAX)
    }

    /// Refuses the newcomer or the last of the queue, whichever is served later.
    fn make_room(&mut self, rank: QueueRank, deadline: Instant) -> Result<(), RefusalReason> {
        // A caller that gave up must not take the place of one that waits.
        self.waiting.retain(|_, sender| !sender.is_closed());
        if self.waiting.len() < self.slots.max(1) * QUEUE_PER_SLOT {
            return Ok(());
        }
        let Some(last) = self.waiting.last_entry() else {
            return Ok(());
        };
        let (last_rank, last_deadline, _) = *last.key();
        if (last_rank, last_deadline) <= (rank, deadline) {
            return Err(RefusalReason::Saturated);
        }
        let _ = last.remove().send(Err(RefusalReason::Saturated));
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
                (state.mean_run * (MEAN_WEIGHT - 1) + run) / MEAN_WEIGHT
            };
        }
        self.gate.hand_out();
    }
}
