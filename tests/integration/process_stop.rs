//! Planned stops, draining, overload and chains of calls between services.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eyre::Result;
use serde_json::json;
use tokio::net::TcpListener;
use wisteriaturn_testing::client::{self, HttpConnection};
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};
use wisteriaturn_testing::metrics;
use wisteriaturnd::http::listener::accept_queued;

async fn portal_cluster(nodes: usize, targets: usize, slots: u16) -> Result<TestCluster> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes,
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("portal", json!({})).await?;
    for index in 0..targets {
        cluster.start_target(index, "portal", slots)?;
    }
    for index in 0..nodes {
        cluster.wait_targets(index, "portal", targets).await?;
    }
    Ok(cluster)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_interrupts_no_call() -> Result<()> {
    let mut cluster = portal_cluster(4, 3, 6).await?;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for caller in 0..6 {
        let (ingress, is_over) = (cluster.ingress(3), Arc::clone(&is_over));
        let method = if caller % 2 == 0 { "GET" } else { "POST" };
        callers.push(tokio::spawn(async move {
            let mut outcomes = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                let headers = [("x-sleep-ms", "30")];
                let reply = client::send(ingress, method, "/portal", &headers, b"").await?;
                outcomes.push(format!(
                    "{} {}",
                    reply.outcome(),
                    reply.header("wisteriaturn-reason")
                ));
            }
            Ok::<_, eyre::Report>(outcomes)
        }));
    }
    // Stop one node, then one target whose node keeps running.
    cluster.node_process(0).send_signal("TERM");
    assert_eq!(cluster.node_process(0).wait().await?, 0);
    cluster.kill_node(0);
    cluster.target_process(1).send_signal("TERM");
    assert_eq!(cluster.target_process(1).wait().await?, 0);
    cluster.wait_targets(3, "portal", 1).await?;
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let outcomes = caller.await??;
        assert!(
            outcomes.iter().all(|outcome| outcome == "done "),
            "{outcomes:?}"
        );
    }
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_call_completes_while_its_gate_and_ingress_stop() -> Result<()> {
    let mut cluster = portal_cluster(2, 1, 6).await?;
    let mut calls = Vec::new();
    for index in 0..2 {
        let ingress = cluster.ingress(index);
        calls.push(tokio::spawn(async move {
            let headers = [("x-sleep-ms", "1500"), ("x-run", "long")];
            client::send(ingress, "POST", "/portal", &headers, b"").await
        }));
    }
    cluster
        .wait_for("both calls to run", async || {
            cluster.run_counts().get("long") == Some(&2)
        })
        .await?;
    cluster.node_process(0).send_signal("TERM");
    cluster.node_process(1).send_signal("TERM");
    for call in calls {
        assert_eq!(call.await??.outcome(), "done");
    }
    assert_eq!(cluster.node_process(0).wait().await?, 0);
    assert_eq!(cluster.node_process(1).wait().await?, 0);
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn overload_is_refused_as_not_run_and_the_slots_stay_busy() -> Result<()> {
    let cluster = portal_cluster(3, 2, 2).await?;
    let mut calls = Vec::new();
    for number in 0..120 {
        let ingress = cluster.ingress(number % 3);
        let id = format!("load-{number}");
        calls.push(tokio::spawn(async move {
            let headers = [("x-sleep-ms", "50"), ("x-run", &id)];
            let reply = client::send(ingress, "POST", "/portal", &headers, b"").await?;
            Ok::<_, eyre::Report>((id.clone(), reply.outcome().to_owned()))
        }));
    }
    let mut results = Vec::new();
    for call in calls {
        results.push(call.await??);
    }
    let runs = cluster.run_counts();
    let done = results
        .iter()
        .filter(|(_, outcome)| outcome == "done")
        .count();
    for (id, outcome) in &results {
        assert_ne!(outcome, "unknown");
        let expected = usize::from(outcome == "done");
        assert_eq!(
            runs.get(id).copied().unwrap_or_default(),
            expected,
            "{id} {outcome}"
        );
    }
    // Two targets with two slots each and a queue of four calls per slot.
    assert!(done >= 20, "{done} of 120 were served");
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_of_the_last_service_in_a_chain_are_not_retried() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 4,
        ..ClusterPlan::default()
    })
    .await?;
    for (index, name) in ["one", "two", "three", "leaf"].iter().enumerate() {
        cluster.add_service(name, json!({})).await?;
        cluster.start_target(index, name, 6)?;
    }
    for name in ["one", "two", "three", "leaf"] {
        cluster.wait_targets(0, name, 1).await?;
        cluster.wait_targets(2, name, 1).await?;
    }
    let calls = 20;
    for _ in 0..calls {
        let headers = [
            ("x-next", "two,three,leaf"),
            ("x-status", "503"),
            ("x-run", "chain"),
        ];
        let reply = client::send(cluster.ingress(0), "GET", "/one", &headers, b"").await?;
        assert_eq!(reply.status, 503);
    }
    // Each call runs once at each of the four services. An answer of a target is
    // never retried, whatever its status: retries at each level of a chain would
    // multiply the load on the failing service.
    assert_eq!(cluster.run_counts()["chain"], calls * 4);
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_to_killed_nodes_stay_within_the_budget() -> Result<()> {
    let mut cluster = portal_cluster(3, 2, 6).await?;
    cluster.kill_node(0);
    cluster.kill_node(1);
    let calls = 60;
    for _ in 0..calls {
        let reply = client::get(cluster.ingress(2), "/portal").await?;
        assert_eq!(reply.outcome(), "not-run", "{}", reply.text());
    }
    let text = cluster.metrics(2).await;
    let retries = metrics::sum(&text, "wisteriaturn_retries_total", "");
    // A reserve of ten, a tenth of the calls, and one per second for up to a
    // minute.
    let budget = 10.0 + f64::from(calls) / 10.0 + 60.0;
    assert!(retries <= budget, "{retries} retries of {calls} calls");
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_is_streamed_in_bounded_memory() -> Result<()> {
    let cluster = portal_cluster(2, 1, 6).await?;
    let size = 100 * 1024 * 1024;
    let headers = [("x-answer-bytes", "104857600")];
    let body = vec![b'y'; size];
    let reply = client::send(cluster.ingress(1), "POST", "/portal", &headers, &body).await?;
    assert_eq!(reply.outcome(), "done");
    assert_eq!(reply.body.len(), size);
    for index in 0..2 {
        let path = format!("/proc/{}/status", cluster.node_pid(index));
        let peak = std::fs::read_to_string(path)?
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok())
            .unwrap_or(u64::MAX);
        // The control functions of a node may use 128 MB. Buffering the whole
        // body would take 100 MB of it.
        assert!(peak < 90 * 1024, "peak memory of node {index}: {peak} kB");
    }
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_caller_disconnected_does_not_start() -> Result<()> {
    let cluster = portal_cluster(2, 1, 1).await?;
    let (busy_ingress, ingress) = (cluster.ingress(1), cluster.ingress(1));
    let busy = tokio::spawn(async move {
        let headers = [("x-sleep-ms", "1000"), ("x-run", "busy")];
        client::send(busy_ingress, "POST", "/portal", &headers, b"").await
    });
    cluster
        .wait_for("the slot to be taken", async || {
            cluster.run_counts().contains_key("busy")
        })
        .await?;
    let gone = tokio::spawn(async move {
        let headers = [("x-run", "gone")];
        client::send(ingress, "POST", "/portal", &headers, b"").await
    });
    cluster
        .wait_for("the second call to wait", async || {
            cluster.status(0).await["calls_at_gate"] == json!(2)
        })
        .await?;
    gone.abort();
    let _ = gone.await;
    assert_eq!(busy.await??.outcome(), "done");
    // The second call would have been served before this third one.
    let headers = [("x-run", "third")];
    client::send(cluster.ingress(1), "POST", "/portal", &headers, b"").await?;
    assert!(!cluster.run_counts().contains_key("gone"));
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_while_a_node_stops_is_served() -> Result<()> {
    let mut cluster = portal_cluster(2, 1, 6).await?;
    // Delays the end of the stop until the other request has arrived.
    let ingress = cluster.ingress(1);
    let held = tokio::spawn(async move {
        let headers = [("x-sleep-ms", "3000"), ("x-run", "held")];
        client::send(ingress, "GET", "/portal", &headers, b"").await
    });
    cluster
        .wait_for("the call to run", async || {
            cluster.run_counts().contains_key("held")
        })
        .await?;
    // A connection on which no request has been sent yet.
    let mut connection = HttpConnection::open(ingress).await?;
    cluster.node_process(1).send_signal("TERM");
    cluster
        .wait_for("the node to report that it is stopping", async || {
            let ready = client::get(cluster.admin(1), "/ready").await;
            ready.is_ok_and(|reply| reply.text().contains("Stopping"))
        })
        .await?;
    let reply = connection.send("GET", "/portal", &[], b"").await?;
    assert_eq!(reply.outcome(), "done", "{}", reply.text());
    assert_eq!(reply.header("connection"), "close");
    assert_eq!(held.await??.outcome(), "done");
    assert_eq!(cluster.node_process(1).wait().await?, 0);
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lame_duck_node_still_serves_calls() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        tuning: "lame_duck_ms = 20000".to_owned(),
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("portal", json!({})).await?;
    cluster.start_target(0, "portal", 6)?;
    for index in 0..2 {
        cluster.wait_targets(index, "portal", 1).await?;
    }
    cluster.node_process(0).send_signal("TERM");
    cluster
        .wait_for("the node to be not ready", async || {
            let ready = client::get(cluster.admin(0), "/ready").await;
            ready.is_ok_and(|reply| reply.status == 503)
        })
        .await?;
    // No other target serves the service, and this one has free slots.
    let reply = client::get(cluster.ingress(1), "/portal").await?;
    assert_eq!(reply.outcome(), "done", "{}", reply.text());
    let reply = client::get(cluster.ingress(0), "/portal").await?;
    assert_eq!(reply.outcome(), "done", "{}", reply.text());
    assert_eq!(reply.header("connection"), "close");
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_stops_before_it_was_ready_reports_not_ready() -> Result<()> {
    let mut cluster = TestCluster::prepare(ClusterPlan {
        nodes: 1,
        tuning: "lame_duck_ms = 1000".to_owned(),
        ..ClusterPlan::default()
    })?;
    // Without the log, the node gets no configuration and never becomes ready. It
    // must not refuse calls for lack of a route that it can't know.
    cluster.start_node(0)?;
    cluster.wait_node_listening(0).await?;
    cluster.node_process(0).send_signal("TERM");
    let mut replies = 0;
    while let Ok(reply) = client::get(cluster.ingress(0), "/portal").await {
        assert_eq!(reply.status, 503, "{}", reply.text());
        assert_eq!(reply.header("wisteriaturn-reason"), "not-ready");
        replies += 1;
    }
    assert!(replies > 0, "the port must stay open in lame duck");
    assert_eq!(cluster.node_process(0).wait().await?, 0);
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_outlasts_the_drain_timeout_gets_an_answer() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        tuning: "drain_timeout_ms = 1000".to_owned(),
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("portal", json!({})).await?;
    cluster.start_target(0, "portal", 6)?;
    cluster.wait_targets(1, "portal", 1).await?;
    let ingress = cluster.ingress(1);
    let call = tokio::spawn(async move {
        let headers = [("x-sleep-ms", "9000"), ("x-run", "longest")];
        client::send(ingress, "GET", "/portal", &headers, b"").await
    });
    cluster
        .wait_for("the call to run", async || {
            cluster.run_counts().contains_key("longest")
        })
        .await?;
    cluster.node_process(1).send_signal("TERM");
    let reply = call.await??;
    assert_eq!((reply.status, reply.outcome()), (502, "unknown"));
    assert_eq!(reply.header("wisteriaturn-reason"), "draining");
    assert_eq!(cluster.node_process(1).wait().await?, 0);
    cluster.remove_folder();
    Ok(())
}

/// Guards against a late announcement of a draining target that is accepted because
/// the node was restarted and has lost its state. The node must learn about the
/// target's departure from its peers when it joins again.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_refuses_late_announcements_of_a_departed_target() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("portal", json!({})).await?;
    let target = cluster.target_address(0);
    let announcement = |sequence: u64, draining: bool| {
        json!({
            "service": "portal", "address": target, "slots": 6, "instance": "t-1",
            "incarnation": 10, "sequence": sequence, "draining": draining
        })
        .to_string()
    };
    let accepted = client::post(cluster.admin(0), "/v1/targets", &announcement(5, true)).await?;
    assert_eq!(accepted.status, 200, "{}", accepted.text());
    cluster.kill_node(0);
    cluster.start_node(0)?;
    cluster.wait_node_ready(0).await?;
    let late = client::post(cluster.admin(0), "/v1/targets", &announcement(4, false)).await?;
    assert_ne!(late.status, 200, "the target announced its drain before");
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "current_thread")]
async fn connections_in_the_queue_of_a_closing_port_are_served() -> Result<()> {
    // An address of its own: a test beside this one could be given the port once it is closed.
    let listener = TcpListener::bind("127.77.0.1:0").await?;
    let address = listener.local_addr()?;
    // The runtime has looked at the queue once and does not look again before the port closes.
    tokio::select! {
        biased;
        accepted = listener.accept() => panic!("nobody has connected: {accepted:?}"),
        () = tokio::task::yield_now() => {}
    }
    let callers: Vec<_> = (0..3)
        .map(|_| std::net::TcpStream::connect(address))
        .collect::<std::io::Result<_>>()?;
    let accepted = accept_queued(listener);
    assert_eq!(accepted.len(), callers.len());
    let refused = std::net::TcpStream::connect(address);
    assert!(refused.is_err(), "the port is closed");
    Ok(())
}
