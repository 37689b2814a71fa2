//! Failures of the link to a gate. The nodes run in the test's process, so that
//! a single link between two of them can be cut.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::Result;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wisteriaturn::clock::SystemClock;
use wisteriaturn::config::resource::CallClass;
use wisteriaturn::ids::Incarnation;
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};
use wisteriaturn_testing::forwarder::TcpForwarder;
use wisteriaturnd::gate::targets::{self, TargetAnnouncement};
use wisteriaturnd::lifecycle::RunningNode;
use wisteriaturnd::node::{AddressMap, NodeBuilder, NodeHandle, NodeStage};
use wisteriaturnd::settings::NodeSettings;
use wisteriaturnd::stream::memory::memory_log;

/// Starts three nodes and a target of `dispatch` with one slot at node 0. Node 1
/// reaches the gate of node 0 only through the returned forwarder; node 2 reaches
/// it directly.
async fn start() -> Result<(TestCluster, Vec<RunningNode>, Arc<TcpForwarder>)> {
    start_with_forwarder(3, "dispatch", 8_000, "").await
}

/// Starts nodes and a target of `service` with one slot at node 0. Node 1 reaches
/// the gate of node 0 only through the returned forwarder. `tuning` has lines for the
/// nodes' settings.
pub(crate) async fn start_with_forwarder(
    node_count: usize,
    service: &str,
    deadline_ms: u64,
    tuning: &str,
) -> Result<(TestCluster, Vec<RunningNode>, Arc<TcpForwarder>)> {
    let plan = ClusterPlan {
        nodes: node_count,
        strict: false,
        tuning: tuning.to_owned(),
        ..ClusterPlan::default()
    };
    let mut cluster = TestCluster::prepare(plan)?;
    let log = memory_log();
    let forwarder = Arc::new(TcpForwarder::start(cluster.hop(0)).await?);
    let mut nodes = Vec::new();
    for index in 0..node_count {
        let settings = NodeSettings::read(&cluster.settings_path(index))?;
        let mut builder = NodeBuilder::new(settings, Arc::new(SystemClock), log.clone());
        if index == 1 {
            let (hop, forwarder) = (cluster.hop(0), Arc::clone(&forwarder));
            builder = builder.addresses(AddressMap::new(move |address| {
                if address == hop {
                    forwarder.address
                } else {
                    address
                }
            }));
        }
        nodes.push(RunningNode::start(builder).await?);
    }
    cluster.wait_ready().await?;
    cluster
        .add_service(service, json!({ "deadline_ms": deadline_ms }))
        .await?;
    cluster.start_target(0, service, 1)?;
    cluster.wait_targets(1, service, 1).await?;
    Ok((cluster, nodes, forwarder))
}

/// Guards against the loss of an answer if the link to the gate is cut while the
/// call runs. The node must get the result from the gate through another node.
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_a_running_call_survives_a_cut_link() -> Result<()> {
    let (cluster, _nodes, forwarder) = start().await?;
    let ingress = cluster.ingress(1);
    let pending_call = tokio::spawn(async move {
        let headers = [("x-run", "cut"), ("x-sleep-ms", "500")];
        client::send(ingress, "POST", "/dispatch", &headers, b"").await
    });
    cluster
        .wait_for("the call to run", async || {
            cluster.run_counts().contains_key("cut")
        })
        .await?;
    forwarder.set_partitioned(true);

    // Node 2 can still reach the gate and sends the inquiry for node 1.
    let reply = pending_call.await??;
    assert_eq!(reply.outcome(), "done", "{}", reply.text());
    assert_eq!(reply.json()["id"], json!("cut"));
    assert_eq!(reply.header("wisteriaturn-replayed"), "true");
    assert_eq!(cluster.run_counts()["cut"], 1);
    cluster.remove_folder();
    Ok(())
}

/// Guards against a call that is reported as not run but runs later. If the link
/// is cut while the call waits for a slot, the gate must revoke it.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_call_is_revoked_when_its_link_is_cut() -> Result<()> {
    let (cluster, nodes, forwarder) = start().await?;
    let (busy_ingress, ingress) = (cluster.ingress(0), cluster.ingress(1));
    let running_call = tokio::spawn(async move {
        let headers = [("x-run", "busy"), ("x-sleep-ms", "2000")];
        client::send(busy_ingress, "POST", "/dispatch", &headers, b"").await
    });
    cluster
        .wait_for("the slot to be taken", async || {
            cluster.run_counts().contains_key("busy")
        })
        .await?;
    let waiting_call = tokio::spawn(async move {
        let headers = [("x-run", "waits")];
        client::send(ingress, "POST", "/dispatch", &headers, b"").await
    });
    cluster
        .wait_for("the call to wait", async || {
            nodes[0].node.targets.in_flight() == 2
        })
        .await?;
    forwarder.set_partitioned(true);

    let reply = waiting_call.await??;
    assert_eq!(reply.outcome(), "not-run", "{}", reply.text());
    assert_eq!(running_call.await??.outcome(), "done");
    // The slot is free again, but the revoked call must not take it.
    let headers = [("x-run", "after")];
    let later_reply = client::send(cluster.ingress(0), "POST", "/dispatch", &headers, b"").await?;
    assert_eq!(later_reply.outcome(), "done");
    assert!(!cluster.run_counts().contains_key("waits"));
    cluster.remove_folder();
    Ok(())
}

/// Guards against peers without the mesh key: their datagrams must be dropped and
/// their connections closed after the handshake, each counted by cause.
#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_peers_are_dropped_and_counted() -> Result<()> {
    let (cluster, nodes, _forwarder) = start().await?;
    let unauthenticated_socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
    unauthenticated_socket
        .send_to(&[0; 64], cluster.peer(0))
        .await?;
    unauthenticated_socket
        .send_to(&[7; 1400], cluster.peer(0))
        .await?;
    for port in [cluster.peer(0), cluster.hop(0)] {
        // Sends an invalid proof in the handshake, and then a request.
        let mut stream = tokio::net::TcpStream::connect(port).await?;
        stream.write_all(&[0; 16]).await?;
        let mut server_hello = [0; 40];
        stream.read_exact(&mut server_hello).await?;
        stream.write_all(&[0; 16]).await?;
        let _ = stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await;
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
        assert!(received.is_empty());
    }
    for cause in [
        "datagram-unauthenticated",
        "datagram-too-large",
        "peer-unauthenticated",
        "hop-unauthenticated",
    ] {
        cluster
            .wait_for(cause, async || {
                let text = nodes[0].node.metrics.encode(0);
                text.contains(&format!("wisteriaturn_drops_total{{cause=\"{cause}\"}} 1"))
            })
            .await?;
    }
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_announces_itself_again_keeps_its_gate() -> Result<()> {
    let (cluster, nodes, _forwarder) = start().await?;
    let node = &nodes[0].node;
    let service = "portal".parse()?;
    cluster.add_service("portal", json!({})).await?;
    let announcement: TargetAnnouncement = serde_json::from_value(json!({
        "service": "portal", "address": "127.0.0.1:9", "slots": 1, "instance": "i-1",
    }))?;
    targets::register(node, &announcement).await?;
    let gate = node.targets.get(&service).expect("the target").gate.clone();
    let deadline = Instant::now() + Duration::from_secs(60);
    let running = gate.acquire(CallClass::Interactive, deadline).await;
    assert!(targets::withdraw(node, &service).await);
    targets::register(node, &announcement).await?;
    let load = node.targets.get(&service).expect("the target").gate.load();
    assert_eq!((load.busy, load.slots), (1, 1), "its call is still running");
    drop(running);
    let next = gate.acquire(CallClass::Interactive, deadline).await;
    assert!(next.is_ok(), "the gate is open again");
    // A target that was started anew has no calls.
    drop(next);
    let restarted = TargetAnnouncement {
        incarnation: Incarnation(2),
        ..announcement
    };
    let _held = gate.acquire(CallClass::Interactive, deadline).await;
    assert!(targets::withdraw(node, &service).await);
    targets::register(node, &restarted).await?;
    let load = node.targets.get(&service).expect("the target").gate.load();
    assert_eq!(load.busy, 0);
    cluster.remove_folder();
    Ok(())
}

/// Connects to a port and sends a request at the moment at which the node closes its ports.
/// Returns `None` if the port is closed by then.
async fn call_at_close(node: NodeHandle, ingress: SocketAddr) -> Option<std::net::TcpStream> {
    let mut stage = node.stage.subscribe();
    let _ = stage.wait_for(|stage| *stage >= NodeStage::Stopping).await;
    // Blocking calls, so that no task of the node runs in between.
    let mut stream = std::net::TcpStream::connect(ingress).ok()?;
    let request = b"GET /dispatch HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).expect("the connection is open");
    Some(stream)
}

#[tokio::test(flavor = "current_thread")]
async fn calls_that_arrive_as_the_port_closes_are_answered() -> Result<()> {
    let (cluster, mut nodes, _forwarder) = start().await?;
    let mut connected = 0;
    while let Some(running) = nodes.pop() {
        let ingress = cluster.ingress(nodes.len());
        // The order in which the tasks learn of the stop is random.
        let callers: Vec<_> = (0..40)
            .map(|_| tokio::spawn(call_at_close(running.node.clone(), ingress)))
            .collect();
        tokio::task::yield_now().await;
        running.stop().await;
        for caller in callers {
            let Some(mut stream) = caller.await? else {
                continue;
            };
            connected += 1;
            let mut start = [0; 8];
            stream.set_read_timeout(Some(Duration::from_secs(30)))?;
            stream.read_exact(&mut start)?;
            assert_eq!(&start, b"HTTP/1.1");
        }
    }
    assert!(connected > 0, "no caller was in time");
    cluster.remove_folder();
    Ok(())
}
