//! The run of one call at the gate of its target.
//!
//! Everything up to [`CallGuard::start`] can still be refused as `not-run`;
//! everything after it cannot. An idempotent call runs in the task of its
//! connection, so it ends when its node goes away. Any other call runs in a
//! task of its own: a cut link must not end it half way, and its answer is
//! kept for a node that asks.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::timeout_at;
use wisteriaturn::gate::claim::{ClaimHolder, ClaimOutcome};
use wisteriaturn::gate::ledger::{CallGuard, CallResult, MAX_STORED_BODY_BYTES, StoredAnswer};
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};
use wisteriaturn::gate::slots::SlotPermit;
use wisteriaturn::ids::KeyHash;
use wisteriaturn::peer::message::InquiryAnswer;

use crate::gate::admit::{AdmittedCall, admit, record_run};
use crate::gate::answer::{inquiry_response, refusal, stored_response};
use crate::gate::crash::{check_crash, handle_body_end};
use crate::gate::port;
use crate::gate::send::{SendOutcome, send};
use crate::http::body::{BodyEnd, BufferedBody, NodeBody, OnEndBody, boxed};
use crate::http::exchange::pooled_body;
use crate::http::headers;
use crate::http::pool::PooledConnection;
use crate::mesh::hop::{self, ASK_INQUIRE, GateCall};
use crate::node::NodeHandle;

/// Runs a call, or refuses it. The answer carries its outcome and how full
/// the gate is.
pub async fn run(
    node: &NodeHandle,
    call: GateCall,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    let (service, route) = (call.service.clone(), call.route.clone());
    let mut response = if call.is_idempotent {
        run_idempotent(node, &call, request).await
    } else {
        let node = node.clone();
        let task = tokio::spawn(async move { run_once(&node, call, request).await });
        // A task that panicked may have sent the call.
        task.await
            .unwrap_or_else(|_| refusal(CallOutcome::Unknown, RefusalReason::TargetLost))
    };
    if let Some(target) = node.targets.get(&service) {
        let load = target.gate.load();
        let map = response.headers_mut();
        headers::set(map, headers::BUSY, load.busy + load.waiting);
        if let Some(held) = route.and_then(|route| node.run_estimates.measured(&route)) {
            headers::set(map, headers::MEAN_RUN_US, held.run_time.as_micros());
        }
        headers::set(
            map,
            headers::EXPECTED_WAIT_MS,
            load.expected_wait().as_millis(),
        );
    }
    response
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
        link,
        target,
    } = admitted;
    let address = target.address;
    let started = node.clock.now();
    node.metrics.target_runs.inc();
    let (response, link) = match send(node, call, link, &target, request).await {
        SendOutcome::Answered(response, link) => (*response, link),
        SendOutcome::NotRun => return refusal(CallOutcome::NotRun, RefusalReason::TargetBusy),
        SendOutcome::Foreign => return refusal(CallOutcome::Unknown, RefusalReason::TargetLost),
        SendOutcome::Lost(reason) => return lost(node, call, address, reason).await,
    };
    let (mut parts, body) = response.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_mesh(&mut parts.headers);
    headers::set(&mut parts.headers, headers::OUTCOME, CallOutcome::Done);
    let (owner, call) = (node.clone(), call.clone());
    let stall = node.settings.tuning.stall_timeout;
    let body = pooled_body(body, link, &node.target_pool, stall, move |end| {
        drop(permit);
        if end == BodyEnd::Whole {
            record_run(&owner, &call, started);
        }
        handle_body_end(owner, &call, address, end);
    });
    Response::from_parts(parts, body)
}

async fn run_once(
    node: &NodeHandle,
    call: GateCall,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    let guard = match node.ledger.register(call.call) {
        Ok(guard) => guard,
        Err(reason) => return refusal(CallOutcome::NotRun, reason),
    };
    if let Some(key) = call.key {
        match claim(node, &call, key).await {
            ClaimOutcome::Won => {}
            ClaimOutcome::Lost(holder) => {
                guard.finish(CallResult::Refused(RefusalReason::ClaimLost));
                return ask_holder(node, &call, holder).await;
            }
            ClaimOutcome::Unavailable => {
                // The claim may still reach the log, so it is freed as well.
                return refuse(node, &call, guard, RefusalReason::ClaimUnavailable);
            }
        }
    }
    match admit(node, &call).await {
        Ok(admitted) => run_admitted(node, call, request, guard, admitted).await,
        Err(reason) => refuse(node, &call, guard, reason),
    }
}

/// Ends a call that was not started.
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
        link,
        target,
    } = admitted;
    let address = target.address;
    let started = node.clock.now();
    let sent = send(node, &call, link, &target, request).await;
    let run = StartedRun {
        node: node.clone(),
        call,
        guard,
        permit,
        address,
        started,
    };
    match sent {
        SendOutcome::Answered(response, link) => run.deliver(*response, link).await,
        SendOutcome::NotRun => run.take_back(),
        SendOutcome::Foreign => run.lose_unchecked(),
        SendOutcome::Lost(reason) => run.lose(reason).await,
    }
}

/// A call that is not idempotent and was sent to its target.
struct StartedRun {
    node: NodeHandle,
    call: GateCall,
    guard: CallGuard,
    permit: SlotPermit,
    address: SocketAddr,
    started: Instant,
}

impl StartedRun {
    /// Ends a run without a whole answer.
    async fn lose(self, reason: RefusalReason) -> Response<NodeBody> {
        drop(self.permit);
        self.guard.finish(CallResult::Lost);
        lost(&self.node, &self.call, self.address, reason).await
    }

    /// Ends a run whose exchange brought another call's answer. The target
    /// lives, so there is no crash to look for.
    fn lose_unchecked(self) -> Response<NodeBody> {
        drop(self.permit);
        self.guard.finish(CallResult::Lost);
        refusal(CallOutcome::Unknown, RefusalReason::TargetLost)
    }

    /// Ends a call of which its target said that it did not run it.
    fn take_back(self) -> Response<NodeBody> {
        drop(self.permit);
        self.guard.finish_not_run(RefusalReason::TargetBusy);
        if let Some(key) = self.call.key {
            self.node.claims.release(&self.node, key, self.call.call);
        }
        refusal(CallOutcome::NotRun, RefusalReason::TargetBusy)
    }

    /// Reads the answer, so that it can be kept until it is whole.
    async fn deliver(
        self,
        response: Response<Incoming>,
        link: PooledConnection,
    ) -> Response<NodeBody> {
        let (parts, body) = response.into_parts();
        let kept = StoredAnswer {
            status: parts.status.as_u16(),
            headers: kept_headers(parts.headers),
            body: Bytes::new(),
        };
        let stall = self.node.settings.tuning.stall_timeout;
        let body = pooled_body(body, link, &self.node.target_pool, stall, |_| ());
        let until = self.call.deadline.at().into();
        match timeout_at(until, BufferedBody::read(body, MAX_STORED_BODY_BYTES)).await {
            Ok(Ok(BufferedBody::Whole(body))) => self.keep(StoredAnswer { body, ..kept }),
            Ok(Ok(large)) => self.stream(&kept, large),
            Ok(Err(_)) => self.lose(RefusalReason::TargetLost).await,
            Err(_) => self.lose(RefusalReason::Deadline).await,
        }
    }

    fn keep(self, kept: StoredAnswer) -> Response<NodeBody> {
        drop(self.permit);
        record_run(&self.node, &self.call, self.started);
        let response = stored_response(&kept);
        self.guard.finish(CallResult::Answered(kept));
        handle_body_end(self.node, &self.call, self.address, BodyEnd::Whole);
        response
    }

    /// Streams an answer that is too large to keep; a lost link loses it.
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

fn kept_headers(mut map: hyper::HeaderMap) -> Vec<(Bytes, Bytes)> {
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

/// Answers a call whose exchange with the target was lost.
async fn lost(
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
        run: call.call,
        hop: node.settings.hop,
        boot_id: node.boot_id,
    };
    node.claims.claim(key, holder, call.deadline.at()).await
}

/// Answers with the result of the run that holds the key.
async fn ask_holder(node: &NodeHandle, call: &GateCall, holder: ClaimHolder) -> Response<NodeBody> {
    let asked = async {
        if holder.hop == node.settings.hop {
            if holder.boot_id != node.boot_id {
                return InquiryAnswer::Unknown;
            }
            return port::inquire(node, ASK_INQUIRE, holder.run).await;
        }
        hop::ask(node, holder.hop, ASK_INQUIRE, holder.run, holder.boot_id)
            .await
            .unwrap_or(InquiryAnswer::Unknown)
    };
    let answer = timeout_at(call.deadline.at().into(), asked)
        .await
        .unwrap_or(InquiryAnswer::Unknown);
    inquiry_response(&answer, RefusalReason::ClaimLost)
}
