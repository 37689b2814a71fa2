//! What a node knows of the roll-outs of all services, and which targets its calls may
//! therefore go to.
//!
//! It is designed for news that arrives late, twice or in any order, and for a node that
//! was just started: of two states of one service the one of higher rank holds, a version
//! that nobody has ordered gets no call for a while, since its order may still be on the
//! way, and a node that no longer hears the leading node lets a version on trial rest.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::config::view::TargetEntry;
use crate::ids::{NodeAddress, Offset, Permille, ServiceName, TargetVersion};
use crate::member::role::choose_members;
use crate::rollout::evidence::GateCounter;
use crate::rollout::plan::trial_targets;
use crate::rollout::share::ShareCounter;
use crate::rollout::state::{RolloutOrder, RolloutPhase, RolloutRecord, RolloutState};

/// Time after the last message of the leading node during which a version on trial gets
/// calls. It is shorter than the time in which a bad version must be without calls.
pub const LEASE: Duration = Duration::from_secs(2);

/// Time for which a version that no order names gets no call. An order takes less to reach
/// all nodes that are in touch.
pub const HOLD_TIME: Duration = Duration::from_secs(3);

/// Time after a node first sees a service in which it takes what serves for settled. A
/// started node learns of all targets at about the same time.
const FIRST_SIGHT_TIME: Duration = Duration::from_secs(1);

/// What a node knows of the roll-out of one service.
#[derive(Debug, Clone)]
pub struct ServiceRollout {
    /// The state of highest rank that this node has heard of.
    pub state: RolloutState,
    /// When the leading node was last heard of.
    pub heard_at: Instant,
    /// When the phase began, as far as this node knows.
    pub phase_since: Instant,
    /// When the operator's time limit ends.
    pub deadline: Instant,
    /// Calls of this node.
    pub counter: ShareCounter,
    /// Runs at the gate of this node.
    pub gate: GateCounter,
}

impl ServiceRollout {
    fn new(state: RolloutState, now: Instant) -> Self {
        Self {
            heard_at: now,
            phase_since: now,
            deadline: now + Duration::from_millis(state.remaining_ms),
            counter: ShareCounter::new(state.share),
            gate: GateCounter::default(),
            state,
        }
    }

    /// Returns the time since the order.
    pub fn elapsed(&self, now: Instant) -> Duration {
        let limit = Duration::from_millis(self.state.order.duration_ms);
        let remaining = self.deadline.saturating_duration_since(now);
        limit.saturating_sub(remaining) + now.saturating_duration_since(self.deadline)
    }

    fn is_in_touch(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) < LEASE
    }
}

/// The versions of a service that this node has seen serving.
#[derive(Debug, Clone, Default)]
struct SeenVersions {
    first_seen: BTreeMap<TargetVersion, Instant>,
    /// Versions that served before any order named them.
    settled: BTreeSet<TargetVersion>,
    /// Versions whose order was replaced by another one before they had all calls.
    given_up: BTreeSet<TargetVersion>,
    since: Option<Instant>,
}

/// What a node knows of all roll-outs.
#[derive(Debug, Clone, Default)]
pub struct RolloutBoard {
    /// Differs from node to node.
    own_seed: u64,
    rollouts: BTreeMap<ServiceName, ServiceRollout>,
    versions: BTreeMap<ServiceName, SeenVersions>,
}

impl RolloutBoard {
    /// Returns a board without roll-outs. `own_seed` differs from node to node, so that
    /// they don't all try a version at the same moment.
    pub fn new(own_seed: u64) -> Self {
        Self {
            own_seed,
            ..Self::default()
        }
    }

    /// Merges what another node tells. Returns `true` if it was new.
    pub fn merge(&mut self, state: RolloutState, now: Instant) -> bool {
        let service = state.order.service.clone();
        let known = self.rollouts.get_mut(&service);
        match known {
            Some(known) if known.state.rank() >= state.rank() => false,
            Some(known) if known.state.order.offset == state.order.offset => {
                if known.state.phase != state.phase {
                    known.phase_since = now;
                }
                known.heard_at = now;
                known
                    .counter
                    .set_share(state.share, head_start(self.own_seed, state.share));
                known.state = state;
                true
            }
            known => {
                let replaced = known
                    .filter(|known| known.state.phase != RolloutPhase::Completed)
                    .map(|known| known.state.order.version.clone());
                let versions = self.versions.entry(service.clone()).or_default();
                if let Some(version) = replaced
                    && !versions.settled.contains(&version)
                {
                    versions.given_up.insert(version);
                }
                versions.given_up.remove(&state.order.version);
                // Targets of the version may have been seen before its order.
                if versions.settled.len() > 1 {
                    versions.settled.remove(&state.order.version);
                }
                self.rollouts
                    .insert(service, ServiceRollout::new(state, now));
                true
            }
        }
    }

    /// Merges an order that was read from the operator's log. Returns `true` if it was new.
    pub fn merge_order(&mut self, order: RolloutOrder, reader: NodeAddress, now: Instant) -> bool {
        self.merge(RolloutState::new(order, reader), now)
    }

    /// Merges what the log keeps of a roll-out, at `unix_ms` by the clock of this VM.
    pub fn merge_record(
        &mut self,
        record: &RolloutRecord,
        reader: NodeAddress,
        unix_ms: u64,
        now: Instant,
    ) -> bool {
        let known = self.find(&record.order);
        let mut state = known.map_or_else(
            || RolloutState::new(record.order.clone(), reader),
            |known| known.state.clone(),
        );
        if let Some(verdict) = record.verdict {
            state.phase = verdict.into();
            return self.merge(state, now);
        }
        let is_new = self.merge(state, now);
        // The clock may have jumped since, so the time limit is only ever shortened.
        let elapsed = Duration::from_millis(unix_ms.saturating_sub(record.started_unix_ms));
        let limit = Duration::from_millis(record.order.duration_ms);
        if let Some(known) = self.rollouts.get_mut(&record.order.service) {
            let deadline = now + limit.saturating_sub(elapsed);
            known.deadline = known.deadline.min(deadline);
        }
        is_new
    }

    /// Returns what is known of an order.
    pub fn find(&self, order: &RolloutOrder) -> Option<&ServiceRollout> {
        let known = self.rollouts.get(&order.service)?;
        (known.state.order.offset == order.offset).then_some(known)
    }

    /// Returns the offset of the newest order of a service.
    pub fn newest_order(&self, service: &ServiceName) -> Option<Offset> {
        let known = self.rollouts.get(service)?;
        Some(known.state.order.offset)
    }

    /// Returns the roll-out of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&ServiceRollout> {
        self.rollouts.get(service)
    }

    /// Returns the roll-out of a service, to be changed by the node that leads it.
    pub fn get_mut(&mut self, service: &ServiceName) -> Option<&mut ServiceRollout> {
        self.rollouts.get_mut(service)
    }

    /// Returns all roll-outs.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceRollout> {
        self.rollouts.values()
    }

    /// Counts a call that reached a target of the service.
    pub fn record_reached(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.counter.record_reached();
        }
    }

    /// Notes which versions serve. Versions that are there when a node first sees a
    /// service are settled, and others after [`HOLD_TIME`] without an order.
    pub fn note_versions(&mut self, service: &ServiceName, targets: &[TargetEntry], now: Instant) {
        if targets.is_empty() {
            return;
        }
        let ordered = self
            .rollouts
            .get(service)
            .map(|rollout| &rollout.state.order.version);
        let seen = self.versions.entry(service.clone()).or_default();
        let since = *seen.since.get_or_insert(now);
        let is_first_sight = now.saturating_duration_since(since) < FIRST_SIGHT_TIME;
        for version in targets.iter().filter_map(|target| target.version.as_ref()) {
            let first_seen = *seen.first_seen.entry(version.clone()).or_insert(now);
            let is_held = now.saturating_duration_since(first_seen) < HOLD_TIME;
            let may_settle = ordered != Some(version) && !seen.given_up.contains(version);
            if may_settle && (is_first_sight || !is_held) {
                seen.settled.insert(version.clone());
            }
        }
    }

    /// Returns the targets that a call may go to, or `None` if it may go to all of them.
    ///
    /// Only a first attempt takes part in a trial: a call that has failed once goes to the
    /// old version.
    pub fn filter(
        &mut self,
        service: &ServiceName,
        targets: &[TargetEntry],
        is_retry: bool,
        now: Instant,
    ) -> Option<Vec<TargetEntry>> {
        let has_versions = targets.iter().any(|target| target.version.is_some());
        if !has_versions {
            return None;
        }
        self.note_versions(service, targets, now);
        let seen = self.versions.get(service)?;
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return without_held(seen, targets);
        };
        let ordered = rollout.state.order.version.clone();
        let is_ordered = |target: &&TargetEntry| target.version.as_ref() == Some(&ordered);
        let is_given_up = |target: &&TargetEntry| {
            let version = target.version.as_ref();
            version.is_some_and(|version| seen.given_up.contains(version))
        };
        let (new, old): (Vec<_>, Vec<_>) = targets
            .iter()
            .filter(|target| !is_given_up(target))
            .partition(is_ordered);
        let old: Vec<_> = old.into_iter().cloned().collect();
        match rollout.state.phase {
            // An order for the version that serves already changes nothing.
            RolloutPhase::Trial | RolloutPhase::Shifted if seen.settled.contains(&ordered) => {
                without_held(seen, targets)
            }
            RolloutPhase::RolledBack | RolloutPhase::Halted => Some(old),
            RolloutPhase::Completed | RolloutPhase::Closing => {
                if new.is_empty() {
                    return Some(old);
                }
                Some(new.into_iter().cloned().collect())
            }
            RolloutPhase::Shifted if rollout.is_in_touch(now) && !new.is_empty() => {
                Some(new.into_iter().cloned().collect())
            }
            RolloutPhase::Trial | RolloutPhase::Shifted => {
                let is_trial = rollout.state.phase == RolloutPhase::Trial;
                if is_retry || !is_trial || new.is_empty() || !rollout.is_in_touch(now) {
                    return Some(old);
                }
                if !rollout.counter.try_take() {
                    return Some(old);
                }
                Some(targets_on_trial(&rollout.state, new))
            }
        }
    }

    /// Returns `true` if the gate of a target of `version` refuses calls, because another
    /// version has replaced it.
    pub fn is_closed(&self, service: &ServiceName, version: Option<&TargetVersion>) -> bool {
        let Some(rollout) = self.rollouts.get(service) else {
            return false;
        };
        let is_replaced = version != Some(&rollout.state.order.version);
        let is_settled = self
            .versions
            .get(service)
            .is_some_and(|seen| version.is_some_and(|version| seen.settled.contains(version)));
        match rollout.state.phase {
            RolloutPhase::Closing => is_replaced,
            RolloutPhase::Completed => is_replaced && is_settled,
            _ => false,
        }
    }
}

/// Returns the calls that count for the first share of a node: less than it takes for one
/// call to the version on trial, and about half of that on average.
fn head_start(own_seed: u64, share: Permille) -> u64 {
    let calls_for_one = 1_000 / u64::from(share.0.max(1));
    own_seed % (calls_for_one + 1)
}

/// Returns the targets whose version is settled, or `None` if all are or none is: a version
/// that nobody has ordered is better than no target.
fn without_held(seen: &SeenVersions, targets: &[TargetEntry]) -> Option<Vec<TargetEntry>> {
    let is_settled = |target: &TargetEntry| {
        let version = target.version.as_ref();
        version.is_none_or(|version| seen.settled.contains(version))
    };
    let has_given_up = targets
        .iter()
        .filter_map(|target| target.version.as_ref())
        .any(|version| seen.given_up.contains(version));
    if targets.iter().all(is_settled) || !(has_given_up || targets.iter().any(is_settled)) {
        return None;
    }
    Some(
        targets
            .iter()
            .filter(|target| is_settled(target))
            .cloned()
            .collect(),
    )
}

/// Returns the targets of the new version that take part in a trial: the same ones at all
/// nodes, so that each of them gets the load of an old target.
fn targets_on_trial(state: &RolloutState, new: Vec<&TargetEntry>) -> Vec<TargetEntry> {
    let count = trial_targets(state.share.max(Permille(1)), new.len());
    let role = format!("trial-{}", state.order.offset);
    let chosen = choose_members(&role, new.iter().map(|target| target.node), count);
    new.into_iter()
        .filter(|target| chosen.contains(&target.node))
        .cloned()
        .collect()
}
