//! Handling of one call, from the caller's request to the response.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http_body_util::Limited;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use rand::RngExt;
use tokio::time::timeout_at;
use wisteriaturn::clock::lock;
use wisteriaturn::config::view::{RouteEntry, ServiceEntry, ServingView};
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};
use wisteriaturn::gate::quarantine::QuarantineStatus;
use wisteriaturn::ids::{Fingerprint, TeamName};
use wisteriaturn::retry::deadline::CallDeadline;
use wisteriaturn::route::limit::RoutePermit;

use crate::gate::answer::refusal;
use crate::gate::transfer::buffer_limit;
use crate::http::body::{BodyEnd, BufferedBody, CountedBody, NodeBody, OnEndBody, boxed};
use crate::http::headers;
use crate::ingress::attempt::{self, RoutedCall};
use crate::logs::Sanitized;
use crate::metrics::CallLabels;
use crate::node::{NodeHandle, NodeStage};
use crate::team::admission::{self, TeamPermit};
use crate::team::identify::{CallOrigin, ProvenTeam, find_team};

/// Maximum size of a request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Minimum delay before a caller may retry a call that was refused before a target was
/// chosen.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Part of a route's target latency that is spent between the caller and this
/// node: one round trip within a region.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(16);

/// The data for the log line and the metrics of a call, written when its response
/// body ends.
#[derive(Debug)]
struct CallRecord {
    node: NodeHandle,
    method: Method,
    path: String,
    route: String,
    started: Instant,
    outcome: CallOutcome,
    reason: &'static str,
    status: u16,
    request_id: String,
    origin: CallOrigin,
    team: Option<TeamName>,
    bytes: Arc<AtomicU64>,
}

impl CallRecord {
    fn finish(self, end: BodyEnd) {
        let elapsed = self.node.clock.now().duration_since(self.started);
        self.node
            .metrics
            .call_seconds
            .observe(elapsed.as_secs_f64());
        let labels = CallLabels {
            outcome: self.outcome.name(),
            reason: self.reason,
        };
        self.node.metrics.calls.get_or_create(&labels).inc();
        log::info!(
            event = "call",
            request:% = Sanitized(&self.request_id),
            method:% = Sanitized(self.method.as_str()),
            path:% = Sanitized(&self.path),
            route:% = self.route,
            origin = self.origin.name(),
            team:% = self.team.as_ref().map_or("-", TeamName::as_str),
            outcome:% = self.outcome,
            reason = self.reason,
            status = self.status,
            took_us = elapsed.as_micros() as u64,
            bytes = self.bytes.load(Ordering::Relaxed),
            body:? = end;
            "call"
        );
    }
}

/// Handles one request from a caller, and logs and counts the call when its
/// response body ends.
pub async fn handle(
    node: &NodeHandle,
    origin: CallOrigin,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    let started = node.clock.now();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let request_id = headers::text(request.headers(), &node.edge_headers.request_id)
        .unwrap_or_default()
        .to_owned();
    let served = tokio::select! {
        // A request that is read only now must be refused as not run, not interrupted.
        biased;
        served = Box::pin(serve(node, origin, request)) => served,
        () = wait_until_closing(node) => Ok(interrupted_call()),
    };
    let served = served.unwrap_or_else(|refused| ServedCall {
        response: node.refusal(
            CallOutcome::NotRun,
            refused.reason,
            refused
                .retry_after
                .unwrap_or_else(|| retry_after(node, refused.reason)),
        ),
        route: refused.route,
        team: refused.team,
        permit: None,
    });
    let ServedCall {
        response,
        route,
        team,
        permit,
    } = served;
    let record = CallRecord {
        node: node.clone(),
        method,
        path,
        route: route.unwrap_or_else(|| "-".to_owned()),
        started,
        outcome: headers::parsed(response.headers(), &headers::OUTCOME)
            .unwrap_or(CallOutcome::Unknown),
        reason: headers::parsed::<RefusalReason>(response.headers(), &headers::REASON)
            .map_or("none", RefusalReason::name),
        status: response.status().as_u16(),
        request_id,
        origin,
        team,
        bytes: Arc::default(),
    };
    response.map(|body| {
        let bytes = Arc::clone(&record.bytes);
        let counted = CountedBody::new(body, bytes);
        boxed(OnEndBody::new(boxed(counted), move |end| {
            drop(permit);
            record.finish(end);
        }))
    })
}

struct ServedCall {
    response: Response<NodeBody>,
    route: Option<String>,
    team: Option<TeamName>,
    permit: Option<RoutePermit>,
}

/// A call that was refused before an attempt was made.
#[derive(Debug)]
struct RefusedCall {
    reason: RefusalReason,
    route: Option<String>,
    team: Option<TeamName>,
    /// When the caller may come back, if something is known of that.
    retry_after: Option<Duration>,
}

impl From<RefusalReason> for RefusedCall {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            route: None,
            team: None,
            retry_after: None,
        }
    }
}

/// Waits until the node reaches [`NodeStage::Closing`], in which calls in flight
/// are interrupted.
async fn wait_until_closing(node: &NodeHandle) {
    let mut stage = node.stage.subscribe();
    // This can't fail, because `node` keeps the sender alive.
    let _ = stage.wait_for(|stage| *stage >= NodeStage::Closing).await;
}

/// Returns the result of a call that was still in flight when the node closed.
/// The outcome is `unknown`, because the call may have run.
fn interrupted_call() -> ServedCall {
    ServedCall {
        response: refusal(CallOutcome::Unknown, RefusalReason::Draining),
        route: None,
        team: None,
        permit: None,
    }
}

/// Returns `true` if the call may be started before hyper has read its request,
/// which requires that it matches a route and is idempotent.
pub fn may_start_early<B>(node: &NodeHandle, request: &Request<B>) -> bool {
    let view = node.view.load();
    let Some(host) = request_host(request) else {
        return false;
    };
    let route = view.config.find_route(&host, request.uri().path());
    route.is_some_and(|route| {
        let is_idempotent = route.spec.idempotent;
        is_idempotent.unwrap_or_else(|| request.method().is_idempotent())
    })
}

async fn serve(
    node: &NodeHandle,
    origin: CallOrigin,
    request: Request<NodeBody>,
) -> Result<ServedCall, RefusedCall> {
    // The stage is not checked here: a node that is stopped while it starts has
    // left the starting stage but still has no current configuration.
    if !node.was_ready.load(Ordering::Acquire) {
        return Err(RefusalReason::NotReady.into());
    }
    let view = node.view.load();
    check_request(node, &view, &request)?;
    let host = request_host(&request).ok_or(RefusalReason::BadRequest)?;
    let route = view
        .config
        .find_route(&host, request.uri().path())
        .cloned()
        .ok_or(RefusalReason::NoRoute)?;
    let team = find_team(node, &view, &route, origin, &request)?;
    let max_concurrent = route.spec.max_concurrent;
    let permit = node
        .route_limiter
        .try_acquire(&route.spec.name, max_concurrent)
        .ok_or(RefusalReason::RouteLimit)?;
    let requested = headers::parsed_millis(request.headers(), &node.edge_headers.deadline_ms);
    let deadline = CallDeadline::for_call(&node.clock, route.spec.deadline(), requested);
    check_stop(node, &route, deadline, &request)?;
    let team_permit = match &team {
        Some(team) => {
            let request_id =
                headers::text(request.headers(), &node.edge_headers.request_id).unwrap_or_default();
            take_allowance(node, team, &route, deadline, request_id.to_owned()).await?
        }
        None => None,
    };
    let team_name = team.as_ref().map(|team| team.spec.name.clone());
    let prepared = prepare(node, view, Arc::clone(&route), team, deadline, request).await;
    let response = match prepared {
        Ok(call) => attempt::run(node, call).await,
        Err(reason) => {
            if let Some(permit) = team_permit {
                permit.give_back();
            }
            return Err(RefusedCall {
                team: team_name,
                ..reason.into()
            });
        }
    };
    let outcome = headers::parsed(response.headers(), &headers::OUTCOME);
    if let Some(permit) = team_permit
        && outcome == Some(CallOutcome::NotRun)
    {
        permit.give_back();
    }
    Ok(ServedCall {
        response,
        route: Some(route.spec.name.to_string()),
        team: team_name,
        permit: Some(permit),
    })
}

/// Takes room for a call from the allowance of its team.
async fn take_allowance(
    node: &NodeHandle,
    team: &ProvenTeam,
    route: &RouteEntry,
    deadline: CallDeadline,
    request_id: String,
) -> Result<Option<TeamPermit>, RefusedCall> {
    let admitted = admission::admit(node, &team.spec, &request_id, deadline).await;
    admitted.map_err(|refusal| RefusedCall {
        reason: refusal.reason,
        route: Some(route.spec.name.to_string()),
        team: Some(team.spec.name.clone()),
        retry_after: Some(refusal.retry_after),
    })
}

/// Refuses a call if this node is about to stop and may end before the call does, and
/// logs the refusal.
fn check_stop<B>(
    node: &NodeHandle,
    route: &RouteEntry,
    deadline: CallDeadline,
    request: &Request<B>,
) -> Result<(), RefusalReason> {
    let Some(schedule) = node.stop_schedule.get() else {
        return Ok(());
    };
    let now = node.clock.now();
    let answer_time = node.answer_estimates.estimate(&route.spec.name).run_time;
    if schedule.ingress_takes(deadline, answer_time, now) {
        return Ok(());
    }
    let request_id = request.headers().get(&node.edge_headers.request_id);
    log::info!(
        event = "stop-refusal",
        request:% = Sanitized::from_header(request_id),
        route:% = route.spec.name,
        stage:? = node.current_stage(),
        left_ms = schedule.remaining(now).as_millis() as u64,
        deadline_ms = deadline.remaining(now).as_millis() as u64,
        answer_ms = answer_time.as_millis() as u64;
        "call"
    );
    Err(RefusalReason::Draining)
}

/// Returns the delay before a caller may retry a call that was refused before a target
/// was chosen.
fn retry_after(node: &NodeHandle, reason: RefusalReason) -> Duration {
    let schedule = match reason {
        RefusalReason::Draining => node.stop_schedule.get(),
        _ => None,
    };
    // While this node stops it would refuse the call again.
    let remaining = schedule.map(|schedule| schedule.remaining(node.clock.now()));
    remaining.unwrap_or_default().max(RETRY_AFTER)
}

/// Rejects a request if two HTTP implementations could disagree about its framing
/// or host, or if its head or body is too large.
fn check_request(
    node: &NodeHandle,
    view: &ServingView,
    request: &Request<NodeBody>,
) -> Result<(), RefusalReason> {
    let map = request.headers();
    let has_two_framings = map.contains_key(CONTENT_LENGTH) && map.contains_key(TRANSFER_ENCODING);
    let is_body_too_large = request.body().size_hint().lower() > max_body_bytes(node, view);
    let max_head_bytes = view
        .config
        .limits
        .as_ref()
        .map_or(MAX_HEAD_BYTES, |limits| {
            usize::try_from(limits.max_head_bytes).unwrap_or(MAX_HEAD_BYTES)
        });
    if has_two_framings
        || is_body_too_large
        || head_bytes(request) > max_head_bytes.min(MAX_HEAD_BYTES)
        || map.get_all(HOST).iter().count() > 1
    {
        return Err(RefusalReason::BadRequest);
    }
    Ok(())
}

/// Returns the maximum size of a request body in bytes: the lower of the limits in
/// the node's settings and in the configuration.
fn max_body_bytes(node: &NodeHandle, view: &ServingView) -> u64 {
    let node_limit = node.settings.tuning.max_body_bytes;
    let limits = view.config.limits.as_ref();
    limits.map_or(node_limit, |limits| node_limit.min(limits.max_body_bytes))
}

/// Returns the size of a request's head in bytes. The buffer limit of the
/// connection doesn't enforce it exactly, because the buffer grows by whole reads.
fn head_bytes<B>(request: &Request<B>) -> usize {
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    headers + request.uri().to_string().len()
}

fn request_host<B>(request: &Request<B>) -> Option<String> {
    match request.uri().host() {
        Some(host) => Some(host.to_owned()),
        None => headers::text(request.headers(), &HOST).map(str::to_owned),
    }
}

/// Validates a request, reads its body and collects what its attempts need.
async fn prepare(
    node: &NodeHandle,
    view: Arc<ServingView>,
    route: Arc<RouteEntry>,
    team: Option<ProvenTeam>,
    deadline: CallDeadline,
    request: Request<NodeBody>,
) -> Result<RoutedCall, RefusalReason> {
    let (mut parts, body) = request.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    let request_id = parts.headers.get(&node.edge_headers.request_id).cloned();
    headers::strip_mesh(&mut parts.headers);
    if let Some(request_id) = &request_id {
        let name = node.edge_headers.request_id.clone();
        parts.headers.insert(name, request_id.clone());
    }
    // Only nodes may set these headers, so values from callers are dropped.
    parts.headers.remove(&node.edge_headers.expected_instance);
    parts.headers.remove(&node.edge_headers.caller_service);
    if let Some(service) = &node.settings.caller_service {
        let name = node.edge_headers.caller_service.clone();
        headers::set(&mut parts.headers, name, service);
    }
    if !view.config.teams.is_empty() {
        parts.headers.remove(&node.edge_headers.team_key);
        parts.headers.remove(&node.edge_headers.team);
    }
    if let Some(team) = &team {
        let name = node.edge_headers.team.clone();
        headers::set(&mut parts.headers, name, &team.spec.name);
    }
    let is_idempotent = route
        .spec
        .idempotent
        .unwrap_or_else(|| parts.method.is_idempotent());
    to_origin_form(&mut parts);
    let key = node
        .edge_headers
        .find_idempotency_key(&parts.headers)
        .cloned();
    if key
        .as_ref()
        .is_some_and(|key| key.len() > headers::MAX_IDEMPOTENCY_KEY_BYTES)
    {
        return Err(RefusalReason::BadRequest);
    }
    // Whether to send the body is agreed on with each gate.
    parts.headers.remove(EXPECT);
    let (max_buffered, held_bytes) = buffer_limit(node, &body);
    let max_body = usize::try_from(max_body_bytes(node, &view)).unwrap_or(usize::MAX);
    let read_body = BufferedBody::read(boxed(Limited::new(body, max_body)), max_buffered);
    let body = timeout_at(deadline.at().into(), read_body)
        .await
        .map_err(|_| RefusalReason::Deadline)?
        .map_err(|_| RefusalReason::BadRequest)?;
    let target_latency = route
        .spec
        .target_latency()
        .saturating_sub(CALLER_ROUND_TRIP);
    let soft_deadline = CallDeadline::for_call(
        &node.clock,
        target_latency,
        Some(deadline.remaining(node.clock.now())),
    );
    let service = choose_service(&route);
    let fingerprint = match key.as_ref().filter(|_| !is_idempotent) {
        Some(key) => {
            let name = service.spec.name.as_str().as_bytes();
            Fingerprint::of_parts(&[b"key", name, key.as_bytes()])
        }
        None => Fingerprint::of_parts(&[
            parts.method.as_str().as_bytes(),
            // Without the host, which may be that of the node the caller connects to.
            service.spec.name.as_str().as_bytes(),
            parts.uri.to_string().as_bytes(),
            body.prefix(),
        ]),
    };
    let quarantine = lock(&node.suspects).status(fingerprint, node.clock.now());
    if let QuarantineStatus::Quarantined(_) = quarantine {
        return Err(RefusalReason::Quarantined);
    }
    // Where callers show keys, a call without one comes from the target.
    let is_of_run = team.is_none() && !view.config.teams.is_empty() && !route.spec.public;
    Ok(RoutedCall {
        view,
        route,
        service,
        is_of_run,
        team,
        request_id,
        soft_deadline,
        deadline,
        is_idempotent,
        has_key: key.is_some(),
        fingerprint,
        parts,
        body,
        held_bytes,
    })
}

/// Converts an absolute-form request target such as `http://host/path` to origin
/// form with a Host header. The absolute form is meant for proxies (RFC 9112,
/// section 3.2), so targets may not support it.
fn to_origin_form(parts: &mut Parts) {
    if let Some(authority) = parts.uri.authority() {
        headers::set(&mut parts.headers, HOST, authority);
    }
    let path = parts.uri.path_and_query().cloned();
    parts.uri = path.map_or_else(Uri::default, Uri::from);
}

/// Chooses one of a route's services at random, in proportion to their weights.
fn choose_service(route: &RouteEntry) -> Arc<ServiceEntry> {
    let total: u64 = route
        .services
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    // Validation rejects routes whose weights sum to zero.
    let mut point = rand::rng().random_range(0..total.max(1));
    for (service, weight) in &route.services {
        let weight = u64::from(*weight);
        if point < weight {
            return Arc::clone(service);
        }
        point -= weight;
    }
    Arc::clone(&route.services[0].0)
}
