//! Sends large answers to other nodes one after the other; see [`wisteriaturn::gate::pace`].

use std::time::Duration;

use hyper::Response;
use hyper::body::Body;
use wisteriaturn::clock::lock;
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};
use wisteriaturn::gate::pace::{ExpectedAnswer, MIN_PACED_BYTES};

use crate::gate::answer::refusal;
use crate::gate::transfer::buffer_limit;
use crate::http::body::{BufferedBody, NodeBody, OnEndBody, boxed, empty};
use crate::http::headers;
use crate::mesh::hop::GateCall;
use crate::node::NodeHandle;

/// Returns `true` if the answer to a call can be sent over the link in time, as far as the
/// answers of its route so far tell.
pub(crate) fn can_answer_in_time(node: &NodeHandle, call: &GateCall, run_time: Duration) -> bool {
    if !node.settings.placement.paced_answers || !call.is_remote {
        return true;
    }
    let route = call.route.as_ref();
    let Some(estimate) = route.and_then(|route| node.sent_estimates.measured(route)) else {
        return true;
    };
    let now = node.clock.now();
    let expected = ExpectedAnswer {
        link: node.settings.link,
        bytes: estimate.bytes,
        link_wait: link_wait(node),
        run_time,
    };
    expected.is_in_time(call.soft_deadline.remaining(now))
}

/// Returns the time until the link is free for another large answer.
pub(crate) fn link_wait(node: &NodeHandle) -> Duration {
    lock(&node.answer_link).wait(node.clock.now())
}

/// Reads a large answer to another node whole, which frees the slot of its target, and
/// returns it when the link is free for it.
pub(crate) async fn pace_answer(
    node: &NodeHandle,
    call: &GateCall,
    response: Response<NodeBody>,
) -> Response<NodeBody> {
    let hint = response.body().size_hint();
    let outcome = headers::parsed(response.headers(), &headers::OUTCOME);
    if !node.settings.placement.paced_answers || outcome != Some(CallOutcome::Done) {
        return response;
    }
    // An answer without a length is only known to be large when it has been read.
    let is_small = hint.upper().is_some_and(|bytes| bytes < MIN_PACED_BYTES);
    if is_small {
        record_size(node, call, hint.lower());
        return response;
    }
    let (limit, reservation) = buffer_limit(node, response.body());
    let Some(reservation) = reservation else {
        return response;
    };
    let (parts, body) = response.into_parts();
    let mut read = match BufferedBody::read(body, limit).await {
        Ok(read) => read,
        Err(error) => {
            log::warn!(
                event = "answer-lost",
                request:% = call.loggable_request_id(),
                service:% = call.service,
                error:% = error;
                "gate"
            );
            return refusal(CallOutcome::Unknown, RefusalReason::TargetLost);
        }
    };
    let bytes = read.prefix().len() as u64;
    record_size(node, call, bytes);
    if bytes >= MIN_PACED_BYTES {
        let now = node.clock.now();
        let wait = lock(&node.answer_link).take(node.settings.link, bytes, now);
        log::debug!(
            event = "answer-paced",
            request:% = call.loggable_request_id(),
            service:% = call.service,
            bytes = bytes,
            wait_us = wait.as_micros() as u64;
            "gate"
        );
        tokio::time::sleep(wait).await;
    }
    let body = read.take_for_attempt().unwrap_or_else(empty);
    let body = boxed(OnEndBody::new(body, move |_| drop(reservation)));
    Response::from_parts(parts, body)
}

/// Records the size of an answer for the calls of its route that come later.
fn record_size(node: &NodeHandle, call: &GateCall, bytes: u64) {
    if let Some(route) = &call.route {
        node.sent_estimates.record(route, bytes, Duration::ZERO);
    }
}
