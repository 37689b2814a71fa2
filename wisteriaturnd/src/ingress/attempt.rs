//! The attempts of one call.
//!
//! Whether an attempt may follow another depends on what is proved about the
//! one before: `not-run` may be retried for any call, `unknown` only for an
//! idempotent one or one with a key, which the claim guards. Each retry needs
//! the budget of its service, time before the deadline, and a body that can be
//! sent again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Body;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use rand::RngExt;
use tokio::time::timeout_at;
use wisteriaturn::clock::lock;
use wisteriaturn::config::view::{RouteEntry, ServiceEntry, ServingView, TargetEntry};
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};
use wisteriaturn::gate::quarantine::QuarantineStatus;
use wisteriaturn::ids::{CallId, Fingerprint, KeyHash, NodeAddress};
use wisteriaturn::retry::budget::RetryBudget;
use wisteriaturn::retry::deadline::CallDeadline;
use wisteriaturn::route::load::AttemptResult;

use crate::gate::answer::{inquiry_response, refusal};
use crate::gate::run;
use crate::http::body::{BufferedBody, NodeBody, OnEndBody, boxed, empty};
use crate::http::headers;
use crate::ingress::liveness::wait_until_unresponsive;
use crate::ingress::selection::{ChosenTarget, choose_next_target};
use crate::logs::Sanitized;
use crate::mesh::hop::{self, GateCall, HopResult};
use crate::node::NodeHandle;

/// Most attempts of one call, those included that a gate refused.
const ATTEMPT_LIMIT: usize = 4;

/// Most targets that one call is sent to where its route does not say.
const TARGET_LIMIT: u32 = 3;

/// Bytes of an answer that are read before its head is passed on, so that an
/// answer which breaks off can still be asked for elsewhere. Pages and tables
/// fit; archives beyond it stream.
const ANSWER_LIMIT: usize = 256 * 1024;

/// Time that a target is passed over after its gate could not be reached.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);

/// Least time after which a refused caller may come again.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(20);

/// When a caller may come again if no gate said when it expects room.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A call with its route and all that an attempt needs.
#[derive(Debug)]
pub struct RoutedCall {
    /// The view that the call keeps to its end.
    pub view: Arc<ServingView>,
    /// Its route.
    pub route: Arc<RouteEntry>,
    /// The service chosen.
    pub service: Arc<ServiceEntry>,
    /// The caller's name for its attempt.
    pub request_id: Option<HeaderValue>,
    /// Until when its answer is worth most.
    pub soft_deadline: CallDeadline,
    /// When the answer must be there.
    pub deadline: CallDeadline,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
    /// Whether the caller gave an idempotency key.
    pub has_key: bool,
    /// What the target would see.
    pub fingerprint: Fingerprint,
    /// Head of the request, without headers of the connection or the mesh.
    pub parts: Parts,
    /// Body of the request.
    pub body: BufferedBody,
}

impl RoutedCall {
    /// Returns the caller's name for its attempt, for log lines.
    pub(crate) fn request_text(&self) -> Sanitized<'_> {
        Sanitized::from_header(self.request_id.as_ref())
    }
}

/// What an attempt led to.
#[derive(Debug)]
struct AttemptEnd {
    response: Response<NodeBody>,
    outcome: CallOutcome,
    reason: Option<RefusalReason>,
    report: GateReport,
    is_final: bool,
}

/// What a gate says of itself with each answer.
#[derive(Debug, Clone, Copy, Default)]
struct GateReport {
    busy: Option<u32>,
    mean_run: Option<Duration>,
    room_after: Option<Duration>,
}

/// How often a call was tried.
#[derive(Debug, Default)]
struct AttemptCount {
    tried: Vec<NodeAddress>,
    crowded: Vec<NodeAddress>,
    reached: u32,
    room_after: Option<Duration>,
}

impl AttemptEnd {
    /// Tells whether the target answered with a failure of its own, which a
    /// second one may spare the caller.
    fn is_target_failure(&self) -> bool {
        self.outcome == CallOutcome::Done && self.response.status().is_server_error()
    }

    fn has_reached_target(&self) -> bool {
        self.outcome == CallOutcome::Done
            || self
                .reason
                .is_some_and(RefusalReason::may_have_reached_target)
    }
}

/// Makes attempts until one has an answer or no other may follow.
pub async fn run(node: &NodeHandle, mut call: RoutedCall) -> Response<NodeBody> {
    let budget = node.retry_budget(&call.service.spec.name);
    budget.record_call(call.service.spec.retry_percent);
    let mut count = AttemptCount::default();
    // The answer to an attempt that may have run: from then on the call as a
    // whole is no longer `not-run`, whatever becomes of later attempts.
    let mut doubt = None;
    let mut refused = None;
    while let Some(place) = choose_next_target(node, &call, &count.tried, &count.crowded) {
        let end = attempt(node, &mut call, &place, count.all() + 1).await;
        count.note(&end, place.target.node);
        let may_follow = may_follow(node, &call, &end, &count)
            && (!end.has_reached_target() || take_retry(node, &budget));
        if end.outcome == CallOutcome::Done && !(may_follow && end.is_target_failure()) {
            return end.response;
        }
        match end.outcome {
            CallOutcome::NotRun => refused = Some(end.response),
            CallOutcome::Done | CallOutcome::Unknown => doubt = Some(end.response),
        }
        if !may_follow {
            break;
        }
    }
    let none = || refusal(CallOutcome::NotRun, RefusalReason::NoTarget);
    let mut response = doubt.or(refused).unwrap_or_else(none);
    let after = count.room_after.unwrap_or(RETRY_AFTER);
    node.set_retry_after(&mut response, spread(after));
    response
}

/// Spreads the return of callers that were refused together, so that they do
/// not come back as one herd.
fn spread(after: Duration) -> Duration {
    after.mul_f64(rand::rng().random_range(0.8..1.6)) + LEAST_RETRY_AFTER
}

impl AttemptCount {
    fn all(&self) -> usize {
        self.tried.len() + self.crowded.len()
    }

    fn note(&mut self, end: &AttemptEnd, node: NodeAddress) {
        match end.reason {
            Some(RefusalReason::Crowded) => self.crowded.push(node),
            Some(_) | None => self.tried.push(node),
        }
        self.reached += u32::from(end.has_reached_target());
        if let Some(room) = end.report.room_after {
            let soonest = self.room_after.map_or(room, |held| held.min(room));
            self.room_after = Some(soonest);
        }
    }
}

fn take_retry(node: &NodeHandle, budget: &RetryBudget) -> bool {
    let is_taken = budget.try_take();
    if is_taken {
        node.metrics.retries.inc();
    } else {
        node.metrics.retries_refused.inc();
    }
    is_taken
}

/// Tells whether another attempt may follow one that ended so.
fn may_follow(
    node: &NodeHandle,
    call: &RoutedCall,
    end: &AttemptEnd,
    count: &AttemptCount,
) -> bool {
    let is_proved = match end.outcome {
        CallOutcome::Done => call.is_idempotent && end.is_target_failure(),
        CallOutcome::NotRun => true,
        CallOutcome::Unknown => call.is_idempotent || call.has_key,
    };
    let is_worth_it = match end.reason {
        Some(reason) => reason.is_retryable_elsewhere(),
        None => end.is_target_failure(),
    };
    let now = node.clock.now();
    let standing = lock(&node.suspects).status(call.fingerprint, now);
    let most = call.route.spec.max_attempts.unwrap_or(TARGET_LIMIT);
    is_proved
        && is_worth_it
        && !end.is_final
        && count.tried.len() < ATTEMPT_LIMIT
        && count.reached < most
        && call.body.is_replayable()
        && call.deadline.allows_attempt(now)
        && standing == QuarantineStatus::Clean
}

async fn attempt(
    node: &NodeHandle,
    call: &mut RoutedCall,
    place: &ChosenTarget,
    number: usize,
) -> AttemptEnd {
    let target = &place.target;
    let gate_call = gate_call(call, place.max_wait);
    let body = call.body.take_for_attempt().unwrap_or_else(empty);
    let mut request = Request::new(body);
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    *request.headers_mut() = call.parts.headers.clone();
    let service = &call.service.spec.name;
    let started = node.clock.now();
    node.load
        .with_service(service, |load| load.start_attempt(target));
    let mut guard = AttemptGuard {
        node: node.clone(),
        target: target.clone(),
        call: gate_call.clone(),
        is_answered: false,
    };
    let response = send(node, target, &gate_call, request).await;
    guard.is_answered = true;
    let end = hold_answer(&gate_call, read_end(response)).await;
    note_end(node, call, target, &end, started);
    let is_news = end.outcome != CallOutcome::Done || number > 1;
    let level = if is_news {
        log::Level::Info
    } else {
        log::Level::Debug
    };
    log::log!(
        level,
        event = "attempt",
        request:% = gate_call.request_text(),
        call:% = gate_call.call,
        target:% = target.node,
        attempt = number,
        outcome:% = end.outcome,
        reason:% = end.reason.map_or("none", RefusalReason::name);
        "route"
    );
    AttemptEnd {
        response: end.response.map(|body| hold_until_end(body, guard)),
        ..end
    }
}

fn gate_call(call: &RoutedCall, patience: Duration) -> GateCall {
    let service = call.service.spec.name.clone();
    let key = call.parts.headers.get(headers::IDEMPOTENCY_KEY);
    GateCall {
        call: CallId(rand::random()),
        class: call.route.spec.class,
        priority: call.route.spec.priority,
        route: Some(call.route.spec.name.clone()),
        aim: call.soft_deadline,
        request_id: call.request_id.clone(),
        deadline: call.deadline,
        patience,
        is_idempotent: call.is_idempotent,
        fingerprint: call.fingerprint,
        key: key
            .filter(|_| !call.is_idempotent)
            .map(|key| KeyHash::of_key(&service, key.as_bytes())),
        service,
    }
}

/// Sends an attempt to its gate, which may be in this process.
async fn send(
    node: &NodeHandle,
    target: &TargetEntry,
    call: &GateCall,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    if target.node == node.address() {
        return run::run(node, call.clone(), request).await;
    }
    let sending = hop::send(node, target, call, request);
    let result = if call.is_idempotent {
        tokio::select! {
            result = sending => result,
            () = wait_until_unresponsive(node, target, &call.service) => {
                return refusal(CallOutcome::Unknown, RefusalReason::GateLost);
            }
        }
    } else {
        sending.await
    };
    match result {
        HopResult::Answered(response) => response,
        HopResult::Unsent => refusal(CallOutcome::NotRun, RefusalReason::Unreachable),
        HopResult::Lost(life) => {
            let reason = hop::lost_reason(call, node.clock.now());
            if call.is_idempotent {
                return refusal(CallOutcome::Unknown, reason);
            }
            let answer = hop::resolve(node, target, call, life).await;
            inquiry_response(&answer, reason)
        }
    }
}

/// Reads an answer whole where it can be asked for again: one that breaks off
/// is then an attempt that failed and not a caller's broken answer.
async fn hold_answer(call: &GateCall, end: AttemptEnd) -> AttemptEnd {
    if !call.is_idempotent || end.outcome != CallOutcome::Done {
        return end;
    }
    let (parts, body) = end.response.into_parts();
    let until = call.deadline.at().into();
    let lost = match timeout_at(until, BufferedBody::read(body, ANSWER_LIMIT)).await {
        Ok(Ok(mut read)) => {
            let body = read.take_for_attempt().unwrap_or_else(empty);
            let response = Response::from_parts(parts, body);
            return AttemptEnd { response, ..end };
        }
        Ok(Err(_)) => RefusalReason::TargetLost,
        Err(_) => RefusalReason::Deadline,
    };
    AttemptEnd {
        response: refusal(CallOutcome::Unknown, lost),
        outcome: CallOutcome::Unknown,
        reason: Some(lost),
        ..end
    }
}

fn read_end(mut response: Response<NodeBody>) -> AttemptEnd {
    let map = response.headers_mut();
    let outcome = headers::parsed(map, &headers::OUTCOME).unwrap_or(CallOutcome::Unknown);
    let reason = headers::parsed(map, &headers::REASON);
    let report = GateReport {
        busy: headers::parsed(map, &headers::BUSY),
        mean_run: headers::parsed(map, &headers::MEAN_RUN_US).map(Duration::from_micros),
        room_after: headers::parsed(map, &headers::EXPECTED_WAIT_MS).map(Duration::from_millis),
    };
    let is_final = map.remove(headers::NO_RETRY).is_some();
    for name in [
        headers::BUSY,
        headers::MEAN_RUN_US,
        headers::EXPECTED_WAIT_MS,
    ] {
        map.remove(name);
    }
    AttemptEnd {
        response,
        outcome,
        reason,
        report,
        is_final,
    }
}

/// Notes what the attempt said of its target.
fn note_end(
    node: &NodeHandle,
    call: &RoutedCall,
    target: &TargetEntry,
    end: &AttemptEnd,
    started: Instant,
) {
    let now = node.clock.now();
    let service = &call.service.spec.name;
    let all = call.view.targets(service).len();
    let result = match (end.outcome, end.reason) {
        (CallOutcome::Done, _) if end.is_target_failure() => AttemptResult::Faulty,
        (CallOutcome::Done, _) => AttemptResult::Answered,
        (CallOutcome::NotRun, Some(RefusalReason::TargetBusy)) => AttemptResult::Faulty,
        (_, Some(RefusalReason::Unreachable | RefusalReason::GateLost)) => {
            AttemptResult::Unreachable(UNREACHABLE_TIME)
        }
        (_, Some(RefusalReason::Saturated)) => AttemptResult::Full,
        (_, Some(RefusalReason::TargetLost)) => AttemptResult::Failed,
        (CallOutcome::Unknown, Some(RefusalReason::Deadline)) => AttemptResult::Failed,
        _ => AttemptResult::Refused,
    };
    let took = now.duration_since(started);
    if result == AttemptResult::Answered {
        let bytes = end.response.body().size_hint().lower();
        node.answer_estimates
            .record(&call.route.spec.name, bytes, took);
    }
    let ejected = node.load.with_service(service, |load| {
        if let Some(busy) = end.report.busy {
            load.record_load(target.node, busy, now);
        }
        if let Some(mean_run) = end.report.mean_run {
            load.record_run_time(target.node, &call.route.spec.name, mean_run, now);
        }
        load.record_result(target, result, took, &call.service.policy, all, now)
    });
    if let Some(time) = ejected {
        node.metrics.ejections.inc();
        log::warn!(
            event = "ejected",
            service:% = service,
            target:% = target.node,
            for_ms = time.as_millis() as u64;
            "route"
        );
    }
}

fn hold_until_end(body: NodeBody, guard: AttemptGuard) -> NodeBody {
    boxed(OnEndBody::new(body, move |_| drop(guard)))
}

/// Counts an attempt as under way until it is dropped. Dropped before the
/// answer came, it revokes a call that must not start once its caller is gone.
struct AttemptGuard {
    node: NodeHandle,
    target: TargetEntry,
    call: GateCall,
    is_answered: bool,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let service = &self.call.service;
        self.node
            .load
            .with_service(service, |load| load.finish_attempt(self.target.node));
        if self.is_answered || self.call.is_idempotent {
            return;
        }
        if self.target.node == self.node.address() {
            self.node.ledger.revoke(self.call.call);
        } else {
            hop::revoke_later(&self.node, self.target.clone(), self.call.clone());
        }
    }
}
