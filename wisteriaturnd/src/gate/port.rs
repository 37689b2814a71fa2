//! The port to which other nodes send calls: one task for each connection.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;
use wisteriaturn::gate::ledger::CallInquiry;
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};
use wisteriaturn::ids::{CallId, KeyHash, ServiceName};
use wisteriaturn::peer::message::{InquiryAnswer, encode};
use wisteriaturn::retry::deadline::CallDeadline;

use crate::body::{NodeBody, boxed, full};
use crate::gate::answer::refusal;
use crate::gate::run;
use crate::handshake::{self, PortUse};
use crate::headers;
use crate::hop::{ASK_REVOKE, GateCall};
use crate::node::{NodeHandle, NodeStage};

/// Connections that are open at once.
const CONNECTION_LIMIT: usize = 4096;

/// Largest head of a request in bytes; a caller's head with the mesh's own.
const HEAD_LIMIT: usize = 80 * 1024;

/// Longest wait for a call that runs when a node asks about it.
const ASK_TIME: Duration = Duration::from_secs(30);

/// Accepts connections until the node stops.
pub async fn accept_task(node: NodeHandle, listener: TcpListener, tracker: TaskTracker) {
    let connections = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    let mut stage = node.stage.subscribe();
    loop {
        // Connections that wait to be accepted when the node stops are still
        // served: a closed listener would reset them.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage >= NodeStage::Stopping) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            node.metrics.note_drop("hop-connections");
            continue;
        };
        let node = node.clone();
        tracker.spawn(async move {
            serve(node, stream).await;
            drop(permit);
        });
    }
}

async fn serve(node: NodeHandle, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let accepted =
        handshake::accept(&mut stream, &node.settings.keys, PortUse::Hop, node.life).await;
    if accepted.is_err() {
        node.metrics.note_drop("hop-unauthenticated");
        return;
    }
    let mut stage = node.stage.subscribe();
    let service = service_fn(|request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(handle(&node, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(HEAD_LIMIT)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stage.wait_for(|stage| *stage >= NodeStage::Stopping) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn handle(node: &NodeHandle, request: Request<Incoming>) -> Response<NodeBody> {
    let question = headers::text(request.headers(), &headers::ASK).map(str::to_owned);
    if let Some(question) = question {
        return answer_question(node, &question, &request).await;
    }
    match read_call(node, &request) {
        Some(call) => {
            let mut request = request.map(boxed);
            headers::strip_mesh(request.headers_mut());
            run::run(node, call, request).await
        }
        None => refusal(CallOutcome::NotRun, RefusalReason::BadRequest),
    }
}

/// Reads a call from the headers of a request between nodes.
fn read_call(node: &NodeHandle, request: &Request<Incoming>) -> Option<GateCall> {
    let map = request.headers();
    let service: ServiceName = headers::parsed(map, &headers::SERVICE)?;
    let is_idempotent: bool = headers::parsed(map, &headers::IDEMPOTENT)?;
    let key = map.get(headers::IDEMPOTENCY_KEY).filter(|_| !is_idempotent);
    Some(GateCall {
        call: headers::parsed(map, &headers::CALL)?,
        class: headers::parsed(map, &headers::CLASS)?,
        deadline: CallDeadline::of_call(&node.clock, headers::deadline(map)?, None),
        is_idempotent,
        fingerprint: headers::parsed(map, &headers::FINGERPRINT)?,
        key: key.map(|key| KeyHash::of_key(&service, key.as_bytes())),
        service,
    })
}

async fn answer_question(
    node: &NodeHandle,
    question: &str,
    request: &Request<Incoming>,
) -> Response<NodeBody> {
    let answer = match headers::parsed::<CallId>(request.headers(), &headers::CALL) {
        Some(call) => inquire(node, question, call).await,
        None => InquiryAnswer::Unknown,
    };
    let body = encode(&answer).unwrap_or_default();
    Response::new(full(Bytes::from(body)))
}

/// Returns what this gate knows of a call, waiting for one that runs.
pub async fn inquire(node: &NodeHandle, question: &str, call: CallId) -> InquiryAnswer {
    let inquiry = if question == ASK_REVOKE {
        node.ledger.revoke(call)
    } else {
        node.ledger.inquire(call)
    };
    match inquiry {
        CallInquiry::NotRun(reason) => InquiryAnswer::NotRun(reason),
        CallInquiry::Ended(end) => {
            node.metrics.handovers.inc();
            InquiryAnswer::Ended(end.as_ref().clone())
        }
        CallInquiry::Unknown => InquiryAnswer::Unknown,
        CallInquiry::Running(mut receiver) => {
            let ended = timeout(ASK_TIME, receiver.wait_for(Option::is_some)).await;
            match ended {
                Ok(Ok(end)) => {
                    node.metrics.handovers.inc();
                    end.as_ref().map_or(InquiryAnswer::Unknown, |end| {
                        InquiryAnswer::Ended(end.as_ref().clone())
                    })
                }
                Ok(Err(_)) | Err(_) => InquiryAnswer::Unknown,
            }
        }
    }
}
