//! Convergence time and control bytes of a mesh of some size.
//!
//! Times come from the nodes' own log lines (`event=folded`), so that looking
//! does not cost the nodes what is measured.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eyre::Result;
use gumdrop::Options;
use serde_json::json;

use crate::client;
use crate::cluster::{ClusterPlan, DATA_CENTRES, TestCluster};
use crate::experiment::cost::{print_costs, read_costs};

/// How the run is made.
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
        help = "seconds of idling over which bytes are counted",
        default = "10"
    )]
    idle_s: u64,
    #[options(help = "kill a relay after each fourth change")]
    kill_relays: bool,
    #[options(help = "restart all nodes at once and time their return")]
    herd: bool,
    #[options(help = "put 170 services and routes in place first")]
    full: bool,
    #[options(help = "lines for the nodes' tuning, separated by ;")]
    tuning: String,
}

/// Runs and prints the table.
pub async fn run(options: SpreadOptions) -> Result<bool> {
    let mut cluster = TestCluster::start(ClusterPlan {
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
    let settle = Duration::from_secs(3);
    tokio::time::sleep(settle).await;
    let before = read_costs(&cluster, options.nodes).await;
    let began = Instant::now();
    tokio::time::sleep(Duration::from_secs(options.idle_s)).await;
    let idle = began.elapsed().as_secs_f64();
    let after = read_costs(&cluster, options.nodes).await;
    println!("nodes,{}", options.nodes);
    print_costs("idle", &before, &after, idle);

    let began = Instant::now();
    let times = change(&mut cluster, &options).await?;
    let took = began.elapsed().as_secs_f64();
    let busy = read_costs(&cluster, options.nodes).await;
    if !options.kill_relays {
        print_costs("changes", &after, &busy, took);
    }
    print_times(&times);
    if options.herd {
        herd(&mut cluster, options.nodes).await?;
    }
    cluster.remove_folder();
    Ok(true)
}

/// Puts 170 services with a route each in place.
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

/// Applies changes and returns for each node and version how long it took.
async fn change(cluster: &mut TestCluster, options: &SpreadOptions) -> Result<Vec<f64>> {
    let mut accepted = Vec::new();
    let mut killed = Vec::new();
    for number in 0..options.changes {
        let index = (number as usize * 5 + 1) % options.nodes;
        let index = if killed.contains(&index) { 0 } else { index };
        let service = json!([{ "put": { "kind": "service", "name": "spread",
            "permit": ["127.0.0.0/8"], "max_slots": 1 + number } }]);
        let sent = std::time::SystemTime::now();
        let version = cluster.apply_accepted(index, service).await?;
        accepted.push((version, sent));
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
    let mut times = Vec::new();
    for index in 0..options.nodes {
        let output = std::fs::read_to_string(cluster.output_path(index))?;
        let folded = fold_times(&output);
        for (version, sent) in &accepted {
            match folded.get(version) {
                Some(when) => {
                    let sent = sent.duration_since(std::time::UNIX_EPOCH)?.as_secs_f64();
                    times.push((when - sent) * 1_000.0);
                }
                // A node that was down got it in a snapshot or a tail.
                None if options.kill_relays => {}
                None => println!("missing,node {index} version {version}"),
            }
        }
    }
    Ok(times)
}

/// Kills the relay that is first asked, never node 0, which writes changes.
async fn kill_relay(cluster: &mut TestCluster, nodes: usize) -> Option<usize> {
    for index in 1..nodes {
        if cluster.status(index).await["relay"] == json!(true) {
            cluster.kill_node(index);
            return Some(index);
        }
    }
    None
}

/// Returns when each version was folded, in seconds since the Unix epoch.
fn fold_times(output: &str) -> HashMap<u64, f64> {
    let mut times = HashMap::new();
    for line in output.lines().filter(|line| line.contains("event=folded")) {
        let field = |name: &str| {
            let start = line.find(name)? + name.len();
            line[start..].split(' ').next()
        };
        let version = field("version=").and_then(|text| text.parse().ok());
        let when = field("timestamp=").and_then(seconds_of);
        if let (Some(version), Some(when)) = (version, when) {
            times.entry(version).or_insert(when);
        }
    }
    times
}

/// Parses `2026-12-04T06:38:08.021759+00:00`; the days since 1970 by the usual
/// calendar arithmetic.
fn seconds_of(text: &str) -> Option<f64> {
    let number = |from: usize, to: usize| text.get(from..to)?.parse::<f64>().ok();
    let (year, month, day) = (number(0, 4)?, number(5, 7)?, number(8, 10)?);
    let shifted = if month <= 2.0 { year - 1.0 } else { year };
    let turned = (month + 9.0) % 12.0;
    let days = (365.25 * shifted).floor() - (shifted / 100.0).floor()
        + (shifted / 400.0).floor()
        + ((153.0 * turned + 2.0) / 5.0).floor()
        + day
        - 719_469.0;
    let time = number(11, 13)? * 3_600.0 + number(14, 16)? * 60.0 + number(17, 26)?;
    Some(days * 86_400.0 + time)
}

fn print_times(times: &[f64]) {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = |share: f64| -> f64 {
        let index = ((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or_default()
    };
    println!(
        "convergence from the request in ms,p50 {:.1},p99 {:.1},max {:.1},samples {}",
        at(0.5),
        at(0.99),
        at(1.0),
        sorted.len()
    );
}

async fn log_usage(cluster: &TestCluster) -> Result<serde_json::Value> {
    Ok(client::get(cluster.log_address(), "/behaviour")
        .await?
        .json())
}

async fn herd(cluster: &mut TestCluster, nodes: usize) -> Result<()> {
    let before = log_usage(cluster).await?;
    let began = Instant::now();
    for index in 0..nodes {
        cluster.kill_node(index);
    }
    for index in 0..nodes {
        cluster.start_node(index)?;
    }
    let mut times = Vec::new();
    for index in 0..nodes {
        cluster.wait_node_ready(index).await?;
        times.push(began.elapsed().as_secs_f64());
    }
    println!(
        "herd,seconds until all are ready,{:.2}",
        times.last().copied().unwrap_or_default()
    );
    cluster.wait_ready().await?;
    let after = log_usage(cluster).await?;
    let reads =
        after["reads"].as_u64().unwrap_or_default() - before["reads"].as_u64().unwrap_or_default();
    println!("herd,reads of the log,{reads}");
    let costs = read_costs(cluster, nodes).await;
    for kind in ["Transfer", "AntiEntropy", "Push"] {
        let sent = costs.iter().map(|cost| cost.bytes_sent(kind));
        let mean = sent.clone().sum::<f64>() / nodes as f64;
        let most = sent.fold(0.0, f64::max);
        println!("herd,bytes sent by a node: {kind},mean {mean:.0},most {most:.0}");
    }
    println!(
        "herd,seconds until all know all,{:.2}",
        began.elapsed().as_secs_f64()
    );
    Ok(())
}
