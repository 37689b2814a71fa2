//! One randomised run with load, configuration changes and mixed faults, in which
//! every promise of the mesh is checked from outside.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use eyre::Result;
use gumdrop::Options;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::client;
use crate::cluster::{ClusterPlan, TestCluster};
use crate::experiment::callers::{CallerLog, run_caller};
use crate::experiment::faults::{FaultInjector, start_target};
use crate::experiment::known_red::KnownBreak;
use crate::experiment::observer::{ViewLog, observe_node};
use crate::metrics;
use crate::statement::StatementKind;

/// Options of a chaos run.
#[derive(Debug, Options)]
pub struct ChaosOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "duration of the run in seconds", default = "20")]
    seconds: u64,
    #[options(help = "seed of the faults, changes and calls", default = "1")]
    seed: u64,
    #[options(help = "number of nodes, each with a target", default = "8")]
    nodes: usize,
    #[options(help = "number of data centres", default = "3")]
    places: usize,
    #[options(help = "number of callers", default = "12")]
    callers: u64,
    #[options(
        help = "promise that the run with this seed may break, as listed in KNOWN-RED.txt",
        meta = "SEED:PROMISE"
    )]
    known_red: Vec<KnownBreak>,
}

/// The versions of accepted changes, with the time at which each was confirmed.
type AcceptedVersions = Vec<(u64, Instant)>;

/// Runs the experiment and prints the table. Returns `true` if every promise was kept.
pub async fn run(options: ChaosOptions) -> Result<bool> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: options.nodes,
        data_centres: options.places,
        named_targets: true,
        // A planned stop is longer than the deadline of any call, but not by much.
        tuning: "probe_interval_ms = 300\nsuspect_timeout_ms = 1500\nsnapshot_every = 20\n\
                 drain_timeout_ms = 4000"
            .into(),
        ..ClusterPlan::default()
    })
    .await?;
    cluster
        .add_service("portal", json!({ "deadline_ms": 3000 }))
        .await?;
    cluster
        .add_service("dispatch", json!({ "deadline_ms": 3000 }))
        .await?;
    for index in 0..options.nodes {
        start_target(&mut cluster, index)?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let views = Arc::new(ViewLog::new(options.nodes));
    let calls = Arc::new(CallerLog::default());
    let ingresses = Arc::new(
        (0..options.nodes)
            .map(|index| cluster.ingress(index))
            .collect::<Vec<_>>(),
    );
    let mut tasks = tokio::task::JoinSet::new();
    for index in 0..options.nodes {
        let (admin, views, stop) = (cluster.admin(index), Arc::clone(&views), Arc::clone(&stop));
        tasks.spawn(observe_node(admin, index, views, stop));
    }
    for caller in 0..options.callers {
        let seed = options.seed * 1_000 + caller;
        let stop = Arc::clone(&stop);
        tasks.spawn(run_caller(
            Arc::clone(&ingresses),
            Arc::clone(&calls),
            seed,
            stop,
        ));
    }
    let admins: Vec<_> = (0..options.nodes)
        .map(|index| cluster.admin(index))
        .collect();
    let change_task = tokio::spawn(submit_changes(admins, options.seed, Arc::clone(&stop)));

    let mut faults = FaultInjector::new(options.seed, options.nodes, options.places);
    let deadline = Instant::now() + Duration::from_secs(options.seconds);
    while Instant::now() < deadline {
        faults.step(&mut cluster, &views).await?;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    faults.undo_all(&mut cluster, &views).await?;
    stop.store(true, Ordering::Relaxed);
    let accepted = change_task.await?;
    while tasks.join_next().await.is_some() {}
    cluster.wait_ready().await?;
    let newest = accepted
        .iter()
        .map(|(version, _)| *version)
        .max()
        .unwrap_or_default();
    cluster.wait_version(newest).await?;
    report(&mut cluster, &options, &faults, &views, &calls, &accepted).await
}

/// Submits changes to random nodes until `stop` is set: valid ones, ones with a
/// precondition that mostly fails, as after a lost race, and invalid ones.
async fn submit_changes(
    admins: Vec<std::net::SocketAddr>,
    seed: u64,
    stop: Arc<AtomicBool>,
) -> AcceptedVersions {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let mut accepted = Vec::new();
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let admin = admins[rng.random_range(0..admins.len())];
        let operations = match rng.random_range(0..4_u8) {
            0 => json!([{ "put": { "kind": "route", "name": "bad", "path": "/bad",
                "services": [{ "service": format!("nowhere-{number}") }] } }]),
            1 => json!([{ "expect": number, "put": { "kind": "service", "name": "portal",
                "permit": ["127.0.0.0/8"] } }]),
            _ => json!([
                { "put": { "kind": "service", "name": format!("extra-{}", number % 5),
                    "permit": ["127.0.0.0/8"], "max_slots": 1 + number % 60 } },
                { "put": { "kind": "route", "name": format!("extra-{}", number % 5),
                    "path": format!("/extra-{}", number % 5),
                    "services": [{ "service": format!("extra-{}", number % 5) }] } },
            ]),
        };
        let body = json!({ "operations": operations }).to_string();
        if let Ok(reply) = client::post(admin, "/v1/changes", &body).await
            && reply.status == 200
            && let Some(version) = reply.json()["version"].as_u64()
        {
            accepted.push((version, Instant::now()));
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..300))).await;
    }
    accepted
}

/// Prints the observations and returns `true` if every promise was kept.
async fn report(
    cluster: &mut TestCluster,
    options: &ChaosOptions,
    faults: &FaultInjector,
    views: &ViewLog,
    calls: &CallerLog,
    accepted: &AcceptedVersions,
) -> Result<bool> {
    println!(
        "seed {} for {} s, {} nodes",
        options.seed, options.seconds, options.nodes
    );
    println!("faults: {:?}", faults.counts);
    print_outcomes(calls);
    let runs = cluster.run_counts();
    let max_run_count = max_runs(&runs);
    let not_run =
        count_not_run_but_executed(&runs, &calls.outcomes_by_run.lock().expect("no panic"));
    let done_not_run =
        count_done_but_not_executed(&runs, &calls.outcomes_by_run.lock().expect("no panic"));
    let cut = count_cut_by_stops(faults, calls);
    let mut violations = 0.0;
    for index in 0..options.nodes {
        let text = cluster.metrics(index).await;
        violations += metrics::sum(&text, "wisteriaturn_invariant_violations", "");
    }
    let convergence = convergence_percentiles(views, accepted, options.nodes);
    let lost = count_lost_versions(cluster, accepted).await;
    let promises = [
        (
            "most runs of a call that must not run twice",
            max_run_count as u64,
            1,
        ),
        ("calls reported as not-run that ran", not_run, 0),
        ("calls reported as done that did not run", done_not_run, 0),
        (
            "version regressions",
            views.regressions.lock().expect("no panic").len() as u64,
            0,
        ),
        (
            "dangling references",
            views.missing_services.lock().expect("no panic").len() as u64,
            0,
        ),
        (
            "answers to another request",
            calls.mismatched.load(Ordering::Relaxed),
            0,
        ),
        ("calls cut by planned stops", cut, 0),
        (
            "calls that a stopping node took and could not answer",
            count_interrupted(calls),
            0,
        ),
        (
            "planned stops that did not exit with status 0",
            u64::from(faults.failed_stops),
            0,
        ),
        ("accepted versions lost", lost, 0),
        (
            "requests beyond a target's limit",
            count_violations(cluster, faults, StatementKind::Limit)?,
            0,
        ),
        (
            "requests to a target that said it is leaving",
            count_violations(cluster, faults, StatementKind::Leaving)?,
            0,
        ),
        ("invariant violations in the nodes", violations as u64, 0),
        (
            "nodes that exited unexpectedly",
            u64::from(cluster.has_crashed_node()),
            0,
        ),
    ];
    println!("{:<52}{:>8}{:>8}", "promise", "seen", "allowed");
    for (name, seen, allowed) in promises {
        println!("{name:<52}{seen:>8}{allowed:>8}");
    }
    println!(
        "convergence of {} changes over nodes that were up, in ms: {convergence}",
        accepted.len()
    );
    let is_known = |name: &str| {
        let mut known = options.known_red.iter();
        known.any(|entry| entry.excuses(options.seed, name))
    };
    let is_kept = promises
        .iter()
        .all(|(name, seen, allowed)| seen <= allowed || is_known(name));
    if is_kept {
        cluster.remove_folder();
    } else {
        println!("outputs are in {}", cluster.folder.display());
    }
    println!(
        "{}",
        if is_kept {
            "all promises kept"
        } else {
            "PROMISES BROKEN"
        }
    );
    Ok(is_kept)
}

/// Returns the number of violations of one kind of statement that no fault excuses, and
/// prints them. Nothing excuses a limit that was exceeded.
fn count_violations(
    cluster: &TestCluster,
    faults: &FaultInjector,
    kind: StatementKind,
) -> Result<u64> {
    let mut count = 0;
    for (index, at_ms, violation) in cluster.violations()? {
        let stated_ms = at_ms.saturating_sub(violation.age_ms);
        let is_excused = kind == StatementKind::Leaving && faults.excuses(index, stated_ms, at_ms);
        if violation.kind == kind && !is_excused {
            println!("target of node {index}: a request at {at_ms} against {violation}");
            count += 1;
        }
    }
    Ok(count)
}

/// Prints how many calls of each kind ended with each outcome and reason.
fn print_outcomes(calls: &CallerLog) {
    let totals = calls.totals.lock().expect("no panic");
    let mut rows: Vec<_> = totals.iter().collect();
    rows.sort();
    println!(
        "{:<8}{:<14}{:<20}{:>8}",
        "call", "outcome", "reason", "count"
    );
    for ((kind, outcome, reason), count) in rows {
        println!("{kind:<8}{outcome:<14}{reason:<20}{count:>8}");
    }
}

/// Returns `true` if a run ID belongs to a call that must not run twice.
fn must_run_once(id: &str) -> bool {
    id.starts_with("keyed") || id.starts_with("plain")
}

/// Returns the highest number of runs of a call that must not run twice.
fn max_runs(runs: &HashMap<String, usize>) -> usize {
    let once = runs.iter().filter(|(id, _)| must_run_once(id));
    once.map(|(_, count)| *count).max().unwrap_or_default()
}

/// Returns the number of calls that ran although every attempt's outcome was
/// `not-run`.
fn count_not_run_but_executed(
    runs: &HashMap<String, usize>,
    outcomes_by_run: &HashMap<String, Vec<String>>,
) -> u64 {
    let denied = outcomes_by_run
        .iter()
        .filter(|(_, outcomes)| outcomes.iter().all(|outcome| outcome == "not-run"));
    denied.filter(|(id, _)| runs.contains_key(*id)).count() as u64
}

/// Returns the number of calls that didn't run although an attempt's outcome was
/// `done`.
fn count_done_but_not_executed(
    runs: &HashMap<String, usize>,
    outcomes_by_run: &HashMap<String, Vec<String>>,
) -> u64 {
    let done = outcomes_by_run
        .iter()
        .filter(|(_, outcomes)| outcomes.iter().any(|outcome| outcome == "done"));
    done.filter(|(id, _)| !runs.contains_key(*id)).count() as u64
}

/// Returns the number of calls that a node interrupted at the end of its stop.
fn count_interrupted(calls: &CallerLog) -> u64 {
    let totals = calls.totals.lock().expect("no panic");
    let interrupted = totals
        .iter()
        .filter(|((_, outcome, reason), _)| outcome == "unknown" && reason == "draining");
    interrupted.map(|(_, count)| *count).sum()
}

/// Returns the number of attempts that ended without an answer during a planned stop
/// of their ingress node, and prints them.
fn count_cut_by_stops(faults: &FaultInjector, calls: &CallerLog) -> u64 {
    let mut count = 0;
    for cut in calls.interrupted.lock().expect("no panic").iter() {
        let stop = faults.stops.iter().find(|(node, began, ended)| {
            *node == cut.index && *began <= cut.ended && cut.ended <= *ended
        });
        let Some((node, began, _)) = stop else {
            continue;
        };
        count += 1;
        println!(
            "cut by the stop of node {node}: call {}, sent {:?} and ended {:?} after it began: {}",
            cut.id,
            cut.began.saturating_duration_since(*began),
            cut.ended.saturating_duration_since(*began),
            cut.error,
        );
    }
    count
}

/// Returns 1 if node 0 holds an older version than the newest accepted one, and 0 otherwise.
async fn count_lost_versions(cluster: &TestCluster, accepted: &AcceptedVersions) -> u64 {
    let newest = accepted
        .iter()
        .map(|(version, _)| *version)
        .max()
        .unwrap_or_default();
    let current = cluster.status(0).await["version"]
        .as_u64()
        .unwrap_or_default();
    u64::from(current < newest)
}

/// Returns percentiles, in milliseconds, of the time that nodes without a fault took to
/// hold each accepted version.
fn convergence_percentiles(views: &ViewLog, accepted: &AcceptedVersions, nodes: usize) -> Value {
    let mut convergence_ms: Vec<u64> = Vec::new();
    for (version, accepted_at) in accepted {
        for index in 0..nodes {
            if let Some(took) = views.convergence_time(index, *version, *accepted_at) {
                convergence_ms.push(took.as_millis() as u64);
            }
        }
    }
    convergence_ms.sort_unstable();
    let percentile = |fraction: f64| -> u64 {
        let index = ((convergence_ms.len() as f64 * fraction) as usize)
            .min(convergence_ms.len().saturating_sub(1));
        convergence_ms.get(index).copied().unwrap_or_default()
    };
    json!({ "p50": percentile(0.5), "p99": percentile(0.99), "max": percentile(1.0) })
}
