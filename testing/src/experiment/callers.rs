//! Callers that send again what they may, and remember what they were told.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::client;

/// Most times that a caller sends one call.
const SENDS: usize = 4;

/// What all callers were told.
#[derive(Debug, Default)]
pub struct CallerLog {
    /// Calls by kind, last outcome and reason.
    pub totals: Mutex<HashMap<(&'static str, String, String), u64>>,
    /// What was told of each call, by run id.
    pub outcomes_by_run: Mutex<HashMap<String, Vec<String>>>,
    /// Answers that belonged to another request.
    pub mismatched: AtomicU64,
    /// Calls that ended without an answer, by ingress.
    pub interrupted: Mutex<Vec<(usize, std::time::Instant)>>,
}

/// The kinds of calls.
const KINDS: [&str; 3] = ["read", "keyed", "plain"];

/// Calls through random nodes until told to stop.
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
    // Only a key, or a call that may run twice, is sent again.
    let sends = if kind == "plain" { 1 } else { SENDS };
    if kind == "keyed" {
        headers.push(("idempotency-key", id));
    }
    for send in 1..=sends {
        let index = rng.random_range(0..ingresses.len());
        let reply = client::send(ingresses[index], method, path, &headers, b"{}").await;
        let (outcome, reason) = match &reply {
            Ok(reply) => {
                let outcome = reply.outcome().to_owned();
                if outcome == "done" && reply.json()["id"].as_str() != Some(id) {
                    log.mismatched.fetch_add(1, Ordering::Relaxed);
                }
                (outcome, reply.header("wisteriaturn-reason").to_owned())
            }
            Err(error) => cut_or_refused(log, index, error),
        };
        let mut outcomes_by_run = log.outcomes_by_run.lock().expect("no panic");
        outcomes_by_run
            .entry(id.to_owned())
            .or_default()
            .push(outcome.clone());
        drop(outcomes_by_run);
        let is_last = outcome == "done" || send == sends;
        if is_last {
            let mut outcomes = log.totals.lock().expect("no panic");
            *outcomes.entry((kind, outcome, reason)).or_default() += 1;
            return;
        }
    }
}

/// Tells a port that was closed from a call that was cut.
fn cut_or_refused(log: &CallerLog, index: usize, error: &eyre::Report) -> (String, String) {
    let is_refused = error
        .downcast_ref::<std::io::Error>()
        .is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused);
    if is_refused {
        return ("port closed".to_owned(), String::new());
    }
    let mut cut = log.interrupted.lock().expect("no panic");
    cut.push((index, std::time::Instant::now()));
    ("cut".to_owned(), String::new())
}
