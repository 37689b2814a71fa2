//! A stand-in for the platform's append-only log, with the failures that the
//! real one has: outages, slowness, lost answers, a limit of appends a second
//! and records that are no longer kept.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use eyre::Result;
use gumdrop::Options;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

#[derive(Debug, Options)]
struct LogOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", meta = "ADDRESS")]
    listen: Option<SocketAddr>,
}

/// How the log misbehaves; each order replaces the one before.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LogBehaviour {
    /// Answer everything with 503.
    outage: bool,
    /// Never answer.
    hang: bool,
    /// Wait before each answer.
    delay_ms: u64,
    /// Number of appends that take effect without an answer.
    lose_answers: u32,
    /// Number of appends that take effect only this long after their error.
    late_appends: u32,
    /// How late those are.
    late_ms: u64,
    /// Streams and the first offset that each still keeps.
    trim: HashMap<String, u64>,
    /// Most appends a second; 0 for no limit.
    appends_per_second: u32,
}

#[derive(Debug, Default)]
struct LogStream {
    first: u64,
    records: Vec<Bytes>,
}

#[derive(Debug)]
struct LogState {
    streams: Mutex<HashMap<String, LogStream>>,
    behaviour: Mutex<LogBehaviour>,
    appended: watch::Sender<u64>,
    next_append: Mutex<Instant>,
    appends: AtomicU64,
    reads: AtomicU64,
    open_reads: AtomicU64,
}

type LogResponse = Response<Full<Bytes>>;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let options = LogOptions::parse_args_default_or_exit();
    let address = options
        .listen
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 7000)));
    let listener = TcpListener::bind(address).await?;
    let state = Arc::new(LogState {
        streams: Mutex::default(),
        behaviour: Mutex::default(),
        appended: watch::Sender::new(0),
        next_append: Mutex::new(Instant::now()),
        appends: AtomicU64::new(0),
        reads: AtomicU64::new(0),
        open_reads: AtomicU64::new(0),
    });
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let state = Arc::clone(&state);
        let service = service_fn(move |request| {
            let state = Arc::clone(&state);
            async move { Ok::<_, Infallible>(serve(&state, request).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

fn reply(status: StatusCode, value: &Value) -> LogResponse {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response
}

fn outage() -> LogResponse {
    reply(
        StatusCode::SERVICE_UNAVAILABLE,
        &json!({ "error": "outage" }),
    )
}

async fn serve(state: &Arc<LogState>, request: Request<Incoming>) -> LogResponse {
    let (parts, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return outage(),
    };
    let path = parts.uri.path().trim_matches('/').to_owned();
    if path == "behaviour" && parts.method == Method::GET {
        return usage(state);
    }
    if path == "behaviour" {
        return set_behaviour(state, &body);
    }
    let behaviour = state.behaviour.lock().expect("no panic").clone();
    if behaviour.hang {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(behaviour.delay_ms)).await;
    if behaviour.outage {
        return outage();
    }
    let names: Vec<&str> = path.split('/').collect();
    let &["streams", stream, "records"] = names.as_slice() else {
        return reply(StatusCode::NOT_FOUND, &json!({ "error": "no such path" }));
    };
    if parts.method == Method::POST {
        state.appends.fetch_add(1, Ordering::Relaxed);
        append(state, stream, body, &behaviour).await
    } else {
        read(state, stream, parts.uri.query().unwrap_or_default()).await
    }
}

/// Says how much the log was used.
fn usage(state: &LogState) -> LogResponse {
    let value = json!({
        "appends": state.appends.load(Ordering::Relaxed),
        "reads": state.reads.load(Ordering::Relaxed),
        "open_reads": state.open_reads.load(Ordering::Relaxed),
    });
    reply(StatusCode::OK, &value)
}

/// Counts a read that waits for a record until it is dropped.
struct OpenRead<'a>(&'a AtomicU64);

impl<'a> OpenRead<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for OpenRead<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn set_behaviour(state: &LogState, body: &[u8]) -> LogResponse {
    match serde_json::from_slice::<LogBehaviour>(body) {
        Ok(behaviour) => {
            let mut streams = state.streams.lock().expect("no panic");
            for (name, first) in &behaviour.trim {
                streams.entry(name.clone()).or_default().first = *first;
            }
            *state.behaviour.lock().expect("no panic") = behaviour;
            reply(StatusCode::OK, &json!({}))
        }
        Err(error) => reply(
            StatusCode::BAD_REQUEST,
            &json!({ "error": error.to_string() }),
        ),
    }
}

async fn append(
    state: &Arc<LogState>,
    stream: &str,
    data: Bytes,
    behaviour: &LogBehaviour,
) -> LogResponse {
    if behaviour.appends_per_second > 0 {
        let step = Duration::from_secs(1) / behaviour.appends_per_second;
        let turn = {
            let mut next = state.next_append.lock().expect("no panic");
            *next = (*next).max(Instant::now()) + step;
            *next
        };
        tokio::time::sleep_until(turn.into()).await;
    }
    let is_late = take_one(state, |behaviour| &mut behaviour.late_appends);
    if is_late {
        let (state, stream) = (Arc::clone(state), stream.to_owned());
        let late = Duration::from_millis(behaviour.late_ms);
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            push(&state, &stream, data);
        });
        return outage();
    }
    let offset = push(state, stream, data);
    if take_one(state, |behaviour| &mut behaviour.lose_answers) {
        return outage();
    }
    reply(StatusCode::OK, &json!({ "offset": offset }))
}

fn push(state: &LogState, stream: &str, data: Bytes) -> u64 {
    let offset = {
        let mut streams = state.streams.lock().expect("no panic");
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.records.push(data);
        stream.records.len() as u64 - 1
    };
    state.appended.send_modify(|count| *count += 1);
    offset
}

fn take_one<F>(state: &LogState, counter: F) -> bool
where
    F: FnOnce(&mut LogBehaviour) -> &mut u32,
{
    let mut behaviour = state.behaviour.lock().expect("no panic");
    let left = counter(&mut behaviour);
    let has_one = *left > 0;
    *left = left.saturating_sub(1);
    has_one
}

async fn read(state: &LogState, stream: &str, query: &str) -> LogResponse {
    let number = |key: &str| -> u64 {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(name, _)| *name == key)
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or_default()
    };
    state.reads.fetch_add(1, Ordering::Relaxed);
    let _open = (number("wait_ms") > 0).then(|| OpenRead::new(&state.open_reads));
    let (from, limit) = (number("from"), number("limit").max(1));
    let until = Instant::now() + Duration::from_millis(number("wait_ms"));
    let mut appended = state.appended.subscribe();
    loop {
        appended.mark_unchanged();
        let answer = read_now(state, stream, from, limit as usize);
        if answer.1 || Instant::now() >= until {
            return answer.0;
        }
        let _ = tokio::time::timeout_at(until.into(), appended.changed()).await;
    }
}

/// Returns an answer and whether it need not wait for a record.
fn read_now(state: &LogState, stream: &str, from: u64, limit: usize) -> (LogResponse, bool) {
    let mut streams = state.streams.lock().expect("no panic");
    let stream = streams.entry(stream.to_owned()).or_default();
    if from < stream.first {
        let gone = reply(StatusCode::GONE, &json!({ "first": stream.first }));
        return (gone, true);
    }
    let records: Vec<Value> = (from..)
        .zip(stream.records.iter().skip(from as usize).take(limit))
        .map(|(offset, data)| json!({ "offset": offset, "data": STANDARD.encode(data) }))
        .collect();
    let has_records = !records.is_empty();
    let value = json!({
        "first": stream.first,
        "next": stream.records.len(),
        "records": records,
    });
    (reply(StatusCode::OK, &value), has_records)
}
