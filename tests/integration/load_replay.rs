//! A replay of load against the decisions: arrivals, work and speeds drawn from
//! a seed, a clock that the replay moves, no sockets and no tasks.
//!
//! Every call goes the way that it goes in a node: `choose_cheapest_target` at an ingress
//! that knows of each target only what its own calls told it, the trip there,
//! `SlotGate` at the target, the run, the trip back. What a call earns is what
//! callers are served: all in time, part of it late, nothing after the deadline.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wisteriaturn::clock::{Clock, ManualClock, SharedClock};
use wisteriaturn::config::resource::{CallClass, PolicySpec};
use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::gate::slots::{QueueRank, SlotGate, SlotPermit, SlotRequest};
use wisteriaturn::ids::{CallPriority, Incarnation, LinkRate, NodeAddress, RouteName};
use wisteriaturn::route::choose::NodeLocation;
use wisteriaturn::route::cost::{CallRequirements, PlacementRequest, choose_cheapest_target};
use wisteriaturn::route::load::{AttemptResult, ServiceLoad};

/// Worth of a late answer.
const LATE_WORTH: f64 = 0.3;

/// Attempts of one call that a gate may refuse.
const REFUSAL_LIMIT: usize = 4;

/// Refusals for a long wait after which a call waits where it is.
const CROWDED_LIMIT: usize = 3;

/// What is replayed.
#[derive(Debug, Clone)]
struct LoadPattern {
    seed: u64,
    zones: usize,
    ingresses_a_zone: usize,
    /// Speeds of the targets of each zone.
    speeds: Vec<f64>,
    /// Calls a second over all ingresses, as a share of what the targets can do.
    load: f64,
    seconds: u64,
    work: Duration,
    aim: Duration,
    deadline: Duration,
    /// Whether calls say how long a wait is better than going elsewhere.
    is_sent_on: bool,
}

impl LoadPattern {
    /// Three regions of one zone, targets that differ threefold in speed, and
    /// many ingresses, each with few calls.
    fn many_ingresses(seed: u64, load: f64) -> Self {
        Self {
            seed,
            zones: 3,
            ingresses_a_zone: 16,
            speeds: vec![0.5, 1.0, 1.0, 1.5],
            load,
            seconds: 12,
            work: Duration::from_millis(160),
            aim: Duration::from_millis(500),
            deadline: Duration::from_millis(1_500),
            is_sent_on: true,
        }
    }
}

/// What callers were served.
#[derive(Debug, Default)]
struct ReplayResult {
    calls: usize,
    in_time: usize,
    late: usize,
    refused: usize,
}

impl ReplayResult {
    fn worth(&self) -> f64 {
        (self.in_time as f64 + self.late as f64 * LATE_WORTH) / self.calls.max(1) as f64
    }
}

type SlotFuture = Pin<Box<dyn Future<Output = Result<SlotPermit, RefusalReason>>>>;

/// A call on its way.
struct ReplayCall {
    ingress: usize,
    came: Instant,
    tried: Vec<NodeAddress>,
    crowded: Vec<NodeAddress>,
    target: usize,
    patience: Duration,
}

enum Step {
    Arrive,
    Reach(usize),
    End(usize, SlotPermit, Duration),
    Answer(usize),
    Refused(usize, RefusalReason),
}

struct LoadReplay {
    pattern: LoadPattern,
    rng: StdRng,
    clock: Arc<ManualClock>,
    start: Instant,
    targets: Vec<TargetEntry>,
    gates: Vec<SlotGate>,
    loads: Vec<ServiceLoad>,
    calls: Vec<ReplayCall>,
    waiting: Vec<(usize, SlotFuture)>,
    steps: Vec<Option<Step>>,
    due: BinaryHeap<Reverse<(Instant, usize)>>,
    result: ReplayResult,
}

const SLOTS: u16 = 6;

impl LoadReplay {
    fn new(pattern: LoadPattern) -> Self {
        let clock = ManualClock::new();
        let start = clock.now();
        let mut targets = Vec::new();
        for zone in 0..pattern.zones {
            for _ in &pattern.speeds {
                let address = NodeAddress::from(([10, 0, zone as u8, targets.len() as u8], 1));
                targets.push(TargetEntry {
                    node: address,
                    hop: address,
                    incarnation: Incarnation(1),
                    region: format!("r{zone}").parse().expect("a name"),
                    data_centre: format!("r{zone}-a").parse().expect("a name"),
                    slots: SLOTS,
                    link: LinkRate::default(),
                    serving_since: start,
                    is_suspect: false,
                });
            }
        }
        let shared = Arc::clone(&clock) as SharedClock;
        Self {
            rng: StdRng::seed_from_u64(pattern.seed),
            gates: targets
                .iter()
                .map(|_| SlotGate::new(SLOTS, Arc::clone(&shared)))
                .collect(),
            loads: vec![ServiceLoad::default(); pattern.zones * pattern.ingresses_a_zone],
            clock,
            start,
            targets,
            calls: Vec::new(),
            waiting: Vec::new(),
            steps: Vec::new(),
            due: BinaryHeap::new(),
            result: ReplayResult::default(),
            pattern,
        }
    }

    fn run(mut self) -> ReplayResult {
        self.later(Duration::ZERO, Step::Arrive);
        while let Some(Reverse((when, step))) = self.due.pop() {
            self.clock.advance(when - self.clock.now());
            if let Some(step) = self.steps[step].take() {
                self.take(step);
            }
            self.poll_waiting();
        }
        self.result
    }

    fn later(&mut self, wait: Duration, step: Step) {
        self.due
            .push(Reverse((self.clock.now() + wait, self.steps.len())));
        self.steps.push(Some(step));
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::Reach(call) => self.reach(call),
            Step::End(call, permit, run) => {
                drop(permit);
                let target = self.calls[call].target;
                let load = self.gates[target].load();
                let now = self.clock.now();
                let seen = &mut self.loads[self.calls[call].ingress];
                let node = self.targets[target].node;
                seen.record_load(node, (load.busy + load.waiting) as u32, now);
                seen.record_run_time(node, &route(), run, now);
                self.later(self.trip(call), Step::Answer(call));
            }
            Step::Answer(call) => self.answer(call),
            Step::Refused(call, reason) => self.refused(call, reason),
        }
    }

    fn arrive(&mut self) {
        let now = self.clock.now();
        if now - self.start >= Duration::from_secs(self.pattern.seconds) {
            return;
        }
        let speed: f64 = self.pattern.speeds.iter().sum();
        let capacity =
            speed * self.pattern.zones as f64 * f64::from(SLOTS) / self.pattern.work.as_secs_f64();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / (capacity * self.pattern.load);
        self.later(Duration::from_secs_f64(gap), Step::Arrive);
        let ingress = self.rng.random_range(0..self.loads.len());
        self.result.calls += 1;
        self.calls.push(ReplayCall {
            ingress,
            came: now,
            tried: Vec::new(),
            crowded: Vec::new(),
            target: 0,
            patience: Duration::MAX,
        });
        self.place(self.calls.len() - 1);
    }

    /// Places a call as an ingress does.
    fn place(&mut self, call: usize) {
        let held = &self.calls[call];
        let may_go_on = !held.crowded.is_empty() && held.crowded.len() < CROWDED_LIMIT;
        let excluded = if may_go_on {
            [held.tried.clone(), held.crowded.clone()].concat()
        } else {
            held.tried.clone()
        };
        let is_settled = !held.crowded.is_empty() && !may_go_on;
        let (ingress, came) = (held.ingress, held.came);
        let zone = ingress / self.pattern.ingresses_a_zone;
        let place = NodeLocation {
            region: format!("r{zone}").parse().expect("a name"),
            data_centre: format!("r{zone}-a").parse().expect("a name"),
        };
        let now = self.clock.now();
        let demand = CallRequirements {
            aim: (came + self.pattern.aim).saturating_duration_since(now),
            deadline: (came + self.pattern.deadline).saturating_duration_since(now),
            answer_bytes: 1_500.0,
            run: self.pattern.work,
        };
        let policy = PolicySpec::default_for("portal".parse().expect("a name"));
        let placed = PlacementRequest {
            route: &route(),
            demand: &demand,
            tried: &excluded,
        };
        let choice = choose_cheapest_target(
            &place,
            &self.targets,
            &policy,
            &mut self.loads[ingress],
            placed,
            now,
            &mut self.rng,
        );
        let Some(target) = choice.chosen else {
            self.result.refused += 1;
            return;
        };
        self.loads[ingress].start_attempt(&self.targets[target]);
        let held = &mut self.calls[call];
        held.target = target;
        held.patience = if self.pattern.is_sent_on && !is_settled {
            choice.patience
        } else {
            Duration::MAX
        };
        self.later(self.trip(call), Step::Reach(call));
    }

    /// One way to the target of a call.
    fn trip(&self, call: usize) -> Duration {
        let held = &self.calls[call];
        let from = held.ingress / self.pattern.ingresses_a_zone;
        let to = held.target / self.pattern.speeds.len();
        if from == to {
            Duration::from_micros(250)
        } else {
            Duration::from_millis(8)
        }
    }

    fn reach(&mut self, call: usize) {
        let held = &self.calls[call];
        let demand = SlotRequest {
            rank: QueueRank::new(CallClass::Interactive, CallPriority(0)),
            aim: held.came + self.pattern.aim,
            deadline: held.came + self.pattern.deadline,
            expected_run: self.pattern.work,
            patience: held.patience,
        };
        let gate = self.gates[held.target].clone();
        let slot = Box::pin(async move { gate.acquire_for(demand).await });
        self.waiting.push((call, slot));
    }

    /// Starts the calls that got a slot, and sends back those that were refused.
    fn poll_waiting(&mut self) {
        let mut context = Context::from_waker(Waker::noop());
        let mut index = 0;
        while index < self.waiting.len() {
            let (call, slot) = &mut self.waiting[index];
            let call = *call;
            let Poll::Ready(ended) = slot.as_mut().poll(&mut context) else {
                index += 1;
                continue;
            };
            drop(self.waiting.swap_remove(index));
            match ended {
                Ok(permit) => {
                    let run = self.run_time(call);
                    self.later(run, Step::End(call, permit, run));
                }
                Err(reason) => {
                    let target = self.calls[call].target;
                    let load = self.gates[target].load();
                    let busy = (load.busy + load.waiting) as u32;
                    let now = self.clock.now();
                    let node = self.targets[target].node;
                    self.loads[self.calls[call].ingress].record_load(node, busy, now);
                    self.later(self.trip(call), Step::Refused(call, reason));
                }
            }
        }
    }

    fn run_time(&mut self, call: usize) -> Duration {
        let target = self.calls[call].target;
        let speed = self.pattern.speeds[target % self.pattern.speeds.len()];
        let spread = 0.4 + 1.2 * self.rng.random::<f64>();
        self.pattern.work.mul_f64(spread / speed)
    }

    fn leave(&mut self, call: usize) {
        let held = &self.calls[call];
        self.loads[held.ingress].finish_attempt(self.targets[held.target].node);
    }

    fn answer(&mut self, call: usize) {
        self.leave(call);
        let held = &self.calls[call];
        let policy = PolicySpec::default_for("portal".parse().expect("a name"));
        let now = self.clock.now();
        let took = now - held.came;
        let target = self.targets[held.target].clone();
        self.loads[held.ingress].record_result(
            &target,
            AttemptResult::Answered,
            took,
            &policy,
            self.targets.len(),
            now,
        );
        if took <= self.pattern.aim {
            self.result.in_time += 1;
        } else if took <= self.pattern.deadline {
            self.result.late += 1;
        }
    }

    fn refused(&mut self, call: usize, reason: RefusalReason) {
        self.leave(call);
        let held = &mut self.calls[call];
        let node = self.targets[held.target].node;
        match reason {
            RefusalReason::Crowded => held.crowded.push(node),
            _ => held.tried.push(node),
        }
        let is_over = self.clock.now() >= held.came + self.pattern.deadline;
        if is_over || held.tried.len() >= REFUSAL_LIMIT || reason == RefusalReason::Deadline {
            self.result.refused += 1;
            return;
        }
        self.place(call);
    }
}

fn route() -> RouteName {
    "pages".parse().expect("a name")
}

fn mean_worth(load: f64, is_sent_on: bool) -> f64 {
    let seeds = 1..=3;
    let count = seeds.clone().count() as f64;
    let worths = seeds.map(|seed| {
        let pattern = LoadPattern {
            is_sent_on,
            ..LoadPattern::many_ingresses(seed, load)
        };
        let result = LoadReplay::new(pattern).run();
        println!(
            "load {load}, sent on {is_sent_on}: {result:?} {:.3}",
            result.worth()
        );
        result.worth()
    });
    worths.sum::<f64>() / count
}

#[yare::parameterized(
    usual = { 0.75 },
    full = { 0.95 },
    over = { 1.2 },
)]
fn sending_calls_on_serves_more_where_many_nodes_know_little(load: f64) {
    let (with, without) = (mean_worth(load, true), mean_worth(load, false));
    println!("load {load}: {without:.3} -> {with:.3}");
    assert!(with > without, "{without:.3} -> {with:.3}");
}
