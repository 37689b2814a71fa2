//! The lifecycle of a node: opening its ports, running its tasks, and a graceful
//! stop that drains the calls in flight.

use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{timeout, timeout_at};
use tokio_util::task::TaskTracker;
use wisteriaturn::clock::lock;
use wisteriaturn::invariant;
use wisteriaturn::member::record::MemberState;
use wisteriaturn::route::stop::StopSchedule;

use crate::admin;
use crate::control::documents;
use crate::control::follow;
use crate::control::start;
use crate::gate;
use crate::gate::targets;
use crate::ingress;
use crate::mesh::directory;
use crate::mesh::gossip;
use crate::mesh::peer_server;
use crate::mesh::prober;
use crate::mesh::rumors;
use crate::node::{NodeBuilder, NodeHandle, NodeStage};
use crate::rollout::task;
use crate::team::keep;

/// Interval at which a stopping node checks whether its gates are empty.
const EMPTY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time for the other nodes to learn that the targets here are leaving. The gates
/// do not count as empty before that, so that calls already on their way are
/// refused by this node and not by a closed port.
const DEPARTURE_NOTICE_TIME: Duration = Duration::from_millis(500);

/// Time for sending the last answers and for closing connections.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// A node whose ports are open and whose tasks are running.
#[derive(Debug)]
pub struct RunningNode {
    /// The shared state of the node.
    pub node: NodeHandle,
    connections: TaskTracker,
}

impl RunningNode {
    /// Opens the ports of a node and starts all its tasks.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if a port cannot be opened.
    pub async fn start(builder: NodeBuilder) -> std::io::Result<Self> {
        let settings = builder.settings();
        invariant::set_strict(settings.strict);
        let udp = UdpSocket::bind(settings.peer).await?;
        let peer = TcpListener::bind(settings.peer).await?;
        let hop = TcpListener::bind(settings.hop).await?;
        let ingress = TcpListener::bind(settings.ingress).await?;
        let admin = TcpListener::bind(settings.admin).await?;
        let node = builder.build(udp);
        let connections = TaskTracker::new();
        tokio::spawn(gossip::receive_task(node.clone()));
        tokio::spawn(gossip::view_task(node.clone()));
        tokio::spawn(peer_server::accept_task(node.clone(), peer));
        tokio::spawn(admin::port::accept_task(node.clone(), admin));
        // A stop also waits for the tasks that accept connections: as they end, they serve
        // those that are still queued.
        let tracker = connections.clone();
        connections.spawn(gate::port::accept_task(node.clone(), hop, tracker.clone()));
        connections.spawn(ingress::port::accept_task(node.clone(), ingress, tracker));
        tokio::spawn(targets::expire_task(node.clone()));
        if let Some(port) = node.documents.clone() {
            tokio::spawn(documents::follow_task(node.clone(), port));
            tokio::spawn(documents::heartbeat_task(node.clone()));
        }
        if let Some(port) = node.directory.clone() {
            tokio::spawn(directory::directory_task(node.clone(), port));
        }
        tokio::spawn(task::rollout_task(node.clone()));
        tokio::spawn(keep::keeper_task(node.clone()));
        tokio::spawn(start_then_follow(node.clone()));
        log::info!(
            event = "started",
            node:% = node.address(),
            ingress:% = node.settings.ingress,
            admin:% = node.settings.admin,
            data_centre:% = node.settings.data_centre;
            "node"
        );
        Ok(Self { node, connections })
    }

    /// Stops the node gracefully.
    ///
    /// 1. Lame duck: callers are told that the node is about to stop. Meanwhile
    ///    its gates still accept calls that can finish in time, since the slots
    ///    of its targets would otherwise stay unused.
    /// 2. Draining: the gates refuse new calls, other nodes are told, and calls in
    ///    flight run to their end.
    /// 3. Stopping: the ingress closes last, since a target may need it to
    ///    complete its own calls.
    ///
    /// From the start on, the ingress takes only the calls that can end before the drain
    /// timeout expires; see [`StopSchedule`]. Calls that are still in flight then are
    /// answered by the node itself.
    pub async fn stop(self) {
        let node = &self.node;
        let now = node.clock.now();
        let drain_deadline = now + node.settings.tuning.drain_timeout;
        log::info!(event = "stopping", calls_at_gate = node.targets.in_flight(); "node");
        node.metrics.ready.set(0);
        // Callers need some time to notice that this node is not ready.
        let lame_duck = node.settings.tuning.lame_duck;
        let lame_duck_end = tokio::time::sleep(lame_duck);
        let gate_open_time = lame_duck.saturating_sub(DEPARTURE_NOTICE_TIME);
        // A node stops only once.
        let _ = node.stop_schedule.set(StopSchedule {
            gates_close_at: now + gate_open_time,
            callers_told_at: now + lame_duck.max(DEPARTURE_NOTICE_TIME),
            calls_cut_at: drain_deadline,
        });
        if !gate_open_time.is_zero() {
            node.stage.send_replace(NodeStage::LameDuck);
            tokio::time::sleep(gate_open_time).await;
        }
        node.stage.send_replace(NodeStage::Draining);
        targets::drain_all(node).await;
        if timeout_at(drain_deadline.into(), wait_for_empty_gates(node))
            .await
            .is_err()
        {
            log::warn!(event = "drain-cut", calls_at_gate = node.targets.in_flight(); "node");
        }
        lame_duck_end.await;
        node.stage.send_replace(NodeStage::Stopping);
        self.connections.close();
        let all_closed = timeout_at(drain_deadline.into(), self.connections.wait()).await;
        if all_closed.is_err() {
            log::warn!(event = "calls-cut", open = self.connections.len(); "node");
            node.stage.send_replace(NodeStage::Closing);
        }
        if timeout(CLOSE_TIMEOUT, self.connections.wait())
            .await
            .is_err()
        {
            log::warn!(event = "connections-cut", open = self.connections.len(); "node");
        }
        let record = {
            let mut table = lock(&node.table);
            table.update_own(node.clock.now(), |own| own.state = MemberState::Left)
        };
        rumors::spread_own_record(node, record).await;
        log::info!(event = "stopped"; "node");
        log::logger().flush();
    }
}

async fn start_then_follow(node: NodeHandle) {
    start::start_task(node.clone()).await;
    tokio::spawn(prober::probe_task(node.clone()));
    tokio::spawn(start::reseed_task(node.clone()));
    if node.documents.is_none() {
        follow::follow_task(node).await;
    }
}

/// Waits until other nodes know that the targets here are leaving and no call is
/// left at a gate.
async fn wait_for_empty_gates(node: &NodeHandle) {
    tokio::time::sleep(DEPARTURE_NOTICE_TIME).await;
    while node.targets.in_flight() > 0 {
        tokio::time::sleep(EMPTY_CHECK_INTERVAL).await;
    }
}
