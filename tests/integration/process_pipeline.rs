//! HTTP pipelining: reads that a caller sends together run concurrently and are
//! answered in order.

use eyre::Result;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_reads_run_concurrently_and_are_answered_in_order() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 1,
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("portal", json!({})).await?;
    cluster.start_target(0, "portal", 6)?;
    cluster.wait_targets(0, "portal", 1).await?;
    let mut stream = TcpStream::connect(cluster.ingress(0)).await?;
    let mut requests = String::new();
    for (name, sleep) in [("first", 2_000), ("second", 0), ("third", 0)] {
        requests += &format!(
            "GET /portal/{name} HTTP/1.1\r\nHost: h\r\nx-run: {name}\r\nx-sleep-ms: {sleep}\r\n\r\n"
        );
    }
    stream.write_all(requests.as_bytes()).await?;
    cluster
        .wait_for("all three calls to run", async || {
            cluster.run_counts().len() == 3
        })
        .await?;
    let mut byte = [0];
    let read = stream.try_read(&mut byte);
    let is_waiting = read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
    assert!(
        is_waiting,
        "the first call still runs after the others have run"
    );
    let mut answers = String::new();
    while answers.matches("HTTP/1.1 200").count() < 3 {
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).await?;
        assert!(length > 0, "closed after {answers}");
        answers += &String::from_utf8_lossy(&buffer[..length]);
    }
    let run_counts: Vec<usize> = ["first", "second", "third"]
        .iter()
        .map(|name| cluster.run_counts().get(*name).copied().unwrap_or_default())
        .collect();
    assert_eq!(run_counts, [1, 1, 1], "each call ran once");
    cluster.remove_folder();
    Ok(())
}
