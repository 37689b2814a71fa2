//! Calls that reach a node late in its planned stop.

use std::time::Duration;

use eyre::Result;
use serde_json::json;
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};

/// Time from the start of the stop to the late calls.
const LATE: Duration = Duration::from_millis(3_500);

/// Guards against calls that a stopping node takes while its own target has a long run,
/// and interrupts with an unknown outcome when its time is up.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_a_stopping_node_cannot_answer_is_refused_and_never_runs() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        tuning: "lame_duck_ms = 1000\ndrain_timeout_ms = 6000".to_owned(),
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("vault", json!({})).await?;
    cluster.add_service("desk", json!({})).await?;
    cluster.start_target(0, "vault", 6)?;
    cluster.start_target(1, "desk", 6)?;
    for index in 0..2 {
        cluster.wait_targets(index, "vault", 1).await?;
        cluster.wait_targets(index, "desk", 1).await?;
    }
    let elsewhere = cluster.ingress(1);
    let long = tokio::spawn(async move {
        let headers = [("x-sleep-ms", "5000"), ("x-run", "long")];
        client::send(elsewhere, "GET", "/vault", &headers, b"").await
    });
    cluster
        .wait_for("the long call to run", async || {
            cluster.run_counts().contains_key("long")
        })
        .await?;
    cluster.node_process(0).send_signal("TERM");
    tokio::time::sleep(LATE).await;
    let ingress = cluster.ingress(0);
    let send = |run: &'static str, sleep_ms: &'static str, deadline_ms: &'static str| async move {
        let headers = [
            ("x-sleep-ms", sleep_ms),
            ("x-run", run),
            ("wisteriaturn-deadline-ms", deadline_ms),
        ];
        client::send(ingress, "POST", "/desk", &headers, b"").await
    };
    let (lasting, brief) =
        tokio::join!(send("lasting", "3000", "5000"), send("brief", "20", "1000"));
    let (lasting, brief) = (lasting?, brief?);
    assert_eq!(brief.outcome(), "done", "{}", brief.text());
    assert_eq!((lasting.status, lasting.outcome()), (503, "not-run"));
    assert_eq!(lasting.header("wisteriaturn-reason"), "draining");
    // The node would refuse the call again for as long as it stops.
    let retry_after: u64 = lasting.header("retry-after").parse()?;
    assert!((2..=3).contains(&retry_after), "{retry_after} s");
    assert_eq!(cluster.node_process(0).wait().await?, 0);
    assert_eq!(long.await??.outcome(), "done");
    assert!(!cluster.run_counts().contains_key("lasting"));
    cluster.remove_folder();
    Ok(())
}
