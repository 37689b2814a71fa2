//! Cost-based target selection, for routes that set a target latency.
//!
//! It is designed for a load pattern in which targets differ in speed by a factor
//! of three, links between data centres are billed by volume, and the load of
//! one data centre rises above what its own targets can serve in time. Choosing
//! the least loaded target everywhere would send most bytes over a billed link;
//! staying local until the local targets are full would make calls late. So
//! each target is given a cost: what its distance costs for an answer of the
//! expected size, plus the part of the call's value that is likely lost by
//! being late there. The cheapest target is chosen.
//!
//! The trade-off compared with two random choices is that every node looks at
//! all targets of a service, and nodes with the same information would all
//! choose the same target. Their distances differ, so their costs do too, and a
//! little random noise separates the rest. What a node knows about a target is
//! as old as the last answer from there. A call therefore also carries the
//! longest wait that is still better than the next best target, and a gate with
//! a longer queue sends the call back to be placed elsewhere; see
//! [docs/decisions/0012](../../docs/decisions/0012-sent-on.md).

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use crate::config::resource::PolicySpec;
use crate::config::view::TargetEntry;
use crate::gate::pace::MIN_PACED_BYTES;
use crate::gate::transfer::MIN_ADMITTED_BODY_BYTES;
use crate::ids::{NodeAddress, RouteName};
use crate::route::choose::{
    CandidateVerdict, NodeLocation, TargetCandidate, TargetChoice, assess_candidates,
    slow_start_factor,
};
use crate::route::load::ServiceLoad;

/// Share of a call's value that a kilobyte costs, by distance: nothing within
/// the data centre, little within the region, most between regions. The order
/// of magnitude is that of links that are billed by volume.
const TRANSFER_COST_PER_KB: [f64; 3] = [0.0, 0.01, 0.04];

/// Bytes of request and answer heads that a call transfers in addition to its
/// bodies.
const HEAD_BYTES: f64 = 1_000.0;

/// Round-trip time by distance, including the processing by two more nodes.
const ROUND_TRIP: [Duration; 3] = [
    Duration::from_micros(500),
    Duration::from_millis(4),
    Duration::from_millis(18),
];

/// Share of its value that a call keeps if its answer is late.
const LATE_ANSWER_VALUE: f64 = 0.3;

/// Spread of run times around the expected one, as a share of it.
const RUN_SPREAD: f64 = 0.35;

/// Share by which a run takes longer on a target with all slots in use.
const FULL_TARGET_SLOWDOWN: f64 = 0.4;

/// Share of a call's value that a target with all slots in use costs in
/// addition to its time: it has no room for the calls that other nodes send at
/// the same moment, which this node only learns about later.
const FULL_TARGET_COST: f64 = 0.08;

/// Share of a call's value that is at risk at a target that always fails:
/// another attempt is likely, and takes time.
const FAILURE_COST: f64 = 0.6;

/// Cost of a target whose node is suspected to be dead, as a share of the
/// call's value.
const SUSPECT_COST: f64 = 0.5;

/// Share of a call's value that taking the whole target latency costs: of two
/// targets that are both in time, the faster one is chosen.
const LATENCY_COST: f64 = 0.03;

/// Number of bisection steps to find the longest useful wait.
const WAIT_BISECTION_STEPS: u32 = 6;

/// Maximum random cost, which breaks ties between equal targets. It is less
/// than the cost of half of a target's slots being in use; otherwise, calls
/// would now and then leave a local target that has free slots.
const MAX_NOISE_COST: f64 = 0.005;

/// What a call requires of the target that serves it.
#[derive(Debug, Clone, Copy)]
pub struct CallRequirements {
    /// Time left until the soft deadline, up to which the answer has its full
    /// value.
    pub soft_deadline: Duration,
    /// Time left until the deadline, after which an answer is worthless.
    pub deadline: Duration,
    /// Size of the request's body in bytes.
    pub request_bytes: u64,
    /// Expected size of the answer's body in bytes.
    pub answer_bytes: f64,
    /// Expected run time on a target that reported none.
    pub expected_run_time: Duration,
}

/// An attempt for which a target is to be chosen.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The route of the call.
    pub route: &'a RouteName,
    /// The requirements of the call.
    pub requirements: &'a CallRequirements,
    /// Nodes that earlier attempts of the call went to.
    pub tried: &'a [NodeAddress],
    /// The node that chooses, whose own target needs no link.
    pub own_node: Option<NodeAddress>,
}

/// Chooses the target with the least expected cost.
pub fn choose_cheapest_target<R>(
    location: &NodeLocation,
    targets: &[TargetEntry],
    policy: &PolicySpec,
    load: &mut ServiceLoad,
    request: PlacementRequest<'_>,
    now: Instant,
    rng: &mut R,
) -> TargetChoice
where
    R: Rng,
{
    let mut candidates = assess_candidates(location, targets, load, request.tried, now);
    let mut target_costs = Vec::with_capacity(targets.len());
    for (target, candidate) in targets.iter().zip(&candidates) {
        let target_load = load.get(target);
        let mut fixed_cost = target_load.failure_rate(now) * FAILURE_COST;
        fixed_cost += slow_start_cost(target, policy, now);
        if target.is_suspect {
            fixed_cost += SUSPECT_COST;
        }
        target_costs.push(TargetCost {
            transfer_time: if request.own_node == Some(target.node) {
                Duration::ZERO
            } else {
                let mut time =
                    transfer_time(target, target_load.link_wait(now), request.requirements);
                if request.requirements.answer_bytes >= MIN_PACED_BYTES as f64 {
                    time += target_load.answer_wait(now);
                }
                time
            },
            candidate: candidate.clone(),
            limit_wait: target_load.limit_wait(now),
            run_time: target_load
                .mean_run_time(request.route, now)
                .unwrap_or(request.requirements.expected_run_time),
            fixed_cost: fixed_cost + rng.random_range(0.0..MAX_NOISE_COST),
        });
    }
    let Some(chosen) = cheapest(&target_costs, request.requirements) else {
        return TargetChoice {
            chosen: None,
            candidates,
            max_wait: Duration::MAX,
            is_last_resort: false,
        };
    };
    let is_last_resort = candidates[chosen].verdict != CandidateVerdict::Eligible;
    candidates[chosen].verdict = CandidateVerdict::Chosen;
    TargetChoice {
        chosen: Some(chosen),
        candidates,
        max_wait: max_useful_wait(&target_costs, chosen, request.requirements),
        is_last_resort,
    }
}

/// Returns the longest wait at the chosen target that is still better than the
/// next best target, which the call would reach by way of this node.
fn max_useful_wait(
    target_costs: &[TargetCost],
    chosen: usize,
    requirements: &CallRequirements,
) -> Duration {
    let detour = target_costs[chosen].round_trip();
    let next_best = target_costs
        .iter()
        .enumerate()
        .filter(|(index, target_cost)| {
            *index != chosen && target_cost.candidate.verdict == CandidateVerdict::Eligible
        })
        .map(|(_, target_cost)| {
            let delay = detour + target_cost.uncertain_wait();
            target_cost.expected_cost(requirements, delay)
        })
        .min_by(f64::total_cmp);
    next_best.map_or(Duration::MAX, |limit| {
        target_costs[chosen].longest_wait_within(requirements, limit)
    })
}

/// The inputs to the cost of a call at one target. Costs are shares of the
/// call's value.
#[derive(Debug)]
struct TargetCost {
    candidate: TargetCandidate,
    run_time: Duration,
    /// Time that the bodies of the request and the answer take on the link of the
    /// target's VM.
    transfer_time: Duration,
    /// Time until the limit on the rate of the target's calls allows another one.
    limit_wait: Duration,
    fixed_cost: f64,
}

impl TargetCost {
    fn distance(&self) -> usize {
        usize::from(self.candidate.distance).min(TRANSFER_COST_PER_KB.len() - 1)
    }

    fn round_trip(&self) -> Duration {
        ROUND_TRIP[self.distance()]
    }

    /// Returns the expected cost at the estimated load of the target, if the
    /// call gets there after `delay`.
    fn expected_cost(&self, requirements: &CallRequirements, delay: Duration) -> f64 {
        let full_cost = fill(&self.candidate).powi(2) * FULL_TARGET_COST;
        self.cost_for_time(requirements, delay + self.completion_time()) + full_cost
    }

    /// Returns the expected time until the call ends at the estimated load. A call waits
    /// for its slot and for the limit at the same time.
    fn completion_time(&self) -> Duration {
        completion_time(&self.candidate, self.run_time).max(self.limit_wait + self.run_time)
    }

    /// Returns the wait that has to be expected because the report of the target's load no
    /// longer holds.
    fn uncertain_wait(&self) -> Duration {
        let believed = &self.candidate.believed;
        let share = (1.0 - believed.weight) * believed.usual_wait(self.candidate.slots);
        self.run_time.mul_f64(share)
    }

    /// Returns the cost if the call waits for a slot for `wait`, which means
    /// that all slots are in use when it starts.
    fn cost_after_wait(&self, requirements: &CallRequirements, wait: Duration) -> f64 {
        let run_time = self.run_time.mul_f64(1.0 + FULL_TARGET_SLOWDOWN);
        self.cost_for_time(requirements, wait + run_time) + FULL_TARGET_COST
    }

    /// Returns the cost if the target takes `time` until the call ends. Bytes are
    /// billed in both directions.
    fn cost_for_time(&self, requirements: &CallRequirements, time: Duration) -> f64 {
        let bytes = requirements.request_bytes as f64 + requirements.answer_bytes + HEAD_BYTES;
        let transfer_cost = TRANSFER_COST_PER_KB[self.distance()] * bytes / 1024.0;
        let time = time + self.round_trip() + self.transfer_time;
        let late_cost =
            probability_over(time, requirements.soft_deadline) * (1.0 - LATE_ANSWER_VALUE);
        let missed_cost = probability_over(time, requirements.deadline) * LATE_ANSWER_VALUE;
        let soft_deadline_secs = requirements.soft_deadline.as_secs_f64().max(0.001);
        let latency_cost = (time.as_secs_f64() / soft_deadline_secs).min(1.0) * LATENCY_COST;
        transfer_cost + late_cost + missed_cost + latency_cost + self.fixed_cost
    }

    /// Returns the longest wait at this target that costs no more than `limit`,
    /// to within 1/64 of the time left until the deadline.
    fn longest_wait_within(&self, requirements: &CallRequirements, limit: f64) -> Duration {
        let (mut low, mut high) = (Duration::ZERO, requirements.deadline);
        for _ in 0..WAIT_BISECTION_STEPS {
            let middle = (low + high) / 2;
            if self.cost_after_wait(requirements, middle) <= limit {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }
}

/// Returns the time that the bodies of a call take on the link of a target's VM. A
/// large request body first waits for those that the gate receives before it.
fn transfer_time(
    target: &TargetEntry,
    link_wait: Duration,
    requirements: &CallRequirements,
) -> Duration {
    let bodies = requirements.request_bytes as f64 + requirements.answer_bytes;
    let transfer_time = target.link.transfer_time(bodies);
    if requirements.request_bytes < MIN_ADMITTED_BODY_BYTES {
        return transfer_time;
    }
    link_wait + transfer_time
}

/// Returns the share of a target's slots that is in use with one more call.
fn fill(candidate: &TargetCandidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    ((f64::from(candidate.busy) + 1.0) / slots).min(1.0)
}

/// Returns the expected time until a call at a target ends.
fn completion_time(candidate: &TargetCandidate, run_time: Duration) -> Duration {
    let slots = f64::from(candidate.slots.max(1));
    let busy = f64::from(candidate.busy);
    let fill = fill(candidate);
    let queued = (busy + 1.0 - slots).max(0.0);
    run_time.mul_f64(1.0 + FULL_TARGET_SLOWDOWN * fill * fill + queued / slots)
}

/// Returns the probability, from 0 to 1, that a duration with the expected
/// value `time` exceeds `limit`.
fn probability_over(time: Duration, limit: Duration) -> f64 {
    let time = time.as_secs_f64();
    let spread = (time * RUN_SPREAD).max(0.001);
    let distance = (time - limit.as_secs_f64()) / spread;
    1.0 / (1.0 + (-2.0 * distance).exp())
}

/// Returns the cost of a target that has just come up and still runs slowly.
fn slow_start_cost(target: &TargetEntry, policy: &PolicySpec, now: Instant) -> f64 {
    let factor = slow_start_factor(now.saturating_duration_since(target.serving_since), policy);
    (1.0 - factor) * LATENCY_COST
}

/// Returns the index of the cheapest eligible target. If none is eligible, full
/// ones and then ejected ones are considered, because an attempt that may be
/// refused is better than none.
fn cheapest(target_costs: &[TargetCost], requirements: &CallRequirements) -> Option<usize> {
    let costs: Vec<f64> = target_costs
        .iter()
        .map(|target_cost| target_cost.expected_cost(requirements, Duration::ZERO))
        .collect();
    for verdict in [
        CandidateVerdict::Eligible,
        CandidateVerdict::Full,
        CandidateVerdict::Ejected,
    ] {
        let best = (0..target_costs.len())
            .filter(|index| target_costs[*index].candidate.verdict == verdict)
            .min_by(|a, b| costs[*a].total_cmp(&costs[*b]));
        if best.is_some() {
            return best;
        }
    }
    None
}
