//! A deterministic simulation of load on target selection and the gates:
//! arrivals, run times and target speeds are drawn from a seed, the simulation
//! moves the clock, and there are no sockets or tasks.
//!
//! Every call takes the same path as in a node: `choose_cheapest_target` at an
//! ingress that knows about each target only what its own calls reported, the
//! trip to the target, `SlotGate` there, the run, and the trip back. An answer
//! has its full value up to the target latency, a part of it up to the deadline
//! and none after that.

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

/// Value of a late answer, as a share of the value of one in time.
const LATE_ANSWER_VALUE: f64 = 0.3;

/// Number of refused attempts after which a call fails.
const MAX_REFUSALS: usize = 4;

/// Number of `Crowded` refusals after which a call waits at the chosen target
/// however long the queue is.
const MAX_CROWDED_REFUSALS: usize = 3;

/// The parameters of a simulation.
#[derive(Debug, Clone)]
struct LoadPattern {
    seed: u64,
    data_centres: usize,
    ingresses_per_data_centre: usize,
    /// Speeds of the targets in each data centre.
    speeds: Vec<f64>,
    /// Calls per second over all ingresses, as a share of the targets'
    /// capacity.
    load: f64,
    seconds: u64,
    work: Duration,
    target_latency: Duration,
    deadline: Duration,
    /// Whether calls carry the longest wait that is better than trying another
    /// target.
    has_wait_limit: bool,
    /// Whether the attempts that follow refusals are limited.
    has_refusal_budget: bool,
    /// Number of other targets of which each answer brings news; none is shared if 0.
    news_per_answer: usize,
    /// Share of the targets that are slow at any time, by a factor of 2.5 and for 0.6 s
    /// each.
    slow_share: f64,
}

impl LoadPattern {
    /// Three regions with one data centre each, targets that differ in speed by
    /// a factor of three, and many ingresses with few calls each.
    fn many_ingresses(seed: u64, load: f64) -> Self {
        Self {
            seed,
            data_centres: 3,
            ingresses_per_data_centre: 16,
            speeds: vec![0.5, 1.0, 1.0, 1.5],
            load,
            seconds: 12,
            work: Duration::from_millis(160),
            target_latency: Duration::from_millis(500),
            deadline: Duration::from_millis(1_500),
            has_wait_limit: true,
            has_refusal_budget: true,
            news_per_answer: 0,
            slow_share: 0.0,
        }
    }

    /// As many ingresses and targets as a mesh of `nodes` has for its largest service, with
    /// targets that turn slow for half a second.
    fn whole_mesh(seed: u64, nodes: usize, load: f64, news_per_answer: usize) -> Self {
        let speeds = [0.7, 0.7, 1.6, 0.6, 1.0, 1.4];
        Self {
            ingresses_per_data_centre: nodes / 3,
            speeds: speeds.iter().copied().cycle().take(nodes / 6).collect(),
            seconds: 5,
            news_per_answer,
            slow_share: 0.15,
            ..Self::many_ingresses(seed, load)
        }
    }
}

/// How the calls ended for their callers.
#[derive(Debug, Default)]
struct SimulationResult {
    calls: usize,
    in_time: usize,
    late: usize,
    refused: usize,
    runs: usize,
    refused_attempts: usize,
    /// Refused attempts while another target had a free slot.
    refused_beside_free: usize,
    /// Calls that had to wait while another target had a free slot.
    waited_beside_free: usize,
    /// Work done by each target, in seconds of its time.
    busy_secs: Vec<f64>,
}

impl SimulationResult {
    /// Returns how much longer the busiest target ran than the mean one.
    fn busiest_to_mean(&self) -> f64 {
        let most = self.busy_secs.iter().copied().fold(0.0, f64::max);
        let mean = self.busy_secs.iter().sum::<f64>() / self.busy_secs.len().max(1) as f64;
        most / mean
    }

    fn mean_value(&self) -> f64 {
        (self.in_time as f64 + self.late as f64 * LATE_ANSWER_VALUE) / self.calls.max(1) as f64
    }

    fn refused_attempts_per_run(&self) -> f64 {
        self.refused_attempts as f64 / self.runs.max(1) as f64
    }
}

type SlotFuture = Pin<Box<dyn Future<Output = Result<SlotPermit, RefusalReason>>>>;

/// A call in flight.
struct SimulatedCall {
    ingress: usize,
    arrived_at: Instant,
    tried: Vec<NodeAddress>,
    crowded: Vec<NodeAddress>,
    target: usize,
    max_wait: Duration,
}

enum Step {
    Arrive,
    ReachGate(usize),
    FinishRun(usize, SlotPermit, Duration),
    ReceiveAnswer(usize),
    ReceiveRefusal(usize, RefusalReason),
}

struct LoadSimulation {
    pattern: LoadPattern,
    rng: StdRng,
    clock: Arc<ManualClock>,
    start: Instant,
    targets: Vec<TargetEntry>,
    gates: Vec<SlotGate>,
    loads: Vec<ServiceLoad>,
    calls: Vec<SimulatedCall>,
    waiting: Vec<(usize, SlotFuture)>,
    steps: Vec<Option<Step>>,
    due: BinaryHeap<Reverse<(Instant, usize)>>,
    result: SimulationResult,
}

const SLOTS: u16 = 6;

impl LoadSimulation {
    fn new(pattern: LoadPattern) -> Self {
        let clock = ManualClock::new();
        let start = clock.now();
        let mut targets = Vec::new();
        for data_centre in 0..pattern.data_centres {
            for _ in &pattern.speeds {
                let address =
                    NodeAddress::from(([10, 0, data_centre as u8, targets.len() as u8], 1));
                targets.push(TargetEntry {
                    node: address,
                    hop: address,
                    incarnation: Incarnation(1),
                    region: format!("r{data_centre}").parse().expect("valid name"),
                    data_centre: format!("r{data_centre}-a").parse().expect("valid name"),
                    slots: SLOTS,
                    link: LinkRate::default(),
                    serving_since: start,
                    is_suspect: false,
                    version: None,
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
            loads: vec![
                if pattern.news_per_answer > 0 {
                    ServiceLoad::with_shared_news()
                } else {
                    ServiceLoad::default()
                };
                pattern.data_centres * pattern.ingresses_per_data_centre
            ],
            clock,
            start,
            targets,
            calls: Vec::new(),
            waiting: Vec::new(),
            steps: Vec::new(),
            due: BinaryHeap::new(),
            result: SimulationResult::default(),
            pattern,
        }
    }

    fn run(mut self) -> SimulationResult {
        self.schedule(Duration::ZERO, Step::Arrive);
        while let Some(Reverse((when, step))) = self.due.pop() {
            self.clock.advance(when - self.clock.now());
            if let Some(step) = self.steps[step].take() {
                self.execute(step);
            }
            self.poll_waiting();
        }
        self.result
    }

    fn schedule(&mut self, wait: Duration, step: Step) {
        self.due
            .push(Reverse((self.clock.now() + wait, self.steps.len())));
        self.steps.push(Some(step));
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Arrive => self.add_arrival(),
            Step::ReachGate(call) => self.reach_gate(call),
            Step::FinishRun(call, permit, run) => {
                drop(permit);
                let target = self.calls[call].target;
                let load = self.gates[target].load();
                let now = self.clock.now();
                let known_load = &mut self.loads[self.calls[call].ingress];
                let node = self.targets[target].node;
                known_load.record_load(node, (load.busy + load.waiting) as u32, now);
                known_load.record_run_time(node, &route(), run, now);
                self.pass_on_news(call, target);
                self.schedule(self.trip(call), Step::ReceiveAnswer(call));
            }
            Step::ReceiveAnswer(call) => self.receive_answer(call),
            Step::ReceiveRefusal(call, reason) => self.receive_refusal(call, reason),
        }
    }

    fn add_arrival(&mut self) {
        let now = self.clock.now();
        if now - self.start >= Duration::from_secs(self.pattern.seconds) {
            return;
        }
        let total_speed: f64 = self.pattern.speeds.iter().sum();
        let capacity = total_speed * self.pattern.data_centres as f64 * f64::from(SLOTS)
            / self.pattern.work.as_secs_f64();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / (capacity * self.pattern.load);
        self.schedule(Duration::from_secs_f64(gap), Step::Arrive);
        let ingress = self.rng.random_range(0..self.loads.len());
        self.result.calls += 1;
        self.loads[ingress].refusals.record_call();
        self.calls.push(SimulatedCall {
            ingress,
            arrived_at: now,
            tried: Vec::new(),
            crowded: Vec::new(),
            target: 0,
            max_wait: Duration::MAX,
        });
        self.choose_target(self.calls.len() - 1);
    }

    /// Chooses a target for a call, as an ingress does.
    fn choose_target(&mut self, call: usize) {
        let simulated = &self.calls[call];
        let may_try_another_target =
            !simulated.crowded.is_empty() && simulated.crowded.len() < MAX_CROWDED_REFUSALS;
        let excluded = if may_try_another_target {
            [simulated.tried.clone(), simulated.crowded.clone()].concat()
        } else {
            simulated.tried.clone()
        };
        let must_wait = !simulated.crowded.is_empty() && !may_try_another_target;
        let (ingress, arrived_at) = (simulated.ingress, simulated.arrived_at);
        let data_centre = ingress / self.pattern.ingresses_per_data_centre;
        let location = NodeLocation {
            region: format!("r{data_centre}").parse().expect("valid name"),
            data_centre: format!("r{data_centre}-a").parse().expect("valid name"),
        };
        let now = self.clock.now();
        let requirements = CallRequirements {
            soft_deadline: (arrived_at + self.pattern.target_latency)
                .saturating_duration_since(now),
            deadline: (arrived_at + self.pattern.deadline).saturating_duration_since(now),
            request_bytes: 0,
            answer_bytes: 1_500.0,
            expected_run_time: self.pattern.work,
        };
        let policy = PolicySpec::default_for("portal".parse().expect("valid name"));
        let request = PlacementRequest {
            route: &route(),
            requirements: &requirements,
            tried: &excluded,
            own_node: None,
        };
        let choice = choose_cheapest_target(
            &location,
            &self.targets,
            &policy,
            &mut self.loads[ingress],
            request,
            now,
            &mut self.rng,
        );
        let Some(target) = choice.chosen else {
            self.result.refused += 1;
            return;
        };
        self.loads[ingress].start_attempt(&self.targets[target], now);
        let simulated = &mut self.calls[call];
        simulated.target = target;
        let may_be_sent_on =
            !self.pattern.has_refusal_budget || self.loads[ingress].refusals.has_attempt();
        simulated.max_wait = if self.pattern.has_wait_limit && !must_wait && may_be_sent_on {
            choice.max_wait
        } else {
            Duration::MAX
        };
        self.schedule(self.trip(call), Step::ReachGate(call));
    }

    /// Passes on what the node beside a target knows of other targets. Each node is an
    /// ingress as well; those beside targets are the first ones of their data centre.
    fn pass_on_news(&mut self, call: usize, target: usize) {
        let per_data_centre = self.pattern.speeds.len();
        let (data_centre, place) = (target / per_data_centre, target % per_data_centre);
        let beside = data_centre * self.pattern.ingresses_per_data_centre
            + place % self.pattern.ingresses_per_data_centre;
        let now = self.clock.now();
        let node = self.targets[target].node;
        let count = self.pattern.news_per_answer;
        let news = self.loads[beside].newest_news(node, count, now);
        let ingress = self.calls[call].ingress;
        for item in news {
            self.loads[ingress].record_news(item, now);
        }
    }

    fn has_free_slot(&self) -> bool {
        self.gates
            .iter()
            .any(|gate| gate.load().busy < usize::from(SLOTS))
    }

    /// Returns the one-way trip time to the target of a call.
    fn trip(&self, call: usize) -> Duration {
        let simulated = &self.calls[call];
        let from = simulated.ingress / self.pattern.ingresses_per_data_centre;
        let to = simulated.target / self.pattern.speeds.len();
        if from == to {
            Duration::from_micros(250)
        } else {
            Duration::from_millis(8)
        }
    }

    fn reach_gate(&mut self, call: usize) {
        let simulated = &self.calls[call];
        let request = SlotRequest {
            rank: QueueRank::new(CallClass::Interactive, CallPriority(0)),
            soft_deadline: simulated.arrived_at + self.pattern.target_latency,
            deadline: simulated.arrived_at + self.pattern.deadline,
            expected_run_time: self.pattern.work,
            max_wait: simulated.max_wait,
        };
        let gate = self.gates[simulated.target].clone();
        let must_wait = gate.load().busy >= usize::from(SLOTS);
        if must_wait && self.has_free_slot() {
            self.result.waited_beside_free += 1;
        }
        let slot = Box::pin(async move { gate.acquire_for(request).await });
        self.waiting.push((call, slot));
    }

    /// Starts the calls that got a slot, and schedules the return of those that
    /// were refused.
    fn poll_waiting(&mut self) {
        let mut context = Context::from_waker(Waker::noop());
        let mut index = 0;
        while index < self.waiting.len() {
            let (call, slot) = &mut self.waiting[index];
            let call = *call;
            let Poll::Ready(outcome) = slot.as_mut().poll(&mut context) else {
                index += 1;
                continue;
            };
            drop(self.waiting.swap_remove(index));
            match outcome {
                Ok(permit) => {
                    self.result.runs += 1;
                    let run = self.run_time(call);
                    self.schedule(run, Step::FinishRun(call, permit, run));
                }
                Err(reason) => {
                    if self.has_free_slot() {
                        self.result.refused_beside_free += 1;
                    }
                    let target = self.calls[call].target;
                    let load = self.gates[target].load();
                    let busy = (load.busy + load.waiting) as u32;
                    let now = self.clock.now();
                    let node = self.targets[target].node;
                    self.loads[self.calls[call].ingress].record_load(node, busy, now);
                    self.pass_on_news(call, target);
                    self.schedule(self.trip(call), Step::ReceiveRefusal(call, reason));
                }
            }
        }
    }

    fn run_time(&mut self, call: usize) -> Duration {
        let target = self.calls[call].target;
        let speed = self.pattern.speeds[target % self.pattern.speeds.len()];
        let spread = 0.4 + 1.2 * self.rng.random::<f64>();
        let episode = (self.clock.now() - self.start).as_millis() / 600;
        let mut episode_rng = StdRng::seed_from_u64(episode as u64 * 1_009 + target as u64);
        let slowness = if episode_rng.random_bool(self.pattern.slow_share) {
            2.5
        } else {
            1.0
        };
        let run = self.pattern.work.mul_f64(spread * slowness / speed);
        if self.result.busy_secs.is_empty() {
            self.result.busy_secs = vec![0.0; self.targets.len()];
        }
        self.result.busy_secs[target] += run.as_secs_f64();
        run
    }

    fn finish_attempt(&mut self, call: usize) {
        let simulated = &self.calls[call];
        self.loads[simulated.ingress].finish_attempt(self.targets[simulated.target].node);
    }

    fn receive_answer(&mut self, call: usize) {
        self.finish_attempt(call);
        let simulated = &self.calls[call];
        let policy = PolicySpec::default_for("portal".parse().expect("valid name"));
        let now = self.clock.now();
        let elapsed = now - simulated.arrived_at;
        let target = self.targets[simulated.target].clone();
        self.loads[simulated.ingress].record_result(
            &target,
            AttemptResult::Answered,
            elapsed,
            &policy,
            self.targets.len(),
            now,
        );
        if elapsed <= self.pattern.target_latency {
            self.result.in_time += 1;
        } else if elapsed <= self.pattern.deadline {
            self.result.late += 1;
        }
    }

    fn receive_refusal(&mut self, call: usize, reason: RefusalReason) {
        self.finish_attempt(call);
        let simulated = &mut self.calls[call];
        let node = self.targets[simulated.target].node;
        match reason {
            RefusalReason::Crowded => simulated.crowded.push(node),
            _ => simulated.tried.push(node),
        }
        let ingress = simulated.ingress;
        let refusals = &mut self.loads[ingress].refusals;
        let may_try_again = match reason {
            RefusalReason::Crowded => {
                refusals.take_owed();
                true
            }
            _ => !self.pattern.has_refusal_budget || refusals.try_take(),
        };
        self.result.refused_attempts += 1;
        let is_past_deadline = self.clock.now() >= simulated.arrived_at + self.pattern.deadline;
        if !may_try_again
            || is_past_deadline
            || simulated.tried.len() >= MAX_REFUSALS
            || reason == RefusalReason::Deadline
        {
            self.result.refused += 1;
            return;
        }
        self.choose_target(call);
    }
}

fn route() -> RouteName {
    "pages".parse().expect("valid name")
}

/// Returns the mean value and the refused attempts for each run, over three seeds.
fn overload_with_refusal_budget(load: f64, has_refusal_budget: bool) -> (f64, f64) {
    let seeds = 1..=3;
    let count = seeds.clone().count() as f64;
    let mut sums = (0.0, 0.0);
    for seed in seeds {
        let pattern = LoadPattern {
            has_refusal_budget,
            ..LoadPattern::many_ingresses(seed, load)
        };
        let result = LoadSimulation::new(pattern).run();
        println!(
            "load {load}, with refusal budget {has_refusal_budget}: {result:?} {:.3}",
            result.mean_value()
        );
        sums.0 += result.mean_value();
        sums.1 += result.refused_attempts_per_run();
    }
    (sums.0 / count, sums.1 / count)
}

/// Change of the mean value that is within noise.
const NOISE: f64 = 0.03;

#[yare::parameterized(
    usual_load = { 0.75, 2.0 },
    full_load = { 0.95, 2.0 },
    overload = { 1.2, 2.0 },
    // Half of the calls can't run, and each call makes two attempts at most: three
    // refused attempts for each run, and a few that were saved up.
    twice_the_capacity = { 2.0, 3.5 },
)]
fn refused_attempts_are_limited_without_loss_of_value(load: f64, max_per_run: f64) {
    let (value, per_run) = overload_with_refusal_budget(load, true);
    let (unlimited_value, unlimited_per_run) = overload_with_refusal_budget(load, false);
    println!(
        "load {load}: {unlimited_value:.3} -> {value:.3}, refused per run {unlimited_per_run:.2} -> {per_run:.2}"
    );
    assert!(
        per_run < max_per_run,
        "{per_run:.2} refused attempts for each run"
    );
    assert!(
        value > unlimited_value - NOISE,
        "{unlimited_value:.3} -> {value:.3}"
    );
}

fn mean_value_over_seeds(load: f64, has_wait_limit: bool) -> f64 {
    let seeds = 1..=3;
    let count = seeds.clone().count() as f64;
    let values = seeds.map(|seed| {
        let pattern = LoadPattern {
            has_wait_limit,
            ..LoadPattern::many_ingresses(seed, load)
        };
        let result = LoadSimulation::new(pattern).run();
        println!(
            "load {load}, with wait limit {has_wait_limit}: {result:?} {:.3}",
            result.mean_value()
        );
        result.mean_value()
    });
    values.sum::<f64>() / count
}

#[yare::parameterized(
    usual_load = { 0.75 },
    full_load = { 0.95 },
    overload = { 1.2 },
)]
fn a_wait_limit_raises_the_mean_value_when_each_ingress_makes_few_calls(load: f64) {
    let (with, without) = (
        mean_value_over_seeds(load, true),
        mean_value_over_seeds(load, false),
    );
    println!("load {load}: {without:.3} -> {with:.3}");
    assert!(with > without, "{without:.3} -> {with:.3}");
}

/// Returns the mean value of a whole mesh, with and without shared news, and the refused
/// attempts for each run.
fn value_with_news(nodes: usize, load: f64, news_per_answer: usize) -> (f64, f64) {
    let pattern = LoadPattern::whole_mesh(1, nodes, load, news_per_answer);
    let result = LoadSimulation::new(pattern).run();
    println!(
        "{nodes} nodes, load {load}, news {news_per_answer}: value {:.3}, late {}, refused {}, \
         attempts refused {} ({} beside a free slot), waited beside a free slot {}, busiest {:.2}",
        result.mean_value(),
        result.late,
        result.refused,
        result.refused_attempts,
        result.refused_beside_free,
        result.waited_beside_free,
        result.busiest_to_mean(),
    );
    (result.mean_value(), result.refused_attempts_per_run())
}

/// Many nodes that choose at once by old news send each other's calls to and fro. With news
/// that rides on answers, and waits that account for its age, fewer attempts are refused and
/// no value is lost.
#[yare::parameterized(
    usual_load = { 84, 0.75 },
    full_load = { 84, 0.9 },
    many_nodes = { 168, 0.85 },
)]
fn shared_news_saves_refused_attempts(nodes: usize, load: f64) {
    let (value, per_run) = value_with_news(nodes, load, 4);
    let (value_without, per_run_without) = value_with_news(nodes, load, 0);
    assert!(
        per_run < 0.9 * per_run_without,
        "{per_run_without:.2} -> {per_run:.2} refused attempts for each run"
    );
    assert!(
        value > value_without - NOISE,
        "{value_without:.3} -> {value:.3}"
    );
}
