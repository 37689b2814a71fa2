//! Convergence time and control traffic of a mesh with a given number of nodes.
//!
//! The times at which nodes apply a change are taken from their own log lines
//! (`event=folded`), so that polling doesn't add load to the nodes that are measured.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eyre::Result;
use gumdrop::Options;
use serde_json::json;

use crate::client;
use crate::cluster::{ClusterPlan, DATA_CENTRES, TestCluster};
use crate::experiment::cost::{print_costs, read_costs};

/// Options of a convergence run.
#[derive(Debug, Options)]
pub struct SpreadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of nodes", default = "12")]
    nodes: usize,
    #[options(help = "number of changes", default = "20")]
    changes: u64,
    #[options(help = "milliseconds between changes", default = "500")]
    every_ms: u64,
    #[options(
        help = "seconds without changes over which bytes are counted",
        default = "10"
    )]
    idle_s: u64,
    #[options(help = "kill a relay after every fourth change")]
    kill_relays: bool,
    #[options(help = "restart all nodes at once and measure the time until they are ready")]
    herd: bool,
    #[options(help = "configure 170 services and routes first")]
    full: bool,
    #[options(help = "lines for the [tuning] table of all nodes, separated by ;")]
    tuning: String,
}

/// Runs the experiment and prints the table.
pub async fn run(options: SpreadOptions) -> Result<bool> {
    let mut cluster = TestCluster::start(ClusterPlan {
        named_targets: false,
        nodes: options.nodes,
        data_centres: DATA_CENTRES.len(),
        tuning: options.tuning.replace(';', "\n"),
        strict: true,
        log_level: "info",
    })
    .await?;
    if options.full {
        add_services(&cluster).await?;
    }
    let settle_time = Duration::from_secs(3);
    tokio::time::sleep(settle_time).await;
    let before = read_costs(&cluster, options.nodes).await;
    let started_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(options.idle_s)).await;
    let idle_seconds = started_at.elapsed().as_secs_f64();
    let after_idle = read_costs(&cluster, options.nodes).await;
    println!("nodes,{}", options.nodes);
    print_costs("idle", &before, &after_idle, idle_seconds);

    let started_at = Instant::now();
    let convergence_ms = submit_changes(&mut cluster, &options).await?;
    let changes_elapsed = started_at.elapsed().as_secs_f64();
    let after_changes = read_costs(&cluster, options.nodes).await;
    if !options.kill_relays {
        print_costs("changes", &after_idle, &after_changes, changes_elapsed);
    }
    print_convergence(&convergence_ms);
    if options.herd {
        restart_all(&mut cluster, options.nodes).await?;
    }
    cluster.remove_folder();
    Ok(true)
}

/// Configures 170 services with one route each, and waits until all nodes have applied
/// them.
pub async fn add_services(cluster: &TestCluster) -> Result<()> {
    for batch in 0..17 {
        let mut operations = Vec::new();
        for number in batch * 10..batch * 10 + 10 {
            let name = format!("service-{number}");
            operations.push(json!({ "put": { "kind": "service", "name": name,
                "permit": ["127.0.0.0/8"] } }));
            operations.push(json!({ "put": { "kind": "route", "name": name,
                "path": format!("/{name}"), "services": [{ "service": name }] } }));
        }
        let version = cluster.apply_accepted(0, json!(operations)).await?;
        cluster.wait_version(version).await?;
    }
    Ok(())
}

/// Submits changes and returns, in milliseconds, how long each node took to apply each of
/// them.
async fn submit_changes(cluster: &mut TestCluster, options: &SpreadOptions) -> Result<Vec<f64>> {
    let mut accepted = Vec::new();
    let mut killed = Vec::new();
    for number in 0..options.changes {
        let index = (number as usize * 5 + 1) % options.nodes;
        let index = if killed.contains(&index) { 0 } else { index };
        let service = json!([{ "put": { "kind": "service", "name": "spread",
            "permit": ["127.0.0.0/8"], "max_slots": 1 + number } }]);
        let submitted_at = std::time::SystemTime::now();
        let version = cluster.apply_accepted(index, service).await?;
        accepted.push((version, submitted_at));
        if options.kill_relays && number % 4 == 2 {
            for index in killed.drain(..) {
                cluster.start_node(index)?;
                cluster.wait_node_ready(index).await?;
            }
            killed.extend(kill_relay(cluster, options.nodes).await);
        }
        tokio::time::sleep(Duration::from_millis(options.every_ms)).await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut convergence_ms = Vec::new();
    for index in 0..options.nodes {
        let output = std::fs::read_to_string(cluster.output_path(index))?;
        let apply_times = parse_apply_times(&output);
        for (version, submitted_at) in &accepted {
            match apply_times.get(version) {
                Some(applied_at) => {
                    let submitted_at = submitted_at
                        .duration_since(std::time::UNIX_EPOCH)?
                        .as_secs_f64();
                    convergence_ms.push((applied_at - submitted_at) * 1_000.0);
                }
                // A node that was down may have received the version as part of a
                // snapshot or of a range of records, without a line of its own.
                None if options.kill_relays => {}
                None => println!("missing,node {index} version {version}"),
            }
        }
    }
    Ok(convergence_ms)
}

/// Kills the first relay by index and returns its index. Node 0 is left out, because
/// changes are submitted to it.
async fn kill_relay(cluster: &mut TestCluster, nodes: usize) -> Option<usize> {
    for index in 1..nodes {
        if cluster.status(index).await["relay"] == json!(true) {
            cluster.kill_node(index);
            return Some(index);
        }
    }
    None
}

/// Returns when a node applied each version, in seconds since the Unix epoch, from its
/// log output.
fn parse_apply_times(output: &str) -> HashMap<u64, f64> {
    let mut apply_times = HashMap::new();
    for line in output.lines().filter(|line| line.contains("event=folded")) {
        let field = |name: &str| {
            let start = line.find(name)? + name.len();
            line[start..].split(' ').next()
        };
        let version = field("version=").and_then(|text| text.parse().ok());
        let applied_at = field("timestamp=").and_then(unix_seconds);
        if let (Some(version), Some(applied_at)) = (version, applied_at) {
            apply_times.entry(version).or_insert(applied_at);
        }
    }
    apply_times
}

/// Parses a UTC timestamp such as `2026-12-04T06:38:08.021759+00:00` into seconds since
/// the Unix epoch. The days are counted in years that start in March, so that the leap
/// day comes last.
fn unix_seconds(text: &str) -> Option<f64> {
    let number = |from: usize, to: usize| text.get(from..to)?.parse::<f64>().ok();
    let (year, month, day) = (number(0, 4)?, number(5, 7)?, number(8, 10)?);
    let march_year = if month <= 2.0 { year - 1.0 } else { year };
    let months_since_march = (month + 9.0) % 12.0;
    let days = (365.25 * march_year).floor() - (march_year / 100.0).floor()
        + (march_year / 400.0).floor()
        + ((153.0 * months_since_march + 2.0) / 5.0).floor()
        + day
        - 719_469.0;
    let time = number(11, 13)? * 3_600.0 + number(14, 16)? * 60.0 + number(17, 26)?;
    Some(days * 86_400.0 + time)
}

/// Prints percentiles of the convergence times.
fn print_convergence(convergence_ms: &[f64]) {
    let mut sorted = convergence_ms.to_vec();
    sorted.sort_by(f64::total_cmp);
    let percentile = |fraction: f64| -> f64 {
        let index = ((sorted.len() as f64 * fraction) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or_default()
    };
    println!(
        "convergence from the request in ms,p50 {:.1},p99 {:.1},max {:.1},samples {}",
        percentile(0.5),
        percentile(0.99),
        percentile(1.0),
        sorted.len()
    );
}

/// Returns the log stand-in's request counts.
async fn log_request_counts(cluster: &TestCluster) -> Result<serde_json::Value> {
    Ok(client::get(cluster.log_address(), "/behaviour")
        .await?
        .json())
}

/// Kills and restarts all nodes at once, and prints how long they take and how much they
/// read and send until they know each other again.
async fn restart_all(cluster: &mut TestCluster, nodes: usize) -> Result<()> {
    let before = log_request_counts(cluster).await?;
    let started_at = Instant::now();
    for index in 0..nodes {
        cluster.kill_node(index);
    }
    for index in 0..nodes {
        cluster.start_node(index)?;
    }
    let mut ready_seconds = Vec::new();
    for index in 0..nodes {
        cluster.wait_node_ready(index).await?;
        ready_seconds.push(started_at.elapsed().as_secs_f64());
    }
    println!(
        "herd,seconds until all are ready,{:.2}",
        ready_seconds.last().copied().unwrap_or_default()
    );
    cluster.wait_ready().await?;
    let after = log_request_counts(cluster).await?;
    let reads =
        after["reads"].as_u64().unwrap_or_default() - before["reads"].as_u64().unwrap_or_default();
    println!("herd,reads of the log,{reads}");
    let costs = read_costs(cluster, nodes).await;
    for kind in ["Transfer", "AntiEntropy", "Push"] {
        let bytes_sent = costs.iter().map(|cost| cost.bytes_sent(kind));
        let mean = bytes_sent.clone().sum::<f64>() / nodes as f64;
        let max = bytes_sent.fold(0.0, f64::max);
        println!("herd,bytes sent by a node: {kind},mean {mean:.0},most {max:.0}");
    }
    println!(
        "herd,seconds until all know all,{:.2}",
        started_at.elapsed().as_secs_f64()
    );
    Ok(())
}
