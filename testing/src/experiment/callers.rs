//! Callers that retry only what is safe to retry, and record every outcome.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::client;

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: usize = 4;

/// The outcomes of the calls of all callers.
#[derive(Debug, Default)]
pub struct CallerLog {
    /// Number of calls by kind, last outcome and reason.
    pub totals: Mutex<HashMap<(&'static str, String, String), u64>>,
    /// Outcomes of all attempts of each call, by run ID.
    pub outcomes_by_run: Mutex<HashMap<String, Vec<String>>>,
    /// Number of answers that belonged to another request.
    pub mismatched: AtomicU64,
    /// Attempts that ended without an answer.
    pub interrupted: Mutex<Vec<InterruptedAttempt>>,
}

/// An attempt that ended without an answer.
#[derive(Debug)]
pub struct InterruptedAttempt {
    /// Index of the ingress.
    pub index: usize,
    /// When the attempt began.
    pub began: Instant,
    /// When it ended.
    pub ended: Instant,
    /// The run ID of the call.
    pub id: String,
    /// What the caller saw.
    pub error: String,
}

/// The kinds of calls: reads without side effects, writes with an idempotency key, and
/// writes without one.
const KINDS: [&str; 3] = ["read", "keyed", "plain"];

/// Makes one call after the other, each attempt through a random node, until `stop` is
/// set.
pub async fn run_caller(
    ingresses: Arc<Vec<SocketAddr>>,
    log: Arc<CallerLog>,
    seed: u64,
    stop: Arc<std::sync::atomic::AtomicBool>,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let id = format!("{kind}-{seed}-{number}");
        call(&ingresses, &log, &mut rng, kind, &id).await;
    }
}

/// Makes one call, with retries if its kind allows them.
async fn call(
    ingresses: &[SocketAddr],
    log: &CallerLog,
    rng: &mut StdRng,
    kind: &'static str,
    id: &str,
) {
    let sleep = rng.random_range(0..30_u32).to_string();
    let mut headers = vec![("x-run", id), ("x-sleep-ms", sleep.as_str())];
    let (method, path) = match kind {
        "read" => ("GET", "/portal/page"),
        _ => ("POST", "/dispatch/jobs"),
    };
    // A write without an idempotency key must not run twice, so it isn't retried.
    let max_attempts = if kind == "plain" { 1 } else { MAX_ATTEMPTS };
    if kind == "keyed" {
        headers.push(("idempotency-key", id));
    }
    for attempt in 1..=max_attempts {
        let index = rng.random_range(0..ingresses.len());
        let began = Instant::now();
        let reply = client::send(ingresses[index], method, path, &headers, b"{}").await;
        let (outcome, reason) = match &reply {
            Ok(reply) => {
                let outcome = reply.outcome().to_owned();
                if outcome == "done" && reply.json()["id"].as_str() != Some(id) {
                    log.mismatched.fetch_add(1, Ordering::Relaxed);
                }
                (outcome, reply.header("wisteriaturn-reason").to_owned())
            }
            Err(error) => {
                let attempt = InterruptedAttempt {
                    index,
                    began,
                    ended: Instant::now(),
                    id: id.to_owned(),
                    error: format!("{error:#}"),
                };
                failure_outcome(log, attempt, error)
            }
        };
        let mut outcomes_by_run = log.outcomes_by_run.lock().expect("no panic");
        outcomes_by_run
            .entry(id.to_owned())
            .or_default()
            .push(outcome.clone());
        drop(outcomes_by_run);
        let is_last = outcome == "done" || attempt == max_attempts;
        if is_last {
            let mut totals = log.totals.lock().expect("no panic");
            *totals.entry((kind, outcome, reason)).or_default() += 1;
            return;
        }
    }
}

/// Returns the outcome of an attempt without an answer, with an empty reason: `port
/// closed` if the connection was refused, or `cut`, which is also recorded in the log.
fn failure_outcome(
    log: &CallerLog,
    attempt: InterruptedAttempt,
    error: &eyre::Report,
) -> (String, String) {
    let is_refused = error
        .downcast_ref::<std::io::Error>()
        .is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused);
    if is_refused {
        return ("port closed".to_owned(), String::new());
    }
    let mut interrupted = log.interrupted.lock().expect("no panic");
    interrupted.push(attempt);
    ("cut".to_owned(), String::new())
}
