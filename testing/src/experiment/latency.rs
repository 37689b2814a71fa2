//! The time that the mesh adds to a call: through two nodes against straight
//! to the target, in one run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::Result;
use gumdrop::Options;
use hdrhistogram::Histogram;
use serde_json::json;

use crate::client::HttpConnection;
use crate::cluster::{ClusterPlan, TestCluster};

/// How the run is made.
#[derive(Debug, Options)]
pub struct LatencyOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seconds of each part", default = "5")]
    seconds: u64,
    #[options(help = "callers, each with one call under way", default = "1")]
    callers: usize,
    #[options(
        help = "calls a second of all callers; 0 for as many as go",
        default = "200"
    )]
    rate: u64,
    #[options(help = "bytes of an answer", default = "1024")]
    answer_bytes: u64,
    #[options(help = "calls with an idempotency key instead of reads")]
    keyed: bool,
    #[options(help = "level of the nodes' log lines", default = "info")]
    level: String,
}

/// Runs and prints the table.
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
    // Two rounds; the first warms up connections and caches.
    for (name, address) in paths {
        measure(address, &options, Duration::from_secs(1)).await?;
        let seconds = Duration::from_secs(options.seconds);
        let (times, failed) = measure(address, &options, seconds).await?;
        println!(
            "{name},{:.0},{},{},{},{failed}",
            times.len() as f64 / seconds.as_secs_f64(),
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.value_at_quantile(0.999),
        );
    }
    cluster.remove_folder();
    Ok(true)
}

async fn measure(
    address: SocketAddr,
    options: &LatencyOptions,
    time: Duration,
) -> Result<(Histogram<u64>, u64)> {
    let until = Instant::now() + time;
    let callers = options.callers.max(1) as u64;
    let pause = match options.rate {
        0 => Duration::ZERO,
        rate => Duration::from_secs(callers) / u32::try_from(rate)?,
    };
    let size = Arc::new(options.answer_bytes.to_string());
    let is_keyed = options.keyed;
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..callers {
        let size = Arc::clone(&size);
        tasks
            .spawn(async move { call_until(address, until, pause, caller, &size, is_keyed).await });
    }
    let mut all = Histogram::new(3)?;
    let mut failed = 0;
    while let Some(done) = tasks.join_next().await {
        let (times, bad) = done??;
        all.add(&times)?;
        failed += bad;
    }
    Ok((all, failed))
}

async fn call_until(
    address: SocketAddr,
    until: Instant,
    pause: Duration,
    caller: u64,
    size: &str,
    is_keyed: bool,
) -> Result<(Histogram<u64>, u64)> {
    let mut link = HttpConnection::open(address).await?;
    let mut times = Histogram::new(3)?;
    let mut failed = 0;
    // Callers start apart, so that they do not call in step.
    let mut next = Instant::now() + pause.mul_f64(caller as f64 / 64.0);
    while Instant::now() < until {
        tokio::time::sleep_until(next.into()).await;
        next += pause;
        let key = format!("{:032x}", rand::random::<u128>());
        let mut headers = vec![("x-answer-bytes", size)];
        if is_keyed {
            headers.push(("idempotency-key", &key));
        }
        let method = if is_keyed { "POST" } else { "GET" };
        let began = Instant::now();
        let reply = link.send(method, "/portal", &headers, b"").await?;
        times.record(began.elapsed().as_micros() as u64)?;
        failed += u64::from(reply.status != 200);
    }
    Ok((times, failed))
}
