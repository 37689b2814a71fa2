//! At-most-once execution of calls with idempotency keys, and the guarantee that a
//! call reported as `not-run` has not run.

use std::net::SocketAddr;

use eyre::Result;
use serde_json::json;
use wisteriaturn_testing::client::{self, HttpReply};
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};

async fn post_job(
    ingress: SocketAddr,
    id: &str,
    extra_headers: &[(&str, &str)],
) -> Result<HttpReply> {
    let mut headers = vec![("idempotency-key", id), ("x-run", id)];
    headers.extend_from_slice(extra_headers);
    client::send(ingress, "POST", "/dispatch/jobs", &headers, b"{}").await
}

async fn dispatch_cluster(nodes: usize, targets: usize) -> Result<TestCluster> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes,
        ..ClusterPlan::default()
    })
    .await?;
    cluster
        .add_service("dispatch", json!({ "deadline_ms": 4000 }))
        .await?;
    for index in 0..targets {
        cluster.start_target(index, "dispatch", 6)?;
    }
    for index in 0..nodes {
        cluster.wait_targets(index, "dispatch", targets).await?;
    }
    Ok(cluster)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_sent_again_through_any_node_runs_once() -> Result<()> {
    let cluster = dispatch_cluster(4, 3).await?;
    let mut calls = Vec::new();
    for copy in 0..12 {
        let ingress = cluster.ingress(copy % 4);
        calls.push(tokio::spawn(async move {
            post_job(ingress, "job-1", &[("x-sleep-ms", "100")]).await
        }));
    }
    let mut bodies = std::collections::HashSet::new();
    for call in calls {
        let reply = call.await??;
        assert_eq!(
            (reply.status, reply.outcome()),
            (200, "done"),
            "{}",
            reply.text()
        );
        bodies.insert(reply.text());
    }
    assert_eq!(
        bodies.len(),
        1,
        "all callers get the answer of the only run"
    );
    assert_eq!(cluster.run_counts()["job-1"], 1);
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_stays_claimed_after_its_node_restarts() -> Result<()> {
    let mut cluster = dispatch_cluster(4, 3).await?;
    let first = post_job(cluster.ingress(3), "job-2", &[]).await?;
    assert_eq!(first.outcome(), "done");
    let executor = (0..3)
        .find(|index| {
            first
                .text()
                .contains(&cluster.target_address(*index).to_string())
        })
        .expect("one of the targets answered");
    cluster.kill_node(executor);
    cluster.start_node(executor)?;
    cluster.wait_node_ready(executor).await?;

    let repeated = post_job(cluster.ingress(3), "job-2", &[]).await?;

    assert_eq!(repeated.outcome(), "unknown", "{}", repeated.text());
    assert_eq!(cluster.run_counts()["job-2"], 1);
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_are_refused_when_the_log_is_down() -> Result<()> {
    let cluster = dispatch_cluster(3, 2).await?;
    post_job(cluster.ingress(2), "job-3", &[]).await?;
    cluster.set_log_behaviour(r#"{"outage":true}"#).await?;

    let refused = post_job(cluster.ingress(2), "job-4", &[]).await?;
    assert_eq!(
        (refused.status, refused.outcome()),
        (503, "not-run"),
        "{}",
        refused.text()
    );
    assert_eq!(refused.header("retry-after"), "1");
    assert!(!cluster.run_counts().contains_key("job-4"));
    // A call without a key doesn't need the log.
    let without_key = client::send(cluster.ingress(2), "POST", "/dispatch", &[], b"").await?;
    assert_eq!(without_key.outcome(), "done");

    cluster.set_log_behaviour("{}").await?;
    cluster
        .wait_for("the refused key to be free again", async || {
            let reply = post_job(cluster.ingress(2), "job-4", &[]).await;
            reply.is_ok_and(|reply| reply.outcome() == "done")
        })
        .await?;
    assert_eq!(cluster.run_counts()["job-4"], 1);
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_and_late_log_responses_cause_no_second_run() -> Result<()> {
    let cluster = dispatch_cluster(3, 2).await?;
    for number in 0..10 {
        let behaviour = match number % 3 {
            0 => r#"{"lose_answers":1}"#,
            1 => r#"{"late_appends":1,"late_ms":300}"#,
            _ => r#"{"delay_ms":50}"#,
        };
        cluster.set_log_behaviour(behaviour).await?;
        let id = format!("job-5-{number}");
        for copy in 0..3 {
            let reply = post_job(cluster.ingress(copy), &id, &[]).await?;
            assert_eq!(reply.outcome(), "done", "{}", reply.text());
        }
        assert_eq!(cluster.run_counts()[&id], 1);
    }
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_gate_does_not_run_a_revoked_call() -> Result<()> {
    let mut cluster = dispatch_cluster(3, 1).await?;
    // Opens the connection between the nodes, so that the next call is written to
    // it while the gate is frozen.
    let headers = [("x-run", "warm")];
    client::send(cluster.ingress(1), "POST", "/dispatch", &headers, b"").await?;
    cluster.node_process(0).send_signal("STOP");
    let headers = [("x-run", "job-6"), ("wisteriaturn-deadline-ms", "500")];
    let reply = client::send(cluster.ingress(1), "POST", "/dispatch", &headers, b"").await?;
    let outcome = reply.outcome().to_owned();
    assert_ne!(outcome, "done");
    cluster.node_process(0).send_signal("CONT");
    cluster.wait_targets(1, "dispatch", 1).await?;
    cluster
        .wait_for("a call after the freeze", async || {
            let headers = [("x-run", "after")];
            let reply = client::send(cluster.ingress(1), "POST", "/dispatch", &headers, b"").await;
            reply.is_ok_and(|reply| reply.outcome() == "done")
        })
        .await?;
    let runs = cluster
        .run_counts()
        .get("job-6")
        .copied()
        .unwrap_or_default();
    assert!(runs <= 1);
    if outcome == "not-run" {
        assert_eq!(runs, 0);
    }
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_two_targets_is_quarantined() -> Result<()> {
    let mut cluster = dispatch_cluster(4, 4).await?;
    let page = [("x-run", "page")];
    let mut lost = 0;
    loop {
        // A frequently requested page must not be quarantined along with the
        // crashing request.
        let good = client::send(cluster.ingress(3), "GET", "/dispatch/page", &page, b"").await?;
        assert_eq!(good.outcome(), "done", "{}", good.text());
        let bad = [("x-crash", "1"), ("x-run", "bad")];
        let reply = client::send(cluster.ingress(3), "GET", "/dispatch/bad", &bad, b"").await?;
        assert_ne!(reply.outcome(), "done");
        if reply.header("wisteriaturn-reason") == "quarantined" {
            assert_eq!(reply.outcome(), "not-run");
            break;
        }
        // A call to a target that is already down is refused and crashes no target.
        lost += usize::from(reply.outcome() == "unknown");
        assert!(lost <= 2, "{}", reply.text());
    }
    assert_eq!(
        lost, 2,
        "two targets are lost, then the request is quarantined"
    );
    assert_eq!(cluster.run_counts()["bad"], 2);
    for index in 0..4 {
        let bad = [("x-crash", "1"), ("x-run", "bad")];
        cluster
            .wait_for("every node to refuse the request", async || {
                let reply =
                    client::send(cluster.ingress(index), "GET", "/dispatch/bad", &bad, b"").await;
                reply.is_ok_and(|reply| reply.outcome() == "not-run")
            })
            .await?;
    }
    let good = client::send(cluster.ingress(0), "GET", "/dispatch/page", &page, b"").await?;
    assert_eq!(good.outcome(), "done", "{}", good.text());
    assert!(!cluster.has_crashed_node());
    cluster.remove_folder();
    Ok(())
}
