//! Sends admitted calls to their target and verifies that the response is the
//! answer to the call.

use std::time::Instant;

use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::timeout_at;
use wisteriaturn::gate::outcome::RefusalReason;

use crate::gate::answer_kind::AnswerKind;
use crate::gate::notice;
use crate::gate::targets::{self, LocalTarget};
use crate::http::accept_encoding::AcceptedEncodings;
use crate::http::body::{BufferedBody, NodeBody};
use crate::http::exchange::{self, ExchangeError, pooled_body};
use crate::http::headers;
use crate::http::pool::PooledConnection;
use crate::mesh::hop::GateCall;
use crate::node::NodeHandle;

/// Maximum size in bytes of a target's refusal that is read so that its
/// connection can be reused.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// The result of sending a started call to its target.
pub(crate) enum SendOutcome {
    /// The target answered this call.
    Answered(Box<Response<Incoming>>, PooledConnection),
    /// The target reported that it did not run the call.
    NotRun,
    /// The response belongs to another call or did not come from a target.
    Foreign,
    /// No answer arrived, and the call may have run.
    Lost(RefusalReason),
}

/// Sends a started call to its target. If the target has closed the reused
/// connection before any byte was sent, the call is sent again over a new one.
pub(crate) async fn send(
    node: &NodeHandle,
    call: &GateCall,
    mut connection: PooledConnection,
    target: &LocalTarget,
    mut request: Request<NodeBody>,
) -> SendOutcome {
    let map = request.headers_mut();
    let remaining = call.deadline.remaining(node.clock.now()).as_millis();
    headers::set(map, node.edge_headers.deadline_ms.clone(), remaining);
    headers::set(map, headers::CALL, call.call);
    if let Some(instance) = &target.instance {
        headers::set(map, node.edge_headers.expected_instance.clone(), instance);
    }
    let accepted = AcceptedEncodings::from_request(map);
    let deadline = call.deadline.at().into();
    loop {
        let sent_at = node.clock.now();
        let sent = timeout_at(deadline, exchange::send(&mut connection, request)).await;
        match sent {
            Ok(Ok(response)) => {
                let sent = SentCall {
                    call,
                    target,
                    accepted: &accepted,
                    sent_at,
                };
                return check(node, sent, response, connection).await;
            }
            Ok(Err(ExchangeError::Unsent(unsent))) if connection.is_reused => {
                request = *unsent;
                connection = match node.target_pool.open(target.address).await {
                    Ok(connection) => connection,
                    Err(_) => return SendOutcome::Lost(RefusalReason::TargetLost),
                };
            }
            Ok(Err(_)) => return SendOutcome::Lost(RefusalReason::TargetLost),
            Err(_) => return SendOutcome::Lost(RefusalReason::Deadline),
        }
    }
}

/// A call that was sent to its target.
struct SentCall<'a> {
    call: &'a GateCall,
    target: &'a LocalTarget,
    /// The encodings that the request accepts.
    accepted: &'a AcceptedEncodings,
    sent_at: Instant,
}

/// Checks whether a response is the target's answer to this call, and logs it if
/// it is not. Records what the target states in its answer.
async fn check(
    node: &NodeHandle,
    sent: SentCall<'_>,
    response: Response<Incoming>,
    mut connection: PooledConnection,
) -> SendOutcome {
    let SentCall { call, target, .. } = sent;
    let kind = AnswerKind::classify(
        &node.edge_headers,
        call.request_id.as_ref(),
        sent.accepted,
        &response,
    );
    connection.names_requests = call.request_id.as_ref().is_none_or(|request_id| {
        response.headers().get(&node.edge_headers.request_id) == Some(request_id)
    });
    if matches!(kind, AnswerKind::Own | AnswerKind::NotRun) {
        notice::record_answer(node, call, target, response.headers(), sent.sent_at);
    }
    if kind != AnswerKind::Own {
        log::warn!(
            event = "answer-refused",
            request:% = call.loggable_request_id(),
            service:% = call.service,
            target:% = target.address,
            standing:% = kind.name(),
            status = response.status().as_u16();
            "gate"
        );
    }
    match kind {
        AnswerKind::Own => SendOutcome::Answered(Box::new(response), connection),
        AnswerKind::Foreign => {
            // The next response on this connection may belong to any call, so
            // it is not reused. Idle connections may be in the same state.
            node.target_pool.close_idle(target.address);
            SendOutcome::Foreign
        }
        AnswerKind::NotRun => {
            drain_refusal(node, response, connection);
            SendOutcome::NotRun
        }
        AnswerKind::OtherTarget => {
            // Another target has taken over the address and will announce itself.
            targets::withdraw(node, &call.service).await;
            SendOutcome::NotRun
        }
    }
}

/// Reads the rest of a target's refusal, so that its connection can be reused.
fn drain_refusal(node: &NodeHandle, response: Response<Incoming>, connection: PooledConnection) {
    let timeout = node.settings.tuning.stall_timeout;
    let body = pooled_body(
        response.into_body(),
        connection,
        &node.target_pool,
        timeout,
        |_| (),
    );
    tokio::spawn(async move {
        // If reading fails, the connection is closed and there is nothing to
        // clean up.
        let _ = BufferedBody::read(body, MAX_REFUSAL_BYTES).await;
    });
}
