//! Receives calls from other nodes and answers their inquiries about calls,
//! with one task per connection.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::EXPECT;
use hyper::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;
use wisteriaturn::gate::ledger::CallStatus;
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};
use wisteriaturn::ids::{CallId, KeyHash, ServiceName};
use wisteriaturn::peer::message::{InquiryAnswer, encode};
use wisteriaturn::retry::deadline::CallDeadline;

use crate::gate::answer::refusal;
use crate::gate::pace::pace_answer;
use crate::gate::{notice, run, transfer};
use crate::http::body::{NodeBody, boxed, full};
use crate::http::headers;
use crate::http::listener::{PortLimits, accept_until_stopped, serve_http};
use crate::mesh::handshake::{self, PortKind};
use crate::mesh::hop::{GateCall, INQUIRY_REVOKE};
use crate::node::NodeHandle;

/// Limits of the port. They are higher than those of the ingress, since a
/// request carries the caller's headers and the headers of the mesh.
const LIMITS: PortLimits = PortLimits {
    max_connections: 4096,
    drop_cause: "hop-connections",
    max_head_bytes: 80 * 1024,
    max_headers: 120,
    is_for_callers: false,
};

/// How long an inquiry waits for the result of a call that is running.
const INQUIRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections until the node stops.
pub async fn accept_task(node: NodeHandle, listener: TcpListener, tracker: TaskTracker) {
    accept_until_stopped(node, listener, tracker, LIMITS, |node, stream| async move {
        serve(&node, stream).await;
    })
    .await;
}

async fn serve(node: &NodeHandle, mut stream: TcpStream) {
    let accepted = handshake::accept(
        &mut stream,
        &node.settings.keys,
        PortKind::Hop,
        node.boot_id,
    )
    .await;
    if accepted.is_err() {
        node.metrics.record_drop("hop-unauthenticated");
        return;
    }
    serve_http(node, stream, LIMITS, |request| handle(node, request)).await;
}

async fn handle(node: &NodeHandle, request: Request<Incoming>) -> Response<NodeBody> {
    let inquiry = headers::text(request.headers(), &headers::INQUIRY).map(str::to_owned);
    if let Some(inquiry) = inquiry {
        return handle_inquiry(node, &inquiry, &request).await;
    }
    match read_call(node, &request) {
        Some(call) => {
            if let Some(notice) = &call.notice {
                notice::record_from_peer(node, &call, notice);
            }
            let mut request = request.map(boxed);
            headers::strip_mesh(request.headers_mut());
            request.headers_mut().remove(EXPECT);
            if let Some(request_id) = &call.request_id {
                let name = node.edge_headers.request_id.clone();
                request.headers_mut().insert(name, request_id.clone());
            }
            if transfer::needs_admission(request.body()) {
                let (parts, body) = request.into_parts();
                match transfer::receive(node, &call, body).await {
                    Ok(body) => request = Request::from_parts(parts, body),
                    Err(reason) => return refuse_body(node, &call, reason),
                }
            }
            let response = run::run(node, call.clone(), request).await;
            pace_answer(node, &call, response).await
        }
        None => refusal(CallOutcome::NotRun, RefusalReason::BadRequest),
    }
}

/// Refuses a call before its body was received. The call was not registered, so it
/// has not run and, if its node asks about it, never will.
fn refuse_body(node: &NodeHandle, call: &GateCall, reason: RefusalReason) -> Response<NodeBody> {
    log::info!(
        event = "body-refused",
        request:% = call.loggable_request_id(),
        service:% = call.service,
        reason = reason.name(),
        receiving = node.transfers.load().busy,
        waiting = node.transfers.load().waiting;
        "gate"
    );
    let mut response = refusal(CallOutcome::NotRun, reason);
    run::report_load(node, call, &mut response);
    response
}

/// Parses the mesh headers of a request from another node. Returns `None` if a
/// required header is missing or malformed.
fn read_call(node: &NodeHandle, request: &Request<Incoming>) -> Option<GateCall> {
    let map = request.headers();
    let service: ServiceName = headers::parsed(map, &headers::SERVICE)?;
    let is_idempotent: bool = headers::parsed(map, &headers::IDEMPOTENT)?;
    let remaining = headers::parsed_millis(map, &headers::DEADLINE_MS)?;
    let soft_deadline = headers::parsed_millis(map, &headers::SOFT_DEADLINE_MS);
    let key = node
        .edge_headers
        .find_idempotency_key(map)
        .filter(|_| !is_idempotent);
    Some(GateCall {
        call: headers::parsed(map, &headers::CALL)?,
        class: headers::parsed(map, &headers::CLASS)?,
        priority: headers::parsed(map, &headers::PRIORITY).unwrap_or_default(),
        is_remote: true,
        is_of_run: headers::parsed(map, &headers::OF_RUN).unwrap_or_default(),
        request_id: map.get(&node.edge_headers.request_id).cloned(),
        route: headers::parsed(map, &headers::ROUTE),
        soft_deadline: CallDeadline::for_call(&node.clock, remaining, soft_deadline),
        deadline: CallDeadline::for_call(&node.clock, remaining, None),
        max_wait: headers::parsed(map, &headers::MAX_WAIT_MS)
            .map_or(Duration::MAX, Duration::from_millis),
        is_idempotent,
        fingerprint: headers::parsed(map, &headers::FINGERPRINT)?,
        notice: headers::parsed(map, &headers::TARGET_NOTICE),
        key: key.map(|key| KeyHash::of_key(&service, key.as_bytes())),
        service,
    })
}

async fn handle_inquiry(
    node: &NodeHandle,
    inquiry: &str,
    request: &Request<Incoming>,
) -> Response<NodeBody> {
    let answer = match headers::parsed::<CallId>(request.headers(), &headers::CALL) {
        Some(call) => inquire(node, inquiry, call).await,
        None => InquiryAnswer::Unknown,
    };
    let body = encode(&answer).unwrap_or_default();
    Response::new(full(Bytes::from(body)))
}

/// Returns what this gate knows about a call. If the call is running, waits for
/// its result. If `inquiry` is [`INQUIRY_REVOKE`], a call that has not started is
/// revoked.
pub async fn inquire(node: &NodeHandle, inquiry: &str, call: CallId) -> InquiryAnswer {
    let status = if inquiry == INQUIRY_REVOKE {
        node.ledger.revoke(call)
    } else {
        node.ledger.status(call)
    };
    match status {
        CallStatus::NotRun(reason) => InquiryAnswer::NotRun(reason),
        CallStatus::Ended(result) => {
            node.metrics.handovers.inc();
            InquiryAnswer::Ended(result.as_ref().clone())
        }
        CallStatus::Unknown => InquiryAnswer::Unknown,
        CallStatus::Running(mut receiver) => {
            let ended = timeout(INQUIRY_TIMEOUT, receiver.wait_for(Option::is_some)).await;
            match ended {
                Ok(Ok(result)) => {
                    node.metrics.handovers.inc();
                    result.as_ref().map_or(InquiryAnswer::Unknown, |result| {
                        InquiryAnswer::Ended(result.as_ref().clone())
                    })
                }
                Ok(Err(_)) | Err(_) => InquiryAnswer::Unknown,
            }
        }
    }
}
