//! Decisions of the ingress about calls to services that are overloaded: whether to
//! attempt a call at all, and whether to attempt it again after a refusal.

use rand::RngExt;
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::ids::ServiceName;

use crate::ingress::attempt::RoutedCall;
use crate::node::NodeHandle;

/// Decides whether to refuse a call without an attempt because its service is
/// overloaded, and logs a refusal. A free slot of the target on this VM is always
/// used.
pub(crate) fn is_throttled(node: &NodeHandle, call: &RoutedCall) -> bool {
    let service = &call.service.spec.name;
    let now = node.clock.now();
    let has_free_slot = node
        .targets
        .get(service)
        .is_some_and(|target| target.gate.load().expected_wait().is_zero());
    let point = rand::rng().random_range(0.0..1.0);
    let (should_refuse, throttle) = node.load.with_service(service, |load| {
        let throttle = load.throttle(&call.route.spec.name);
        let should_refuse = throttle.should_refuse(point, now) && !has_free_slot;
        if should_refuse {
            throttle.record_refusal(now);
        }
        let throttle = *throttle;
        if !throttle.is_overloaded() {
            load.refusals.record_call();
        }
        (should_refuse, throttle)
    });
    if should_refuse {
        log::info!(
            event = "throttled",
            request:% = call.loggable_request_id(),
            route:% = call.route.spec.name,
            service:% = service,
            recent_calls = throttle.calls() as u64,
            recent_admitted = throttle.admitted() as u64;
            "route"
        );
    }
    should_refuse
}

/// Counts a call that ended for `reason` for the throttle, as admitted unless all
/// gates that it tried were full.
pub(crate) fn record_admission(
    node: &NodeHandle,
    call: &RoutedCall,
    reason: Option<RefusalReason>,
) {
    let is_refused = matches!(
        reason,
        Some(RefusalReason::Saturated | RefusalReason::Crowded)
    );
    let now = node.clock.now();
    node.load.with_service(&call.service.spec.name, |load| {
        load.throttle(&call.route.spec.name)
            .record_end(!is_refused, now);
    });
}

/// Takes an attempt from the budget for refused calls, if a full gate refused this
/// one. Returns `false` if none is left.
pub(crate) fn take_refused_attempt(
    node: &NodeHandle,
    service: &ServiceName,
    reason: Option<RefusalReason>,
) -> bool {
    node.load.with_service(service, |load| match reason {
        Some(RefusalReason::Crowded) => {
            load.refusals.take_owed();
            true
        }
        Some(RefusalReason::Saturated) => load.refusals.try_take(),
        Some(_) | None => true,
    })
}
