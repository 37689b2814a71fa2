//! Selects the target of each attempt of a call and logs the choice.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::ids::NodeAddress;
use wisteriaturn::route::choose::{TargetChoice, choose_target};
use wisteriaturn::route::cost::{CallRequirements, PlacementRequest, choose_cheapest_target};

use crate::ingress::attempt::RoutedCall;
use crate::node::NodeHandle;

/// Number of `crowded` refusals after which a call waits at the best of the
/// targets instead of trying another one. If a third of the targets are full, one
/// call in 27 meets three full ones in a row.
const MAX_CROWDED_REFUSALS: usize = 3;

/// The target of an attempt.
pub(crate) struct ChosenTarget {
    /// The chosen target.
    pub(crate) target: TargetEntry,
    /// Longest wait for a slot at this target that is still better than going to
    /// another one. The gate refuses the call as `crowded` if it expects a longer
    /// wait.
    pub(crate) max_wait: Duration,
    is_last_resort: bool,
}

/// Chooses the target of the next attempt, or returns `None` if there is none.
///
/// `crowded` holds the nodes that refused the call as `crowded`, and `tried` the
/// nodes of all other attempts, which are not chosen again.
pub(crate) fn choose_next_target(
    node: &NodeHandle,
    call: &RoutedCall,
    tried: &[NodeAddress],
    crowded: &[NodeAddress],
) -> Option<ChosenTarget> {
    if !crowded.is_empty() && crowded.len() < MAX_CROWDED_REFUSALS {
        let excluded = [tried, crowded].concat();
        let choice = choose_excluding(node, call, &excluded);
        if choice.as_ref().is_some_and(|chosen| !chosen.is_last_resort) {
            return choice;
        }
    }
    let choice = choose_excluding(node, call, tried)?;
    let service = &call.service.spec.name;
    let may_be_sent_on = node
        .load
        .with_service(service, |load| load.refusals.has_attempt());
    Some(if crowded.is_empty() && may_be_sent_on {
        choice
    } else {
        // The crowded targets have just reported their load, so the target with the
        // shortest wait is known; or all targets are full, and trying them one by
        // one would be in vain.
        ChosenTarget {
            max_wait: Duration::MAX,
            ..choice
        }
    })
}

fn choose_excluding(
    node: &NodeHandle,
    call: &RoutedCall,
    excluded: &[NodeAddress],
) -> Option<ChosenTarget> {
    let service = &call.service.spec.name;
    // A retry uses the current list of targets, while the route and the service
    // stay those of the call's own view.
    let targets = if excluded.is_empty() {
        call.view.targets(service)
    } else {
        node.view.load().find_targets(service)?
    };
    let targets = if node.is_isolated() {
        let own = targets
            .iter()
            .filter(|target| target.node == node.address());
        Arc::new(own.cloned().collect())
    } else {
        targets
    };
    let now = node.clock.now();
    let allowed = node
        .rollouts
        .filter(service, &targets, !excluded.is_empty(), now);
    let targets = allowed.map_or(targets, Arc::new);
    let requirements = requirements(node, call, now);
    let choice = node.load.with_service(service, |load| {
        let policy = &call.service.policy;
        let mut rng = rand::rng();
        match &requirements {
            Some(requirements) => {
                let route = &call.route.spec.name;
                let request = PlacementRequest {
                    route,
                    requirements,
                    tried: excluded,
                    own_node: Some(node.address()),
                };
                choose_cheapest_target(
                    &node.location,
                    &targets,
                    policy,
                    load,
                    request,
                    now,
                    &mut rng,
                )
            }
            None => choose_target(
                &node.location,
                &targets,
                policy,
                load,
                excluded,
                now,
                &mut rng,
            ),
        }
    });
    log_choice(call, &choice, excluded.len() + 1, now);
    choice.chosen.map(|index| ChosenTarget {
        target: targets[index].clone(),
        max_wait: choice.max_wait,
        is_last_resort: choice.is_last_resort,
    })
}

/// Returns what the call requires of its target, or `None` if the route sets no
/// target latency.
fn requirements(node: &NodeHandle, call: &RoutedCall, now: Instant) -> Option<CallRequirements> {
    call.route.spec.target_latency_ms?;
    let estimate = node.answer_estimates.estimate(&call.route.spec.name);
    Some(CallRequirements {
        soft_deadline: call.soft_deadline.remaining(now),
        deadline: call.deadline.remaining(now),
        request_bytes: call.body.size_hint().lower(),
        answer_bytes: estimate.bytes,
        expected_run_time: estimate.run_time,
    })
}

fn log_choice(call: &RoutedCall, choice: &TargetChoice, attempt: usize, now: Instant) {
    let candidates = choice.candidates.len();
    let Some(chosen) = choice.chosen.map(|index| &choice.candidates[index]) else {
        log::warn!(
            event = "route",
            request:% = call.loggable_request_id(),
            route:% = call.route.spec.name,
            service:% = call.service.spec.name,
            target = "none",
            candidates = candidates,
            attempt = attempt;
            "route"
        );
        return;
    };
    log::info!(
        event = "route",
        request:% = call.loggable_request_id(),
        route:% = call.route.spec.name,
        service:% = call.service.spec.name,
        version:% = call.view.config.version,
        target:% = chosen.node,
        data_centre:% = chosen.data_centre,
        distance = chosen.distance,
        busy = chosen.busy,
        report_age_ms = chosen.believed.age.map_or(-1, |age| age.as_millis() as i64),
        slots = chosen.slots,
        candidates = candidates,
        patience_ms = choice.max_wait.min(call.deadline.remaining(now)).as_millis() as u64,
        attempt = attempt;
        "route"
    );
}
