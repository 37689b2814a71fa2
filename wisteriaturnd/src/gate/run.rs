//! Runs calls at the gate of their target.
//!
//! A call can be refused as `not-run` only until [`CallGuard::start`]. An
//! idempotent call runs in the task of its connection and is cancelled when the
//! calling node disconnects. Any other call runs in its own task, so that a
//! broken connection does not interrupt it, and its answer is stored for nodes
//! that inquire about the call.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::timeout_at;
use wisteriaturn::gate::claim::{ClaimHolder, ClaimOutcome};
use wisteriaturn::gate::ledger::{
    CallGuard, CallResult, LedgerLosses, MAX_STORED_BODY_BYTES, StoredAnswer,
};
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};
use wisteriaturn::gate::slots::SlotPermit;
use wisteriaturn::ids::KeyHash;
use wisteriaturn::peer::message::InquiryAnswer;
use wisteriaturn::route::news::NewsList;

use crate::gate::admit::{AdmittedCall, admit, record_run};
use crate::gate::answer::{inquiry_response, refusal, stored_response};
use crate::gate::crash::{check_crash, handle_body_end};
use crate::gate::notice::current_notice;
use crate::gate::pace;
use crate::gate::port;
use crate::gate::send::{SendOutcome, send};
use crate::http::body::{BodyEnd, BufferedBody, NodeBody, OnEndBody, boxed};
use crate::http::exchange::pooled_body;
use crate::http::headers;
use crate::http::pool::PooledConnection;
use crate::mesh::hop::{self, GateCall, INQUIRY_STATUS};
use crate::node::NodeHandle;

/// Runs or refuses a call. Headers of the response state the outcome of the call
/// and the load of the gate.
pub async fn run(
    node: &NodeHandle,
    call: GateCall,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    let mut response = if call.is_idempotent {
        run_idempotent(node, &call, request).await
    } else {
        let (node, call) = (node.clone(), call.clone());
        let task = tokio::spawn(async move { run_once(&node, call, request).await });
        // If the task panicked, the call may have been sent.
        task.await
            .unwrap_or_else(|_| refusal(CallOutcome::Unknown, RefusalReason::TargetLost))
    };
    report_load(node, &call, &mut response);
    response
}

/// Adds the load of this gate to a response, by which other nodes choose targets.
pub(crate) fn report_load(node: &NodeHandle, call: &GateCall, response: &mut Response<NodeBody>) {
    let Some(target) = node.targets.get(&call.service) else {
        return;
    };
    let load = target.gate.load();
    let map = response.headers_mut();
    headers::set(map, headers::BUSY, load.busy + load.waiting);
    let route = call.route.as_ref();
    if let Some(mean) = route.and_then(|route| node.run_estimates.measured(route)) {
        headers::set(map, headers::MEAN_RUN_US, mean.run_time.as_micros());
    }
    let link_wait = node.transfers.load().expected_wait();
    if !link_wait.is_zero() {
        headers::set(map, headers::LINK_WAIT_MS, link_wait.as_millis());
    }
    let answer_wait = pace::link_wait(node);
    if !answer_wait.is_zero() {
        headers::set(map, headers::ANSWER_WAIT_MS, answer_wait.as_millis());
    }
    let news = node.settings.placement.shared_news;
    if news > 0 {
        let now = node.clock.now();
        let news = node.load.with_service(&call.service, |load| {
            load.newest_news(node.address(), news, now)
        });
        if !news.is_empty() {
            headers::set(map, headers::TARGET_NEWS, NewsList(news));
        }
    }
    if let Some(notice) = current_notice(node, &target) {
        headers::set(map, headers::TARGET_NOTICE, notice);
    }
    headers::set(
        map,
        headers::EXPECTED_WAIT_MS,
        load.expected_wait().as_millis(),
    );
}

async fn run_idempotent(
    node: &NodeHandle,
    call: &GateCall,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    let admitted = match admit(node, call).await {
        Ok(admitted) => admitted,
        Err(reason) => return refusal(CallOutcome::NotRun, reason),
    };
    let AdmittedCall {
        permit,
        connection,
        target,
    } = admitted;
    let address = target.address;
    let started = node.clock.now();
    node.metrics.target_runs.inc();
    let outcome = send(node, call, connection, &target, request).await;
    record_evidence(node, call, &outcome, started);
    let (response, connection) = match outcome {
        SendOutcome::Answered(response, connection) => (*response, connection),
        SendOutcome::NotRun => return refusal(CallOutcome::NotRun, RefusalReason::TargetBusy),
        SendOutcome::Foreign => return refusal(CallOutcome::Unknown, RefusalReason::TargetLost),
        SendOutcome::Lost(reason) => return lost_response(node, call, address, reason).await,
    };
    let (mut parts, body) = response.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_mesh(&mut parts.headers);
    headers::set(&mut parts.headers, headers::OUTCOME, CallOutcome::Done);
    let (owned_node, call) = (node.clone(), call.clone());
    let timeout = node.settings.tuning.stall_timeout;
    let body = pooled_body(body, connection, &node.target_pool, timeout, move |end| {
        drop(permit);
        if end == BodyEnd::Whole {
            record_run(&owned_node, &call, started);
        }
        handle_body_end(owned_node, &call, address, end);
    });
    Response::from_parts(parts, body)
}

/// Counts the result of a run for the roll-out of its service.
fn record_evidence(node: &NodeHandle, call: &GateCall, outcome: &SendOutcome, started: Instant) {
    let is_failure = match outcome {
        SendOutcome::Answered(response, _) => response.status().is_server_error(),
        SendOutcome::Foreign | SendOutcome::Lost(_) => true,
        SendOutcome::NotRun => return,
    };
    let run_time = node.clock.now().saturating_duration_since(started);
    node.rollouts
        .record_run(&call.service, call.route.as_ref(), is_failure, run_time);
}

async fn run_once(
    node: &NodeHandle,
    call: GateCall,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    let registered = node.ledger.register(call.call);
    report_losses(node);
    let guard = match registered {
        Ok(guard) => guard,
        Err(reason) => return refusal(CallOutcome::NotRun, reason),
    };
    if let Some(key) = call.key {
        match claim(node, &call, key).await {
            ClaimOutcome::Won => {}
            ClaimOutcome::Lost(holder) => {
                guard.finish(CallResult::Refused(RefusalReason::ClaimLost));
                return inquire_holder(node, &call, holder).await;
            }
            ClaimOutcome::Unavailable => {
                // The claim may still be written to the log, so release it.
                return refuse(node, &call, guard, RefusalReason::ClaimUnavailable);
            }
        }
    }
    match admit(node, &call).await {
        Ok(admitted) => run_admitted(node, call, request, guard, admitted).await,
        Err(reason) => refuse(node, &call, guard, reason),
    }
}

/// Counts and logs what the ledger has given up because one of its limits was reached.
fn report_losses(node: &NodeHandle) {
    let losses = node.ledger.take_losses();
    if losses == LedgerLosses::default() {
        return;
    }
    let causes = [
        ("ledger-results", losses.results),
        ("ledger-ended", losses.ended),
        ("ledger-revocations", losses.revocations),
    ];
    for (cause, count) in causes {
        node.metrics.record_drops(cause, count);
    }
    // Results are given up with each call while there are many; that alone changes nothing
    // for callers.
    let level = if losses.revocations > 0 {
        log::Level::Warn
    } else {
        log::Level::Debug
    };
    log::log!(
        level,
        event = "ledger-full",
        results = losses.results,
        ended = losses.ended,
        revocations = losses.revocations;
        "gate"
    );
}

/// Refuses a call that has not started and releases its claim.
fn refuse(
    node: &NodeHandle,
    call: &GateCall,
    guard: CallGuard,
    reason: RefusalReason,
) -> Response<NodeBody> {
    guard.finish(CallResult::Refused(reason));
    if let Some(key) = call.key {
        node.claims.release(node, key, call.call);
    }
    refusal(CallOutcome::NotRun, reason)
}

async fn run_admitted(
    node: &NodeHandle,
    call: GateCall,
    request: Request<NodeBody>,
    mut guard: CallGuard,
    admitted: AdmittedCall,
) -> Response<NodeBody> {
    if let Err(reason) = guard.start() {
        return refuse(node, &call, guard, reason);
    }
    node.metrics.target_runs.inc();
    let AdmittedCall {
        permit,
        connection,
        target,
    } = admitted;
    let address = target.address;
    let started = node.clock.now();
    let outcome = send(node, &call, connection, &target, request).await;
    record_evidence(node, &call, &outcome, started);
    let run = StartedRun {
        node: node.clone(),
        call,
        guard,
        permit,
        address,
        started,
    };
    match outcome {
        SendOutcome::Answered(response, connection) => run.respond(*response, connection).await,
        SendOutcome::NotRun => run.finish_not_run(),
        SendOutcome::Foreign => run.finish_foreign(),
        SendOutcome::Lost(reason) => run.finish_lost(reason).await,
    }
}

/// A non-idempotent call that was sent to its target.
struct StartedRun {
    node: NodeHandle,
    call: GateCall,
    guard: CallGuard,
    permit: SlotPermit,
    address: SocketAddr,
    started: Instant,
}

impl StartedRun {
    /// Ends the run without a complete answer.
    async fn finish_lost(self, reason: RefusalReason) -> Response<NodeBody> {
        drop(self.permit);
        self.guard.finish(CallResult::Lost);
        lost_response(&self.node, &self.call, self.address, reason).await
    }

    /// Ends the run after a response that is not the answer to this call. The
    /// target is alive, so it is not checked for a crash.
    fn finish_foreign(self) -> Response<NodeBody> {
        drop(self.permit);
        self.guard.finish(CallResult::Lost);
        refusal(CallOutcome::Unknown, RefusalReason::TargetLost)
    }

    /// Ends the run after the target reported that it did not run the call.
    fn finish_not_run(self) -> Response<NodeBody> {
        drop(self.permit);
        self.guard.finish_not_run(RefusalReason::TargetBusy);
        if let Some(key) = self.call.key {
            self.node.claims.release(&self.node, key, self.call.call);
        }
        refusal(CallOutcome::NotRun, RefusalReason::TargetBusy)
    }

    /// Stores the answer if it fits into [`MAX_STORED_BODY_BYTES`], and streams it
    /// otherwise.
    async fn respond(
        self,
        response: Response<Incoming>,
        connection: PooledConnection,
    ) -> Response<NodeBody> {
        let (parts, body) = response.into_parts();
        let answer = StoredAnswer {
            status: parts.status.as_u16(),
            headers: stored_headers(parts.headers),
            body: Bytes::new(),
        };
        let timeout = self.node.settings.tuning.stall_timeout;
        let body = pooled_body(body, connection, &self.node.target_pool, timeout, |_| ());
        let deadline = self.call.deadline.at().into();
        match timeout_at(deadline, BufferedBody::read(body, MAX_STORED_BODY_BYTES)).await {
            Ok(Ok(BufferedBody::Whole(body))) => self.store(StoredAnswer { body, ..answer }),
            Ok(Ok(large)) => self.stream(&answer, large),
            Ok(Err(_)) => self.finish_lost(RefusalReason::TargetLost).await,
            Err(_) => self.finish_lost(RefusalReason::Deadline).await,
        }
    }

    /// Stores a complete answer and returns it as the response.
    fn store(self, answer: StoredAnswer) -> Response<NodeBody> {
        drop(self.permit);
        record_run(&self.node, &self.call, self.started);
        let response = stored_response(&answer);
        self.guard.finish(CallResult::Answered(answer));
        handle_body_end(self.node, &self.call, self.address, BodyEnd::Whole);
        response
    }

    /// Streams an answer that is too large to store. If the connection to the
    /// calling node breaks, the answer is lost.
    fn stream(self, head: &StoredAnswer, mut large: BufferedBody) -> Response<NodeBody> {
        let rest = large
            .take_for_attempt()
            .unwrap_or_else(crate::http::body::empty);
        let body = OnEndBody::new(rest, move |end| {
            drop(self.permit);
            self.guard.finish(CallResult::TooLarge);
            handle_body_end(self.node, &self.call, self.address, end);
        });
        stored_response(head).map(|_| boxed(body))
    }
}

/// Returns the headers to store with an answer: all except `Content-Length` and
/// those of the connection and of the mesh.
fn stored_headers(mut map: hyper::HeaderMap) -> Vec<(Bytes, Bytes)> {
    headers::strip_hop_by_hop(&mut map);
    headers::strip_mesh(&mut map);
    map.remove(hyper::header::CONTENT_LENGTH);
    map.iter()
        .map(|(name, value)| {
            (
                Bytes::copy_from_slice(name.as_str().as_bytes()),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect()
}

/// Returns the response to a call whose exchange with the target failed. If the
/// connection broke, checks whether the target has crashed; a call that may have
/// caused a crash must not be retried.
async fn lost_response(
    node: &NodeHandle,
    call: &GateCall,
    address: SocketAddr,
    reason: RefusalReason,
) -> Response<NodeBody> {
    let mut response = refusal(CallOutcome::Unknown, reason);
    let is_suspect = reason == RefusalReason::TargetLost && check_crash(node, call, address).await;
    if is_suspect {
        headers::set(response.headers_mut(), headers::NO_RETRY, true);
    }
    response
}

async fn claim(node: &NodeHandle, call: &GateCall, key: KeyHash) -> ClaimOutcome {
    let holder = ClaimHolder {
        call: call.call,
        hop: node.settings.hop,
        boot_id: node.boot_id,
    };
    node.claims.claim(key, holder, call.deadline.at()).await
}

/// Responds with the result of the run that holds the idempotency key.
async fn inquire_holder(
    node: &NodeHandle,
    call: &GateCall,
    holder: ClaimHolder,
) -> Response<NodeBody> {
    let inquiry = async {
        if holder.hop == node.settings.hop {
            if holder.boot_id != node.boot_id {
                return InquiryAnswer::Unknown;
            }
            return port::inquire(node, INQUIRY_STATUS, holder.call).await;
        }
        hop::send_inquiry(
            node,
            holder.hop,
            INQUIRY_STATUS,
            holder.call,
            holder.boot_id,
        )
        .await
        .unwrap_or(InquiryAnswer::Unknown)
    };
    let answer = timeout_at(call.deadline.at().into(), inquiry)
        .await
        .unwrap_or(InquiryAnswer::Unknown);
    inquiry_response(&answer, RefusalReason::ClaimLost)
}
