//! A stand-in for the platform's append-only log that simulates the failures of the
//! real one: outages, slow answers, lost answers, a limit on appends per second, and
//! records that are trimmed from the start of a stream.

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

/// The failures that the log simulates, as the last `POST /behaviour` set them.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LogBehaviour {
    /// Answer every append and read with status 503.
    outage: bool,
    /// Never answer an append or a read.
    hang: bool,
    /// Delay before each append or read is handled.
    delay_ms: u64,
    /// Number of appends that are stored, but answered with status 503.
    lose_answers: u32,
    /// Number of appends that are answered with status 503 and stored only after
    /// `late_ms`.
    late_appends: u32,
    /// Delay between the response to a late append and the storing of its record.
    late_ms: u64,
    /// First offset that is still available, by stream name.
    trim: HashMap<String, u64>,
    /// Maximum rate of appends; 0 for no limit.
    appends_per_second: u32,
}

#[derive(Debug, Default)]
struct LogStream {
    /// First offset that is still available. Trimmed records stay in `records`, so
    /// that offsets remain indices.
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

fn json_response(status: StatusCode, value: &Value) -> LogResponse {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response
}

fn unavailable() -> LogResponse {
    json_response(
        StatusCode::SERVICE_UNAVAILABLE,
        &json!({ "error": "outage" }),
    )
}

/// Handles a request: `/behaviour` sets the simulated failures or returns the request
/// counts, and `/streams/{name}/records` appends and reads records.
async fn serve(state: &Arc<LogState>, request: Request<Incoming>) -> LogResponse {
    let (parts, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return unavailable(),
    };
    let path = parts.uri.path().trim_matches('/').to_owned();
    if path == "behaviour" && parts.method == Method::GET {
        return request_counts(state);
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
        return unavailable();
    }
    let segments: Vec<&str> = path.split('/').collect();
    let &["streams", stream, "records"] = segments.as_slice() else {
        return json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such path" }));
    };
    if parts.method == Method::POST {
        state.appends.fetch_add(1, Ordering::Relaxed);
        append(state, stream, body, &behaviour).await
    } else {
        read(state, stream, parts.uri.query().unwrap_or_default()).await
    }
}

/// Returns the number of requests that the log has served.
fn request_counts(state: &LogState) -> LogResponse {
    let value = json!({
        "appends": state.appends.load(Ordering::Relaxed),
        "reads": state.reads.load(Ordering::Relaxed),
        "open_reads": state.open_reads.load(Ordering::Relaxed),
    });
    json_response(StatusCode::OK, &value)
}

/// Counts a long-polling read as open until it is dropped.
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

/// Replaces the behaviour with the one in `body`, and trims streams as it says.
fn set_behaviour(state: &LogState, body: &[u8]) -> LogResponse {
    match serde_json::from_slice::<LogBehaviour>(body) {
        Ok(behaviour) => {
            let mut streams = state.streams.lock().expect("no panic");
            for (name, first) in &behaviour.trim {
                streams.entry(name.clone()).or_default().first = *first;
            }
            *state.behaviour.lock().expect("no panic") = behaviour;
            json_response(StatusCode::OK, &json!({}))
        }
        Err(error) => json_response(
            StatusCode::BAD_REQUEST,
            &json!({ "error": error.to_string() }),
        ),
    }
}

/// Appends a record, subject to the rate limit and the simulated failures.
async fn append(
    state: &Arc<LogState>,
    stream: &str,
    record: Bytes,
    behaviour: &LogBehaviour,
) -> LogResponse {
    if behaviour.appends_per_second > 0 {
        let interval = Duration::from_secs(1) / behaviour.appends_per_second;
        let start_at = {
            let mut next_append = state.next_append.lock().expect("no panic");
            *next_append = (*next_append).max(Instant::now()) + interval;
            *next_append
        };
        tokio::time::sleep_until(start_at.into()).await;
    }
    let is_late = take_from_counter(state, |behaviour| &mut behaviour.late_appends);
    if is_late {
        let (state, stream) = (Arc::clone(state), stream.to_owned());
        let delay = Duration::from_millis(behaviour.late_ms);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            store_record(&state, &stream, record);
        });
        return unavailable();
    }
    let offset = store_record(state, stream, record);
    if take_from_counter(state, |behaviour| &mut behaviour.lose_answers) {
        return unavailable();
    }
    json_response(StatusCode::OK, &json!({ "offset": offset }))
}

/// Stores a record, wakes the reads that wait for one, and returns its offset.
fn store_record(state: &LogState, stream: &str, record: Bytes) -> u64 {
    let offset = {
        let mut streams = state.streams.lock().expect("no panic");
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.records.push(record);
        stream.records.len() as u64 - 1
    };
    state.appended.send_modify(|count| *count += 1);
    offset
}

/// Decrements one of the behaviour's counters. Returns `false` if it was already 0.
fn take_from_counter<F>(state: &LogState, counter: F) -> bool
where
    F: FnOnce(&mut LogBehaviour) -> &mut u32,
{
    let mut behaviour = state.behaviour.lock().expect("no panic");
    let remaining = counter(&mut behaviour);
    let is_taken = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_taken
}

/// Returns the records from an offset on. If there are none, waits up to `wait_ms` for
/// one.
async fn read(state: &LogState, stream: &str, query: &str) -> LogResponse {
    let parameter = |key: &str| -> u64 {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(name, _)| *name == key)
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or_default()
    };
    state.reads.fetch_add(1, Ordering::Relaxed);
    let _open_read = (parameter("wait_ms") > 0).then(|| OpenRead::new(&state.open_reads));
    let (from, limit) = (parameter("from"), parameter("limit").max(1));
    let deadline = Instant::now() + Duration::from_millis(parameter("wait_ms"));
    let mut appended = state.appended.subscribe();
    loop {
        appended.mark_unchanged();
        let answer = read_now(state, stream, from, limit as usize);
        if answer.1 || Instant::now() >= deadline {
            return answer.0;
        }
        let _ = tokio::time::timeout_at(deadline.into(), appended.changed()).await;
    }
}

/// Reads without waiting. Returns the response and `true` if a long-polling read
/// gets it at once: it has records or reports that the offset was trimmed.
fn read_now(state: &LogState, stream: &str, from: u64, limit: usize) -> (LogResponse, bool) {
    let mut streams = state.streams.lock().expect("no panic");
    let stream = streams.entry(stream.to_owned()).or_default();
    if from < stream.first {
        let gone = json_response(StatusCode::GONE, &json!({ "first": stream.first }));
        return (gone, true);
    }
    let records: Vec<Value> = (from..)
        .zip(stream.records.iter().skip(from as usize).take(limit))
        .map(|(offset, record)| json!({ "offset": offset, "data": STANDARD.encode(record) }))
        .collect();
    let has_records = !records.is_empty();
    let value = json!({
        "first": stream.first,
        "next": stream.records.len(),
        "records": records,
    });
    (json_response(StatusCode::OK, &value), has_records)
}
