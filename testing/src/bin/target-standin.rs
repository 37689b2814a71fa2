//! A stand-in for a target. It announces itself to a node, serves calls in the way
//! that their headers ask for, and appends the ID of each run to a file that
//! outlives the process.

use std::convert::Infallible;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, eyre};
use gumdrop::Options;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;
use wisteriaturn::clock::{Clock, SystemClock, lock};
use wisteriaturn_testing::client;
use wisteriaturn_testing::statement::{STATEMENT_PATH, StatementCheck};

/// How often the target announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for calls in flight when the target stops.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Options)]
struct TargetOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    #[options(help = "admin address of the node to announce to", meta = "ADDRESS")]
    admin: Option<SocketAddr>,
    #[options(
        help = "ingress address of that node, for further calls",
        meta = "ADDRESS"
    )]
    ingress: Option<SocketAddr>,
    #[options(help = "service to announce", meta = "NAME")]
    service: String,
    #[options(help = "number of calls served at once", meta = "COUNT", default = "6")]
    slots: u16,
    #[options(help = "file to which the ID of each run is appended", meta = "FILE")]
    runs: Option<PathBuf>,
    #[options(help = "announce an instance name, which is new at each start")]
    named: bool,
    #[options(
        help = "file to which each request against the target's statements is appended",
        meta = "FILE"
    )]
    violations: Option<PathBuf>,
}

type TargetBody = UnsyncBoxBody<Bytes, std::io::Error>;

#[derive(Debug)]
struct TargetState {
    address: SocketAddr,
    admin: SocketAddr,
    ingress: Option<SocketAddr>,
    service: String,
    slots: u16,
    runs: Option<PathBuf>,
    violations: Option<PathBuf>,
    /// Start time in milliseconds, by which a named target identifies itself.
    incarnation: Option<u64>,
    announcements: AtomicU64,
    statements: Mutex<StatementCheck>,
    capacity: Arc<Semaphore>,
    running: AtomicUsize,
    is_draining: AtomicBool,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let options = TargetOptions::parse_args_default_or_exit();
    let address = options
        .listen
        .ok_or_else(|| eyre!("--listen is required"))?;
    let state = Arc::new(TargetState {
        address,
        admin: options.admin.ok_or_else(|| eyre!("--admin is required"))?,
        ingress: options.ingress,
        service: options.service,
        slots: options.slots,
        runs: options.runs,
        violations: options.violations,
        incarnation: options.named.then(|| SystemClock.unix_millis()),
        announcements: AtomicU64::new(0),
        statements: Mutex::default(),
        capacity: Arc::new(Semaphore::new(usize::from(options.slots))),
        running: AtomicUsize::new(0),
        is_draining: AtomicBool::new(false),
    });
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(announce_task(Arc::clone(&state)));
    let mut terminate = signal(SignalKind::terminate())?;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted?;
                stream.set_nodelay(true)?;
                let state = Arc::clone(&state);
                let service = service_fn(move |request| {
                    let state = Arc::clone(&state);
                    async move { serve(&state, request).await }
                });
                let connection = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::spawn(connection);
            }
            _ = terminate.recv() => {
                tokio::spawn(drain(Arc::clone(&state)));
            }
        }
    }
}

async fn announce_task(state: Arc<TargetState>) {
    loop {
        announce(&state).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn announce(state: &TargetState) {
    let mut body = json!({
        "service": state.service,
        "address": state.address,
        "slots": state.slots,
        "draining": state.is_draining.load(Ordering::Relaxed),
    });
    if let Some(incarnation) = state.incarnation {
        body["instance"] = json!(format!("i-{}-{incarnation}", state.address.port()));
        body["incarnation"] = json!(incarnation);
        body["sequence"] = json!(state.announcements.fetch_add(1, Ordering::Relaxed));
    }
    let _ = client::post(state.admin, "/v1/targets", &body.to_string()).await;
}

/// Drains and exits: announces that the target is draining, waits for the calls in
/// flight, then ends the process.
async fn drain(state: Arc<TargetState>) {
    state.is_draining.store(true, Ordering::Relaxed);
    announce(&state).await;
    let deadline = tokio::time::Instant::now() + DRAIN_TIMEOUT;
    while state.running.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // The last answers may not have been sent yet.
    tokio::time::sleep(Duration::from_millis(200)).await;
    std::process::exit(0);
}

async fn serve(
    state: &TargetState,
    request: Request<Incoming>,
) -> Result<Response<TargetBody>, Infallible> {
    if request.uri().path() == STATEMENT_PATH {
        return Ok(set_statements(state, request).await);
    }
    let violation = lock(&state.statements).record_request(Instant::now());
    if let Some(violation) = violation {
        let (address, now_ms) = (state.address, SystemClock.unix_millis());
        append_line(
            state.violations.as_ref(),
            &format!("{address} {now_ms} {violation}"),
        );
    }
    state.running.fetch_add(1, Ordering::Relaxed);
    let mut response = run(state, request).await;
    state.running.fetch_sub(1, Ordering::Relaxed);
    for (name, value) in lock(&state.statements).headers(Instant::now()) {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    Ok(response)
}

/// Sets what the target states from now on: `{"limit": 5.0, "leaving": false}`.
async fn set_statements(state: &TargetState, request: Request<Incoming>) -> Response<TargetBody> {
    let body = request.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let told: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let is_leaving = told["leaving"].as_bool().unwrap_or_default();
    lock(&state.statements).set(told["limit"].as_f64(), is_leaving);
    Response::new(
        Full::new(Bytes::new())
            .map_err(|never| match never {})
            .boxed_unsync(),
    )
}

/// Serves a call. The request headers `x-crash`, `x-sleep-ms`, `x-stall`, `x-cut`, `x-next`,
/// `x-status` and `x-answer-bytes` say how; without them the answer describes the request.
async fn run(state: &TargetState, request: Request<Incoming>) -> Response<TargetBody> {
    let (parts, body) = request.into_parts();
    record_run(state, &parts.headers);
    if parts.headers.contains_key("x-crash") {
        std::process::abort();
    }
    let mut received = 0;
    let mut body = body;
    let mut first = Bytes::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Ok(data) = frame.into_data() {
            received += data.len();
            if first.is_empty() {
                first = data;
            }
        }
    }
    let header_number = |name: &str| -> u64 {
        let value = parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok());
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or_default()
    };
    let sleep_ms = header_number("x-sleep-ms");
    if sleep_ms > 0 {
        // As in a real target, the slots limit all callers together, and a call
        // keeps its slot even after its caller has disconnected. Without the
        // check for 0, the sleep would last until the timer's next tick.
        let capacity = Arc::clone(&state.capacity);
        let occupy_slot = async move {
            let _slot = capacity.acquire().await;
            tokio::time::sleep(Duration::from_millis(sleep_ms)).await;
        };
        let _ = tokio::spawn(occupy_slot).await;
    }
    if parts.headers.contains_key("x-stall") {
        return Response::new(stalled_body());
    }
    if parts.headers.contains_key("x-cut") {
        return Response::new(cut_body());
    }
    let status = match parts
        .headers
        .get("x-next")
        .and_then(|value| value.to_str().ok())
    {
        Some(next) => call_next_service(state, next, &parts.headers).await,
        None => header_number("x-status").max(200) as u16,
    };
    let answer_bytes = header_number("x-answer-bytes") as usize;
    let content = if answer_bytes > 0 {
        Bytes::from(vec![b'x'; answer_bytes])
    } else {
        let headers: Vec<String> = parts.headers.keys().map(ToString::to_string).collect();
        Bytes::from(
            json!({
                "target": state.address,
                "method": parts.method.as_str(),
                "path": parts.uri.to_string(),
                "received": received,
                "headers": headers,
                "id": parts.headers.get("x-run").and_then(|value| value.to_str().ok()),
            })
            .to_string(),
        )
    };
    let body = Full::new(content).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    response
}

/// Returns a body that fails after its first bytes.
fn cut_body() -> TargetBody {
    let frames = [
        Ok(Frame::data(Bytes::from(vec![b'x'; 1_000]))),
        Err(std::io::Error::other("cut")),
    ];
    StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync()
}

/// Returns a body that sends no more after its first bytes, but stays open.
fn stalled_body() -> TargetBody {
    let first = futures_util::stream::iter([Ok(Frame::data(Bytes::from(vec![b'x'; 1_000])))]);
    let rest = futures_util::stream::pending();
    StreamBody::new(futures_util::StreamExt::chain(first, rest)).boxed_unsync()
}

/// Appends the run's ID to the file before the call does anything else, like a target
/// that records a booking first. So a run counts even if the process crashes later.
fn record_run(state: &TargetState, headers: &HeaderMap) {
    let id = headers.get("x-run").and_then(|value| value.to_str().ok());
    if let Some(id) = id {
        append_line(state.runs.as_ref(), id);
    }
}

fn append_line(path: Option<&PathBuf>, line: &str) {
    let Some(path) = path else {
        return;
    };
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path);
    if let Ok(mut file) = file {
        let _ = file.write_all(format!("{line}\n").as_bytes());
    }
}

/// Calls the first of the comma-separated services through the target's node, passes
/// the other services on in `x-next`, and returns the status of the response.
async fn call_next_service(state: &TargetState, next: &str, headers: &HeaderMap) -> u16 {
    let Some(ingress) = state.ingress else {
        return 500;
    };
    let (service, rest) = next.split_once(',').unwrap_or((next, ""));
    let deadline = headers.get("wisteriaturn-deadline-ms");
    let deadline = deadline
        .and_then(|value| value.to_str().ok())
        .unwrap_or("10000");
    let mut forwarded = vec![("wisteriaturn-deadline-ms", deadline)];
    if !rest.is_empty() {
        forwarded.push(("x-next", rest));
    }
    for name in ["x-run", "x-status", "x-sleep-ms"] {
        if let Some(value) = headers.get(name).and_then(|value| value.to_str().ok()) {
            forwarded.push((name, value));
        }
    }
    match client::send(ingress, "GET", &format!("/{service}"), &forwarded, b"").await {
        Ok(reply) => reply.status,
        Err(_) => 502,
    }
}
