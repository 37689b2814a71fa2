//! Calls that this node sends to the gates of other nodes.
//!
//! If an exchange with a gate is lost, the call may or may not have run. This
//! node then sends the gate an inquiry, first over a new connection and then
//! through other nodes of the gate's data centre. The gate revokes the call if
//! it has not started and otherwise returns its result. The outcome stays
//! unknown only if the gate cannot be reached or no longer knows the call.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response};
use tokio::time::{timeout, timeout_at};
use wisteriaturn::clock::lock;
use wisteriaturn::config::resource::CallClass;
use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::gate::ledger::{MAX_STORED_BODY_BYTES, can_tell_outcome};
use wisteriaturn::gate::notice::TargetNotice;
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::ids::{
    BootId, CallId, CallPriority, Fingerprint, KeyHash, NodeAddress, RouteName, ServiceName,
};
use wisteriaturn::peer::message::{InquiryAnswer, PeerAnswer, PeerRequest, decode};
use wisteriaturn::retry::deadline::CallDeadline;

use crate::error::LinkError;
use crate::gate::transfer::needs_admission;
use crate::http::body::{NodeBody, empty};
use crate::http::exchange::{self, ExchangeError, pooled_body};
use crate::http::headers;
use crate::http::held_body::hold_body;
use crate::http::pool::PooledConnection;
use crate::logs::Sanitized;
use crate::mesh::peer_client;
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeState};

/// Maximum number of nodes through which an inquiry is sent if the gate cannot
/// be reached directly.
const MAX_INTERMEDIARIES: usize = 2;

/// Minimum time for resolving the outcome of a lost call, even after its deadline,
/// because the caller still needs to know whether the call has run.
const MIN_INQUIRY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Inquiry that revokes a call if it has not started, and otherwise asks for its
/// result.
pub const INQUIRY_REVOKE: &str = "revoke";

/// Inquiry that asks for the result of a call without revoking it.
pub const INQUIRY_STATUS: &str = "inquire";

/// One attempt of a call, as sent to a gate.
#[derive(Debug, Clone)]
pub struct GateCall {
    /// Id of the attempt.
    pub call: CallId,
    /// Service that is called.
    pub service: ServiceName,
    /// Traffic class of the call, which its route sets.
    pub class: CallClass,
    /// Priority within the class.
    pub priority: CallPriority,
    /// Whether another node than the gate's sent the call.
    pub is_remote: bool,
    /// Whether a run at work makes the call.
    pub is_of_run: bool,
    /// Route that the call matched.
    pub route: Option<RouteName>,
    /// Time up to which the answer has its full value.
    pub soft_deadline: CallDeadline,
    /// Request id from the caller.
    pub request_id: Option<HeaderValue>,
    /// Time by which the caller must have the answer.
    pub deadline: CallDeadline,
    /// Longest wait for a slot that is still better than trying another target.
    pub max_wait: Duration,
    /// Whether the call can safely run more than once.
    pub is_idempotent: bool,
    /// Hash of what the target receives. It identifies the same request when it
    /// is sent again.
    pub fingerprint: Fingerprint,
    /// What the target stated through its gate before, as far as this node knows.
    pub notice: Option<TargetNotice>,
    /// Hash of the idempotency key. Calls with the same key run at most once.
    pub key: Option<KeyHash>,
}

impl GateCall {
    /// Returns the request id from the caller, sanitized for log lines.
    pub fn loggable_request_id(&self) -> Sanitized<'_> {
        Sanitized::from_header(self.request_id.as_ref())
    }
}

/// The result of an attempt that was sent to another node's gate.
#[derive(Debug)]
pub enum HopResult {
    /// The gate sent a response: that of the target or its own.
    Answered(Response<NodeBody>),
    /// Nothing was sent, so the call has not run.
    Unsent,
    /// The exchange was lost and the call may have run. Holds the boot id of the
    /// gate that can be asked about it.
    Lost(BootId),
}

/// Adds the headers that describe a call to a request between nodes.
pub fn write_call_headers(headers: &mut HeaderMap, call: &GateCall, now: Instant) {
    let remaining_ms = call.deadline.remaining(now).as_millis();
    headers::set(headers, headers::DEADLINE_MS, remaining_ms);
    headers::set(headers, headers::CALL, call.call);
    headers::set(headers, headers::SERVICE, &call.service);
    headers::set(headers, headers::CLASS, call.class.name());
    headers::set(headers, headers::PRIORITY, call.priority);
    if call.is_of_run {
        headers::set(headers, headers::OF_RUN, true);
    }
    headers::set(
        headers,
        headers::SOFT_DEADLINE_MS,
        call.soft_deadline.remaining(now).as_millis(),
    );
    if let Some(route) = &call.route {
        headers::set(headers, headers::ROUTE, route);
    }
    if call.max_wait < Duration::MAX {
        headers::set(headers, headers::MAX_WAIT_MS, call.max_wait.as_millis());
    }
    if let Some(notice) = &call.notice {
        headers::set(headers, headers::TARGET_NOTICE, notice);
    }
    headers::set(headers, headers::IDEMPOTENT, call.is_idempotent);
    headers::set(headers, headers::FINGERPRINT, call.fingerprint);
}

/// Sends an attempt to the gate of a target. A reused connection that turns out
/// to be closed before anything was sent is replaced by another one.
pub async fn send(
    node: &NodeHandle,
    target: &TargetEntry,
    call: &GateCall,
    mut request: Request<NodeBody>,
) -> HopResult {
    write_call_headers(request.headers_mut(), call, node.clock.now());
    if needs_admission(request.body()) {
        request = hold_body(request);
    }
    let deadline = call.deadline.at().into();
    loop {
        let connection = match timeout_at(deadline, node.hop_pool.acquire(target.hop)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) | Err(_) => return HopResult::Unsent,
        };
        let (boot_id, is_reused) = (connection.boot_id, connection.is_reused);
        match timeout_at(deadline, send_on_connection(node, connection, request)).await {
            Ok(Ok(response)) => {
                node.record_contact();
                return HopResult::Answered(response);
            }
            Ok(Err(ExchangeError::Unsent(unsent))) if is_reused => request = *unsent,
            Ok(Err(ExchangeError::Unsent(_))) => return HopResult::Unsent,
            Ok(Err(ExchangeError::Lost(_))) | Err(_) => return HopResult::Lost(boot_id),
        }
    }
}

async fn send_on_connection(
    node: &NodeHandle,
    mut connection: PooledConnection,
    request: Request<NodeBody>,
) -> Result<Response<NodeBody>, ExchangeError> {
    let response = exchange::send(&mut connection, request).await?;
    let (parts, body) = response.into_parts();
    let stall_timeout = node.settings.tuning.stall_timeout;
    let body = pooled_body(body, connection, &node.hop_pool, stall_timeout, |_| ());
    Ok(Response::from_parts(parts, body))
}

/// Resolves the outcome of a call whose exchange was lost, by sending inquiries
/// to its gate. `gate_boot_id` is the boot id that the gate had when the call was
/// sent at `sent_at`.
pub async fn resolve_lost_call(
    node: &NodeHandle,
    target: &TargetEntry,
    call: &GateCall,
    gate_boot_id: BootId,
    sent_at: Instant,
) -> InquiryAnswer {
    let now = node.clock.now();
    if !can_tell_outcome(now.saturating_duration_since(sent_at)) {
        return InquiryAnswer::Unknown;
    }
    let wait = call.deadline.remaining(now).max(MIN_INQUIRY_TIMEOUT);
    let deadline = now + wait;
    // A paused gate keeps its connections open, so that a direct inquiry may
    // hang: it gets only half of the time.
    let direct = timeout(
        wait / 2,
        send_inquiry(node, target.hop, INQUIRY_REVOKE, call.call, gate_boot_id),
    )
    .await;
    if let Ok(Ok(answer)) = direct {
        return answer;
    }
    for intermediary in intermediaries(node, target) {
        let request = PeerRequest::Inquire {
            hop: target.hop,
            call: call.call,
            boot_id: gate_boot_id,
        };
        let inquiry = peer_client::request(node, intermediary, &request, TrafficKind::Claim);
        match timeout_at(deadline.into(), inquiry).await {
            Ok(Ok(PeerAnswer::Inquired(InquiryAnswer::Unknown))) => {}
            Ok(Ok(PeerAnswer::Inquired(answer))) => return answer,
            Ok(Ok(_)) | Ok(Err(_)) => {}
            Err(_) => break,
        }
    }
    InquiryAnswer::Unknown
}

/// Returns other nodes in the data centre of a target, through which its gate
/// may be reachable.
fn intermediaries(node: &NodeState, target: &TargetEntry) -> Vec<NodeAddress> {
    lock(&node.table)
        .live_in(&target.data_centre)
        .map(|record| record.address)
        .filter(|address| *address != target.node && *address != node.address())
        .take(MAX_INTERMEDIARIES)
        .collect()
}

/// Revokes a call on behalf of a node that cannot reach the gate itself.
pub async fn revoke_for_peer(
    node: &NodeHandle,
    hop: NodeAddress,
    call: CallId,
    boot_id: BootId,
) -> InquiryAnswer {
    send_inquiry(node, hop, INQUIRY_REVOKE, call, boot_id)
        .await
        .unwrap_or(InquiryAnswer::Unknown)
}

/// Spawns a task that revokes a call whose caller has disconnected, so that it
/// does not start.
pub fn spawn_revocation(node: &NodeHandle, target: TargetEntry, call: GateCall) {
    let node = node.clone();
    tokio::spawn(async move {
        let connection = node.hop_pool.acquire(target.hop).await;
        if let Ok(connection) = connection {
            let boot_id = connection.boot_id;
            node.hop_pool.release(connection);
            let _ = send_inquiry(&node, target.hop, INQUIRY_REVOKE, call.call, boot_id).await;
        }
    });
}

/// Sends an inquiry about a call to its gate and returns the answer. Returns
/// [`InquiryAnswer::Unknown`] if the gate's boot id is not `boot_id`, because a
/// restarted gate does not know the calls of earlier runs.
///
/// # Errors
///
/// Returns [`LinkError`] if the gate cannot be reached or the exchange with it
/// fails.
pub async fn send_inquiry(
    node: &NodeHandle,
    hop: NodeAddress,
    inquiry: &str,
    call: CallId,
    boot_id: BootId,
) -> Result<InquiryAnswer, LinkError> {
    let mut connection = node.hop_pool.open(hop).await?;
    if connection.boot_id != boot_id {
        return Ok(InquiryAnswer::Unknown);
    }
    let request = Request::builder()
        .method(Method::GET)
        .uri("/")
        .header(HOST, "gate")
        .header(headers::INQUIRY, inquiry)
        .header(headers::CALL, call.to_string())
        .body(empty())
        .map_err(|error| LinkError::Lost(error.to_string()))?;
    let response = match exchange::send(&mut connection, request).await {
        Ok(response) => response,
        Err(ExchangeError::Unsent(_)) => return Err(LinkError::Unreachable("unsent".to_owned())),
        Err(ExchangeError::Lost(error)) => return Err(error),
    };
    let body: Bytes = Limited::new(response.into_body(), MAX_STORED_BODY_BYTES * 2)
        .collect()
        .await
        .map_err(|error| LinkError::Lost(error.to_string()))?
        .to_bytes();
    let answer = decode(&body)?;
    node.hop_pool.release(connection);
    Ok(answer)
}

/// Returns the refusal reason for a lost exchange with a gate:
/// [`RefusalReason::Deadline`] if the call's time is up, otherwise
/// [`RefusalReason::GateLost`].
pub fn lost_exchange_reason(call: &GateCall, now: Instant) -> RefusalReason {
    if call.deadline.allows_attempt(now) {
        RefusalReason::GateLost
    } else {
        RefusalReason::Deadline
    }
}
