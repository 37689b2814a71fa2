//! A caller gets the complete answer to its own request or an error.

use std::time::Duration;

use eyre::Result;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};
use wisteriaturn_testing::raw_target::{AnswerEnd, RawTarget};
use yare::parameterized;

async fn portal_cluster(targets: usize) -> Result<TestCluster> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 3,
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("portal", json!({})).await?;
    for index in 0..targets {
        cluster.start_target(index, "portal", 6)?;
    }
    for index in 0..3 {
        cluster.wait_targets(index, "portal", targets).await?;
    }
    Ok(cluster)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_is_never_reported_as_complete() -> Result<()> {
    let cluster = portal_cluster(1).await?;
    for ingress in [cluster.ingress(0), cluster.ingress(2)] {
        let read = client::send(ingress, "GET", "/portal", &[("x-cut", "1")], b"").await;
        // The target may close the connection before the head of its answer was
        // sent. The call is then retried, and its outcome is unknown, since it
        // did run.
        if let Ok(reply) = read {
            assert_eq!((reply.status, reply.outcome()), (502, "unknown"));
        }
        // The gate stores the answer to a POST before it sends any of it, so a
        // truncated answer is replaced by an error.
        let write = client::send(ingress, "POST", "/portal", &[("x-cut", "1")], b"").await?;
        assert_eq!((write.status, write.outcome()), (502, "unknown"));
    }
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answers_reach_no_other_request() -> Result<()> {
    let cluster = portal_cluster(2).await?;
    let mut calls = Vec::new();
    for number in 0..200 {
        let ingress = cluster.ingress(number % 3);
        calls.push(tokio::spawn(async move {
            let id = format!("late-{number}");
            let sleep = (number * 7 % 60).to_string();
            // Half of the calls have a deadline shorter than most answers take.
            let deadline = if number % 2 == 0 { "20" } else { "9000" };
            let headers = [
                ("x-run", id.as_str()),
                ("x-sleep-ms", sleep.as_str()),
                ("wisteriaturn-deadline-ms", deadline),
            ];
            let method = if number % 4 < 2 { "GET" } else { "POST" };
            let call = client::send(ingress, method, "/portal", &headers, b"");
            let caller_timeout = Duration::from_millis(if number % 5 == 0 { 15 } else { 20_000 });
            let reply = tokio::time::timeout(caller_timeout, call).await;
            (id, reply)
        }));
    }
    let mut done = 0;
    for call in calls {
        let (id, reply) = call.await?;
        let Ok(reply) = reply else {
            continue;
        };
        let reply = reply?;
        if reply.outcome() == "done" {
            assert_eq!(reply.json()["id"], json!(id));
            done += 1;
        }
    }
    assert!(done > 0);
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_new_calls() -> Result<()> {
    let mut cluster = portal_cluster(2).await?;
    let ingress = cluster.ingress(0);
    let held = tokio::spawn(async move {
        let headers = [("x-sleep-ms", "2000"), ("x-run", "held")];
        client::send(ingress, "POST", "/portal", &headers, b"").await
    });
    cluster
        .wait_for("the call to run", async || {
            cluster.run_counts().contains_key("held")
        })
        .await?;
    // The call may run at either target, so find out which one has it.
    let reply = client::get(cluster.admin(0), "/v1/status").await?;
    let draining = usize::from(reply.json()["calls_at_gate"] == json!(0));
    cluster.target_process(draining).send_signal("TERM");
    cluster.wait_targets(2, "portal", 1).await?;
    cluster.wait_targets(0, "portal", 1).await?;
    let other = cluster.target_address(1 - draining).to_string();
    for number in 0..60 {
        let reply = client::get(cluster.ingress(number % 3), "/portal").await?;
        assert_eq!(reply.outcome(), "done", "{}", reply.text());
        assert_eq!(reply.json()["target"], json!(other));
    }
    assert_eq!(held.await??.outcome(), "done", "the running call completes");
    assert_eq!(cluster.target_process(draining).wait().await?, 0);
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_body_frees_its_slot() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        tuning: "stall_timeout_ms = 300".to_owned(),
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("portal", json!({})).await?;
    cluster.start_target(0, "portal", 1)?;
    cluster.wait_targets(1, "portal", 1).await?;
    let ingress = cluster.ingress(1);
    // A target that stops sending.
    for method in ["GET", "POST"] {
        let stalled = client::send(ingress, method, "/portal", &[("x-stall", "1")], b"").await;
        let is_whole = stalled.is_ok_and(|reply| reply.outcome() == "done");
        assert!(!is_whole);
    }
    // A caller that stops reading. The answer is larger than all buffers on the
    // way.
    let mut caller = TcpStream::connect(ingress).await?;
    let request = "GET /portal HTTP/1.1\r\nhost: x\r\nx-answer-bytes: 80000000\r\n\r\n";
    caller.write_all(request.as_bytes()).await?;
    let mut head = [0; 64];
    caller.read_exact(&mut head).await?;
    cluster
        .wait_for("the slot to be free", async || {
            cluster.status(0).await["calls_at_gate"] == json!(0)
        })
        .await?;
    let reply = client::get(ingress, "/portal").await?;
    assert_eq!(reply.outcome(), "done", "{}", reply.text());
    cluster.remove_folder();
    Ok(())
}

/// An answer that breaks off must not look complete, however its end is marked.
#[parameterized(
    shorter_than_its_length = { "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok", AnswerEnd::Closed },
    reset_before_its_length = { "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok", AnswerEnd::Reset },
    without_last_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n", AnswerEnd::Closed },
    within_a_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nok", AnswerEnd::Closed },
    without_the_end_of_the_last_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", AnswerEnd::Closed },
    without_length_and_reset = { "HTTP/1.1 200 OK\r\n\r\nok", AnswerEnd::Reset },
    within_the_head = { "HTTP/1.1 200 OK\r\ncontent-le", AnswerEnd::Closed },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_answer_that_breaks_off_is_no_success(
    start: &'static str,
    end: AnswerEnd,
) -> Result<()> {
    let (cluster, target) = raw_target_cluster(start, end).await?;
    for method in ["GET", "POST"] {
        // An error means that the node broke off its own answer.
        if let Ok(reply) = client::send(cluster.ingress(1), method, "/portal", &[], b"").await {
            assert!(
                reply.status >= 500,
                "{method}: {} {}",
                reply.status,
                reply.text()
            );
            assert_ne!(
                reply.outcome(),
                "not-run",
                "{method}: the call may have run"
            );
        }
        target.announce(cluster.admin(0), "portal").await?;
    }
    cluster.remove_folder();
    Ok(())
}

/// Guards against callers that get an answer whose status is none (RFC 9110, 15), or one
/// that makes them take what follows for another protocol.
#[parameterized(
    zero = { "HTTP/1.1 000 None\r\ncontent-length: 2\r\n\r\nok" },
    below_the_classes = { "HTTP/1.1 099 None\r\ncontent-length: 2\r\n\r\nok" },
    two_digits = { "HTTP/1.1 20 OK\r\ncontent-length: 2\r\n\r\nok" },
    four_digits = { "HTTP/1.1 2000 OK\r\ncontent-length: 2\r\n\r\nok" },
    sign = { "HTTP/1.1 +20 OK\r\ncontent-length: 2\r\n\r\nok" },
    letters = { "HTTP/1.1 2OO OK\r\ncontent-length: 2\r\n\r\nok" },
    no_status = { "HTTP/1.1 \r\ncontent-length: 2\r\n\r\nok" },
    interim_only = { "HTTP/1.1 199 Wait\r\n\r\n" },
    unasked_upgrade = {
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nok"
    },
    unasked_upgrade_without_protocol = { "HTTP/1.1 101 Switching Protocols\r\n\r\nok" },
    above_the_classes = { "HTTP/1.1 600 None\r\ncontent-length: 2\r\n\r\nok" },
    highest_number = { "HTTP/1.1 999 None\r\ncontent-length: 2\r\n\r\nok" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_answer_without_a_valid_status_is_no_answer(start: &'static str) -> Result<()> {
    for (method, ingress) in [("GET", 0), ("GET", 1), ("POST", 0), ("POST", 1)] {
        let (status, outcome) = status_of(start, method, ingress).await?;
        assert_eq!(
            (status, outcome.as_str()),
            (502, "unknown"),
            "{method} at node {ingress}"
        );
    }
    Ok(())
}

#[parameterized(
    lowest = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", 200 },
    highest = { "HTTP/1.1 599 Odd\r\ncontent-length: 2\r\n\r\nok", 599 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_answer_with_an_unusual_status_is_forwarded(
    start: &'static str,
    expected: u16,
) -> Result<()> {
    for (method, ingress) in [("GET", 0), ("POST", 1)] {
        let (status, outcome) = status_of(start, method, ingress).await?;
        assert_eq!((status, outcome.as_str()), (expected, "done"), "{method}");
    }
    Ok(())
}

/// Starts two nodes, the first of which has a target that answers with fixed bytes.
async fn raw_target_cluster(
    start: &'static str,
    end: AnswerEnd,
) -> Result<(TestCluster, RawTarget)> {
    let cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        ..ClusterPlan::default()
    })
    .await?;
    cluster
        .add_service("portal", json!({ "deadline_ms": 2000 }))
        .await?;
    let target = RawTarget::start(start, end).await?;
    target.announce(cluster.admin(0), "portal").await?;
    cluster.wait_targets(1, "portal", 1).await?;
    Ok((cluster, target))
}

/// Returns the status and outcome that a caller gets at a node when the target, which is
/// beside the first of two nodes, answers with `start`.
async fn status_of(start: &'static str, method: &str, ingress: usize) -> Result<(u16, String)> {
    let (cluster, _target) = raw_target_cluster(start, AnswerEnd::Closed).await?;
    let reply = client::send(cluster.ingress(ingress), method, "/portal", &[], b"").await?;
    cluster.remove_folder();
    Ok((reply.status, reply.outcome().to_owned()))
}
