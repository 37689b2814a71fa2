//! Target selection: calls prefer near targets, spill over to farther ones under
//! load, and avoid targets that fail.

use std::collections::HashMap;

use eyre::Result;
use serde_json::json;
use wisteriaturn_testing::client::{self, HttpReply};
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};
use wisteriaturn_testing::metrics;

/// Starts a cluster of two data centres that each have one target with two slots.
async fn start_two_data_centres() -> Result<TestCluster> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        data_centres: 2,
        ..ClusterPlan::default()
    })
    .await?;
    cluster
        .add_service("portal", json!({ "deadline_ms": 1000 }))
        .await?;
    for index in 0..2 {
        cluster.start_target(index, "portal", 2)?;
    }
    for index in 0..2 {
        cluster.wait_targets(index, "portal", 2).await?;
    }
    Ok(cluster)
}

fn count_by_target(replies: &[HttpReply]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for reply in replies {
        let target = reply.json()["target"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        *counts.entry(target).or_default() += 1;
    }
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_stay_in_the_data_centre_until_its_target_is_loaded() -> Result<()> {
    let cluster = start_two_data_centres().await?;
    let (near, far) = (
        cluster.target_address(0).to_string(),
        cluster.target_address(1).to_string(),
    );
    let mut replies = Vec::new();
    for _ in 0..30 {
        replies.push(client::get(cluster.ingress(0), "/portal").await?);
    }
    assert_eq!(count_by_target(&replies).get(&near), Some(&30));

    let mut calls = Vec::new();
    for _ in 0..6 {
        let ingress = cluster.ingress(0);
        calls.push(tokio::spawn(async move {
            client::send(ingress, "GET", "/portal", &[("x-sleep-ms", "200")], b"").await
        }));
    }
    let mut replies = Vec::new();
    for call in calls {
        let reply = call.await??;
        assert_eq!(reply.outcome(), "done", "{}", reply.text());
        replies.push(reply);
    }
    assert!(
        count_by_target(&replies).contains_key(&far),
        "no call went to the other data centre"
    );
    // Once the load is gone, calls return to the near target.
    cluster
        .wait_for("calls to return to the near target", async || {
            let reply = client::get(cluster.ingress(0), "/portal").await;
            reply.is_ok_and(|reply| reply.json()["target"] == json!(near))
        })
        .await?;
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_hangs_is_ejected() -> Result<()> {
    let mut cluster = start_two_data_centres().await?;
    let policy = json!([{ "put": { "kind": "policy", "service": "portal",
        "eject_after": 2, "eject_base_ms": 60000 } }]);
    let version = cluster.apply_accepted(0, policy).await?;
    cluster.wait_version(version).await?;
    // Its node still advertises it as available; only calls reveal that it hangs.
    cluster.target_process(0).send_signal("STOP");
    cluster
        .wait_for("the hanging target to be ejected", async || {
            let headers = [("wisteriaturn-deadline-ms", "200")];
            let call = client::send(cluster.ingress(0), "GET", "/portal", &headers, b"");
            let _ = call.await;
            let text = cluster.metrics(0).await;
            metrics::sum(&text, "wisteriaturn_ejections_total", "") >= 1.0
        })
        .await?;
    for _ in 0..20 {
        let reply = client::get(cluster.ingress(0), "/portal").await?;
        assert_eq!(reply.outcome(), "done", "{}", reply.text());
        assert_eq!(reply.json()["target"], json!(cluster.target_address(1)));
    }
    cluster.remove_folder();
    Ok(())
}
