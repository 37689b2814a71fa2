//! The calls that this node sends to other nodes' gates.
//!
//! Losing an exchange says nothing about the call. So this node asks the gate
//! what became of it, over a new connection and then through other nodes of
//! that data centre, and the gate either revokes the call or hands its answer
//! over. Only when nobody reaches the gate does the call stay unknown.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response};
use tokio::time::{timeout, timeout_at};
use wisteriaturn::clock::lock;
use wisteriaturn::config::resource::CallClass;
use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::gate::ledger::MAX_STORED_BODY_BYTES;
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::ids::{
    BootId, CallId, CallPriority, Fingerprint, KeyHash, NodeAddress, RouteName, ServiceName,
};
use wisteriaturn::peer::message::{InquiryAnswer, PeerAnswer, PeerRequest, decode};
use wisteriaturn::retry::deadline::CallDeadline;

use crate::error::LinkError;
use crate::http::body::{NodeBody, empty};
use crate::http::exchange::{self, ExchangeError, pooled_body};
use crate::http::headers;
use crate::http::pool::PooledConnection;
use crate::logs::Sanitized;
use crate::mesh::peer_client;
use crate::metrics::TrafficKind;
use crate::node::{NodeHandle, NodeState};

/// Nodes through which a gate is asked when it cannot be reached.
const GO_BETWEENS: usize = 2;

/// Least time for asking about a call, also when its deadline is over: the
/// caller still wants to know whether it was run.
const LEAST_ASK_TIME: Duration = Duration::from_millis(1_500);

/// Names what a gate is asked.
pub const INQUIRY_REVOKE: &str = "revoke";

/// Names what a gate is asked.
pub const INQUIRY_STATUS: &str = "inquire";

/// One attempt of a call, as a gate sees it.
#[derive(Debug, Clone)]
pub struct GateCall {
    /// Identifier of the attempt.
    pub call: CallId,
    /// Service.
    pub service: ServiceName,
    /// Class.
    pub class: CallClass,
    /// Rank within the class.
    pub priority: CallPriority,
    /// Route by which it came.
    pub route: Option<RouteName>,
    /// Time up to which the answer has its full value.
    pub soft_deadline: CallDeadline,
    /// The caller's name for its attempt.
    pub request_id: Option<HeaderValue>,
    /// When the answer must be there.
    pub deadline: CallDeadline,
    /// Longest wait for a slot that is still better than trying another target.
    pub max_wait: Duration,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
    /// What the target would see.
    pub fingerprint: Fingerprint,
    /// Key under which it runs at most once.
    pub key: Option<KeyHash>,
}

impl GateCall {
    /// Returns the caller's name for its attempt, for log lines.
    pub fn loggable_request_id(&self) -> Sanitized<'_> {
        Sanitized::from_header(self.request_id.as_ref())
    }
}

/// What became of an attempt at another node.
#[derive(Debug)]
pub enum HopResult {
    /// The gate answered, for its target or itself.
    Answered(Response<NodeBody>),
    /// Nothing was sent.
    Unsent,
    /// The exchange was lost; asked, the gate of this life may know more.
    Lost(BootId),
}

/// Writes a call into the headers of a request between nodes.
pub fn write_call_headers(headers: &mut HeaderMap, call: &GateCall, now: Instant) {
    let left = call.deadline.remaining(now).as_millis();
    headers::set(headers, headers::DEADLINE_MS, left);
    headers::set(headers, headers::CALL, call.call);
    headers::set(headers, headers::SERVICE, &call.service);
    headers::set(headers, headers::CLASS, call.class.name());
    headers::set(headers, headers::PRIORITY, call.priority);
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
    headers::set(headers, headers::IDEMPOTENT, call.is_idempotent);
    headers::set(headers, headers::FINGERPRINT, call.fingerprint);
}

/// Sends an attempt to the gate of a target.
pub async fn send(
    node: &NodeHandle,
    target: &TargetEntry,
    call: &GateCall,
    mut request: Request<NodeBody>,
) -> HopResult {
    write_call_headers(request.headers_mut(), call, node.clock.now());
    let until = call.deadline.at().into();
    loop {
        let link = match timeout_at(until, node.hop_pool.acquire(target.hop)).await {
            Ok(Ok(link)) => link,
            Ok(Err(_)) | Err(_) => return HopResult::Unsent,
        };
        let (life, is_reused) = (link.boot_id, link.is_reused);
        match timeout_at(until, send_over(node, link, request)).await {
            Ok(Ok(response)) => {
                node.record_contact();
                return HopResult::Answered(response);
            }
            Ok(Err(ExchangeError::Unsent(unsent))) if is_reused => request = *unsent,
            Ok(Err(ExchangeError::Unsent(_))) => return HopResult::Unsent,
            Ok(Err(ExchangeError::Lost(_))) | Err(_) => return HopResult::Lost(life),
        }
    }
}

async fn send_over(
    node: &NodeHandle,
    mut link: PooledConnection,
    request: Request<NodeBody>,
) -> Result<Response<NodeBody>, ExchangeError> {
    let response = exchange::send(&mut link, request).await?;
    let (parts, body) = response.into_parts();
    let stall = node.settings.tuning.stall_timeout;
    let body = pooled_body(body, link, &node.hop_pool, stall, |_| ());
    Ok(Response::from_parts(parts, body))
}

/// Finds out what became of a call whose exchange was lost.
pub async fn resolve_lost_call(
    node: &NodeHandle,
    target: &TargetEntry,
    call: &GateCall,
    life: BootId,
) -> InquiryAnswer {
    let now = node.clock.now();
    let wait = call.deadline.remaining(now).max(LEAST_ASK_TIME);
    let until = now + wait;
    // A paused gate keeps its connections, so the direct way gets half.
    let direct = timeout(
        wait / 2,
        send_inquiry(node, target.hop, INQUIRY_REVOKE, call.call, life),
    )
    .await;
    if let Ok(Ok(answer)) = direct {
        return answer;
    }
    for helper in go_betweens(node, target) {
        let request = PeerRequest::Inquire {
            hop: target.hop,
            call: call.call,
            boot_id: life,
        };
        let asked = peer_client::request(node, helper, &request, TrafficKind::Claim);
        match timeout_at(until.into(), asked).await {
            Ok(Ok(PeerAnswer::Inquired(InquiryAnswer::Unknown))) => {}
            Ok(Ok(PeerAnswer::Inquired(answer))) => return answer,
            Ok(Ok(_)) | Ok(Err(_)) => {}
            Err(_) => break,
        }
    }
    InquiryAnswer::Unknown
}

fn go_betweens(node: &NodeState, target: &TargetEntry) -> Vec<NodeAddress> {
    lock(&node.table)
        .live_in(&target.data_centre)
        .map(|record| record.address)
        .filter(|address| *address != target.node && *address != node.address())
        .take(GO_BETWEENS)
        .collect()
}

/// Revokes a call on behalf of another node.
pub async fn revoke_for_peer(
    node: &NodeHandle,
    hop: NodeAddress,
    call: CallId,
    life: BootId,
) -> InquiryAnswer {
    send_inquiry(node, hop, INQUIRY_REVOKE, call, life)
        .await
        .unwrap_or(InquiryAnswer::Unknown)
}

/// Revokes a call whose caller went away, so that it does not start.
pub fn spawn_revocation(node: &NodeHandle, target: TargetEntry, call: GateCall) {
    let node = node.clone();
    tokio::spawn(async move {
        let link = node.hop_pool.acquire(target.hop).await;
        if let Ok(link) = link {
            let life = link.boot_id;
            node.hop_pool.release(link);
            let _ = send_inquiry(&node, target.hop, INQUIRY_REVOKE, call.call, life).await;
        }
    });
}

/// Asks a gate about a call.
///
/// # Errors
///
/// [`LinkError`] when the gate cannot be reached. A gate in another life
/// answers, but cannot know.
pub async fn send_inquiry(
    node: &NodeHandle,
    hop: NodeAddress,
    question: &str,
    call: CallId,
    life: BootId,
) -> Result<InquiryAnswer, LinkError> {
    let mut link = node.hop_pool.open(hop).await?;
    if link.boot_id != life {
        return Ok(InquiryAnswer::Unknown);
    }
    let request = Request::builder()
        .method(Method::GET)
        .uri("/")
        .header(HOST, "gate")
        .header(headers::INQUIRY, question)
        .header(headers::CALL, call.to_string())
        .body(empty())
        .map_err(|error| LinkError::Lost(error.to_string()))?;
    let response = match exchange::send(&mut link, request).await {
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
    node.hop_pool.release(link);
    Ok(answer)
}

/// Returns the reason that stands for a lost exchange with a gate.
pub fn lost_exchange_reason(call: &GateCall, now: Instant) -> RefusalReason {
    if call.deadline.allows_attempt(now) {
        RefusalReason::GateLost
    } else {
        RefusalReason::Deadline
    }
}
