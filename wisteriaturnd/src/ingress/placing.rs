//! The choice of a target for the next attempt of a call, with its log line.

use std::time::Instant;

use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::ids::NodeAddress;
use wisteriaturn::route::choose::{TargetChoice, choose_target};
use wisteriaturn::route::place::{CallDemand, PlacedCall, place_call};

use crate::ingress::attempt::RoutedCall;
use crate::node::NodeHandle;

/// Chooses the target of the next attempt.
pub(crate) fn choose(
    node: &NodeHandle,
    call: &RoutedCall,
    tried: &[NodeAddress],
) -> Option<TargetEntry> {
    let service = &call.service.spec.name;
    // A retry looks at the newest targets; the routes stay those of the call.
    let targets = if tried.is_empty() {
        call.view.targets(service)
    } else {
        node.view.load().targets_if_held(service)?
    };
    let now = node.clock.now();
    let demand = demand(node, call, now);
    let choice = node.load.with(service, |load| {
        let policy = &call.service.policy;
        let mut rng = rand::rng();
        match &demand {
            Some(demand) => {
                let route = &call.route.spec.name;
                let calls = PlacedCall {
                    route,
                    demand,
                    tried,
                };
                place_call(&node.place, &targets, policy, load, calls, now, &mut rng)
            }
            None => choose_target(&node.place, &targets, policy, load, tried, now, &mut rng),
        }
    });
    let target = choice.chosen.map(|index| targets[index].clone());
    log_choice(call, &choice, tried.len() + 1);
    target
}

/// Returns what the call asks of its place, where its route says within which
/// time an answer is worth most.
fn demand(node: &NodeHandle, call: &RoutedCall, now: Instant) -> Option<CallDemand> {
    call.route.spec.target_latency_ms?;
    let expected = node.sizes.expect(&call.route.spec.name);
    Some(CallDemand {
        aim: call.aim.remaining(now),
        deadline: call.deadline.remaining(now),
        answer_bytes: expected.bytes,
        run: expected.run,
    })
}

fn log_choice(call: &RoutedCall, choice: &TargetChoice, attempt: usize) {
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
        attempt = attempt;
        "route"
    );
}
