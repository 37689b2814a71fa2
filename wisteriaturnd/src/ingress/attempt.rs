//! The attempts of one call.
//!
//! Whether a failed attempt may be retried depends on what is known about it.
//! An attempt with the outcome `not-run` may be retried for any call. One with
//! the outcome `unknown` may be retried only if the call is idempotent or has an
//! idempotency key, whose claim prevents a second execution. A retry also needs
//! time before the deadline, a request body that can be sent again and, if the
//! attempt may have reached a target, a token from the service's retry budget. A
//! request that may have crashed its target is not retried.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Body;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use rand::RngExt;
use tokio::time::timeout_at;
use wisteriaturn::buffer::ByteReservation;
use wisteriaturn::clock::lock;
use wisteriaturn::config::view::{RouteEntry, ServiceEntry, ServingView, TargetEntry};
use wisteriaturn::gate::notice::TargetNotice;
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};
use wisteriaturn::gate::quarantine::QuarantineStatus;
use wisteriaturn::ids::{CallId, CallPriority, Fingerprint, KeyHash, NodeAddress};
use wisteriaturn::retry::budget::RetryBudget;
use wisteriaturn::retry::deadline::CallDeadline;
use wisteriaturn::route::load::AttemptResult;
use wisteriaturn::route::news::NewsList;

use crate::gate::answer::{inquiry_response, refusal};
use crate::gate::run;
use crate::http::body::{BufferedBody, NodeBody, OnEndBody, boxed, empty};
use crate::http::headers;
use crate::ingress::liveness::wait_until_unresponsive;
use crate::ingress::overload::{is_throttled, record_admission, take_refused_attempt};
use crate::ingress::selection::{ChosenTarget, choose_next_target};
use crate::logs::Sanitized;
use crate::mesh::hop::{self, GateCall, HopResult};
use crate::node::NodeHandle;
use crate::team::identify::{ProvenTeam, is_in_force};

/// Maximum number of attempts per call. Attempts that a gate refused as `crowded`
/// are not counted.
const MAX_ATTEMPTS: usize = 4;

/// Maximum number of attempts per call that may reach a target, for routes that
/// set no `max_attempts`.
const DEFAULT_MAX_REACHED: u32 = 3;

/// Maximum number of answer bytes that are buffered before the head is passed to
/// the caller, so that the call can still be retried if the answer breaks off.
/// Pages and tables fit; larger archives are streamed.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;

/// How long a target is ejected after its gate could not be reached.
const UNREACHABLE_EJECTION_TIME: Duration = Duration::from_secs(1);

/// Minimum delay before a refused caller may retry, added to the jittered delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Delay before a caller may retry, if no gate reported when it expects to have
/// capacity.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A call that has been routed, with everything that its attempts need.
#[derive(Debug)]
pub struct RoutedCall {
    /// The configuration view that was current when the call arrived. The call
    /// uses its routes and policies until it ends.
    pub view: Arc<ServingView>,
    /// The route that the request matched.
    pub route: Arc<RouteEntry>,
    /// The service that was chosen from those of the route.
    pub service: Arc<ServiceEntry>,
    /// Whether a run at work makes the call, as far as this node can tell.
    pub is_of_run: bool,
    /// The team on whose behalf the call is made.
    pub team: Option<ProvenTeam>,
    /// The caller's request id.
    pub request_id: Option<HeaderValue>,
    /// The time up to which the answer has its full value, from the route's target
    /// latency.
    pub soft_deadline: CallDeadline,
    /// The time by which the caller must have the answer.
    pub deadline: CallDeadline,
    /// Whether the call may safely run more than once.
    pub is_idempotent: bool,
    /// Whether the caller sent an idempotency key.
    pub has_key: bool,
    /// Hash that identifies the same request when it is sent again.
    pub fingerprint: Fingerprint,
    /// Head of the request, without hop-by-hop and internal headers.
    pub parts: Parts,
    /// Body of the request.
    pub body: BufferedBody,
    /// Reservation of the memory that the body takes.
    pub held_bytes: Option<ByteReservation>,
}

impl RoutedCall {
    /// Returns the priority of the call: that of its team, or else of its route.
    fn priority(&self) -> CallPriority {
        let of_team = self.team.as_ref().and_then(|team| team.spec.priority);
        of_team.unwrap_or(self.route.spec.priority)
    }

    /// Returns the caller's request id, sanitized for log lines.
    pub(crate) fn loggable_request_id(&self) -> Sanitized<'_> {
        Sanitized::from_header(self.request_id.as_ref())
    }
}

/// The result of an attempt, read from the gate's response.
#[derive(Debug)]
struct FinishedAttempt {
    response: Response<NodeBody>,
    outcome: CallOutcome,
    reason: Option<RefusalReason>,
    report: GateReport,
    /// Whether the gate forbids a retry because the request may have crashed its
    /// target.
    forbids_retry: bool,
}

/// The load that a gate reports with each response.
#[derive(Debug, Clone, Default)]
struct GateReport {
    busy: Option<u32>,
    mean_run_time: Option<Duration>,
    /// Time until the gate expects to have capacity again.
    expected_wait: Option<Duration>,
    /// Expected wait for the link of the gate's VM.
    link_wait: Option<Duration>,
    /// Expected wait of a large answer for that link.
    answer_wait: Option<Duration>,
    /// What the target states about itself.
    notice: Option<TargetNotice>,
    /// What the gate's node knows of other targets.
    news: NewsList,
}

/// The attempts of one call so far.
#[derive(Debug, Default)]
struct AttemptHistory {
    /// Nodes of all attempts that were not refused as `crowded`; they are not chosen
    /// again.
    tried: Vec<NodeAddress>,
    /// Nodes whose gate refused the call as `crowded`; they may be chosen again.
    crowded: Vec<NodeAddress>,
    /// Number of attempts that may have reached a target.
    reached: u32,
    /// Shortest time until one of the gates expects to have capacity again.
    expected_wait: Option<Duration>,
}

impl FinishedAttempt {
    /// Returns `true` if the target answered with a server error, which another
    /// target may not have.
    fn is_target_failure(&self) -> bool {
        self.outcome == CallOutcome::Done && self.response.status().is_server_error()
    }

    fn may_have_reached_target(&self) -> bool {
        self.outcome == CallOutcome::Done
            || self
                .reason
                .is_some_and(RefusalReason::may_have_reached_target)
    }
}

/// Makes attempts until one is answered or no retry is allowed.
pub async fn run(node: &NodeHandle, mut call: RoutedCall) -> Response<NodeBody> {
    let budget = node.retry_budget(&call.service.spec.name);
    budget.record_call(call.service.spec.retry_percent);
    let service = call.service.spec.name.clone();
    if is_throttled(node, &call) {
        let mut response = refusal(CallOutcome::NotRun, RefusalReason::Saturated);
        node.set_retry_after(&mut response, jittered_retry_after(DEFAULT_RETRY_AFTER));
        return response;
    }
    let mut history = AttemptHistory::default();
    // The response to an attempt that may have run. Once there is one, the call
    // can no longer be reported as `not-run`, whatever later attempts return.
    let mut possibly_run = None;
    let mut not_run = None;
    while let Some(chosen) = choose_next_target(node, &call, &history.tried, &history.crowded) {
        let finished = make_attempt(node, &mut call, &chosen, history.len() + 1).await;
        history.record(&finished, chosen.target.node);
        let will_retry = may_retry(node, &call, &finished, &history)
            && (!finished.may_have_reached_target() || take_retry_token(node, &budget))
            && take_refused_attempt(node, &service, finished.reason);
        if finished.outcome == CallOutcome::Done && !(will_retry && finished.is_target_failure()) {
            record_admission(node, &call, reason_of(&finished.response));
            return finished.response;
        }
        match finished.outcome {
            CallOutcome::NotRun => not_run = Some(finished.response),
            CallOutcome::Done | CallOutcome::Unknown => possibly_run = Some(finished.response),
        }
        if !will_retry {
            break;
        }
    }
    let no_target = || refusal(CallOutcome::NotRun, RefusalReason::NoTarget);
    let mut response = possibly_run.or(not_run).unwrap_or_else(no_target);
    record_admission(node, &call, reason_of(&response));
    let retry_after = history.expected_wait.unwrap_or(DEFAULT_RETRY_AFTER);
    node.set_retry_after(&mut response, jittered_retry_after(retry_after));
    response
}

/// Returns the reason in a response that this node or a gate created.
fn reason_of(response: &Response<NodeBody>) -> Option<RefusalReason> {
    headers::parsed(response.headers(), &headers::REASON)
}

/// Returns a retry delay with random jitter, so that callers that were refused
/// together don't all retry at once.
fn jittered_retry_after(retry_after: Duration) -> Duration {
    retry_after.mul_f64(rand::rng().random_range(0.8..1.6)) + MIN_RETRY_AFTER
}

impl AttemptHistory {
    fn len(&self) -> usize {
        self.tried.len() + self.crowded.len()
    }

    fn record(&mut self, finished: &FinishedAttempt, node: NodeAddress) {
        match finished.reason {
            Some(RefusalReason::Crowded) => self.crowded.push(node),
            Some(_) | None => self.tried.push(node),
        }
        self.reached += u32::from(finished.may_have_reached_target());
        if let Some(expected_wait) = finished.report.expected_wait {
            let shortest = self
                .expected_wait
                .map_or(expected_wait, |held| held.min(expected_wait));
            self.expected_wait = Some(shortest);
        }
    }
}

fn take_retry_token(node: &NodeHandle, budget: &RetryBudget) -> bool {
    let is_taken = budget.try_take();
    if is_taken {
        node.metrics.retries.inc();
    } else {
        node.metrics.retries_refused.inc();
    }
    is_taken
}

/// Returns `true` if the call may be retried after the attempt `finished`, apart
/// from the retry budget.
fn may_retry(
    node: &NodeHandle,
    call: &RoutedCall,
    finished: &FinishedAttempt,
    history: &AttemptHistory,
) -> bool {
    let is_safe = match finished.outcome {
        CallOutcome::Done => call.is_idempotent && finished.is_target_failure(),
        CallOutcome::NotRun => true,
        CallOutcome::Unknown => call.is_idempotent || call.has_key,
    };
    let may_succeed = match finished.reason {
        Some(reason) => reason.is_retryable_elsewhere(),
        None => finished.is_target_failure(),
    };
    let now = node.clock.now();
    let quarantine = lock(&node.suspects).status(call.fingerprint, now);
    let max_reached = call.route.spec.max_attempts.unwrap_or(DEFAULT_MAX_REACHED);
    is_safe
        && may_succeed
        && !finished.forbids_retry
        && history.tried.len() < MAX_ATTEMPTS
        && history.reached < max_reached
        && call.body.is_replayable()
        && call.deadline.allows_attempt(now)
        && quarantine == QuarantineStatus::Clean
        && call
            .team
            .as_ref()
            .is_none_or(|team| is_in_force(node, team))
}

async fn make_attempt(
    node: &NodeHandle,
    call: &mut RoutedCall,
    chosen: &ChosenTarget,
    number: usize,
) -> FinishedAttempt {
    let target = &chosen.target;
    let gate_call = gate_call(node, call, chosen);
    let body = call.body.take_for_attempt().unwrap_or_else(empty);
    let mut request = Request::new(body);
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    *request.headers_mut() = call.parts.headers.clone();
    let service = &call.service.spec.name;
    let started = node.clock.now();
    node.load
        .with_service(service, |load| load.start_attempt(target, started));
    let mut guard = AttemptGuard {
        node: node.clone(),
        target: target.clone(),
        call: gate_call.clone(),
        has_response: false,
    };
    let response = send_to_gate(node, target, &gate_call, request).await;
    guard.has_response = true;
    let finished = buffer_answer(&gate_call, parse_response(response)).await;
    record_attempt(node, call, target, &finished, started);
    let is_notable = finished.outcome != CallOutcome::Done || number > 1;
    let level = if is_notable {
        log::Level::Info
    } else {
        log::Level::Debug
    };
    log::log!(
        level,
        event = "attempt",
        request:% = gate_call.loggable_request_id(),
        call:% = gate_call.call,
        target:% = target.node,
        attempt = number,
        outcome:% = finished.outcome,
        reason:% = finished.reason.map_or("none", RefusalReason::name);
        "route"
    );
    FinishedAttempt {
        response: finished.response.map(|body| attach_guard(body, guard)),
        ..finished
    }
}

fn gate_call(node: &NodeHandle, call: &RoutedCall, chosen: &ChosenTarget) -> GateCall {
    let service = call.service.spec.name.clone();
    let now = node.clock.now();
    let notice = node.load.with_service(&service, |load| {
        load.get(&chosen.target).notice(now).cloned()
    });
    let key = node.edge_headers.find_idempotency_key(&call.parts.headers);
    GateCall {
        call: CallId(rand::random()),
        class: call.route.spec.class,
        priority: call.priority(),
        is_remote: false,
        is_of_run: call.is_of_run,
        route: Some(call.route.spec.name.clone()),
        soft_deadline: call.soft_deadline,
        request_id: call.request_id.clone(),
        deadline: call.deadline,
        max_wait: chosen.max_wait,
        is_idempotent: call.is_idempotent,
        fingerprint: call.fingerprint,
        notice,
        key: key
            .filter(|_| !call.is_idempotent)
            .map(|key| KeyHash::of_key(&service, key.as_bytes())),
        service,
    }
}

/// Sends an attempt to the target's gate, which may be in this process.
async fn send_to_gate(
    node: &NodeHandle,
    target: &TargetEntry,
    call: &GateCall,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    if target.node == node.address() {
        return run::run(node, call.clone(), request).await;
    }
    let sent_at = node.clock.now();
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
        HopResult::Lost(boot_id) => {
            let reason = hop::lost_exchange_reason(call, node.clock.now());
            if call.is_idempotent {
                return refusal(CallOutcome::Unknown, reason);
            }
            let answer = hop::resolve_lost_call(node, target, call, boot_id, sent_at).await;
            inquiry_response(&answer, reason)
        }
    }
}

/// Buffers the answer to an idempotent call, up to
/// [`MAX_BUFFERED_ANSWER_BYTES`]. If it breaks off, the attempt has failed and
/// can be retried, and the caller doesn't receive a truncated answer.
async fn buffer_answer(call: &GateCall, finished: FinishedAttempt) -> FinishedAttempt {
    if !call.is_idempotent || finished.outcome != CallOutcome::Done {
        return finished;
    }
    let (parts, body) = finished.response.into_parts();
    let deadline = call.deadline.at().into();
    let reason = match timeout_at(
        deadline,
        BufferedBody::read(body, MAX_BUFFERED_ANSWER_BYTES),
    )
    .await
    {
        Ok(Ok(mut read)) => {
            let body = read.take_for_attempt().unwrap_or_else(empty);
            let response = Response::from_parts(parts, body);
            return FinishedAttempt {
                response,
                ..finished
            };
        }
        Ok(Err(_)) => RefusalReason::TargetLost,
        Err(_) => RefusalReason::Deadline,
    };
    FinishedAttempt {
        response: refusal(CallOutcome::Unknown, reason),
        outcome: CallOutcome::Unknown,
        reason: Some(reason),
        ..finished
    }
}

fn parse_response(mut response: Response<NodeBody>) -> FinishedAttempt {
    let map = response.headers_mut();
    let outcome = headers::parsed(map, &headers::OUTCOME).unwrap_or(CallOutcome::Unknown);
    let reason = headers::parsed(map, &headers::REASON);
    let report = GateReport {
        busy: headers::parsed(map, &headers::BUSY),
        mean_run_time: headers::parsed(map, &headers::MEAN_RUN_US).map(Duration::from_micros),
        expected_wait: headers::parsed_millis(map, &headers::EXPECTED_WAIT_MS),
        link_wait: headers::parsed_millis(map, &headers::LINK_WAIT_MS),
        answer_wait: headers::parsed_millis(map, &headers::ANSWER_WAIT_MS),
        notice: headers::parsed(map, &headers::TARGET_NOTICE),
        news: headers::parsed(map, &headers::TARGET_NEWS).unwrap_or_default(),
    };
    let forbids_retry = map.remove(headers::NO_RETRY).is_some();
    for name in [
        headers::BUSY,
        headers::MEAN_RUN_US,
        headers::EXPECTED_WAIT_MS,
        headers::LINK_WAIT_MS,
        headers::TARGET_NOTICE,
        headers::TARGET_NEWS,
        headers::ANSWER_WAIT_MS,
    ] {
        map.remove(name);
    }
    FinishedAttempt {
        response,
        outcome,
        reason,
        report,
        forbids_retry,
    }
}

/// Updates the target's statistics with the result of an attempt and the load
/// that its gate reported.
fn record_attempt(
    node: &NodeHandle,
    call: &RoutedCall,
    target: &TargetEntry,
    finished: &FinishedAttempt,
    started: Instant,
) {
    let now = node.clock.now();
    let service = &call.service.spec.name;
    let target_count = call.view.targets(service).len();
    let result = match (finished.outcome, finished.reason) {
        (CallOutcome::Done, _) if finished.is_target_failure() => AttemptResult::Faulty,
        (CallOutcome::Done, _) => AttemptResult::Answered,
        (CallOutcome::NotRun, Some(RefusalReason::TargetBusy)) => AttemptResult::Faulty,
        (_, Some(RefusalReason::Unreachable | RefusalReason::GateLost)) => {
            AttemptResult::Unreachable(UNREACHABLE_EJECTION_TIME)
        }
        (_, Some(RefusalReason::Saturated)) => AttemptResult::Full,
        (_, Some(RefusalReason::TargetLost)) => AttemptResult::Failed,
        (CallOutcome::Unknown, Some(RefusalReason::Deadline)) => AttemptResult::Failed,
        _ => AttemptResult::Refused,
    };
    let elapsed = now.duration_since(started);
    if finished.may_have_reached_target() {
        node.rollouts.record_reached(service);
    }
    if result == AttemptResult::Answered {
        let bytes = finished.response.body().size_hint().lower();
        node.answer_estimates
            .record(&call.route.spec.name, bytes, elapsed);
    }
    let ejected_for = node.load.with_service(service, |load| {
        if let Some(busy) = finished.report.busy {
            load.record_load(target.node, busy, now);
            let link_wait = finished.report.link_wait.unwrap_or_default();
            load.record_link_wait(target.node, link_wait, now);
            let answer_wait = finished.report.answer_wait.unwrap_or_default();
            load.record_answer_wait(target.node, answer_wait, now);
            let limit = finished.report.notice.as_ref();
            let limit = limit.and_then(|notice| notice.stated.limit);
            let wait = finished.report.expected_wait.unwrap_or_default();
            load.record_limit(target.node, limit, wait, now);
        }
        for news in &finished.report.news.0 {
            load.record_news(*news, now);
        }
        let is_answer = finished.outcome == CallOutcome::Done;
        let notice = finished.report.notice.clone();
        load.record_notice(target.node, notice, is_answer, started, now);
        if let Some(mean_run_time) = finished.report.mean_run_time {
            load.record_run_time(target.node, &call.route.spec.name, mean_run_time, now);
        }
        load.record_result(
            target,
            result,
            elapsed,
            &call.service.policy,
            target_count,
            now,
        )
    });
    if let Some(duration) = ejected_for {
        node.metrics.ejections.inc();
        log::warn!(
            event = "ejected",
            service:% = service,
            target:% = target.node,
            for_ms = duration.as_millis() as u64;
            "route"
        );
    }
}

fn attach_guard(body: NodeBody, guard: AttemptGuard) -> NodeBody {
    boxed(OnEndBody::new(body, move |_| drop(guard)))
}

/// Counts an attempt as in flight until it is dropped. If it is dropped before
/// the gate has responded, the caller is gone, and a call that is not idempotent
/// is revoked so that it does not start.
struct AttemptGuard {
    node: NodeHandle,
    target: TargetEntry,
    call: GateCall,
    has_response: bool,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let service = &self.call.service;
        self.node
            .load
            .with_service(service, |load| load.finish_attempt(self.target.node));
        if self.has_response || self.call.is_idempotent {
            return;
        }
        if self.target.node == self.node.address() {
            self.node.ledger.revoke(self.call.call);
        } else {
            hop::spawn_revocation(&self.node, self.target.clone(), self.call.clone());
        }
    }
}
