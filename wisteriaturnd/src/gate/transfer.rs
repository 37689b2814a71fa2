//! Receives the large bodies of calls from other nodes, a few at a time.

use std::time::Duration;

use hyper::body::Body;
use tokio::time::timeout_at;
use wisteriaturn::buffer::ByteReservation;
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::gate::transfer::{MIN_ADMITTED_BODY_BYTES, TransferPlan};

use crate::gate::admit::{check_acceptable, slot_request};
use crate::http::body::{BufferedBody, NodeBody, OnEndBody, boxed, empty, with_stall_timeout};
use crate::mesh::hop::GateCall;
use crate::node::NodeHandle;

/// How long the body of an admitted call may make no progress. Other bodies wait
/// for the link meanwhile.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes that are reserved for a body of unknown size.
const UNKNOWN_BODY_BYTES: usize = 512 * 1024;

/// Maximum number of bytes that are held of a body that is streamed.
const MAX_STREAM_PREFIX_BYTES: usize = 64 * 1024;

/// Returns `true` if a body is sent only after the gate has admitted it: it is
/// large, or its size is unknown.
pub fn needs_admission(body: &NodeBody) -> bool {
    let hint = body.size_hint();
    hint.lower() >= MIN_ADMITTED_BODY_BYTES || hint.upper().is_none()
}

/// Admits the body of a call to the link, and receives it.
///
/// The body is received whole if the node has room for it. Otherwise its first part
/// is, and the rest is streamed to the target, at the pace of the caller.
///
/// # Errors
///
/// Returns the reason if the call is refused. It has not run then, and no part of
/// its body was read unless the connection broke.
pub async fn receive(
    node: &NodeHandle,
    call: &GateCall,
    body: NodeBody,
) -> Result<NodeBody, RefusalReason> {
    let arrival = node.clock.now();
    let body_bytes = body.size_hint().lower();
    let target = check_acceptable(node, call)?;
    let plan = TransferPlan {
        link: node.settings.link,
        body_bytes,
        busy: node.transfers.load().busy,
        slot_wait: target.gate.load().expected_wait(),
    };
    let request = plan.link_request(&slot_request(node, call, &target), arrival)?;
    let deadline = call.deadline.at().into();
    let permit = timeout_at(deadline, node.transfers.acquire_for(request))
        .await
        .map_err(|_| RefusalReason::Deadline)??;
    let admitted_at = node.clock.now();
    let (limit, reservation) = buffer_limit(node, &body);
    let body = with_stall_timeout(body, STALL_TIMEOUT);
    let mut received = timeout_at(deadline, BufferedBody::read(body, limit))
        .await
        .map_err(|_| RefusalReason::Deadline)?
        .map_err(|error| {
            log::warn!(
                event = "body-lost",
                request:% = call.loggable_request_id(),
                service:% = call.service,
                error:% = error;
                "gate"
            );
            RefusalReason::Revoked
        })?;
    drop(permit);
    let now = node.clock.now();
    log::info!(
        event = "body-received",
        request:% = call.loggable_request_id(),
        service:% = call.service,
        bytes = received.prefix().len(),
        whole = received.is_replayable(),
        waited_us = admitted_at.saturating_duration_since(arrival).as_micros() as u64,
        took_us = now.saturating_duration_since(admitted_at).as_micros() as u64,
        receiving = plan.busy;
        "gate"
    );
    let body = received.take_for_attempt().unwrap_or_else(empty);
    Ok(boxed(OnEndBody::new(body, move |_| drop(reservation))))
}

/// Returns the number of bytes of a body that are held in memory, and their
/// reservation. A body that finds no room is streamed.
pub fn buffer_limit(node: &NodeHandle, body: &NodeBody) -> (usize, Option<ByteReservation>) {
    let replay_bytes = node.settings.tuning.replay_bytes;
    let size = body
        .size_hint()
        .exact()
        .map_or(UNKNOWN_BODY_BYTES.min(replay_bytes), |size| {
            usize::try_from(size).unwrap_or(usize::MAX)
        });
    let reservation = (size <= replay_bytes)
        .then(|| node.held_bytes.try_reserve(size))
        .flatten();
    match reservation {
        Some(reservation) => (size, Some(reservation)),
        None => (replay_bytes.min(MAX_STREAM_PREFIX_BYTES), None),
    }
}
