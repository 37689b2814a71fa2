//! The place of a call whose route says when its answer is worth most.
//!
//! The load pattern: targets differ in speed by a factor of three, links
//! between data centres are billed by volume, and the load of one data centre
//! rises above what its own targets can take in time. Going to the least loaded
//! target everywhere makes most bytes cross a billed link; staying near until
//! the near targets are full makes calls late. So each target is given a cost:
//! what its distance costs for an answer of the usual size, and the part of the
//! call's value that is likely lost by being late there. The cheapest wins.
//!
//! The trade-off against two random choices: every node looks at all targets of
//! a service, and nodes with the same picture would all choose the same one.
//! Their distances differ, so their costs do, and a little noise does the rest.
//! What a node believes of a target is as old as its last answer from there, so
//! a call also carries how long a wait is better than the next best target, and
//! a gate whose queue is longer sends it on; see
//! [docs/decisions/0012](../../docs/decisions/0012-sent-on.md).

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use crate::config::resource::PolicySpec;
use crate::config::view::TargetEntry;
use crate::ids::{NodeAddress, RouteName};
use crate::route::choose::{
    CandidateVerdict, NodeLocation, TargetCandidate, TargetChoice, assess_candidates,
    slow_start_factor,
};
use crate::route::load::ServiceLoad;

/// Share of a call's value that a kilobyte costs by distance: none within the
/// data centre, little within the region, most between regions. The order of
/// size is that of links which are billed by volume.
const PRICE_PER_KB: [f64; 3] = [0.0, 0.01, 0.04];

/// Bytes of heads that a call moves besides the answer's body.
const HEAD_BYTES: f64 = 1_000.0;

/// Round trips by distance, with the work of two more nodes.
const ROUND_TRIP: [Duration; 3] = [
    Duration::from_micros(500),
    Duration::from_millis(4),
    Duration::from_millis(18),
];

/// Share of a call's value that a late answer still has.
const LATE_VALUE: f64 = 0.3;

/// Spread of run times around the expected one, as a share of it.
const RUN_SPREAD: f64 = 0.35;

/// How much longer a run takes on a target with all slots in use.
const CROWD_FACTOR: f64 = 0.4;

/// Share of the value that a target with all slots in use costs beyond its
/// time: it has no room for what other nodes send in the same moment, of which
/// this one hears only later.
const CROWD_COST: f64 = 0.08;

/// Share of the value that is put at risk by a target that always fails: one
/// more attempt is likely, and its time.
const FAULT_COST: f64 = 0.6;

/// Cost of a target whose node is suspected to be dead.
const SUSPECT_COST: f64 = 0.5;

/// Share of the value that the whole target latency costs: of two targets that
/// are both in time the faster one wins.
const TIME_COST: f64 = 0.03;

/// Halvings by which the longest useful wait is found.
const PATIENCE_STEPS: u32 = 6;

/// Largest random cost: what parts equals, and less than what half a target's
/// slots cost, or calls would leave a near target with room now and then.
const NOISE: f64 = 0.005;

/// What a call asks of its place.
#[derive(Debug, Clone, Copy)]
pub struct CallRequirements {
    /// Time left within which an answer is worth most.
    pub aim: Duration,
    /// Time left until no answer is worth anything.
    pub deadline: Duration,
    /// Expected size of the answer's body in bytes.
    pub answer_bytes: f64,
    /// Expected time of a run on a target that reported none.
    pub run: Duration,
}

/// One attempt that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Its route.
    pub route: &'a RouteName,
    /// What the call asks.
    pub demand: &'a CallRequirements,
    /// Nodes that had an attempt already.
    pub tried: &'a [NodeAddress],
}

/// Chooses the target with the least cost.
pub fn choose_cheapest_target<R>(
    place: &NodeLocation,
    targets: &[TargetEntry],
    policy: &PolicySpec,
    load: &mut ServiceLoad,
    call: PlacementRequest<'_>,
    now: Instant,
    rng: &mut R,
) -> TargetChoice
where
    R: Rng,
{
    let mut candidates = assess_candidates(place, targets, load, call.tried, now);
    let mut prices = Vec::with_capacity(targets.len());
    for (target, candidate) in targets.iter().zip(&candidates) {
        let seen = load.get(target);
        let mut extra = seen.failure_rate(now) * FAULT_COST;
        extra += cold_cost(target, policy, now);
        if target.is_suspect {
            extra += SUSPECT_COST;
        }
        prices.push(PlacePrice {
            candidate: candidate.clone(),
            run: seen
                .mean_run_time(call.route, now)
                .unwrap_or(call.demand.run),
            extra: extra + rng.random_range(0.0..NOISE),
        });
    }
    let Some(chosen) = cheapest(&prices, call.demand) else {
        return TargetChoice {
            chosen: None,
            candidates,
            patience: Duration::MAX,
            is_last_resort: false,
        };
    };
    let is_last_resort = candidates[chosen].verdict != CandidateVerdict::Eligible;
    candidates[chosen].verdict = CandidateVerdict::Chosen;
    TargetChoice {
        chosen: Some(chosen),
        candidates,
        patience: patience_at(&prices, chosen, call.demand),
        is_last_resort,
    }
}

/// Returns the longest wait at the chosen target that is better than going to
/// the next best one, by way of this node.
fn patience_at(prices: &[PlacePrice], chosen: usize, demand: &CallRequirements) -> Duration {
    let detour = prices[chosen].round_trip();
    let next_best = prices
        .iter()
        .enumerate()
        .filter(|(index, price)| {
            *index != chosen && price.candidate.verdict == CandidateVerdict::Eligible
        })
        .map(|(_, price)| price.believed(demand, detour))
        .min_by(f64::total_cmp);
    next_best.map_or(Duration::MAX, |limit| {
        prices[chosen].longest_wait(demand, limit)
    })
}

/// What a call costs at one target, as a share of its value.
#[derive(Debug)]
struct PlacePrice {
    candidate: TargetCandidate,
    run: Duration,
    extra: f64,
}

impl PlacePrice {
    fn distance(&self) -> usize {
        usize::from(self.candidate.distance).min(PRICE_PER_KB.len() - 1)
    }

    fn round_trip(&self) -> Duration {
        ROUND_TRIP[self.distance()]
    }

    /// Returns the cost by what is believed of the target's load, when the call
    /// gets there `later`.
    fn believed(&self, demand: &CallRequirements, later: Duration) -> f64 {
        let crowd = fill(&self.candidate).powi(2) * CROWD_COST;
        self.at(demand, later + completion(&self.candidate, self.run)) + crowd
    }

    /// Returns the cost if the call waits for a slot for `wait`: no slot is free
    /// then.
    fn after_wait(&self, demand: &CallRequirements, wait: Duration) -> f64 {
        let run = self.run.mul_f64(1.0 + CROWD_FACTOR);
        self.at(demand, wait + run) + CROWD_COST
    }

    /// Returns the cost if the target takes `time`.
    fn at(&self, demand: &CallRequirements, time: Duration) -> f64 {
        let bytes = demand.answer_bytes + HEAD_BYTES;
        let transfer = PRICE_PER_KB[self.distance()] * bytes / 1024.0;
        let time =
            time + self.round_trip() + self.candidate.link.transfer_time(demand.answer_bytes);
        let late = chance_over(time, demand.aim) * (1.0 - LATE_VALUE);
        let lost = chance_over(time, demand.deadline) * LATE_VALUE;
        let aim = demand.aim.as_secs_f64().max(0.001);
        let slow = (time.as_secs_f64() / aim).min(1.0) * TIME_COST;
        transfer + late + lost + slow + self.extra
    }

    /// Returns the longest wait here that costs no more than `limit`, to within
    /// a step of 1 in 64 of the call's time.
    fn longest_wait(&self, demand: &CallRequirements, limit: f64) -> Duration {
        let (mut low, mut high) = (Duration::ZERO, demand.deadline);
        for _ in 0..PATIENCE_STEPS {
            let middle = (low + high) / 2;
            if self.after_wait(demand, middle) <= limit {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }
}

/// Returns the share of a target's slots that is in use with one more call.
fn fill(candidate: &TargetCandidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    ((f64::from(candidate.busy) + 1.0) / slots).min(1.0)
}

/// Returns the expected time until a call at a target ends.
fn completion(candidate: &TargetCandidate, run: Duration) -> Duration {
    let slots = f64::from(candidate.slots.max(1));
    let busy = f64::from(candidate.busy);
    let fill = fill(candidate);
    let waiting = (busy + 1.0 - slots).max(0.0);
    run.mul_f64(1.0 + CROWD_FACTOR * fill * fill + waiting / slots)
}

/// Returns the chance that a time which is expected to be `time` is more than
/// `limit`, from 0 to 1.
fn chance_over(time: Duration, limit: Duration) -> f64 {
    let time = time.as_secs_f64();
    let spread = (time * RUN_SPREAD).max(0.001);
    let distance = (time - limit.as_secs_f64()) / spread;
    1.0 / (1.0 + (-2.0 * distance).exp())
}

/// Returns the cost of a target that has just come up and runs slowly.
fn cold_cost(target: &TargetEntry, policy: &PolicySpec, now: Instant) -> f64 {
    let warm = slow_start_factor(now.saturating_duration_since(target.since), policy);
    (1.0 - warm) * TIME_COST
}

/// Returns the cheapest target that can be chosen; full ones and then ejected
/// ones where there is no other, since an attempt that may be refused is better
/// than none.
fn cheapest(prices: &[PlacePrice], demand: &CallRequirements) -> Option<usize> {
    let costs: Vec<f64> = prices
        .iter()
        .map(|price| price.believed(demand, Duration::ZERO))
        .collect();
    for verdict in [
        CandidateVerdict::Eligible,
        CandidateVerdict::Full,
        CandidateVerdict::Ejected,
    ] {
        let found = (0..prices.len())
            .filter(|index| prices[*index].candidate.verdict == verdict)
            .min_by(|one, other| costs[*one].total_cmp(&costs[*other]));
        if found.is_some() {
            return found;
        }
    }
    None
}
