//! Locality-aware target selection by the power of two random choices.
//!
//! Nearer targets are preferred because links between regions are billed and
//! slow. Among the eligible targets, two are picked at random and the less
//! loaded one is chosen. Picking the least loaded of all would send the next
//! call of every node to the same target (Mitzenmacher, "The Power of Two
//! Choices in Randomized Load Balancing", 2001). Calls spill over to more
//! distant targets only when the nearer ones are loaded. The thresholds for
//! spilling over and returning differ, so that the selection does not oscillate
//! from call to call.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use crate::config::resource::PolicySpec;
use crate::config::view::TargetEntry;
use crate::ids::{DataCentre, LinkRate, NodeAddress, RegionName};
use crate::route::load::{BelievedLoad, ServiceLoad};

/// Number of distance levels: own data centre, own region, other regions.
pub const DISTANCE_COUNT: u8 = 3;

/// Latency in seconds that is added to the mean, so that a target without
/// samples does not score as infinitely fast.
const LATENCY_OFFSET_SECS: f64 = 0.001;

/// Factor by which the score of a target is multiplied while its node is
/// suspected to be dead.
const SUSPECT_FACTOR: f64 = 8.0;

/// Lowest slow-start factor, which a target has when it has just come up.
const MIN_SLOW_START_FACTOR: f64 = 0.1;

/// The region and data centre of a node.
#[derive(Debug, Clone)]
pub struct NodeLocation {
    /// The region of the node.
    pub region: RegionName,
    /// The data centre of the node.
    pub data_centre: DataCentre,
}

/// The result of assessing one target for one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum CandidateVerdict {
    /// The target was chosen.
    Chosen,
    /// The target was eligible, but another one was chosen.
    Eligible,
    /// An earlier attempt of this call went to the target.
    Tried,
    /// The target failed too often and is temporarily ejected.
    Ejected,
    /// The target recently refused a call because it was full.
    Full,
    /// The target is beyond the current maximum distance, and nearer targets
    /// are available.
    TooFar,
}

/// A target and how it was assessed for one attempt.
#[derive(Debug, Clone, serde::Serialize)]
pub struct TargetCandidate {
    /// The address of the node that the target is attached to.
    pub node: NodeAddress,
    /// The data centre of the target.
    pub data_centre: DataCentre,
    /// 0 for the same data centre, 1 for the same region, 2 for other regions.
    pub distance: u8,
    /// Estimated number of calls that the target is running or has queued.
    pub busy: u32,
    /// What is believed of its load, and how sure that is.
    #[serde(skip)]
    pub believed: BelievedLoad,
    /// Number of calls that the target runs concurrently.
    pub slots: u16,
    /// Bandwidth of the network link of the target's VM.
    pub link: LinkRate,
    /// The result of the assessment.
    pub verdict: CandidateVerdict,
}

/// The result of target selection for one attempt.
#[derive(Debug, Clone)]
pub struct TargetChoice {
    /// Index of the chosen target, or `None` if no target can be chosen.
    pub chosen: Option<usize>,
    /// All targets, in the order in which they were passed.
    pub candidates: Vec<TargetCandidate>,
    /// Longest wait for a slot at the chosen target that is still better than
    /// going to another target. [`choose_target`] sets no limit.
    pub max_wait: Duration,
    /// Whether the chosen target is full or ejected because no eligible one was
    /// left. [`choose_target`] does not report this.
    pub is_last_resort: bool,
}

impl NodeLocation {
    /// Returns the distance level of a target: 0 for the same data centre, 1
    /// for the same region, 2 for other regions.
    pub fn distance(&self, target: &TargetEntry) -> u8 {
        if target.data_centre == self.data_centre {
            0
        } else if target.region == self.region {
            1
        } else {
            2
        }
    }
}

/// Chooses a target for one attempt, by distance and two random choices.
///
/// The maximum distance is kept in `load` from call to call.
pub fn choose_target<R>(
    location: &NodeLocation,
    targets: &[TargetEntry],
    policy: &PolicySpec,
    load: &mut ServiceLoad,
    tried: &[NodeAddress],
    now: Instant,
    rng: &mut R,
) -> TargetChoice
where
    R: Rng,
{
    let mut candidates = assess_candidates(location, targets, load, tried, now);
    let max_distance = update_max_distance(&candidates, policy, load);
    let eligible = targets_up_to(&mut candidates, max_distance);
    let chosen = match eligible.as_slice() {
        [] => None,
        [only] => Some(*only),
        many => Some(better_of_two(many, targets, policy, load, now, rng)),
    };
    if let Some(chosen) = chosen {
        candidates[chosen].verdict = CandidateVerdict::Chosen;
    }
    TargetChoice {
        chosen,
        candidates,
        max_wait: Duration::MAX,
        is_last_resort: false,
    }
}

/// Assesses each target: whether it is eligible, or why not.
pub(crate) fn assess_candidates(
    location: &NodeLocation,
    targets: &[TargetEntry],
    load: &mut ServiceLoad,
    tried: &[NodeAddress],
    now: Instant,
) -> Vec<TargetCandidate> {
    targets
        .iter()
        .map(|target| assess(location, target, load, tried, now))
        .collect()
}

fn assess(
    location: &NodeLocation,
    target: &TargetEntry,
    load: &mut ServiceLoad,
    tried: &[NodeAddress],
    now: Instant,
) -> TargetCandidate {
    let believed = load.believed(target, now);
    let target_load = load.get(target);
    let verdict = if tried.contains(&target.node) {
        CandidateVerdict::Tried
    } else if target_load.is_ejected(now) {
        CandidateVerdict::Ejected
    } else if target_load.is_full(now) {
        CandidateVerdict::Full
    } else {
        CandidateVerdict::Eligible
    };
    TargetCandidate {
        node: target.node,
        data_centre: target.data_centre.clone(),
        distance: location.distance(target),
        busy: believed.busy,
        believed,
        slots: target.slots,
        link: target.link,
        verdict,
    }
}

/// Raises the maximum distance by one level when the targets within it are
/// loaded to the policy's upper threshold (`spill_enter`), and lowers it by one
/// when the targets up to the next nearer level are loaded below the lower
/// threshold (`spill_leave`).
fn update_max_distance(
    candidates: &[TargetCandidate],
    policy: &PolicySpec,
    load: &mut ServiceLoad,
) -> u8 {
    let max_distance = load.max_distance.min(DISTANCE_COUNT - 1);
    let spill_enter_ratio = f64::from(policy.spill_enter.0) / 100.0;
    let spill_leave_ratio = f64::from(policy.spill_leave.0) / 100.0;
    load.max_distance = if load_up_to(candidates, max_distance) >= spill_enter_ratio {
        (max_distance + 1).min(DISTANCE_COUNT - 1)
    } else if max_distance > 0 && load_up_to(candidates, max_distance - 1) < spill_leave_ratio {
        max_distance - 1
    } else {
        max_distance
    };
    load.max_distance
}

/// Returns the share of slots in use, from 0 to 1, of the targets up to a
/// distance. Ejected targets are left out. Without any target, the result is
/// 1.0, so that calls spill over.
fn load_up_to(candidates: &[TargetCandidate], max_distance: u8) -> f64 {
    let mut busy = 0;
    let mut slots = 0;
    for candidate in candidates {
        let is_ejected = matches!(candidate.verdict, CandidateVerdict::Ejected);
        if candidate.distance > max_distance || is_ejected {
            continue;
        }
        let target_slots = u32::from(candidate.slots);
        let is_full = candidate.verdict == CandidateVerdict::Full;
        busy += if is_full {
            target_slots
        } else {
            candidate.busy.min(target_slots)
        };
        slots += target_slots;
    }
    if slots == 0 {
        return 1.0;
    }
    f64::from(busy) / f64::from(slots)
}

/// Returns the indexes of the eligible targets up to `max_distance`, and marks
/// eligible targets beyond it as too far.
///
/// Without an eligible target up to that distance, the distance is extended for
/// this call. When all targets are full or ejected, full ones and then ejected
/// ones are returned, because an attempt that may be refused is better than
/// none.
fn targets_up_to(candidates: &mut [TargetCandidate], max_distance: u8) -> Vec<usize> {
    for verdict in [
        CandidateVerdict::Eligible,
        CandidateVerdict::Full,
        CandidateVerdict::Ejected,
    ] {
        for max_distance in max_distance..DISTANCE_COUNT {
            let matching: Vec<usize> = (0..candidates.len())
                .filter(|index| {
                    candidates[*index].verdict == verdict
                        && candidates[*index].distance <= max_distance
                })
                .collect();
            if matching.is_empty() {
                continue;
            }
            for candidate in candidates.iter_mut() {
                let is_too_far = candidate.distance > max_distance;
                if is_too_far && candidate.verdict == CandidateVerdict::Eligible {
                    candidate.verdict = CandidateVerdict::TooFar;
                }
            }
            return matching;
        }
    }
    Vec::new()
}

fn better_of_two<R>(
    eligible: &[usize],
    targets: &[TargetEntry],
    policy: &PolicySpec,
    load: &mut ServiceLoad,
    now: Instant,
    rng: &mut R,
) -> usize
where
    R: Rng,
{
    let first_pick = rng.random_range(0..eligible.len());
    let step = rng.random_range(1..eligible.len());
    let second_pick = (first_pick + step) % eligible.len();
    let (first, second) = (eligible[first_pick], eligible[second_pick]);
    let first_score = score(&targets[first], policy, load, now);
    let second_score = score(&targets[second], policy, load, now);
    if first_score <= second_score {
        first
    } else {
        second
    }
}

/// Returns the score of a target for one more call; lower is better.
fn score(target: &TargetEntry, policy: &PolicySpec, load: &mut ServiceLoad, now: Instant) -> f64 {
    let target_load = load.get(target);
    let fill = (f64::from(target_load.busy(now)) + 1.0) / f64::from(target.slots.max(1));
    let mut score = fill * (target_load.latency + LATENCY_OFFSET_SECS);
    score += target_load.limit_wait(now).as_secs_f64();
    score /= slow_start_factor(now.duration_since(target.serving_since), policy);
    if target.is_suspect {
        score *= SUSPECT_FACTOR;
    }
    score
}

/// Returns the share of its regular load that a target of this age gets while
/// it warms up, from 0.1 to 1.
pub fn slow_start_factor(age: Duration, policy: &PolicySpec) -> f64 {
    if policy.slow_start_ms == 0 {
        return 1.0;
    }
    let slow_start = Duration::from_millis(policy.slow_start_ms);
    (age.as_secs_f64() / slow_start.as_secs_f64()).clamp(MIN_SLOW_START_FACTOR, 1.0)
}
