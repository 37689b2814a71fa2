//! Polls every node for the configuration that it holds, to detect versions that
//! decrease and references to missing services, and to measure how long a change takes
//! to reach the nodes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::client;

/// Interval between two requests to a node.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Observations of the configuration versions and references of all nodes.
#[derive(Debug)]
pub struct ViewLog {
    /// For each node, each new highest version and the time at which it was first seen.
    pub versions: Mutex<Vec<Vec<(u64, Instant)>>>,
    /// Decreases of a node's version.
    pub regressions: Mutex<Vec<String>>,
    /// Services that a route names although the node's configuration doesn't have them.
    pub missing_services: Mutex<Vec<String>>,
    /// For each node, the time at which a fault took it down, or `None` if it is up. A
    /// node that is down can't converge.
    pub down_since: Mutex<Vec<Option<Instant>>>,
    /// For each node, the time at which its last fault ended, or at which this log was
    /// created.
    pub up_since: Mutex<Vec<Instant>>,
}

impl ViewLog {
    /// Returns an empty log for a number of nodes, all of them up.
    pub fn new(nodes: usize) -> Self {
        let now = Instant::now();
        Self {
            versions: Mutex::new(vec![Vec::new(); nodes]),
            regressions: Mutex::default(),
            missing_services: Mutex::default(),
            down_since: Mutex::new(vec![None; nodes]),
            up_since: Mutex::new(vec![now; nodes]),
        }
    }

    /// Records that a fault takes a node down.
    pub fn record_down(&self, index: usize) {
        self.down_since.lock().expect("no panic")[index] = Some(Instant::now());
    }

    /// Records that a node is up again.
    pub fn record_up(&self, index: usize) {
        self.up_since.lock().expect("no panic")[index] = Instant::now();
        self.down_since.lock().expect("no panic")[index] = None;
    }

    /// Returns how long a node took to hold a version that was accepted at
    /// `accepted_at`, or `None` if it never did or if a fault has kept the node down at
    /// any time since.
    pub fn convergence_time(
        &self,
        index: usize,
        version: u64,
        accepted_at: Instant,
    ) -> Option<Duration> {
        let versions = self.versions.lock().expect("no panic");
        let (_, seen_at) = versions[index].iter().find(|(seen, _)| *seen >= version)?;
        let up_since = self.up_since.lock().expect("no panic")[index];
        let is_down = self.down_since.lock().expect("no panic")[index].is_some();
        (!is_down && up_since < accepted_at).then(|| seen_at.saturating_duration_since(accepted_at))
    }
}

/// Returns `true` if a status shows a version that the node serves to callers. A node
/// that was never ready serves none, even if it is already being stopped.
pub fn shows_served_version(status: &Value) -> bool {
    status["was_ready"] == true
}

/// Polls one node until `stop` is set. Statuses of a node that has not been ready yet
/// are ignored, because it doesn't serve its configuration to callers.
pub async fn observe_node(
    admin: SocketAddr,
    index: usize,
    log: Arc<ViewLog>,
    stop: Arc<AtomicBool>,
) {
    let mut highest = 0;
    let mut statuses_seen = 0_u32;
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(POLL_INTERVAL).await;
        let response = tokio::time::timeout(Duration::from_secs(1), fetch_status(admin)).await;
        let Ok(Some(status)) = response else {
            continue;
        };
        let version = status["version"].as_u64().unwrap_or_default();
        if !shows_served_version(&status) {
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
        statuses_seen += 1;
        if statuses_seen.is_multiple_of(10) {
            check_references(admin, index, &log).await;
        }
    }
}

/// Returns the node's status, or `None` if it doesn't answer.
async fn fetch_status(admin: SocketAddr) -> Option<Value> {
    Some(client::get(admin, "/v1/status").await.ok()?.json())
}

/// Records each service that a route of the node names but that the node's
/// configuration doesn't have.
async fn check_references(admin: SocketAddr, index: usize, log: &ViewLog) {
    let response =
        tokio::time::timeout(Duration::from_secs(1), client::get(admin, "/v1/resources")).await;
    let Ok(Ok(reply)) = response else {
        return;
    };
    let reply = reply.json();
    let resources = reply["resources"].as_array().cloned().unwrap_or_default();
    let service_names: HashSet<&str> = resources
        .iter()
        .filter(|entry| entry["resource"]["kind"] == "service")
        .filter_map(|entry| entry["resource"]["name"].as_str())
        .collect();
    for entry in &resources {
        let services = entry["resource"]["services"].as_array();
        for service in services.into_iter().flatten() {
            let name = service["service"].as_str().unwrap_or_default();
            if !service_names.contains(name) {
                let text = format!("node {index}: service/{name}");
                log.missing_services.lock().expect("no panic").push(text);
            }
        }
    }
}
