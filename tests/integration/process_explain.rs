//! The command that explains where a call would go, and teams on the daemon's own interface,
//! over three nodes that run as processes.

use std::process::Command;

use eyre::Result;
use serde_json::Value;
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
target_latency_ms = 500

[[team]]
name = "red"
keys = ["k-1"]
rate_per_s = 50
burst = 10
priority = 1
"#;

fn explain(cluster: &TestCluster, arguments: &[&str]) -> Result<Value> {
    let node = cluster.admin(2).to_string();
    let mut all = vec!["--node", &node, "--output", "json", "explain"];
    all.extend(arguments);
    let output = Command::new(program_path("wisteriaturn")?)
        .args(all)
        .output()?;
    eyre::ensure!(output.status.success(), "{output:?}");
    Ok(serde_json::from_slice(&output.stdout)?)
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_says_where_a_call_would_go_and_what_would_refuse_it() -> Result<()> {
    let mut cluster = TestCluster::start(ClusterPlan {
        nodes: 3,
        ..ClusterPlan::default()
    })
    .await?;
    cluster.apply_resources(0, RESOURCES)?;
    cluster.start_target(0, "portal", 6)?;
    cluster.start_target(1, "portal", 6)?;
    cluster.wait_targets(2, "portal", 2).await?;

    let reply = explain(&cluster, &["/portal/x", "--key", "k-1", "--bytes", "2000"])?;
    assert_eq!(reply["team"]["name"], "red");
    assert_eq!(reply["refused_by"], serde_json::json!([]));
    let service = &reply["services"][0];
    let targets = [cluster.peer(0), cluster.peer(1)].map(|peer| peer.to_string());
    let chosen = service["chosen"].as_str().unwrap_or_default().to_owned();
    let next = service["next"].as_str().unwrap_or_default().to_owned();
    assert!(targets.contains(&chosen) && targets.contains(&next) && chosen != next);
    let ages = |reply: &Value| -> Vec<Value> {
        let candidates = reply["services"][0]["candidates"].as_array();
        candidates
            .into_iter()
            .flatten()
            .map(|candidate| candidate["report_age_ms"].clone())
            .collect()
    };
    assert_eq!(
        ages(&reply),
        [Value::Null, Value::Null],
        "nothing is known of a target yet"
    );
    assert_eq!(cluster.run_counts().len(), 0, "explaining sends nothing");

    for _ in 0..4 {
        let headers = [("wisteriaturn-team-key", "k-1")];
        let reply = client::send(cluster.ingress(2), "GET", "/portal/x", &headers, b"").await?;
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    let reply = explain(&cluster, &["/portal/x", "--team", "red"])?;
    assert!(ages(&reply).iter().any(Value::is_number), "{reply}");
    assert!(reply["team"]["answer_age_ms"].is_number(), "{reply}");

    let reply = explain(&cluster, &["/portal/x", "--key", "k-9"])?;
    assert_eq!(reply["refused_by"][0], "no team holds this key");
    let headers = [("wisteriaturn-team-key", "k-9")];
    let reply = client::send(cluster.ingress(2), "GET", "/portal/x", &headers, b"").await?;
    assert_eq!(reply.status, 401);
    let node = cluster.admin(2).to_string();
    let resources = client::get(cluster.admin(2), "/v1/team/red").await?.text();
    assert!(!resources.contains("k-1"), "{resources} from {node}");
    let output = std::fs::read_to_string(cluster.output_path(2))?;
    assert!(
        !output.contains("k-9") && !output.contains("k-1 "),
        "a key is in the log"
    );
    cluster.remove_folder();
    Ok(())
}
