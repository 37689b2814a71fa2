//! Regions that lose each other, and half-cut links, with nodes inside the
//! test's process so that chosen links can be cut.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use eyre::Result;
use serde_json::{Value, json};
use wisteriaturn::clock::{SystemClock, lock};
use wisteriaturn::error::LogError;
use wisteriaturn::log_port::LogPort;
use wisteriaturn::member::record::MemberState;
use wisteriaturn_testing::client;
use wisteriaturn_testing::cluster::{ClusterPlan, TestCluster};
use wisteriaturn_testing::metrics;
use wisteriaturnd::lifecycle::RunningNode;
use wisteriaturnd::node::{AddressMap, NodeBuilder};
use wisteriaturnd::settings::NodeSettings;
use wisteriaturnd::stream::memory::memory_log;

/// Where a cut link leads: nobody listens there.
const NOWHERE: &str = "127.0.0.1:9";

/// Links that are cut, by the number of the node and the far address.
type CutLinks = Arc<Mutex<HashSet<(usize, SocketAddr)>>>;

struct InsideMesh {
    cluster: TestCluster,
    nodes: Vec<RunningNode>,
    cut: CutLinks,
    lost_log: Arc<Mutex<HashSet<usize>>>,
}

impl InsideMesh {
    async fn start(count: usize, data_centres: usize) -> Result<Self> {
        let cluster = TestCluster::prepare(ClusterPlan {
            nodes: count,
            data_centres,
            strict: false,
            tuning: "probe_interval_ms = 100\nprobe_timeout_ms = 200\nsuspect_timeout_ms = 1000"
                .to_owned(),
            ..ClusterPlan::default()
        })?;
        let log = memory_log();
        let cut = CutLinks::default();
        let lost_log = Arc::new(Mutex::new(HashSet::new()));
        let mut nodes = Vec::new();
        for index in 0..count {
            let settings = NodeSettings::read(&cluster.settings_path(index))?;
            let log = log_of(index, &log, &lost_log);
            let links = Arc::clone(&cut);
            let map = AddressMap::new(move |address| {
                if lock(&links).contains(&(index, address)) {
                    NOWHERE.parse().expect("an address")
                } else {
                    address
                }
            });
            let builder = NodeBuilder::new(settings, Arc::new(SystemClock), log).addresses(map);
            nodes.push(RunningNode::start(builder).await?);
        }
        cluster.wait_ready().await?;
        Ok(Self {
            cluster,
            nodes,
            cut,
            lost_log,
        })
    }

    /// Cuts all links between two sets of nodes, both ways.
    fn cut_between(&self, ones: &[usize], others: &[usize]) {
        let mut links = lock(&self.cut);
        for (one, other) in ones
            .iter()
            .flat_map(|one| others.iter().map(move |o| (*one, *o)))
        {
            for (from, to) in [(one, other), (other, one)] {
                links.insert((from, self.cluster.peer(to)));
                links.insert((from, self.cluster.hop(to)));
            }
        }
    }

    fn heal(&self) {
        lock(&self.cut).clear();
        lock(&self.lost_log).clear();
    }

    fn version(&self, index: usize) -> u64 {
        self.nodes[index].node.view.load().config.version.0
    }

    fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        let table = lock(&self.nodes[at].node.table);
        table
            .get(self.cluster.peer(of))
            .map(|entry| entry.record.state)
    }

    /// Waits until a node has sent so many bytes of probes more.
    async fn wait_probes(&self, index: usize, bytes: f64) -> Result<()> {
        let sent = || {
            let text = self.nodes[index].node.metrics.encode(0);
            metrics::sum(&text, "wisteriaturn_control_bytes_total", "kind=\"Probe\"")
        };
        let before = sent();
        self.cluster
            .wait_for("probes to be sent", async || sent() > before + bytes)
            .await
    }
}

/// Returns the log as one node reaches it: not at all while it is cut off.
fn log_of(index: usize, log: &LogPort, lost: &Arc<Mutex<HashSet<usize>>>) -> LogPort {
    let is_lost = {
        let lost = Arc::clone(lost);
        move || lock(&lost).contains(&index)
    };
    let (appending, reading) = (log.clone(), log.clone());
    let is_append_lost = is_lost.clone();
    LogPort::new(
        move |stream, data| {
            let (log, is_lost) = (appending.clone(), is_append_lost());
            Box::pin(async move {
                if is_lost {
                    return Err(LogError::Refused("cut".to_owned()));
                }
                log.append(&stream, data).await
            })
        },
        move |mut request| {
            let (log, is_still_lost) = (reading.clone(), is_lost.clone());
            let is_lost = is_lost();
            // Short polls, so that a cut takes hold soon.
            request.wait = request.wait.min(std::time::Duration::from_millis(50));
            Box::pin(async move {
                if is_lost {
                    return Err(LogError::Refused("cut".to_owned()));
                }
                let batch = log.read(request).await;
                if is_still_lost() {
                    return Err(LogError::Indeterminate("cut".to_owned()));
                }
                batch
            })
        },
    )
}

fn service(name: &str) -> Value {
    json!([{ "put": { "kind": "service", "name": name, "permit": ["127.0.0.0/8"] } }])
}

#[tokio::test(flavor = "multi_thread")]
async fn regions_that_lose_each_other_go_on_and_meet_again() -> Result<()> {
    // Nodes 0 to 3 stand in r1-a, r1-b, r2-a and r2-b, 4 to 7 likewise.
    let mesh = InsideMesh::start(8, 4).await?;
    let (near, far) = ([0, 1, 4, 5], [2, 3, 6, 7]);
    mesh.cut_between(&near, &far);
    lock(&mesh.lost_log).extend(far);

    let refused = mesh.cluster.apply(2, service("far")).await?;
    assert_eq!(refused.status, 503, "{}", refused.text());
    let version = mesh.cluster.apply_accepted(0, service("near")).await?;
    for index in near {
        mesh.cluster
            .wait_for("the near region to converge", async || {
                mesh.version(index) >= version
            })
            .await?;
    }
    let report = client::get(mesh.cluster.admin(0), "/v1/convergence")
        .await?
        .json();
    assert_eq!(report["converged"], json!(false), "{report}");
    assert_eq!(
        report["laggards"].as_array().map(Vec::len),
        Some(4),
        "{report}"
    );
    // The cut says nothing about the nodes behind it.
    mesh.wait_probes(0, 6_000.0).await?;
    for of in far {
        assert_eq!(mesh.state(0, of), Some(MemberState::Alive));
        assert_eq!(mesh.version(of), 0, "nothing came through the cut");
    }

    mesh.heal();
    for index in far {
        mesh.cluster
            .wait_for("the far region to catch up", async || {
                mesh.version(index) >= version
            })
            .await?;
    }
    let version = mesh.cluster.apply_accepted(3, service("far")).await?;
    let path = format!("/v1/convergence?version={version}");
    mesh.cluster
        .wait_for("all to hold a change of the far region", async || {
            let report = client::get(mesh.cluster.admin(0), &path).await;
            report.is_ok_and(|report| report.json()["converged"] == json!(true))
        })
        .await?;
    mesh.cluster.remove_folder();
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_half_cut_link_makes_no_suspect_and_a_full_cut_does() -> Result<()> {
    let mesh = InsideMesh::start(5, 1).await?;
    // Node 1 cannot reach node 0, but others can, and answer for it.
    lock(&mesh.cut).insert((1, mesh.cluster.peer(0)));
    mesh.wait_probes(1, 8_000.0).await?;
    for at in 0..5 {
        assert_eq!(mesh.state(at, 0), Some(MemberState::Alive), "at {at}");
    }
    mesh.cut_between(&[0], &[1, 2, 3, 4]);
    mesh.cluster
        .wait_for("node 0 to be dead to the others", async || {
            (1..5).all(|at| mesh.state(at, 0) == Some(MemberState::Dead))
        })
        .await?;
    // Node 0 sees all others vanish, and takes its own link for the cause.
    mesh.wait_probes(0, 3_000.0).await?;
    for of in 1..5 {
        assert_ne!(mesh.state(0, of), Some(MemberState::Dead), "of {of}");
    }
    mesh.heal();
    mesh.cluster
        .wait_for("node 0 to be back", async || {
            (1..5).all(|at| mesh.state(at, 0) == Some(MemberState::Alive))
        })
        .await?;
    mesh.cluster.remove_folder();
    Ok(())
}
