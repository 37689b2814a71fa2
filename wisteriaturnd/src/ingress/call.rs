//! One call of a caller: read, routed, attempted and answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http_body_util::Limited;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use rand::RngExt;
use tokio::time::timeout_at;
use wisteriaturn::clock::lock;
use wisteriaturn::config::view::{RouteEntry, ServiceEntry, ServingView};
use wisteriaturn::gate::outcome::{CallOutcome, RefusalReason};
use wisteriaturn::gate::quarantine::QuarantineStatus;
use wisteriaturn::ids::Fingerprint;
use wisteriaturn::retry::deadline::CallDeadline;
use wisteriaturn::route::limit::RoutePermit;

use crate::gate::answer::refusal;
use crate::http::body::{BodyEnd, BufferedBody, CountedBody, NodeBody, OnEndBody, boxed};
use crate::http::headers;
use crate::ingress::attempt::{self, RoutedCall};
use crate::logs::Sanitized;
use crate::metrics::CallLabels;
use crate::node::{NodeHandle, NodeStage};

/// Largest head of a request in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// When a caller may come again whose call met no target at all.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Part of a call's target latency that its caller's own connection takes: the
/// way to the node and back within a region.
const CALLER_TRIP: Duration = Duration::from_millis(16);

/// What is known of a call when it ends, for its log line and metrics.
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
    bytes: Arc<AtomicU64>,
}

impl CallRecord {
    fn finish(self, end: BodyEnd) {
        let took = self.node.clock.now().duration_since(self.started);
        self.node.metrics.call_seconds.observe(took.as_secs_f64());
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
            outcome:% = self.outcome,
            reason = self.reason,
            status = self.status,
            took_us = took.as_micros() as u64,
            bytes = self.bytes.load(Ordering::Relaxed),
            body:? = end;
            "call"
        );
    }
}

/// Serves one request of a caller.
pub async fn handle(node: &NodeHandle, request: Request<NodeBody>) -> Response<NodeBody> {
    let started = node.clock.now();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let request_id = headers::text(request.headers(), &node.edge.request_id)
        .unwrap_or_default()
        .to_owned();
    let served = tokio::select! {
        served = Box::pin(serve(node, request)) => served,
        () = wait_closing(node) => Ok(cut_call()),
    };
    let (response, route, permit) = match served {
        Ok(served) => (served.response, served.route, served.permit),
        Err(reason) => (
            node.refusal(CallOutcome::NotRun, reason, RETRY_AFTER),
            None,
            None,
        ),
    };
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
    permit: Option<RoutePermit>,
}

/// Waits until the time for calls under way is over.
async fn wait_closing(node: &NodeHandle) {
    let mut stage = node.stage.subscribe();
    // The sender lives in the node, so this cannot fail while it is held.
    let _ = stage.wait_for(|stage| *stage >= NodeStage::Closing).await;
}

/// Returns the end of a call that was under way when the time was over: it may
/// have run, wherever it was.
fn cut_call() -> ServedCall {
    ServedCall {
        response: refusal(CallOutcome::Unknown, RefusalReason::Draining),
        route: None,
        permit: None,
    }
}

/// Tells whether a request may be started early: whether its route is known and
/// its calls are idempotent.
pub fn may_start_early<B>(node: &NodeHandle, request: &Request<B>) -> bool {
    let view = node.view.load();
    let Some(host) = host_of(request) else {
        return false;
    };
    let route = view.config.find_route(&host, request.uri().path());
    route.is_some_and(|route| {
        let is_idempotent = route.spec.idempotent;
        is_idempotent.unwrap_or_else(|| request.method().is_idempotent())
    })
}

async fn serve(node: &NodeHandle, request: Request<NodeBody>) -> Result<ServedCall, RefusalReason> {
    // A node that is stopped while it starts is past that stage, but knows as
    // little as before.
    if !node.was_ready.load(Ordering::Acquire) {
        return Err(RefusalReason::NotReady);
    }
    // Callers were told for a while that this node stops; a call that is taken
    // now could not end before it does.
    let has_warned = !node.settings.tuning.lame_duck.is_zero();
    if has_warned && node.current_stage() >= NodeStage::Stopping {
        return Err(RefusalReason::Draining);
    }
    let view = node.view.load();
    check_framing(node, &view, &request)?;
    let host = host_of(&request).ok_or(RefusalReason::BadRequest)?;
    let route = view
        .config
        .find_route(&host, request.uri().path())
        .cloned()
        .ok_or(RefusalReason::NoRoute)?;
    let most = route.spec.max_concurrent;
    let permit = node
        .route_limiter
        .try_acquire(&route.spec.name, most)
        .ok_or(RefusalReason::RouteLimit)?;
    let asked = headers::parsed_millis(request.headers(), &node.edge.deadline_ms);
    let deadline = CallDeadline::for_call(&node.clock, route.spec.deadline(), asked);
    let call = read(node, view, Arc::clone(&route), deadline, request).await?;
    let response = attempt::run(node, call).await;
    Ok(ServedCall {
        response,
        route: Some(route.spec.name.to_string()),
        permit: Some(permit),
    })
}

/// Refuses a request whose framing two readers could take differently, or
/// whose body is over the bound.
fn check_framing(
    node: &NodeHandle,
    view: &ServingView,
    request: &Request<NodeBody>,
) -> Result<(), RefusalReason> {
    let map = request.headers();
    let has_both = map.contains_key(CONTENT_LENGTH) && map.contains_key(TRANSFER_ENCODING);
    let is_large = request.body().size_hint().lower() > body_bound(node, view);
    let most_head = view
        .config
        .limits
        .as_ref()
        .map_or(MAX_HEAD_BYTES, |limits| {
            usize::try_from(limits.max_head_bytes).unwrap_or(MAX_HEAD_BYTES)
        });
    if has_both
        || is_large
        || head_bytes(request) > most_head.min(MAX_HEAD_BYTES)
        || map.get_all(HOST).iter().count() > 1
    {
        return Err(RefusalReason::BadRequest);
    }
    Ok(())
}

/// Returns the bytes that a body may have: the node's bound, or the one of the
/// configuration where that is lower.
fn body_bound(node: &NodeHandle, view: &ServingView) -> u64 {
    let own = node.settings.tuning.max_body_bytes;
    let limits = view.config.limits.as_ref();
    limits.map_or(own, |limits| own.min(limits.max_body_bytes))
}

/// Returns the bytes of a request's head. The connection's buffer bounds them
/// only roughly, since it grows by whole reads.
fn head_bytes<B>(request: &Request<B>) -> usize {
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    headers + request.uri().to_string().len()
}

fn host_of<B>(request: &Request<B>) -> Option<String> {
    match request.uri().host() {
        Some(host) => Some(host.to_owned()),
        None => headers::text(request.headers(), &HOST).map(str::to_owned),
    }
}

async fn read(
    node: &NodeHandle,
    view: Arc<ServingView>,
    route: Arc<RouteEntry>,
    deadline: CallDeadline,
    request: Request<NodeBody>,
) -> Result<RoutedCall, RefusalReason> {
    let (mut parts, body) = request.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    let request_id = parts.headers.get(&node.edge.request_id).cloned();
    headers::strip_mesh(&mut parts.headers);
    if let Some(request_id) = &request_id {
        let name = node.edge.request_id.clone();
        parts.headers.insert(name, request_id.clone());
    }
    // What a caller says of itself here is never believed.
    parts.headers.remove(&node.edge.expected_instance);
    parts.headers.remove(&node.edge.caller_service);
    if let Some(service) = &node.settings.caller_service {
        let name = node.edge.caller_service.clone();
        headers::set(&mut parts.headers, name, service);
    }
    let is_idempotent = route
        .spec
        .idempotent
        .unwrap_or_else(|| parts.method.is_idempotent());
    to_origin_form(&mut parts);
    let key = parts.headers.get(headers::IDEMPOTENCY_KEY).cloned();
    if key
        .as_ref()
        .is_some_and(|key| key.len() > headers::MAX_IDEMPOTENCY_KEY_BYTES)
    {
        return Err(RefusalReason::BadRequest);
    }
    let limit = node.settings.tuning.replay_bytes;
    let most = usize::try_from(body_bound(node, &view)).unwrap_or(usize::MAX);
    let reading = BufferedBody::read(boxed(Limited::new(body, most)), limit);
    let body = timeout_at(deadline.at().into(), reading)
        .await
        .map_err(|_| RefusalReason::Deadline)?
        .map_err(|_| RefusalReason::BadRequest)?;
    let aim = route.spec.target_latency().saturating_sub(CALLER_TRIP);
    let soft_deadline =
        CallDeadline::for_call(&node.clock, aim, Some(deadline.remaining(node.clock.now())));
    let service = choose_service(&route);
    let fingerprint = match key.as_ref().filter(|_| !is_idempotent) {
        Some(key) => {
            let name = service.spec.name.as_str().as_bytes();
            Fingerprint::of_parts(&[b"key", name, key.as_bytes()])
        }
        None => Fingerprint::of_parts(&[
            parts.method.as_str().as_bytes(),
            // Not the host: callers may name the node they connect to.
            service.spec.name.as_str().as_bytes(),
            parts.uri.to_string().as_bytes(),
            body.prefix(),
        ]),
    };
    let standing = lock(&node.suspects).status(fingerprint, node.clock.now());
    if let QuarantineStatus::Quarantined(_) = standing {
        return Err(RefusalReason::Quarantined);
    }
    Ok(RoutedCall {
        view,
        route,
        service,
        request_id,
        soft_deadline,
        deadline,
        is_idempotent,
        has_key: key.is_some(),
        fingerprint,
        parts,
        body,
    })
}

/// Turns `GET http://host/path` into `GET /path` with a Host header: the
/// absolute form is for proxies, and a target need not read it (RFC 9112, 3.2).
fn to_origin_form(parts: &mut Parts) {
    if let Some(authority) = parts.uri.authority() {
        headers::set(&mut parts.headers, HOST, authority);
    }
    let path = parts.uri.path_and_query().cloned();
    parts.uri = path.map_or_else(Uri::default, Uri::from);
}

/// Chooses one of a route's services by weight.
fn choose_service(route: &RouteEntry) -> Arc<ServiceEntry> {
    let total: u64 = route
        .services
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    // Validation lets no route pass whose weights sum to zero.
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
