//! Watches every node's view: versions that fall, references that dangle, and
//! how long a change takes to be in force everywhere.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::client;

/// Pause between two looks at a node.
const STEP: Duration = Duration::from_millis(10);

/// What was seen of all nodes.
#[derive(Debug)]
pub struct ViewLog {
    /// Highest version seen at each node, with when it was reached.
    pub versions: Mutex<Vec<Vec<(u64, Instant)>>>,
    /// Versions that fell.
    pub regressions: Mutex<Vec<String>>,
    /// Routes that named a service which the view did not hold.
    pub dangling: Mutex<Vec<String>>,
    /// Nodes that a fault holds down, which cannot converge meanwhile.
    pub down: Mutex<Vec<Option<Instant>>>,
    /// Times at which nodes came back.
    pub back: Mutex<Vec<Instant>>,
}

impl ViewLog {
    /// Returns a log for a number of nodes.
    pub fn new(nodes: usize) -> Self {
        let now = Instant::now();
        Self {
            versions: Mutex::new(vec![Vec::new(); nodes]),
            regressions: Mutex::default(),
            dangling: Mutex::default(),
            down: Mutex::new(vec![None; nodes]),
            back: Mutex::new(vec![now; nodes]),
        }
    }

    /// Notes that a fault holds a node down.
    pub fn record_down(&self, index: usize) {
        self.down.lock().expect("no panic")[index] = Some(Instant::now());
    }

    /// Notes that a node is back.
    pub fn record_up(&self, index: usize) {
        self.back.lock().expect("no panic")[index] = Instant::now();
        self.down.lock().expect("no panic")[index] = None;
    }

    /// Returns how long a node took to hold a version that was accepted at
    /// `accepted`; nothing when a fault held the node down meanwhile.
    pub fn convergence_time(
        &self,
        index: usize,
        version: u64,
        accepted: Instant,
    ) -> Option<Duration> {
        let held = self.versions.lock().expect("no panic");
        let (_, when) = held[index].iter().find(|(seen, _)| *seen >= version)?;
        let back = self.back.lock().expect("no panic")[index];
        let is_down = self.down.lock().expect("no panic")[index].is_some();
        (!is_down && back < accepted).then(|| when.saturating_duration_since(accepted))
    }
}

/// Looks at one node until told to stop. A node that is not ready shows no
/// view to callers, so only views of ready nodes count.
pub async fn observe_node(
    admin: SocketAddr,
    index: usize,
    log: Arc<ViewLog>,
    stop: Arc<AtomicBool>,
) {
    let mut highest = 0;
    let mut looks = 0_u32;
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(STEP).await;
        let looked = tokio::time::timeout(Duration::from_secs(1), look(admin)).await;
        let Ok(Some(status)) = looked else {
            continue;
        };
        let version = status["version"].as_u64().unwrap_or_default();
        if status["stage"] == "starting" {
            continue;
        }
        if version < highest {
            let text = format!("node {index}: {highest} to {version}");
            log.regressions.lock().expect("no panic").push(text);
        }
        if version > highest {
            highest = version;
            log.versions.lock().expect("no panic")[index].push((version, Instant::now()));
        }
        looks += 1;
        if looks.is_multiple_of(10) {
            check_references(admin, index, &log).await;
        }
    }
}

async fn look(admin: SocketAddr) -> Option<Value> {
    Some(client::get(admin, "/v1/status").await.ok()?.json())
}

async fn check_references(admin: SocketAddr, index: usize, log: &ViewLog) {
    let looked =
        tokio::time::timeout(Duration::from_secs(1), client::get(admin, "/v1/resources")).await;
    let Ok(Ok(reply)) = looked else {
        return;
    };
    let reply = reply.json();
    let resources = reply["resources"].as_array().cloned().unwrap_or_default();
    let names: HashSet<&str> = resources
        .iter()
        .filter(|held| held["resource"]["kind"] == "service")
        .filter_map(|held| held["resource"]["name"].as_str())
        .collect();
    for held in &resources {
        let services = held["resource"]["services"].as_array();
        for service in services.into_iter().flatten() {
            let name = service["service"].as_str().unwrap_or_default();
            if !names.contains(name) {
                let text = format!("node {index}: service/{name}");
                log.dangling.lock().expect("no panic").push(text);
            }
        }
    }
}
