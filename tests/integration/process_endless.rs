//! Targets that send bytes without end: in a status line, a header, a chunk, a
//! trailer, a body without a length or after a complete answer. The node must close
//! the connection, keep its memory bounded, tell the caller no lie, free the slot
//! and avoid the target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use eyre::Result;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};
use yare::parameterized;

/// Bytes that a node may take from a target that has not completed a head. Nodes
/// limit a head to 64 KiB; the rest is what two sockets buffer.
const MAX_HEAD_BYTES_TAKEN: u64 = 16 * 1024 * 1024;

/// Growth of a node's memory that endless bytes may cause, in KiB.
const MAX_MEMORY_GROWTH_KIB: u64 = 32 * 1024;

/// A target that answers each request with `start` and then with `filler` for as
/// long as its connection is open.
struct EndlessTarget {
    address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
    sent_bytes: Arc<AtomicU64>,
}

impl EndlessTarget {
    async fn start(start: &'static str, filler: &'static str) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = Self {
            address: listener.local_addr()?,
            open_connections: Arc::default(),
            sent_bytes: Arc::default(),
        };
        let (open, sent) = (
            Arc::clone(&target.open_connections),
            Arc::clone(&target.sent_bytes),
        );
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (open, sent) = (Arc::clone(&open), Arc::clone(&sent));
                open.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    // The error says that the node has closed the connection.
                    let _ = answer_without_end(stream, start, filler, &sent).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(target)
    }

    async fn announce(&self, admin: SocketAddr) -> Result<()> {
        let body = json!({
            "service": "portal",
            "address": self.address,
            "slots": 1,
            "draining": false,
        });
        client::post(admin, "/v1/targets", &body.to_string()).await?;
        Ok(())
    }
}

async fn answer_without_end(
    mut stream: TcpStream,
    start: &str,
    filler: &str,
    sent: &AtomicU64,
) -> std::io::Result<()> {
    let mut request = vec![0; 8192];
    if stream.read(&mut request).await? == 0 {
        return Ok(());
    }
    stream.write_all(start.as_bytes()).await?;
    let chunk = filler.repeat(16 * 1024 / filler.len());
    loop {
        stream.write_all(chunk.as_bytes()).await?;
        sent.fetch_add(chunk.len() as u64, Ordering::SeqCst);
    }
}

/// Returns the resident memory of a process in KiB.
fn resident_kib(pid: u32) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.unwrap_or_default().parse()?)
}

#[parameterized(
    status_line = { "HTTP/1.1 200 ", "x", true },
    header_name = { "HTTP/1.1 200 OK\r\n", "x", true },
    header_value = { "HTTP/1.1 200 OK\r\nx: ", "x", true },
    headers = { "HTTP/1.1 200 OK\r\n", "x: y\r\n", true },
    interim_answers = { "", "HTTP/1.1 100 Continue\r\n\r\n", true },
    chunk_size = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0", false },
    chunk_extension = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "x", false },
    trailers = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n", false },
    trailer_value = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: ", "y", false },
    body_without_length = { "HTTP/1.1 200 OK\r\n\r\n", "x", false },
    chunks = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n", false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn endless_bytes_end_with_the_call(
    start: &'static str,
    filler: &'static str,
    is_in_head: bool,
) -> Result<()> {
    let cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        ..ClusterPlan::default()
    })
    .await?;
    let route = json!({ "deadline_ms": 1500 });
    cluster.add_service("portal", route).await?;
    let target = EndlessTarget::start(start, filler).await?;
    target.announce(cluster.admin(0)).await?;
    cluster.wait_targets(1, "portal", 1).await?;
    let before = resident_kib(cluster.node_pid(0))? + resident_kib(cluster.node_pid(1))?;

    for method in ["GET", "POST"] {
        let call = client::send(cluster.ingress(1), method, "/portal", &[], b"");
        // The caller reads the body for a while and then leaves.
        match tokio::time::timeout(Duration::from_secs(3), call).await {
            Ok(Ok(reply)) => {
                assert_ne!(
                    reply.status, 200,
                    "an answer without an end is not complete"
                );
                assert_eq!(reply.outcome(), "unknown", "the call may have run");
            }
            Ok(Err(_)) | Err(_) => assert!(!is_in_head, "{method}: no answer to the caller"),
        }
        target.announce(cluster.admin(0)).await?;
    }
    cluster
        .wait_for(
            "the node to close its connections to the target",
            async || target.open_connections.load(Ordering::SeqCst) == 0,
        )
        .await?;
    if is_in_head {
        let sent = target.sent_bytes.load(Ordering::SeqCst);
        assert!(
            sent < MAX_HEAD_BYTES_TAKEN,
            "{sent} bytes of heads were taken"
        );
    }
    let after = resident_kib(cluster.node_pid(0))? + resident_kib(cluster.node_pid(1))?;
    let growth = after.saturating_sub(before);
    assert!(
        growth < MAX_MEMORY_GROWTH_KIB,
        "memory grew by {growth} KiB"
    );
    // The only slot is free again: a call reaches the target, and is not refused as
    // queued behind an earlier one.
    cluster
        .wait_for("the slot to be free", async || {
            cluster.status(0).await["calls_at_gate"] == 0
        })
        .await?;
    cluster.remove_folder();
    Ok(())
}

/// Bytes after a complete answer belong to no call: the answer counts, and the
/// connection is not used again.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_a_complete_answer_reach_no_caller() -> Result<()> {
    let cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        ..ClusterPlan::default()
    })
    .await?;
    cluster
        .add_service("portal", json!({ "deadline_ms": 1500 }))
        .await?;
    let target =
        EndlessTarget::start("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "xx").await?;
    target.announce(cluster.admin(0)).await?;
    cluster.wait_targets(1, "portal", 1).await?;
    for _ in 0..5 {
        let reply = client::get(cluster.ingress(1), "/portal").await?;
        assert_eq!((reply.status, reply.text().as_str()), (200, "ok"));
        target.announce(cluster.admin(0)).await?;
    }
    cluster
        .wait_for(
            "the node to close its connections to the target",
            async || target.open_connections.load(Ordering::SeqCst) == 0,
        )
        .await?;
    cluster.remove_folder();
    Ok(())
}
