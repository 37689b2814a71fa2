//! The exchange of an admitted call with its target, and the judgement whether
//! what came back is the answer to it.

use hyper::body::Incoming;
use hyper::header::ACCEPT_ENCODING;
use hyper::{Request, Response};
use tokio::time::timeout_at;
use wisteriaturn::gate::outcome::RefusalReason;

use crate::gate::answer_kind::AnswerKind;
use crate::gate::targets::{self, LocalTarget};
use crate::http::body::{BufferedBody, NodeBody};
use crate::http::exchange::{self, ExchangeError, pooled_body};
use crate::http::headers;
use crate::http::pool::PooledConnection;
use crate::mesh::hop::GateCall;
use crate::node::NodeHandle;

/// Bytes of a target's refusal that are read to keep its connection.
const REFUSAL_LIMIT: usize = 64 * 1024;

/// How the exchange of a started call ended.
pub(crate) enum SendOutcome {
    /// The target answered this call.
    Answered(Box<Response<Incoming>>, PooledConnection),
    /// The target says that it did not run the call.
    NotRun,
    /// What came belongs to another call or did not come from the target.
    Foreign,
    /// The exchange was lost.
    Lost(RefusalReason),
}

/// Sends a started call. A connection that the target had closed meanwhile
/// took no byte, and the call goes out over a new one.
pub(crate) async fn send(
    node: &NodeHandle,
    call: &GateCall,
    mut link: PooledConnection,
    target: &LocalTarget,
    mut request: Request<NodeBody>,
) -> SendOutcome {
    let map = request.headers_mut();
    let left = call.deadline.remaining(node.clock.now()).as_millis();
    headers::set(map, node.edge.deadline_ms.clone(), left);
    headers::set(map, headers::CALL, call.call);
    if let Some(instance) = &target.instance {
        headers::set(map, node.edge.expected_instance.clone(), instance);
    }
    let may_encode = map.contains_key(ACCEPT_ENCODING);
    let until = call.deadline.at().into();
    loop {
        let sent = timeout_at(until, exchange::send(&mut link, request)).await;
        match sent {
            Ok(Ok(response)) => {
                return judge(node, call, target, may_encode, response, link).await;
            }
            Ok(Err(ExchangeError::Unsent(unsent))) if link.is_reused => {
                request = *unsent;
                link = match node.target_pool.open(target.address).await {
                    Ok(link) => link,
                    Err(_) => return SendOutcome::Lost(RefusalReason::TargetLost),
                };
            }
            Ok(Err(_)) => return SendOutcome::Lost(RefusalReason::TargetLost),
            Err(_) => return SendOutcome::Lost(RefusalReason::Deadline),
        }
    }
}

/// Tells whether an answer is the target's own answer to this call.
async fn judge(
    node: &NodeHandle,
    call: &GateCall,
    target: &LocalTarget,
    may_encode: bool,
    response: Response<Incoming>,
    link: PooledConnection,
) -> SendOutcome {
    let standing =
        AnswerKind::classify(&node.edge, call.request_id.as_ref(), may_encode, &response);
    if standing != AnswerKind::Own {
        log::warn!(
            event = "answer-refused",
            request:% = call.request_text(),
            service:% = call.service,
            target:% = target.address,
            standing:% = standing.name(),
            status = response.status().as_u16();
            "gate"
        );
    }
    match standing {
        AnswerKind::Own => SendOutcome::Answered(Box::new(response), link),
        AnswerKind::Foreign => {
            // The next answer on this connection may be ours, or anything.
            node.target_pool.close_idle(target.address);
            SendOutcome::Foreign
        }
        AnswerKind::NotRun => {
            finish_refusal(node, response, link);
            SendOutcome::NotRun
        }
        AnswerKind::OtherTarget => {
            // Another target took the address over; it will announce itself.
            targets::withdraw(node, &call.service).await;
            SendOutcome::NotRun
        }
    }
}

/// Reads the rest of a target's refusal, so that its connection can be kept.
fn finish_refusal(node: &NodeHandle, response: Response<Incoming>, link: PooledConnection) {
    let stall = node.settings.tuning.stall_timeout;
    let body = pooled_body(response.into_body(), link, &node.target_pool, stall, |_| ());
    tokio::spawn(async move {
        // A body that fails closes its connection, which is all there is to do.
        let _ = BufferedBody::read(body, REFUSAL_LIMIT).await;
    });
}
