//! A cut link between two nodes, with nodes inside the test's process so that
//! one link of many can be cut.

use std::sync::Arc;

use eyre::Result;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wisteriaturn::clock::SystemClock;
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};
use wisteriaturn_testing::forwarder::TcpForwarder;
use wisteriaturnd::lifecycle::RunningNode;
use wisteriaturnd::node::{AddressMap, NodeBuilder};
use wisteriaturnd::settings::NodeSettings;
use wisteriaturnd::stream::memory::memory_log;

/// Three nodes of which node 1 reaches the gate of node 0 only by `forwarder`, and
/// a target beside node 0.
async fn start() -> Result<(TestCluster, Vec<RunningNode>, Arc<TcpForwarder>)> {
    let plan = ClusterPlan {
        nodes: 3,
        strict: false,
        ..ClusterPlan::default()
    };
    let mut cluster = TestCluster::prepare(plan)?;
    let log = memory_log();
    let forwarder = Arc::new(TcpForwarder::start(cluster.hop(0)).await?);
    let mut nodes = Vec::new();
    for index in 0..3 {
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
        .add_service("dispatch", json!({ "deadline_ms": 8000 }))
        .await?;
    cluster.start_target(0, "dispatch", 1)?;
    cluster.wait_targets(1, "dispatch", 1).await?;
    Ok((cluster, nodes, forwarder))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_link_loses_no_answer_of_a_call_that_ran() -> Result<()> {
    let (cluster, _nodes, forwarder) = start().await?;
    let ingress = cluster.ingress(1);
    let call = tokio::spawn(async move {
        let headers = [("x-run", "cut"), ("x-sleep-ms", "500")];
        client::send(ingress, "POST", "/dispatch", &headers, b"").await
    });
    cluster
        .wait_for("the call to run", async || {
            cluster.run_counts().contains_key("cut")
        })
        .await?;
    forwarder.set_partitioned(true);

    // Node 2 still reaches the gate, and asks for node 1.
    let reply = call.await??;
    assert_eq!(reply.outcome(), "done", "{}", reply.text());
    assert_eq!(reply.json()["id"], json!("cut"));
    assert_eq!(reply.header("wisteriaturn-replayed"), "true");
    assert_eq!(cluster.run_counts()["cut"], 1);
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_link_revokes_a_call_that_waits() -> Result<()> {
    let (cluster, nodes, forwarder) = start().await?;
    let (busy, ingress) = (cluster.ingress(0), cluster.ingress(1));
    let running = tokio::spawn(async move {
        let headers = [("x-run", "busy"), ("x-sleep-ms", "2000")];
        client::send(busy, "POST", "/dispatch", &headers, b"").await
    });
    cluster
        .wait_for("the slot to be taken", async || {
            cluster.run_counts().contains_key("busy")
        })
        .await?;
    let waiting = tokio::spawn(async move {
        let headers = [("x-run", "waits")];
        client::send(ingress, "POST", "/dispatch", &headers, b"").await
    });
    cluster
        .wait_for("the call to wait", async || {
            nodes[0].node.targets.in_flight() == 2
        })
        .await?;
    forwarder.set_partitioned(true);

    let reply = waiting.await??;
    assert_eq!(reply.outcome(), "not-run", "{}", reply.text());
    assert_eq!(running.await??.outcome(), "done");
    // The slot is free again, and what was revoked stays away from it.
    let headers = [("x-run", "after")];
    let after = client::send(cluster.ingress(0), "POST", "/dispatch", &headers, b"").await?;
    assert_eq!(after.outcome(), "done");
    assert!(!cluster.run_counts().contains_key("waits"));
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stranger_at_the_peer_ports_is_dropped_and_counted() -> Result<()> {
    let (cluster, nodes, _link) = start().await?;
    let stranger = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
    stranger.send_to(&[0; 64], cluster.peer(0)).await?;
    stranger.send_to(&[7; 1400], cluster.peer(0)).await?;
    for port in [cluster.peer(0), cluster.hop(0)] {
        // A handshake with a wrong answer, then a request.
        let mut stream = tokio::net::TcpStream::connect(port).await?;
        stream.write_all(&[0; 16]).await?;
        let mut hello = [0; 40];
        stream.read_exact(&mut hello).await?;
        stream.write_all(&[0; 16]).await?;
        let _ = stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await;
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        assert!(rest.is_empty());
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
