//! The next phase of a roll-out, decided at the node that leads it.
//!
//! It is designed for a version that turns bad after some seconds or only under load. The
//! share rises in steps that leave time for the evidence of the step before, and the
//! targets on trial are so few that each of them gets as much as an old target gets. What
//! a bad version can have got until it is found, at any of the steps, stays within the
//! operator's share of the calls of the whole time limit:
//!
//! | part of the time limit | share | together, of all calls |
//! |---|---|---|
//! | 0 to 0.50 | 4% | 2.0% |
//! | 0.50 to 0.58 | 12% | 3.0% |
//! | 0.58 to 0.66 | 35% | 5.8% |
//! | from 0.66 on | all | 10% are reached at 0.70 |
//!
//! The trade-off: a good version takes three quarters of its time limit.

use std::time::Duration;

use crate::ids::Permille;
use crate::rollout::evidence::Finding;
use crate::rollout::state::RolloutPhase;

/// The steps of a trial: the part of the time limit from which on a step may begin, in
/// thousandths, and its share.
pub const TRIAL_STEPS: [(u64, Permille); 3] = [
    (0, Permille(40)),
    (500, Permille(120)),
    (580, Permille(350)),
];

/// Part of the time limit from which on all calls may go to the new version, in
/// thousandths.
const SHIFT_AT: u64 = 660;

/// Part of the time limit from which on a roll-out that is not closing is given up.
const GIVE_UP_AT: u64 = 930;

/// Minimum time for which all calls go to the new version before the old targets are
/// closed.
const MIN_SHIFTED_TIME: Duration = Duration::from_millis(900);

/// Minimum number of answers of the new version before its share is raised.
pub const MIN_ANSWERS: u32 = 30;

/// Minimum slots of the new version that serve, in percent of those of the old version,
/// for all calls to go there.
const MIN_SLOTS_PERCENT: u64 = 80;

/// What the leading node knows when it decides.
#[derive(Debug, Clone)]
pub struct PlanInputs {
    /// The phase that is in force.
    pub phase: RolloutPhase,
    /// The share that is in force.
    pub share: Permille,
    /// Time since the order, and the operator's limit on it.
    pub elapsed: Duration,
    /// The operator's time limit.
    pub limit: Duration,
    /// Time since the phase began.
    pub in_phase: Duration,
    /// Answers of the new version.
    pub answers: u32,
    /// A way in which the new version is worse.
    pub finding: Option<Finding>,
    /// Slots of the targets that serve, of the new version and of all others.
    pub new_slots: u64,
    /// Slots of the targets of all other versions.
    pub old_slots: u64,
    /// Whether each old target is closed and has no call left.
    pub is_old_empty: bool,
}

/// What the leading node does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanStep {
    /// Keeps the phase and the share.
    Hold,
    /// Sets the share of the trial.
    Share(Permille),
    /// Enters a phase that needs no record in the log.
    Enter(RolloutPhase),
    /// Records in the log that the roll-out is completed.
    Complete,
    /// Records in the log that the roll-out is given up.
    RollBack,
}

/// Decides the next step.
pub fn next_step(inputs: &PlanInputs) -> PlanStep {
    let permille =
        inputs.elapsed.as_millis() as u64 * 1_000 / (inputs.limit.as_millis() as u64).max(1);
    match inputs.phase {
        RolloutPhase::Completed | RolloutPhase::RolledBack => PlanStep::Hold,
        RolloutPhase::Halted => PlanStep::RollBack,
        RolloutPhase::Trial | RolloutPhase::Shifted | RolloutPhase::Closing
            if inputs.finding.is_some() =>
        {
            PlanStep::Enter(RolloutPhase::Halted)
        }
        RolloutPhase::Trial | RolloutPhase::Shifted if permille >= GIVE_UP_AT => {
            PlanStep::Enter(RolloutPhase::Halted)
        }
        RolloutPhase::Trial => next_trial_step(inputs, permille),
        RolloutPhase::Shifted if inputs.in_phase >= MIN_SHIFTED_TIME => {
            PlanStep::Enter(RolloutPhase::Closing)
        }
        RolloutPhase::Closing if inputs.is_old_empty => PlanStep::Complete,
        RolloutPhase::Shifted | RolloutPhase::Closing => PlanStep::Hold,
    }
}

fn next_trial_step(inputs: &PlanInputs, permille: u64) -> PlanStep {
    let has_evidence = inputs.answers >= MIN_ANSWERS;
    let has_room = inputs.new_slots * 100 >= inputs.old_slots * MIN_SLOTS_PERCENT;
    let (_, last_share) = TRIAL_STEPS[TRIAL_STEPS.len() - 1];
    if permille >= SHIFT_AT && has_evidence && has_room && inputs.share == last_share {
        return PlanStep::Enter(RolloutPhase::Shifted);
    }
    // One step after the other, also if this node took over late.
    let next = TRIAL_STEPS.iter().find(|(_, share)| *share > inputs.share);
    match next {
        Some((from, share)) if permille >= *from && (*from == 0 || has_evidence) => {
            PlanStep::Share(*share)
        }
        Some(_) | None => PlanStep::Hold,
    }
}

/// Returns the number of targets on trial among `targets` of the new version: so few that
/// each gets about what it would get if the version had replaced the old one.
pub fn trial_targets(share: Permille, targets: usize) -> usize {
    let count = (targets * usize::from(share.0)).div_ceil(1_000);
    count.max(MIN_TRIAL_TARGETS).min(targets)
}

/// Minimum number of targets on trial, so that one that is bad by itself is told from a
/// bad version.
const MIN_TRIAL_TARGETS: usize = 2;
