//! Targets that send bytes without end: in a status line, a header, a chunk, a
//! trailer, a body without a length or after a complete answer. The node must close
//! the connection, keep its memory bounded, tell the caller no lie, free the slot
//! and avoid the target.

use std::time::Duration;

use eyre::Result;
use serde_json::json;
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};
use wisteriaturn_testing::raw_target::{AnswerEnd, RawTarget};
use yare::parameterized;

/// Growth of a node's memory that endless bytes may cause, in KiB.
const MAX_MEMORY_GROWTH_KIB: u64 = 32 * 1024;

/// Waits until the node has closed all its connections to a target.
async fn wait_until_closed(cluster: &TestCluster, target: &RawTarget) -> Result<()> {
    cluster
        .wait_for("the node to close its connections", async || {
            target.open_connections() == 0
        })
        .await
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
    let target = RawTarget::start(start, AnswerEnd::Endless(filler)).await?;
    target.announce(cluster.admin(0), "portal").await?;
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
                // The node ends an endless head itself, and doesn't read it until the
                // deadline.
                let reason = reply.header("wisteriaturn-reason");
                assert!(!is_in_head || reason == "target-lost", "{method}: {reason}");
            }
            Ok(Err(_)) | Err(_) => assert!(!is_in_head, "{method}: no answer to the caller"),
        }
        target.announce(cluster.admin(0), "portal").await?;
    }
    wait_until_closed(&cluster, &target).await?;
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
    let target = RawTarget::start(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        AnswerEnd::Endless("xx"),
    )
    .await?;
    target.announce(cluster.admin(0), "portal").await?;
    cluster.wait_targets(1, "portal", 1).await?;
    for _ in 0..5 {
        let reply = client::get(cluster.ingress(1), "/portal").await?;
        assert_eq!((reply.status, reply.text().as_str()), (200, "ok"));
        target.announce(cluster.admin(0), "portal").await?;
    }
    wait_until_closed(&cluster, &target).await?;
    cluster.remove_folder();
    Ok(())
}
