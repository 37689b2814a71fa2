//! The choice among the targets of a service.
//!
//! Near targets go first, because links between regions are billed and slow.
//! Among them, two random ones are compared and the less loaded one wins;
//! looking for the least loaded of all would send every node's next call to
//! the same target (Mitzenmacher, "The Power of Two Choices in Randomized Load
//! Balancing", 2001). Calls go further away only when the nearer targets are
//! loaded, with hysteresis, so that the choice does not switch on every call.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use crate::config::resource::PolicySpec;
use crate::config::view::TargetEntry;
use crate::ids::{DataCentre, LinkRate, NodeAddress, RegionName};
use crate::route::load::ServiceLoad;

/// Distances: own data centre, own region, other regions.
pub const DISTANCE_COUNT: u8 = 3;

/// Latency that is added to the mean, so that a target without samples is not
/// taken for an infinitely fast one, in seconds.
const LATENCY_BASE: f64 = 0.001;

/// Factor on the score of a target whose node is suspected to be dead.
const SUSPECT_FACTOR: f64 = 8.0;

/// Least share of a target that has just come up.
const LEAST_WARM_SHARE: f64 = 0.1;

/// Where a node stands.
#[derive(Debug, Clone)]
pub struct NodeLocation {
    /// Region.
    pub region: RegionName,
    /// Data centre.
    pub data_centre: DataCentre,
}

/// Why a target was not chosen, or that it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum CandidateVerdict {
    /// It was chosen.
    Chosen,
    /// It could have been chosen.
    Eligible,
    /// An earlier attempt of this call went there.
    Tried,
    /// It failed too often and is ejected for a time.
    Ejected,
    /// It said that it is full.
    Full,
    /// Nearer targets have room.
    TooFar,
}

/// A target with what became of it in a choice.
#[derive(Debug, Clone, serde::Serialize)]
pub struct TargetCandidate {
    /// The node beside the target.
    pub node: NodeAddress,
    /// Data centre.
    pub data_centre: DataCentre,
    /// 0 for the own data centre, 1 for the own region, 2 beyond.
    pub distance: u8,
    /// Calls that it is believed to have.
    pub busy: u32,
    /// Calls that it runs at once.
    pub slots: u16,
    /// What the link of its VM carries.
    pub link: LinkRate,
    /// What became of it.
    pub verdict: CandidateVerdict,
}

/// The result of a choice.
#[derive(Debug, Clone)]
pub struct TargetChoice {
    /// Position of the chosen target, if any can be chosen.
    pub chosen: Option<usize>,
    /// All targets in the order given.
    pub candidates: Vec<TargetCandidate>,
    /// Longest wait for a slot of the chosen one that is better than going to
    /// another.
    pub patience: Duration,
    /// Whether only targets that are full or ejected were left.
    pub is_last_resort: bool,
}

impl NodeLocation {
    /// Returns how far away a target is.
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

/// Chooses a target for one attempt.
pub fn choose_target<R>(
    place: &NodeLocation,
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
    let mut candidates = assess_candidates(place, targets, load, tried, now);
    let reach = update_reach(&candidates, policy, load);
    let eligible = within_reach(&mut candidates, reach);
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
        patience: Duration::MAX,
        is_last_resort: false,
    }
}

/// Tells of each target whether it can be chosen.
pub(crate) fn assess_candidates(
    place: &NodeLocation,
    targets: &[TargetEntry],
    load: &mut ServiceLoad,
    tried: &[NodeAddress],
    now: Instant,
) -> Vec<TargetCandidate> {
    targets
        .iter()
        .map(|target| judge(place, target, load, tried, now))
        .collect()
}

fn judge(
    place: &NodeLocation,
    target: &TargetEntry,
    load: &mut ServiceLoad,
    tried: &[NodeAddress],
    now: Instant,
) -> TargetCandidate {
    let seen = load.get(target);
    let verdict = if tried.contains(&target.node) {
        CandidateVerdict::Tried
    } else if seen.is_ejected(now) {
        CandidateVerdict::Ejected
    } else if seen.is_full(now) {
        CandidateVerdict::Full
    } else {
        CandidateVerdict::Eligible
    };
    TargetCandidate {
        node: target.node,
        data_centre: target.data_centre.clone(),
        distance: place.distance(target),
        busy: seen.busy(now),
        slots: target.slots,
        link: target.link,
        verdict,
    }
}

/// Moves the reach out when the targets within it are loaded beyond the upper
/// bound, and back in when the nearer ones are below the lower bound.
fn update_reach(candidates: &[TargetCandidate], policy: &PolicySpec, load: &mut ServiceLoad) -> u8 {
    let reach = load.max_distance.min(DISTANCE_COUNT - 1);
    let enter = f64::from(policy.spill_enter.0) / 100.0;
    let leave = f64::from(policy.spill_leave.0) / 100.0;
    load.max_distance = if load_within(candidates, reach) >= enter {
        (reach + 1).min(DISTANCE_COUNT - 1)
    } else if reach > 0 && load_within(candidates, reach - 1) < leave {
        reach - 1
    } else {
        reach
    };
    load.max_distance
}

/// Returns the load of the targets up to a distance; none at all is full.
fn load_within(candidates: &[TargetCandidate], reach: u8) -> f64 {
    let mut busy = 0;
    let mut slots = 0;
    for candidate in candidates {
        let is_out = matches!(candidate.verdict, CandidateVerdict::Ejected);
        if candidate.distance > reach || is_out {
            continue;
        }
        let own = u32::from(candidate.slots);
        let is_full = candidate.verdict == CandidateVerdict::Full;
        busy += if is_full {
            own
        } else {
            candidate.busy.min(own)
        };
        slots += own;
    }
    if slots == 0 {
        return 1.0;
    }
    f64::from(busy) / f64::from(slots)
}

/// Returns the positions of the eligible targets within reach. When none is,
/// the reach grows for this call; when all are full or ejected, full ones and
/// then ejected ones are tried, since an attempt that may be refused is better
/// than none.
fn within_reach(candidates: &mut [TargetCandidate], reach: u8) -> Vec<usize> {
    for verdict in [
        CandidateVerdict::Eligible,
        CandidateVerdict::Full,
        CandidateVerdict::Ejected,
    ] {
        for reach in reach..DISTANCE_COUNT {
            let found: Vec<usize> = (0..candidates.len())
                .filter(|index| {
                    candidates[*index].verdict == verdict && candidates[*index].distance <= reach
                })
                .collect();
            if found.is_empty() {
                continue;
            }
            for candidate in candidates.iter_mut() {
                let is_far = candidate.distance > reach;
                if is_far && candidate.verdict == CandidateVerdict::Eligible {
                    candidate.verdict = CandidateVerdict::TooFar;
                }
            }
            return found;
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
    let first = rng.random_range(0..eligible.len());
    let step = rng.random_range(1..eligible.len());
    let second = (first + step) % eligible.len();
    let (one, other) = (eligible[first], eligible[second]);
    let one_score = score(&targets[one], policy, load, now);
    let other_score = score(&targets[other], policy, load, now);
    if one_score <= other_score { one } else { other }
}

/// Returns the expected cost of one more call; less is better.
fn score(target: &TargetEntry, policy: &PolicySpec, load: &mut ServiceLoad, now: Instant) -> f64 {
    let seen = load.get(target);
    let fill = (f64::from(seen.busy(now)) + 1.0) / f64::from(target.slots.max(1));
    let mut score = fill * (seen.latency + LATENCY_BASE);
    score /= slow_start_factor(now.duration_since(target.since), policy);
    if target.is_suspect {
        score *= SUSPECT_FACTOR;
    }
    score
}

/// Returns the share that a target of this age gets, up to 1.
pub fn slow_start_factor(age: Duration, policy: &PolicySpec) -> f64 {
    if policy.slow_start_ms == 0 {
        return 1.0;
    }
    let full = Duration::from_millis(policy.slow_start_ms);
    (age.as_secs_f64() / full.as_secs_f64()).clamp(LEAST_WARM_SHARE, 1.0)
}
