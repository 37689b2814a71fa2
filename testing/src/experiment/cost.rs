//! What the nodes of a cluster cost: processor time, memory, control bytes.

use std::collections::HashMap;

use crate::cluster::TestCluster;
use crate::metrics;

/// Kinds of control traffic as the metrics name them.
const KINDS: [&str; 6] = [
    "Probe",
    "Push",
    "AntiEntropy",
    "Transfer",
    "Claim",
    "Convergence",
];

/// What one node has cost since its start.
#[derive(Debug, Default)]
pub struct NodeCost {
    cpu_ms: f64,
    resident_kb: f64,
    bytes: HashMap<String, f64>,
}

impl NodeCost {
    /// Returns the bytes sent of one kind.
    pub fn bytes_sent(&self, kind: &str) -> f64 {
        self.bytes.get(kind).copied().unwrap_or_default()
    }
}

/// Reads what all nodes have cost.
pub async fn read_costs(cluster: &TestCluster, nodes: usize) -> Vec<NodeCost> {
    let mut costs = Vec::new();
    for index in 0..nodes {
        let text = cluster.metrics(index).await;
        let mut cost = NodeCost::default();
        let id = cluster.node_pid(index);
        if let Ok(stat) = std::fs::read_to_string(format!("/proc/{id}/stat")) {
            let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
            let ticks = |place: usize| -> f64 {
                fields
                    .get(place)
                    .and_then(|text| text.parse().ok())
                    .unwrap_or_default()
            };
            // User and system time in ticks of 10 ms; resident pages of 4 kB.
            cost.cpu_ms = (ticks(12) + ticks(13)) * 10.0;
            cost.resident_kb = ticks(22) * 4.0;
        }
        for kind in KINDS {
            let label = format!("kind=\"{kind}\"");
            let sum = metrics::sum(&text, "wisteriaturn_control_bytes_total", &label);
            cost.bytes.insert(kind.to_owned(), sum);
        }
        let world = metrics::sum(&text, "wisteriaturn_control_bytes_total", "reach=\"World\"");
        cost.bytes.insert("across regions".to_owned(), world);
        let log = metrics::sum(&text, "wisteriaturn_log_bytes", "");
        cost.bytes.insert("log".to_owned(), log);
        costs.push(cost);
    }
    costs
}

/// Prints what the nodes cost between two readings.
pub fn print_costs(phase: &str, before: &[NodeCost], after: &[NodeCost], seconds: f64) {
    let nodes = after.len() as f64;
    let rate = |name: &str| -> (f64, f64) {
        let of = |cost: &NodeCost| cost.bytes_sent(name);
        let rates: Vec<f64> = before
            .iter()
            .zip(after)
            .map(|(before, after)| (of(after) - of(before)) / seconds)
            .collect();
        (
            rates.iter().sum::<f64>() / nodes,
            rates.iter().copied().fold(0.0, f64::max),
        )
    };
    let names = KINDS.into_iter().chain(["across regions", "log"]);
    for name in names {
        let (mean, most) = rate(name);
        println!("{phase},bytes sent a second: {name},mean {mean:.1},most {most:.1}");
    }
    let total: f64 = KINDS.iter().map(|name| rate(name).0).sum();
    println!("{phase},bytes sent a second: all kinds,mean {total:.1}");
    let cpu: Vec<f64> = before
        .iter()
        .zip(after)
        .map(|(before, after)| (after.cpu_ms - before.cpu_ms) / seconds / 10.0)
        .collect();
    let mean = cpu.iter().sum::<f64>() / nodes;
    let most = cpu.iter().copied().fold(0.0, f64::max);
    println!("{phase},percent of a core,mean {mean:.2},most {most:.2}");
    let memory: Vec<f64> = after.iter().map(|cost| cost.resident_kb / 1024.0).collect();
    let mean = memory.iter().sum::<f64>() / nodes;
    let most = memory.iter().copied().fold(0.0, f64::max);
    println!("{phase},resident MB,mean {mean:.1},most {most:.1}");
}
