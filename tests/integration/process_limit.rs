//! Targets that name a limit or say that they are leaving in their answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use eyre::Result;
use serde_json::json;
use tokio::task::JoinHandle;
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};
use wisteriaturn_testing::statement::{LEAVING_GRACE, LIMIT_GRACE, LIMIT_WINDOW, allowed_requests};
use wisteriaturn_testing::stating_target::{
    Arrival, CALLER_HEADER, RUN_TIME_HEADER, StatingTarget, most_within,
};

const LIMIT_HEADER: &str = "wisteriaturn-target-limit";
const LEAVING_HEADER: &str = "wisteriaturn-target-leaving";

/// Returns the requests of one caller that arrived after `from`.
fn arrivals_of(target: &StatingTarget, caller: &str, from: Instant) -> Vec<Arrival> {
    let mut arrivals = target.arrivals();
    arrivals.retain(|arrival| arrival.at > from && arrival.caller.starts_with(caller));
    arrivals
}

/// Callers at each node that call as fast as they get answers.
struct Callers {
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts three callers at each of the nodes. Those at node `n` are named `n-...`.
    fn start(cluster: &TestCluster, nodes: &[usize]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let mut tasks = Vec::new();
        for (node, caller) in nodes
            .iter()
            .flat_map(|node| (0..3).map(move |caller| (node, caller)))
        {
            let (ingress, is_over) = (cluster.ingress(*node), Arc::clone(&is_over));
            let (name, method) = (format!("{node}-{caller}"), ["GET", "POST", "GET"][caller]);
            tasks.push(tokio::spawn(async move {
                while !is_over.load(Ordering::Relaxed) {
                    let headers = [(CALLER_HEADER, name.as_str()), (RUN_TIME_HEADER, "20")];
                    // The node may be down; what counts is what reaches the target.
                    let _ = client::send(ingress, method, "/portal", &headers, b"").await;
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }));
        }
        Self { is_over, tasks }
    }

    async fn stop(self) -> Result<()> {
        self.is_over.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await?;
        }
        Ok(())
    }
}

/// Starts two nodes and a target beside node 0 that announces itself until the test ends.
async fn start_stating_target() -> Result<(TestCluster, StatingTarget)> {
    let cluster = TestCluster::start(ClusterPlan {
        nodes: 2,
        ..ClusterPlan::default()
    })
    .await?;
    cluster
        .add_service("portal", json!({ "deadline_ms": 1000 }))
        .await?;
    let target = StatingTarget::start().await?;
    let (announced, admin) = (target.clone(), cluster.admin(0));
    tokio::spawn(async move {
        for sequence in 1.. {
            // The node may be down.
            let _ = announced.announce(admin, "portal", sequence).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    });
    for index in 0..2 {
        cluster.wait_targets(index, "portal", 1).await?;
    }
    Ok((cluster, target))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_gets_no_more_requests_than_the_limit_that_it_names() -> Result<()> {
    let (cluster, target) = start_stating_target().await?;
    let callers = Callers::start(&cluster, &[0, 1]);
    cluster
        .wait_for("calls", async || target.arrivals().len() > 20)
        .await?;
    target.state(&[(LIMIT_HEADER, "7.5")]);
    let named_at = Instant::now();
    tokio::time::sleep(LIMIT_GRACE + LIMIT_WINDOW + LIMIT_WINDOW / 2).await;
    let limited = arrivals_of(&target, "", named_at + LIMIT_GRACE);
    let most = most_within(&limited, LIMIT_WINDOW);
    assert!(
        most as f64 <= allowed_requests(7.5),
        "{most} requests in {LIMIT_WINDOW:?}"
    );
    assert!(limited.len() > 10, "the limit stopped all calls");
    // The target answers now and then, so the nodes learn that the limit is over.
    target.state(&[]);
    let count = target.arrivals().len();
    cluster
        .wait_for("the calls without a limit", async || {
            target.arrivals().len() > count + 100
        })
        .await?;
    callers.stop().await?;
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_gate_keeps_the_limit_that_its_target_named() -> Result<()> {
    let (mut cluster, target) = start_stating_target().await?;
    let callers = Callers::start(&cluster, &[1]);
    target.state(&[(LIMIT_HEADER, "1")]);
    cluster
        .wait_for("calls", async || target.arrivals().len() > 3)
        .await?;
    let named_at = Instant::now();
    tokio::time::sleep(LIMIT_GRACE).await;
    for _ in 0..2 {
        cluster.kill_node(0);
        cluster.start_node(0)?;
        cluster.wait_targets(1, "portal", 1).await?;
        tokio::time::sleep(LIMIT_WINDOW / 4).await;
    }
    tokio::time::sleep(LIMIT_WINDOW).await;
    callers.stop().await?;
    let limited = arrivals_of(&target, "1-", named_at + LIMIT_GRACE);
    let most = most_within(&limited, LIMIT_WINDOW);
    assert!(
        most as f64 <= allowed_requests(1.0),
        "{most} requests in {LIMIT_WINDOW:?}"
    );
    assert!(!limited.is_empty(), "no call after the restarts");
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_answers_that_it_is_leaving_gets_no_new_calls() -> Result<()> {
    let (mut cluster, target) = start_stating_target().await?;
    let callers = Callers::start(&cluster, &[1]);
    target.state(&[(LEAVING_HEADER, "1")]);
    cluster
        .wait_for("calls", async || !target.arrivals().is_empty())
        .await?;
    // Its announcements still say that it is serving. Neither they nor a restart of its node
    // bring it back.
    let stated_at = Instant::now();
    tokio::time::sleep(LEAVING_GRACE + Duration::from_secs(1)).await;
    cluster.kill_node(0);
    cluster.start_node(0)?;
    cluster.wait_node_ready(0).await?;
    tokio::time::sleep(LEAVING_GRACE).await;
    callers.stop().await?;
    let late = arrivals_of(&target, "1-", stated_at + LEAVING_GRACE);
    assert!(late.is_empty(), "{} calls reached it late", late.len());
    cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_asked_no_peer_at_its_start_is_told_which_targets_left() -> Result<()> {
    let (mut cluster, target) = start_stating_target().await?;
    let callers = Callers::start(&cluster, &[1]);
    target.state(&[(LEAVING_HEADER, "1")]);
    cluster.wait_targets(1, "portal", 0).await?;
    callers.stop().await?;
    cluster.kill_node(0);
    // Without seeds, the node reads the log and is ready before it knows any member.
    let path = cluster.settings_path(0);
    let settings = std::fs::read_to_string(&path)?;
    let lines = settings.lines().filter(|line| !line.starts_with("seeds"));
    std::fs::write(&path, lines.collect::<Vec<_>>().join("\n"))?;
    cluster.start_node(0)?;
    cluster
        .wait_for("the node to be told", async || {
            let output = std::fs::read_to_string(cluster.output_path(0));
            output.is_ok_and(|output| output.contains("event=departures-restored"))
        })
        .await?;
    cluster.wait_targets(0, "portal", 0).await?;
    cluster.wait_targets(1, "portal", 0).await?;
    cluster.remove_folder();
    Ok(())
}
