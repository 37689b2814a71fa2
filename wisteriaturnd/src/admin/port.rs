//! HTTP server and request routing of the admin port, which serves operators,
//! targets and metrics scrapers.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, IF_MATCH, IF_NONE_MATCH};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use wisteriaturn::config::change::{Change, MAX_CHANGE_BYTES};
use wisteriaturn::config::resource::{Resource, ResourceKey, ResourceKind};
use wisteriaturn::ids::{ChangeId, ConfigVersion, ServiceName};

use crate::admin::change::{RawChange, RawOperation, RawPrecondition, apply, find_report};
use crate::admin::explain::{self, ExplainedCall};
use crate::admin::reply::{error_reply, json_reply, text_reply};
use crate::admin::view;
use crate::gate::targets::{self, RegistrationError, TargetAnnouncement};
use crate::http::body::NodeBody;
use crate::node::{NodeHandle, NodeStage};

/// Maximum number of open connections; further ones are closed on accept.
const MAX_CONNECTIONS: usize = 256;

/// How long a client may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts admin connections for as long as the node runs.
pub async fn accept_task(node: NodeHandle, listener: TcpListener) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            node.metrics.record_drop("admin-connections");
            continue;
        };
        let node = node.clone();
        tokio::spawn(async move {
            serve_connection(node, stream, peer).await;
            drop(permit);
        });
    }
}

async fn serve_connection(node: NodeHandle, stream: TcpStream, peer: SocketAddr) {
    let service = service_fn(|request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(handle_request(&node, request, peer).await) }
    });
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request(
    node: &NodeHandle,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<NodeBody> {
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect();
    let method = request.method().clone();
    let is_target_request = requires_loopback(&method, &segments);
    if is_target_request && !peer.ip().is_loopback() {
        let error = "only a target on this VM may make this request, over loopback";
        return error_reply(StatusCode::FORBIDDEN, error);
    }
    if method != Method::GET && !is_target_request && !has_token(node, request.headers()) {
        return error_reply(
            StatusCode::UNAUTHORIZED,
            "this request requires a valid bearer token",
        );
    }
    if method == Method::GET {
        return handle_read(node, &segments, request.uri().query().unwrap_or_default()).await;
    }
    handle_write(node, &method, &segments, request).await
}

/// Returns `true` if only a target on this VM may make the request, so that it
/// must arrive over loopback. Such requests need no token.
pub fn requires_loopback(method: &Method, segments: &[&str]) -> bool {
    segments.starts_with(&["v1", "targets"]) && method != Method::GET
}

fn has_token(node: &NodeHandle, headers: &HeaderMap) -> bool {
    let Some(expected) = &node.settings.admin_token else {
        return true;
    };
    let given = headers.get(AUTHORIZATION).map(|value| value.as_bytes());
    let expected = format!("Bearer {expected}");
    // Comparing hashes takes constant time whatever the length of the token.
    given.is_some_and(|given| blake3::hash(given) == blake3::hash(expected.as_bytes()))
}

async fn handle_read(node: &NodeHandle, segments: &[&str], query: &str) -> Response<NodeBody> {
    let query = QueryParameters::new(query);
    match segments {
        ["health"] => text_reply(StatusCode::OK, "ok\n".to_owned()),
        ["ready"] => readiness(node),
        ["metrics"] => text_reply(
            StatusCode::OK,
            node.metrics.encode(node.log.traffic_bytes()),
        ),
        ["v1", "status"] => view::status(node),
        ["v1", "members"] => view::members(node),
        ["v1", "targets"] => view::targets(node),
        ["v1", "resources"] => view::resources(node, None),
        ["v1", "changes", id] => match id.parse::<ChangeId>() {
            Ok(id) => change_report(node, id),
            Err(error) => error_reply(StatusCode::BAD_REQUEST, format!("change id: {error}")),
        },
        ["v1", "watch"] => view::watch(node, query.version_or_zero("from")),
        ["v1", "convergence"] => {
            let current = node.view.load().config.version;
            let version = query.get("version").and_then(|text| text.parse().ok());
            view::convergence(node, version.unwrap_or(current)).await
        }
        ["v1", "explain"] => {
            let bytes = query.get("bytes").unwrap_or_else(|| "0".to_owned());
            let Ok(bytes) = bytes.parse() else {
                let error = format!("bytes = {bytes:?} is not a number of bytes");
                return error_reply(StatusCode::BAD_REQUEST, error);
            };
            let call = ExplainedCall {
                host: query.get("host").unwrap_or_default(),
                path: query.get("path").unwrap_or_else(|| "/".to_owned()),
                method: query.get("method").unwrap_or_else(|| "GET".to_owned()),
                key: query.get("key"),
                team: query.get("team"),
                bytes,
            };
            explain::explain(node, &call)
        }
        ["v1", "rollouts"] => explain::rollouts(node),
        ["v1", "allowances"] => explain::allowances(node),
        ["v1", kind] => match kind.parse::<ResourceKind>() {
            Ok(kind) => view::resources(node, Some(&kind.to_string())),
            Err(_) => not_found(),
        },
        ["v1", kind, name] => match kind.parse::<ResourceKind>() {
            Ok(kind) => view::resource(node, &ResourceKey::new(kind, name)),
            Err(_) => not_found(),
        },
        _ => not_found(),
    }
}

fn not_found() -> Response<NodeBody> {
    error_reply(StatusCode::NOT_FOUND, "unknown path; see docs/API.md")
}

fn readiness(node: &NodeHandle) -> Response<NodeBody> {
    match node.current_stage() {
        NodeStage::Ready if node.is_isolated() => {
            text_reply(StatusCode::SERVICE_UNAVAILABLE, "Isolated\n".to_owned())
        }
        NodeStage::Ready => text_reply(StatusCode::OK, "ready\n".to_owned()),
        stage => text_reply(StatusCode::SERVICE_UNAVAILABLE, format!("{stage:?}\n")),
    }
}

fn change_report(node: &NodeHandle, id: ChangeId) -> Response<NodeBody> {
    match find_report(node, id) {
        Some(report) => json_reply(StatusCode::OK, &report),
        None => {
            let error = format!("no record of change {id} on this node");
            error_reply(StatusCode::NOT_FOUND, error)
        }
    }
}

async fn handle_write(
    node: &NodeHandle,
    method: &Method,
    segments: &[&str],
    request: Request<Incoming>,
) -> Response<NodeBody> {
    let expect = match parse_precondition(request.headers()) {
        Ok(expect) => expect,
        Err(error) => return error_reply(StatusCode::BAD_REQUEST, error),
    };
    let query = QueryParameters::new(request.uri().query().unwrap_or_default());
    let is_dry_run = query.get("dry_run").as_deref() == Some("true");
    let body = match Limited::new(request.into_body(), MAX_CHANGE_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(error) => return error_reply(StatusCode::PAYLOAD_TOO_LARGE, error),
    };
    match (method, segments) {
        (&Method::POST, ["v1", "targets"]) => match parse_json::<TargetAnnouncement>(&body) {
            Ok(announcement) => announce(node, &announcement).await,
            Err(error) => error_reply(StatusCode::BAD_REQUEST, error),
        },
        (&Method::DELETE, ["v1", "targets", service]) => withdraw(node, service).await,
        (&Method::POST, ["v1", "changes"]) => match parse_json::<RawChange>(&body) {
            Ok(raw) => submit_change(node, raw, is_dry_run).await,
            Err(error) => error_reply(StatusCode::BAD_REQUEST, error),
        },
        (&Method::PUT | &Method::DELETE, ["v1", kind, name]) => {
            match single_operation_change(method, kind, name, &body, expect) {
                Ok(raw) => submit_change(node, raw, is_dry_run).await,
                Err(error) => error_reply(StatusCode::BAD_REQUEST, error),
            }
        }
        _ => not_found(),
    }
}

fn parse_json<T>(body: &Bytes) -> Result<T, String>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

/// Parses `If-Match: "revision"` and `If-None-Match: *` into a precondition.
fn parse_precondition(headers: &HeaderMap) -> Result<Option<RawPrecondition>, String> {
    if let Some(tag) = headers.get(IF_MATCH) {
        let text = tag.to_str().unwrap_or_default().trim_matches('"');
        let revision = text
            .parse()
            .map_err(|_| "If-Match must be a single quoted revision".to_owned())?;
        return Ok(Some(RawPrecondition::Revision(revision)));
    }
    match headers.get(IF_NONE_MATCH).map(|tag| tag.as_bytes()) {
        None => Ok(None),
        Some(b"*") => Ok(Some(RawPrecondition::Word("absent".to_owned()))),
        Some(_) => Err("If-None-Match must be *".to_owned()),
    }
}

/// Builds a change with a single operation from a `PUT` or `DELETE` of one
/// resource.
fn single_operation_change(
    method: &Method,
    kind: &str,
    name: &str,
    body: &Bytes,
    expect: Option<RawPrecondition>,
) -> Result<RawChange, String> {
    let kind: ResourceKind = kind.parse()?;
    let key = ResourceKey::new(kind, name);
    let operation = if method == Method::PUT {
        let resource: Resource = parse_json(body)?;
        if resource.key() != key {
            return Err(format!(
                "the body describes {}, but the path names {key}",
                resource.key()
            ));
        }
        RawOperation {
            put: Some(resource),
            delete: None,
            expect,
        }
    } else {
        RawOperation {
            put: None,
            delete: Some(key.to_string()),
            expect,
        }
    };
    Ok(RawChange {
        change_id: None,
        author: None,
        operations: vec![operation],
    })
}

async fn submit_change(node: &NodeHandle, raw: RawChange, is_dry_run: bool) -> Response<NodeBody> {
    let change = match Change::try_from(raw) {
        Ok(change) => change,
        Err(error) => return error_reply(StatusCode::BAD_REQUEST, error),
    };
    if is_dry_run {
        let preview = wisteriaturn::clock::lock(&node.store)
            .state()
            .preview(&change);
        return match preview {
            Ok(()) => json_reply(
                StatusCode::OK,
                &json!({ "accepted": true, "dry_run": true }),
            ),
            Err(rejection) => error_reply(StatusCode::UNPROCESSABLE_ENTITY, rejection),
        };
    }
    if node.current_stage() == NodeStage::Starting {
        return error_reply(StatusCode::SERVICE_UNAVAILABLE, "the node is not ready");
    }
    match apply(node, &change).await {
        Ok(report) => json_reply(report.status(), &report),
        Err(error) => {
            let reply = json!({ "error": error.to_string(), "change_id": change.id });
            json_reply(error.status(), &reply)
        }
    }
}

async fn announce(node: &NodeHandle, announcement: &TargetAnnouncement) -> Response<NodeBody> {
    match targets::register(node, announcement).await {
        Ok(()) => {
            let ttl = node.settings.tuning.announce_ttl.as_millis() as u64;
            json_reply(StatusCode::OK, &json!({ "ttl_ms": ttl }))
        }
        Err(error @ RegistrationError::NoService(_)) => error_reply(StatusCode::CONFLICT, error),
        Err(error @ RegistrationError::NotPermitted(_)) => {
            error_reply(StatusCode::FORBIDDEN, error)
        }
        Err(error) => error_reply(StatusCode::UNPROCESSABLE_ENTITY, error),
    }
}

async fn withdraw(node: &NodeHandle, service: &str) -> Response<NodeBody> {
    let Ok(service) = service.parse::<ServiceName>() else {
        return not_found();
    };
    if targets::withdraw(node, &service).await {
        json_reply(StatusCode::OK, &json!({ "withdrawn": service }))
    } else {
        error_reply(
            StatusCode::NOT_FOUND,
            format!("no target of service/{service} is announced on this node"),
        )
    }
}

/// Percent-decoded query parameters; the last of several equal keys wins.
struct QueryParameters(HashMap<String, String>);

impl QueryParameters {
    fn new(text: &str) -> Self {
        let pairs = form_urlencoded::parse(text.as_bytes()).into_owned();
        Self(pairs.collect())
    }

    fn get(&self, key: &str) -> Option<String> {
        self.0.get(key).cloned()
    }

    fn version_or_zero(&self, key: &str) -> ConfigVersion {
        let parsed = self.0.get(key).and_then(|text| text.parse().ok());
        parsed.unwrap_or_default()
    }
}
