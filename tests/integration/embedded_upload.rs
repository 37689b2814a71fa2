//! Large request bodies on the way to a gate. The nodes run in the test's process,
//! so that the bytes on the link between two of them can be counted.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wisteriaturn::gate::transfer::MIN_ADMITTED_BODY_BYTES;
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::TestCluster;
use wisteriaturn_testing::forwarder::TcpForwarder;
use wisteriaturnd::lifecycle::RunningNode;
use yare::parameterized;

use crate::embedded_link::start_with_forwarder;

/// Size of a body that is larger than all socket buffers on the way take unread.
const LARGE_BODY_BYTES: usize = 200_000;

/// Starts two nodes that hold large bodies, and a target of `archive` with one slot
/// at node 0. Node 1 reaches its gate only through the returned forwarder.
async fn start() -> Result<(TestCluster, Vec<RunningNode>, Arc<TcpForwarder>)> {
    start_with_forwarder(2, "archive", 5_000, "replay_bytes = 1048576").await
}

/// Occupies the only slot of the target for some seconds. An earlier call shows the
/// gate how long runs take.
async fn occupy_slot(cluster: &TestCluster) -> Result<()> {
    let ingress = cluster.ingress(0);
    client::send(ingress, "POST", "/archive", &[("x-sleep-ms", "400")], b"").await?;
    tokio::spawn(async move {
        let headers = [("x-run", "busy"), ("x-sleep-ms", "3000")];
        client::send(ingress, "POST", "/archive", &headers, b"").await
    });
    cluster
        .wait_for("the slot to be taken", async || {
            cluster.run_counts().contains_key("busy")
        })
        .await
}

/// A gate sees the head of an upload first, so that a refusal costs no body.
#[parameterized(
    an_upload = { "POST" },
    an_idempotent_upload = { "PUT" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_refused_upload_sends_no_body(method: &str) -> Result<()> {
    let (cluster, nodes, forwarder) = start().await?;
    occupy_slot(&cluster).await?;
    let before = forwarder.forwarded_bytes();
    let body = vec![b'x'; LARGE_BODY_BYTES];
    let headers = [("x-run", "refused"), ("wisteriaturn-deadline-ms", "200")];
    let reply = client::send(cluster.ingress(1), method, "/archive", &headers, &body).await?;
    assert_eq!((reply.status, reply.outcome()), (503, "not-run"));
    let sent = forwarder.forwarded_bytes() - before;
    assert!(
        sent < MIN_ADMITTED_BODY_BYTES,
        "{sent} bytes crossed the link"
    );
    assert!(!cluster.run_counts().contains_key("refused"));
    drop(nodes);
    cluster.remove_folder();
    Ok(())
}

/// The body arrives whole once it is admitted, with a length or in chunks.
#[parameterized(
    small = { 1_000, false },
    large = { LARGE_BODY_BYTES, false },
    large_in_chunks = { LARGE_BODY_BYTES, true },
    larger_than_what_is_held = { 3_000_000, false },
    larger_than_what_is_held_in_chunks = { 3_000_000, true },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_admitted_upload_arrives_whole(bytes: usize, is_chunked: bool) -> Result<()> {
    let (cluster, nodes, _forwarder) = start().await?;
    let mut stream = TcpStream::connect(cluster.ingress(1)).await?;
    let head = "POST /archive HTTP/1.1\r\nhost: x\r\nx-run: upload\r\nconnection: close\r\n";
    let body = vec![b'x'; bytes];
    if is_chunked {
        let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        for chunk in body.chunks(7_000) {
            let size = format!("{:x}\r\n", chunk.len());
            stream.write_all(size.as_bytes()).await?;
            stream.write_all(chunk).await?;
            stream.write_all(b"\r\n").await?;
        }
        stream.write_all(b"0\r\n\r\n").await?;
    } else {
        let head = format!("{head}content-length: {bytes}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body).await?;
    }
    let mut answer = String::new();
    let reading = stream.read_to_string(&mut answer);
    tokio::time::timeout(Duration::from_secs(30), reading).await??;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(
        answer.contains(&format!("\"received\":{bytes},")),
        "{answer}"
    );
    assert_eq!(cluster.run_counts()["upload"], 1);
    drop(nodes);
    cluster.remove_folder();
    Ok(())
}

/// A caller that leaves in the middle of its upload costs no run, and the gate
/// receives the next body.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_that_breaks_off_does_not_run() -> Result<()> {
    let (cluster, nodes, _forwarder) = start().await?;
    for _ in 0..6 {
        let mut stream = TcpStream::connect(cluster.ingress(1)).await?;
        let head = format!(
            "POST /archive HTTP/1.1\r\nhost: x\r\nx-run: broken\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&vec![b'x'; LARGE_BODY_BYTES / 2]).await?;
        drop(stream);
    }
    let body = vec![b'x'; LARGE_BODY_BYTES];
    let headers = [("x-run", "whole")];
    let reply = client::send(cluster.ingress(1), "POST", "/archive", &headers, &body).await?;
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert!(!cluster.run_counts().contains_key("broken"));
    drop(nodes);
    cluster.remove_folder();
    Ok(())
}
