//! Useful answers under overload: through the mesh against straight to the
//! targets, which have a bounded capacity and do not notice that a caller left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::Result;
use gumdrop::Options;
use hdrhistogram::Histogram;
use serde_json::json;

use crate::client;
use crate::cluster::{ClusterPlan, TestCluster};

/// Targets, each with [`SLOTS`] calls at once.
const TARGETS: usize = 2;
const SLOTS: u16 = 6;

/// Time that a target works on a call.
const WORK: Duration = Duration::from_millis(20);

/// Time after which a caller has no use for an answer.
const PATIENCE: Duration = Duration::from_millis(300);

/// How the run is made.
#[derive(Debug, Options)]
pub struct OverloadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seconds of each part", default = "5")]
    seconds: u64,
}

/// Runs and prints the table.
pub async fn run(options: OverloadOptions) -> Result<bool> {
    let mut cluster = TestCluster::start(ClusterPlan {
        log_level: "warn",
        ..ClusterPlan::default()
    })
    .await?;
    let deadline = PATIENCE.as_millis() as u64;
    cluster
        .add_service("portal", json!({ "deadline_ms": deadline }))
        .await?;
    for index in 0..TARGETS {
        cluster.start_target(index, "portal", SLOTS)?;
    }
    for index in 0..3 {
        cluster.wait_targets(index, "portal", TARGETS).await?;
    }
    let straight: Vec<_> = (0..TARGETS)
        .map(|index| cluster.target_address(index))
        .collect();
    let mesh: Vec<_> = (0..3).map(|index| cluster.ingress(index)).collect();
    let capacity = TARGETS as f64 * f64::from(SLOTS) / WORK.as_secs_f64();
    println!("capacity {capacity:.0} calls a second");
    println!("path,offered,useful a second,p50 ms,p99 ms,not-run a second,no answer a second");
    for factor in [0.5, 1.0, 2.0, 3.0] {
        for (name, addresses) in [("straight", &straight), ("mesh", &mesh)] {
            let time = Duration::from_secs(options.seconds);
            offer(name, addresses, capacity * factor, time).await?;
            // Work that a part left behind in the targets must not meet the next.
            tokio::time::sleep(time.mul_f64(factor)).await;
        }
    }
    cluster.remove_folder();
    Ok(true)
}

async fn offer(name: &str, addresses: &[SocketAddr], rate: f64, time: Duration) -> Result<()> {
    let pause = Duration::from_secs_f64(1.0 / rate);
    let began = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    let mut next = began;
    let mut number = 0;
    let work = Arc::new(WORK.as_millis().to_string());
    while began.elapsed() < time {
        let address = addresses[number % addresses.len()];
        number += 1;
        let work = Arc::clone(&work);
        calls.spawn(async move {
            let sent = Instant::now();
            let headers = [("x-sleep-ms", work.as_str())];
            let call = client::send(address, "GET", "/portal", &headers, b"");
            let reply = tokio::time::timeout(PATIENCE, call).await;
            (sent.elapsed(), reply.ok().and_then(Result::ok))
        });
        next += pause;
        tokio::time::sleep_until(next.into()).await;
    }
    let mut times = Histogram::<u64>::new(3)?;
    let (mut not_run, mut none) = (0_u64, 0_u64);
    while let Some(call) = calls.join_next().await {
        match call? {
            (took, Some(reply)) if reply.status == 200 => times.record(took.as_micros() as u64)?,
            (_, Some(reply)) if reply.outcome() == "not-run" => not_run += 1,
            _ => none += 1,
        }
    }
    let seconds = time.as_secs_f64();
    println!(
        "{name},{rate:.0},{:.0},{:.1},{:.1},{:.0},{:.0}",
        times.len() as f64 / seconds,
        times.value_at_quantile(0.5) as f64 / 1_000.0,
        times.value_at_quantile(0.99) as f64 / 1_000.0,
        not_run as f64 / seconds,
        none as f64 / seconds,
    );
    Ok(())
}
