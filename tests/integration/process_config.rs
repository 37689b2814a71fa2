//! Tests of configuration changes under failure: invalid changes, concurrent
//! writers, outages of the log, and restarts with and without the log.

use eyre::Result;
use serde_json::{Value, json};
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};

fn put_service(name: &str) -> Value {
    json!({ "put": { "kind": "service", "name": name, "permit": ["127.0.0.0/8"] } })
}

fn put_route(name: &str, service: &str) -> Value {
    json!({ "put": { "kind": "route", "name": name, "path": format!("/{name}"),
        "services": [{ "service": service }] } })
}

async fn get_resources(cluster: &TestCluster, index: usize) -> Value {
    let reply = client::get(cluster.admin(index), "/v1/resources").await;
    reply.map(|reply| reply.json()).unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_with_an_invalid_operation_is_rejected_as_a_whole() -> Result<()> {
    let cluster = TestCluster::start(ClusterPlan::default()).await?;
    cluster.add_service("portal", json!({})).await?;
    let before = get_resources(&cluster, 0).await["resources"].clone();

    let operations = json!([put_service("extra"), put_route("stray", "nowhere")]);
    let reply = cluster.apply(1, operations).await?;

    assert_eq!(reply.status, 422, "{}", reply.text());
    assert!(reply.text().contains("nowhere"), "{}", reply.text());
    let version = reply.json()["version"].as_u64().unwrap_or_default();
    cluster.wait_version(version).await?;
    for index in 0..3 {
        assert_eq!(get_resources(&cluster, index).await["resources"], before);
    }
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_concurrent_writers_wins_on_every_node() -> Result<()> {
    let cluster = TestCluster::start(ClusterPlan::default()).await?;
    cluster.add_service("portal", json!({})).await?;
    let current = client::get(cluster.admin(0), "/v1/services/portal").await?;
    let revision = current.json()["revision"].as_u64().unwrap_or_default();
    assert_eq!(current.header("etag"), format!("\"{revision}\""));

    let mut writers = Vec::new();
    for index in 0..3 {
        let body = json!({ "operations": [{ "expect": revision, "put": { "kind": "service",
            "name": "portal", "permit": ["127.0.0.0/8"], "max_slots": 10 + index } }] });
        let admin = cluster.admin(index);
        writers.push(tokio::spawn(async move {
            client::post(admin, "/v1/changes", &body.to_string()).await
        }));
    }
    let mut statuses = Vec::new();
    let mut last_version = 0;
    for writer in writers {
        let reply = writer.await??;
        statuses.push(reply.status);
        last_version = last_version.max(reply.json()["version"].as_u64().unwrap_or_default());
        if reply.status == 409 {
            assert!(
                reply
                    .text()
                    .contains(&format!("expected revision {revision}"))
            );
        }
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409, 409]);
    cluster.wait_version(last_version).await?;
    let expected = get_resources(&cluster, 0).await;
    assert_eq!(get_resources(&cluster, 1).await, expected);
    assert_eq!(get_resources(&cluster, 2).await, expected);
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_of_an_unanswered_or_late_append_is_found_by_reading_the_log() -> Result<()> {
    let cluster = TestCluster::start(ClusterPlan::default()).await?;
    cluster.set_log_behaviour(r#"{"lose_answers":1}"#).await?;
    let reply = cluster.apply(0, json!([put_service("lost")])).await?;
    assert_eq!(reply.status, 200, "{}", reply.text());
    cluster
        .set_log_behaviour(r#"{"late_appends":1,"late_ms":700}"#)
        .await?;
    let reply = cluster.apply(1, json!([put_service("late")])).await?;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let version = reply.json()["version"].as_u64().unwrap_or_default();
    assert_eq!(version, 2);
    cluster.wait_version(version).await?;
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_log_blocks_changes_but_not_calls() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan::default()).await?;
    cluster.add_service("portal", json!({})).await?;
    cluster.start_target(0, "portal", 6)?;
    cluster.wait_targets(2, "portal", 1).await?;
    cluster.set_log_behaviour(r#"{"outage":true}"#).await?;

    let reply = cluster.apply(0, json!([put_service("later")])).await?;
    assert_eq!(reply.status, 504, "{}", reply.text());
    let id = reply.json()["change_id"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let call = client::get(cluster.ingress(2), "/portal/x").await?;
    assert_eq!((call.status, call.outcome()), (200, "done"));
    // A node that starts during the outage gets its view from two ready peers.
    cluster.kill_node(1);
    cluster.start_node(1)?;
    cluster.wait_node_ready(1).await?;
    assert_eq!(cluster.status(1).await["version"], json!(1));

    // A change can be sent again with its id, because it is folded at most once.
    cluster.set_log_behaviour("{}").await?;
    let body = json!({ "change_id": id, "operations": [put_service("later")] }).to_string();
    let retried = client::post(cluster.admin(0), "/v1/changes", &body).await?;
    assert_eq!(retried.status, 200, "{}", retried.text());
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_of_all_nodes_waits_for_the_log_and_restores_the_view() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 4,
        data_centres: 2,
        tuning: "snapshot_every = 3".to_owned(),
        ..ClusterPlan::default()
    })
    .await?;
    for number in 0..6 {
        cluster
            .add_service(&format!("service-{number}"), json!({}))
            .await?;
    }
    let snapshots = "/streams/snapshots/records?from=0&limit=100";
    cluster
        .wait_for("a snapshot in the log", async || {
            let reply = client::get(cluster.log_address(), snapshots).await;
            reply.is_ok_and(|reply| reply.json()["next"].as_u64() >= Some(1))
        })
        .await?;
    let before = get_resources(&cluster, 0).await;
    // Trim the records that the snapshot covers, so that only the snapshot can
    // restore their resources.
    cluster
        .set_log_behaviour(r#"{"outage":true,"trim":{"config":3}}"#)
        .await?;
    // A node that starts while another one still runs may rightly become ready by
    // way of it.
    for index in 0..4 {
        cluster.kill_node(index);
    }
    for index in 0..4 {
        cluster.start_node(index)?;
    }
    for index in 0..4 {
        cluster
            .wait_for("the node to report that it is not ready", async || {
                let ready = client::get(cluster.admin(index), "/ready").await;
                ready.is_ok_and(|reply| reply.status == 503)
            })
            .await?;
        let call = client::get(cluster.ingress(index), "/service-1").await?;
        assert_eq!((call.status, call.outcome()), (503, "not-run"));
        assert_eq!(call.header("wisteriaturn-reason"), "not-ready");
    }
    cluster.set_log_behaviour("{}").await?;
    cluster.wait_ready().await?;
    for index in 0..4 {
        assert_eq!(get_resources(&cluster, index).await, before);
    }
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_too_large_for_a_datagram_is_pulled() -> Result<()> {
    let cluster = TestCluster::start(ClusterPlan {
        nodes: 6,
        // Rules out that probes or a later change deliver the record instead.
        tuning: "probe_interval_ms = 60000".to_owned(),
        ..ClusterPlan::default()
    })
    .await?;
    let operations: Vec<Value> = (0..100)
        .map(|number| put_service(&format!("service-{number}")))
        .collect();
    let version = cluster.apply_accepted(0, json!(operations)).await?;
    cluster.wait_version(version).await?;
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn only_relays_read_the_log_of_an_idle_mesh() -> Result<()> {
    let cluster = TestCluster::start(ClusterPlan {
        nodes: 10,
        data_centres: 2,
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("portal", json!({})).await?;
    // Two relays in each of the two data centres hold a read open for the next
    // record.
    cluster
        .wait_for("four nodes to read the log", async || {
            let usage = client::get(cluster.log_address(), "/behaviour").await;
            usage.is_ok_and(|usage| usage.json()["open_reads"] == json!(4))
        })
        .await?;
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_was_paused_or_killed_catches_up_without_regressing() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 5,
        data_centres: 2,
        ..ClusterPlan::default()
    })
    .await?;
    cluster.node_process(4).send_signal("STOP");
    cluster.kill_node(3);
    let mut version = 0;
    for number in 0..5 {
        let name = format!("service-{number}");
        version = cluster
            .apply_accepted(0, json!([put_service(&name)]))
            .await?;
    }
    cluster.node_process(4).send_signal("CONT");
    cluster.start_node(3)?;
    cluster.wait_version(version).await?;
    cluster.wait_ready().await?;
    assert!(!cluster.has_crashed_node());
    let path = format!("/v1/convergence?version={version}");
    cluster
        .wait_for("all nodes to be counted as holders", async || {
            let reply = client::get(cluster.admin(0), &path).await;
            reply.is_ok_and(|reply| reply.json()["holders"] == json!(5))
        })
        .await?;
    cluster.remove_folder();
    Ok(())
}
