//! The attempts of one call.
//!
//! Whether an attempt may follow another depends on what is proved about the
//! one before: `not-run` may be retried for any call, `unknown` only for an
//! idempotent one or one with a key, which the claim guards. Each retry needs
//! the budget of its service, time before the deadline, and a body that can be
//! sent again.

use std::sync::Arc;
use std::time::Instant;

use hyper::http::request::Parts;
use hyper::{Request, Response};
use wisteriaturn::clock::lock;
use wisteriaturn::config::view::{RouteEntry, ServiceEntry, ServingView, TargetEntry};
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};
use wisteriaturn::gate::quarantine::RequestStanding;
use wisteriaturn::ids::{CallId, Fingerprint, KeyHash, NodeAddress};
use wisteriaturn::retry::budget::RetryBudget;
use wisteriaturn::retry::deadline::CallDeadline;
use wisteriaturn::route::choose::{TargetChoice, choose_target};
use wisteriaturn::route::load::AttemptResult;

use crate::body::{GuardedBody, NodeBody, RequestBody, boxed, empty};
use crate::gate::answer::{inquiry_response, refusal};
use crate::gate::run;
use crate::headers;
use crate::hop::{self, GateCall, HopResult};
use crate::node::NodeHandle;

/// Most attempts of one call.
const ATTEMPT_LIMIT: usize = 4;

/// A call with its route and all that an attempt needs.
#[derive(Debug)]
pub struct RoutedCall {
    /// The view that the call keeps to its end.
    pub view: Arc<ServingView>,
    /// Its route.
    pub route: Arc<RouteEntry>,
    /// The service chosen.
    pub service: Arc<ServiceEntry>,
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
    pub body: RequestBody,
}

/// What an attempt led to.
#[derive(Debug)]
struct AttemptEnd {
    response: Response<NodeBody>,
    outcome: CallOutcome,
    reason: Option<RefusalReason>,
    busy: Option<u32>,
    is_final: bool,
}

/// Makes attempts until one has an answer or no other may follow.
pub async fn run(node: &NodeHandle, mut call: RoutedCall) -> Response<NodeBody> {
    let budget = node.budget(&call.service.spec.name);
    budget.note_call(call.service.spec.retry_percent);
    let mut tried = Vec::new();
    // The answer to an attempt that may have run: from then on the call as a
    // whole is no longer `not-run`, whatever becomes of later attempts.
    let mut doubt = None;
    loop {
        let Some(target) = choose(node, &call, &tried) else {
            let none = refusal(CallOutcome::NotRun, RefusalReason::NoTarget);
            return doubt.unwrap_or(none);
        };
        tried.push(target.node);
        let end = attempt(node, &mut call, &target, tried.len()).await;
        let has_budget = may_follow(node, &call, &end, tried.len()) && take_retry(node, &budget);
        match end.outcome {
            CallOutcome::Done => return end.response,
            CallOutcome::Unknown => doubt = Some(end.response),
            CallOutcome::NotRun if has_budget => {}
            CallOutcome::NotRun => return doubt.unwrap_or(end.response),
        }
        if !has_budget && let Some(doubt) = doubt {
            return doubt;
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
fn may_follow(node: &NodeHandle, call: &RoutedCall, end: &AttemptEnd, attempts: usize) -> bool {
    let Some(reason) = end.reason else {
        return false;
    };
    let is_proved = match end.outcome {
        CallOutcome::Done => false,
        CallOutcome::NotRun => true,
        CallOutcome::Unknown => call.is_idempotent || call.has_key,
    };
    let now = node.clock.now();
    let standing = lock(&node.suspects).standing(call.fingerprint, now);
    is_proved
        && !end.is_final
        && reason.is_worth_another_target()
        && attempts < ATTEMPT_LIMIT
        && call.body.is_repeatable()
        && call.deadline.allows_attempt(now)
        && standing == RequestStanding::Clean
}

fn choose(node: &NodeHandle, call: &RoutedCall, tried: &[NodeAddress]) -> Option<TargetEntry> {
    let service = &call.service.spec.name;
    // A retry looks at the newest targets; the routes stay those of the call.
    let targets = if tried.is_empty() {
        call.view.targets(service)
    } else {
        node.view.load().targets_if_held(service)?
    };
    let now = node.clock.now();
    let choice = node.load.with(service, |load| {
        choose_target(
            &node.place,
            &targets,
            &call.service.policy,
            load,
            tried,
            now,
            &mut rand::rng(),
        )
    });
    let target = choice.chosen.map(|index| targets[index].clone());
    log_choice(call, &choice, tried.len() + 1);
    target
}

fn log_choice(call: &RoutedCall, choice: &TargetChoice, attempt: usize) {
    let candidates = choice.candidates.len();
    let Some(chosen) = choice.chosen.map(|index| &choice.candidates[index]) else {
        log::warn!(
            event = "route",
            route:% = call.route.spec.name,
            service:% = call.service.spec.name,
            target = "none",
            candidates = candidates,
            attempt = attempt;
            "route"
        );
        return;
    };
    log::info!(
        event = "route",
        route:% = call.route.spec.name,
        service:% = call.service.spec.name,
        version:% = call.view.config.version,
        target:% = chosen.node,
        data_centre:% = chosen.data_centre,
        distance = chosen.distance,
        busy = chosen.busy,
        slots = chosen.slots,
        candidates = candidates,
        attempt = attempt;
        "route"
    );
}

async fn attempt(
    node: &NodeHandle,
    call: &mut RoutedCall,
    target: &TargetEntry,
    number: usize,
) -> AttemptEnd {
    let gate_call = gate_call(call);
    let body = call.body.for_attempt().unwrap_or_else(empty);
    let mut request = Request::new(body);
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    *request.headers_mut() = call.parts.headers.clone();
    let service = &call.service.spec.name;
    let started = node.clock.now();
    node.load.with(service, |load| load.begin(target));
    let mut guard = AttemptGuard {
        node: node.clone(),
        target: target.clone(),
        call: gate_call.clone(),
        is_answered: false,
    };
    let response = send(node, target, &gate_call, request).await;
    guard.is_answered = true;
    let end = read_end(response);
    note_end(node, call, target, &end, started);
    log::debug!(
        event = "attempt",
        call:% = gate_call.call,
        target:% = target.node,
        attempt = number,
        outcome:% = end.outcome;
        "route"
    );
    AttemptEnd {
        response: end.response.map(|body| hold_until_end(body, guard)),
        ..end
    }
}

fn gate_call(call: &RoutedCall) -> GateCall {
    let service = call.service.spec.name.clone();
    let key = call.parts.headers.get(headers::IDEMPOTENCY_KEY);
    GateCall {
        call: CallId(rand::random()),
        class: call.route.spec.class,
        deadline: call.deadline,
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
    match hop::send(node, target, call, request).await {
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

fn read_end(mut response: Response<NodeBody>) -> AttemptEnd {
    let map = response.headers_mut();
    let outcome = headers::parsed(map, &headers::OUTCOME).unwrap_or(CallOutcome::Unknown);
    let reason = headers::parsed(map, &headers::REASON);
    let busy = headers::parsed(map, &headers::BUSY);
    let is_final = map.remove(headers::NO_RETRY).is_some();
    map.remove(headers::BUSY);
    AttemptEnd {
        response,
        outcome,
        reason,
        busy,
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
        (CallOutcome::Done, _) => AttemptResult::Answered,
        (_, Some(RefusalReason::Saturated)) => AttemptResult::Full,
        (_, Some(RefusalReason::Unreachable | RefusalReason::GateLost)) => AttemptResult::Failed,
        (_, Some(RefusalReason::TargetLost)) => AttemptResult::Failed,
        (CallOutcome::Unknown, Some(RefusalReason::Deadline)) => AttemptResult::Failed,
        _ => AttemptResult::Refused,
    };
    let took = now.duration_since(started);
    let ejected = node.load.with(service, |load| {
        if let Some(busy) = end.busy {
            load.note_report(target.node, busy, now);
        }
        load.note_result(target, result, took, &call.service.policy, all, now)
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
    boxed(GuardedBody::new(body, move |_| drop(guard)))
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
            .with(service, |load| load.leave(self.target.node));
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
