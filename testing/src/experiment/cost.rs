//! Resource use of the nodes of a cluster: CPU time, memory and control traffic.

use std::collections::HashMap;

use crate::cluster::TestCluster;
use crate::metrics;

/// Kinds of control traffic, as in the metrics' `kind` label.
const KINDS: [&str; 6] = [
    "Probe",
    "Push",
    "AntiEntropy",
    "Transfer",
    "Claim",
    "Convergence",
];

/// Resources that one node has used since its start.
#[derive(Debug, Default)]
pub struct NodeCost {
    cpu_ms: f64,
    resident_kb: f64,
    bytes_by_kind: HashMap<String, f64>,
}

impl NodeCost {
    /// Returns the number of bytes sent of one kind of traffic: a kind of control message,
    /// `across regions` or `log`.
    pub fn bytes_sent(&self, kind: &str) -> f64 {
        self.bytes_by_kind.get(kind).copied().unwrap_or_default()
    }
}

/// Reads the resource use of the first `nodes` nodes.
pub async fn read_costs(cluster: &TestCluster, nodes: usize) -> Vec<NodeCost> {
    let mut costs = Vec::new();
    for index in 0..nodes {
        let text = cluster.metrics(index).await;
        let mut cost = NodeCost::default();
        let pid = cluster.node_pid(index);
        if let Ok(stat) = std::fs::read_to_string(format!("/proc/{pid}/stat")) {
            let stat_fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
            let field = |position: usize| -> f64 {
                stat_fields
                    .get(position)
                    .and_then(|text| text.parse().ok())
                    .unwrap_or_default()
            };
            // User and system time are in ticks of 10 ms, and the resident set is in pages of
            // 4 kB.
            cost.cpu_ms = (field(12) + field(13)) * 10.0;
            cost.resident_kb = field(22) * 4.0;
        }
        for kind in KINDS {
            let label = format!("kind=\"{kind}\"");
            let sum = metrics::sum(&text, "wisteriaturn_control_bytes_total", &label);
            cost.bytes_by_kind.insert(kind.to_owned(), sum);
        }
        let cross_region =
            metrics::sum(&text, "wisteriaturn_control_bytes_total", "reach=\"World\"");
        cost.bytes_by_kind
            .insert("across regions".to_owned(), cross_region);
        let log = metrics::sum(&text, "wisteriaturn_log_bytes", "");
        cost.bytes_by_kind.insert("log".to_owned(), log);
        costs.push(cost);
    }
    costs
}

/// Prints the resource use of the nodes between two readings that are `seconds` apart.
pub fn print_costs(phase: &str, before: &[NodeCost], after: &[NodeCost], seconds: f64) {
    let nodes = after.len() as f64;
    let byte_rate = |name: &str| -> (f64, f64) {
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
        let (mean, max) = byte_rate(name);
        println!("{phase},bytes sent a second: {name},mean {mean:.1},most {max:.1}");
    }
    let total: f64 = KINDS.iter().map(|name| byte_rate(name).0).sum();
    println!("{phase},bytes sent a second: all kinds,mean {total:.1}");
    let cpu: Vec<f64> = before
        .iter()
        .zip(after)
        .map(|(before, after)| (after.cpu_ms - before.cpu_ms) / seconds / 10.0)
        .collect();
    let mean = cpu.iter().sum::<f64>() / nodes;
    let max = cpu.iter().copied().fold(0.0, f64::max);
    println!("{phase},percent of a core,mean {mean:.2},most {max:.2}");
    let memory: Vec<f64> = after.iter().map(|cost| cost.resident_kb / 1024.0).collect();
    let mean = memory.iter().sum::<f64>() / nodes;
    let max = memory.iter().copied().fold(0.0, f64::max);
    println!("{phase},resident MB,mean {mean:.1},most {max:.1}");
}
