//! Latency that the mesh adds to a call: calls through one node and through two nodes,
//! compared with calls sent directly to the target in the same run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::Result;
use gumdrop::Options;
use hdrhistogram::Histogram;
use serde_json::json;

use crate::client::HttpConnection;
use crate::cluster::{ClusterPlan, TestCluster};

/// Options of a latency run.
#[derive(Debug, Options)]
pub struct LatencyOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seconds of measurement for each path", default = "5")]
    seconds: u64,
    #[options(
        help = "number of callers, each with one call in flight",
        default = "1"
    )]
    callers: usize,
    #[options(
        help = "calls per second of all callers; 0 for no limit",
        default = "200"
    )]
    rate: u64,
    #[options(help = "bytes of each answer", default = "1024")]
    answer_bytes: u64,
    #[options(help = "send writes with an idempotency key instead of reads")]
    keyed: bool,
    #[options(help = "log level of the nodes: info or warn", default = "info")]
    level: String,
}

/// Runs the experiment and prints the table.
pub async fn run(options: LatencyOptions) -> Result<bool> {
    let level = if options.level == "info" {
        "info"
    } else {
        "warn"
    };
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        strict: false,
        log_level: level,
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("portal", json!({})).await?;
    cluster.start_target(0, "portal", 64)?;
    cluster.wait_targets(1, "portal", 1).await?;
    cluster.wait_targets(0, "portal", 1).await?;
    let paths = [
        ("straight", cluster.target_address(0)),
        ("one node", cluster.ingress(0)),
        ("two nodes", cluster.ingress(1)),
    ];
    println!("path,calls a second,p50 us,p99 us,p99.9 us,failed");
    // The first round isn't printed; it warms up connections and caches.
    for (name, address) in paths {
        measure(address, &options, Duration::from_secs(1)).await?;
        let seconds = Duration::from_secs(options.seconds);
        let (latencies, failed) = measure(address, &options, seconds).await?;
        println!(
            "{name},{:.0},{},{},{},{failed}",
            latencies.len() as f64 / seconds.as_secs_f64(),
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.99),
            latencies.value_at_quantile(0.999),
        );
    }
    cluster.remove_folder();
    Ok(true)
}

/// Calls an address for `duration` and returns the latencies in microseconds and the number
/// of failed calls.
async fn measure(
    address: SocketAddr,
    options: &LatencyOptions,
    duration: Duration,
) -> Result<(Histogram<u64>, u64)> {
    let deadline = Instant::now() + duration;
    let callers = options.callers.max(1) as u64;
    let interval = match options.rate {
        0 => Duration::ZERO,
        rate => Duration::from_secs(callers) / u32::try_from(rate)?,
    };
    let answer_bytes = Arc::new(options.answer_bytes.to_string());
    let is_keyed = options.keyed;
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..callers {
        let answer_bytes = Arc::clone(&answer_bytes);
        tasks.spawn(async move {
            call_until(address, deadline, interval, caller, &answer_bytes, is_keyed).await
        });
    }
    let mut all_latencies = Histogram::new(3)?;
    let mut failed = 0;
    while let Some(result) = tasks.join_next().await {
        let (latencies, task_failures) = result??;
        all_latencies.add(&latencies)?;
        failed += task_failures;
    }
    Ok((all_latencies, failed))
}

/// Makes one caller's calls until `deadline`, one every `interval`, and returns their
/// latencies in microseconds and the number of failed calls.
async fn call_until(
    address: SocketAddr,
    deadline: Instant,
    interval: Duration,
    caller: u64,
    answer_bytes: &str,
    is_keyed: bool,
) -> Result<(Histogram<u64>, u64)> {
    let mut connection = HttpConnection::open(address).await?;
    let mut latencies = Histogram::new(3)?;
    let mut failed = 0;
    // Callers start at different times, so that they don't call in lockstep.
    let mut next_call_at = Instant::now() + interval.mul_f64(caller as f64 / 64.0);
    while Instant::now() < deadline {
        tokio::time::sleep_until(next_call_at.into()).await;
        next_call_at += interval;
        let key = format!("{:032x}", rand::random::<u128>());
        let mut headers = vec![("x-answer-bytes", answer_bytes)];
        if is_keyed {
            headers.push(("idempotency-key", &key));
        }
        let method = if is_keyed { "POST" } else { "GET" };
        let sent_at = Instant::now();
        let reply = connection.send(method, "/portal", &headers, b"").await?;
        latencies.record(sent_at.elapsed().as_micros() as u64)?;
        failed += u64::from(reply.status != 200);
    }
    Ok((latencies, failed))
}
