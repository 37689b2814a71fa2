//! The choice of a target for the next attempt of a call, with its log line.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::ids::NodeAddress;
use wisteriaturn::route::choose::{TargetChoice, choose_target};
use wisteriaturn::route::cost::{CallRequirements, PlacementRequest, choose_cheapest_target};

use crate::ingress::attempt::RoutedCall;
use crate::node::NodeHandle;

/// Targets that may send a call on before it waits at the best of them: with a
/// third of the targets full, three full ones in a row are met once in 27 calls.
const CROWDED_LIMIT: usize = 3;

/// The place of the next attempt.
pub(crate) struct ChosenTarget {
    /// The target.
    pub(crate) target: TargetEntry,
    /// Longest wait for a slot there that is better than going elsewhere.
    pub(crate) max_wait: Duration,
    is_last_resort: bool,
}

/// Chooses the target of the next attempt. `tried` are those that had one and
/// `crowded` those that sent the call on.
pub(crate) fn choose_next_target(
    node: &NodeHandle,
    call: &RoutedCall,
    tried: &[NodeAddress],
    crowded: &[NodeAddress],
) -> Option<ChosenTarget> {
    if !crowded.is_empty() && crowded.len() < CROWDED_LIMIT {
        let excluded = [tried, crowded].concat();
        let choice = choose_among(node, call, &excluded);
        if choice.as_ref().is_some_and(|place| !place.is_last_resort) {
            return choice;
        }
    }
    let choice = choose_among(node, call, tried)?;
    Some(match crowded {
        [] => choice,
        // These targets told their load just now, so the least wait is known.
        _ => ChosenTarget {
            max_wait: Duration::MAX,
            ..choice
        },
    })
}

fn choose_among(
    node: &NodeHandle,
    call: &RoutedCall,
    tried: &[NodeAddress],
) -> Option<ChosenTarget> {
    let service = &call.service.spec.name;
    // A retry looks at the newest targets; the routes stay those of the call.
    let targets = if tried.is_empty() {
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
    let demand = demand(node, call, now);
    let choice = node.load.with_service(service, |load| {
        let policy = &call.service.policy;
        let mut rng = rand::rng();
        match &demand {
            Some(demand) => {
                let route = &call.route.spec.name;
                let calls = PlacementRequest {
                    route,
                    requirements: demand,
                    tried,
                };
                choose_cheapest_target(&node.location, &targets, policy, load, calls, now, &mut rng)
            }
            None => choose_target(&node.location, &targets, policy, load, tried, now, &mut rng),
        }
    });
    log_choice(call, &choice, tried.len() + 1, now);
    choice.chosen.map(|index| ChosenTarget {
        target: targets[index].clone(),
        max_wait: choice.max_wait,
        is_last_resort: choice.is_last_resort,
    })
}

/// Returns what the call asks of its place, where its route says within which
/// time an answer is worth most.
fn demand(node: &NodeHandle, call: &RoutedCall, now: Instant) -> Option<CallRequirements> {
    call.route.spec.target_latency_ms?;
    let expected = node.answer_estimates.estimate(&call.route.spec.name);
    Some(CallRequirements {
        late_after: call.soft_deadline.remaining(now),
        deadline: call.deadline.remaining(now),
        answer_bytes: expected.bytes,
        expected_run_time: expected.run_time,
    })
}

fn log_choice(call: &RoutedCall, choice: &TargetChoice, attempt: usize, now: Instant) {
    let candidates = choice.candidates.len();
    let Some(chosen) = choice.chosen.map(|index| &choice.candidates[index]) else {
        log::warn!(
            event = "route",
            request:% = call.request_text(),
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
        request:% = call.request_text(),
        route:% = call.route.spec.name,
        service:% = call.service.spec.name,
        version:% = call.view.config.version,
        target:% = chosen.node,
        data_centre:% = chosen.data_centre,
        distance = chosen.distance,
        busy = chosen.busy,
        slots = chosen.slots,
        candidates = candidates,
        patience_ms = choice.max_wait.min(call.deadline.remaining(now)).as_millis() as u64,
        attempt = attempt;
        "route"
    );
}
