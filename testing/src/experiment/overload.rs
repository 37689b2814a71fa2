//! Goodput under overload: the rate of answers that arrive in time, through the mesh and
//! directly from the targets. The targets have a bounded capacity and don't notice when
//! a caller gives up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::Result;
use gumdrop::Options;
use hdrhistogram::Histogram;
use serde_json::json;

use crate::client;
use crate::cluster::{ClusterPlan, TestCluster};

/// Number of targets.
const TARGETS: usize = 2;

/// Number of calls that a target serves at once.
const SLOTS: u16 = 6;

/// Time that a target takes to serve a call.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Time after which a caller gives up on an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Options of an overload run.
#[derive(Debug, Options)]
pub struct OverloadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seconds of load for each path and offered rate", default = "5")]
    seconds: u64,
}

/// Runs the experiment and prints the table.
pub async fn run(options: OverloadOptions) -> Result<bool> {
    let mut cluster = TestCluster::start(ClusterPlan {
        log_level: "warn",
        ..ClusterPlan::default()
    })
    .await?;
    let deadline = CALL_TIMEOUT.as_millis() as u64;
    cluster
        .add_service("portal", json!({ "deadline_ms": deadline }))
        .await?;
    for index in 0..TARGETS {
        cluster.start_target(index, "portal", SLOTS)?;
    }
    for index in 0..3 {
        cluster.wait_targets(index, "portal", TARGETS).await?;
    }
    let direct: Vec<_> = (0..TARGETS)
        .map(|index| cluster.target_address(index))
        .collect();
    let mesh: Vec<_> = (0..3).map(|index| cluster.ingress(index)).collect();
    let capacity = TARGETS as f64 * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
    println!("capacity {capacity:.0} calls a second");
    println!("path,offered,useful a second,p50 ms,p99 ms,not-run a second,no answer a second");
    for factor in [0.5, 1.0, 2.0, 3.0] {
        for (name, addresses) in [("straight", &direct), ("mesh", &mesh)] {
            let duration = Duration::from_secs(options.seconds);
            offer_load(name, addresses, capacity * factor, duration).await?;
            // Let the targets finish the calls that are left over, so that they don't
            // slow down the next measurement.
            tokio::time::sleep(duration.mul_f64(factor)).await;
        }
    }
    cluster.remove_folder();
    Ok(true)
}

/// Sends calls at a fixed rate for `duration`, whether or not earlier ones were answered,
/// and prints the results.
async fn offer_load(
    name: &str,
    addresses: &[SocketAddr],
    rate: f64,
    duration: Duration,
) -> Result<()> {
    let interval = Duration::from_secs_f64(1.0 / rate);
    let started_at = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    let mut next_call_at = started_at;
    let mut call_count = 0;
    let service_time = Arc::new(SERVICE_TIME.as_millis().to_string());
    while started_at.elapsed() < duration {
        let address = addresses[call_count % addresses.len()];
        call_count += 1;
        let service_time = Arc::clone(&service_time);
        calls.spawn(async move {
            let sent_at = Instant::now();
            let headers = [("x-sleep-ms", service_time.as_str())];
            let call = client::send(address, "GET", "/portal", &headers, b"");
            let reply = tokio::time::timeout(CALL_TIMEOUT, call).await;
            (sent_at.elapsed(), reply.ok().and_then(Result::ok))
        });
        next_call_at += interval;
        tokio::time::sleep_until(next_call_at.into()).await;
    }
    let mut latencies = Histogram::<u64>::new(3)?;
    let (mut not_run, mut failed) = (0_u64, 0_u64);
    while let Some(call) = calls.join_next().await {
        match call? {
            (took, Some(reply)) if reply.status == 200 => {
                latencies.record(took.as_micros() as u64)?
            }
            (_, Some(reply)) if reply.outcome() == "not-run" => not_run += 1,
            _ => failed += 1,
        }
    }
    let seconds = duration.as_secs_f64();
    println!(
        "{name},{rate:.0},{:.0},{:.1},{:.1},{:.0},{:.0}",
        latencies.len() as f64 / seconds,
        latencies.value_at_quantile(0.5) as f64 / 1_000.0,
        latencies.value_at_quantile(0.99) as f64 / 1_000.0,
        not_run as f64 / seconds,
        failed as f64 / seconds,
    );
    Ok(())
}
