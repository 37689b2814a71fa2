//! The complete path of a call through separate processes: the log, nodes, targets,
//! the command-line tool and a caller.

use std::process::Command;

use eyre::Result;
use serde_json::json;
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};
use wisteriaturn_testing::process::program_path;

const RESOURCES: &str = r#"
[[service]]
name = "portal"
permit = ["127.0.0.0/8"]

[[route]]
name = "portal"
path = "/portal"
services = [{ service = "portal" }]
"#;

#[tokio::test(flavor = "multi_thread")]
async fn a_call_reaches_the_target_of_another_node() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        ..ClusterPlan::default()
    })
    .await?;
    cluster.apply_resources(0, RESOURCES)?;
    cluster.start_target(0, "portal", 6)?;
    cluster.wait_targets(1, "portal", 1).await?;

    let reply = client::get(cluster.ingress(1), "/portal/index").await?;

    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.outcome(), "done");
    assert_eq!(reply.json()["path"], json!("/portal/index"));
    let output = std::fs::read_to_string(cluster.output_path(1))?;
    let route_line = output.lines().find(|line| line.contains("event=route"));
    let expected = format!("target={}", cluster.peer(0));
    assert!(
        route_line.is_some_and(|line| line.contains(&expected)),
        "{output}"
    );
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_why_command_finds_the_result_of_a_request_in_the_logs() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        ..ClusterPlan::default()
    })
    .await?;
    cluster.add_service("portal", json!({})).await?;
    cluster.start_target(0, "portal", 6)?;
    cluster.wait_targets(1, "portal", 1).await?;
    let call = async |id: &str, path: &str| {
        let headers = [("wisteriaturn-request-id", id)];
        client::send(cluster.ingress(1), "GET", path, &headers, b"").await
    };
    assert_eq!(call("served-1", "/portal").await?.status, 200);
    assert_eq!(call("lost-1", "/nowhere").await?.status, 404);
    // The result of each request is found by its request id alone.
    let cases = [
        (
            "served-1",
            vec![
                "event=route",
                "event=admission",
                "event=call",
                "outcome=done",
            ],
        ),
        (
            "lost-1",
            vec!["event=call", "reason=no-route", "status=404"],
        ),
    ];
    for (request, expected) in cases {
        let run_why = || {
            Command::new(program_path("wisteriaturn")?)
                .args(["why", request])
                .args([cluster.output_path(0), cluster.output_path(1)])
                .output()
                .map_err(eyre::Report::from)
        };
        cluster
            .wait_for("the log lines to be written", async || {
                run_why().is_ok_and(|output| {
                    let text = String::from_utf8_lossy(&output.stdout).into_owned();
                    expected.iter().all(|word| text.contains(word))
                })
            })
            .await?;
    }
    let unknown = Command::new(program_path("wisteriaturn")?)
        .args(["why", "nobody"])
        .arg(cluster.output_path(0))
        .output()?;
    assert_eq!(unknown.status.code(), Some(1));
    cluster.remove_folder();
    Ok(())
}
