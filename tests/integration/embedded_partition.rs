//! Network partitions between regions and between single nodes. The nodes run in
//! the test's process, so that individual links can be cut.

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

/// Address that a cut link connects to; nothing listens there.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:9";

/// The cut links, each by the index of the connecting node and the address that
/// it connects to.
type CutLinkSet = Arc<Mutex<HashSet<(usize, SocketAddr)>>>;

struct EmbeddedMesh {
    cluster: TestCluster,
    nodes: Vec<RunningNode>,
    cut_links: CutLinkSet,
    nodes_without_log: Arc<Mutex<HashSet<usize>>>,
}

impl EmbeddedMesh {
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
        let cut_links = CutLinkSet::default();
        let nodes_without_log = Arc::new(Mutex::new(HashSet::new()));
        let mut nodes = Vec::new();
        for index in 0..count {
            let settings = NodeSettings::read(&cluster.settings_path(index))?;
            let log = log_for_node(index, &log, &nodes_without_log);
            let links = Arc::clone(&cut_links);
            let map = AddressMap::new(move |address| {
                if lock(&links).contains(&(index, address)) {
                    UNREACHABLE_ADDRESS.parse().expect("an address")
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
            cut_links,
            nodes_without_log,
        })
    }

    /// Cuts all links between two groups of nodes, in both directions.
    fn cut_between(&self, group: &[usize], other_group: &[usize]) {
        let mut links = lock(&self.cut_links);
        for (node, other_node) in group
            .iter()
            .flat_map(|node| other_group.iter().map(move |other| (*node, *other)))
        {
            for (from, to) in [(node, other_node), (other_node, node)] {
                links.insert((from, self.cluster.peer(to)));
                links.insert((from, self.cluster.hop(to)));
            }
        }
    }

    fn restore_links(&self) {
        lock(&self.cut_links).clear();
        lock(&self.nodes_without_log).clear();
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

    /// Waits until a node has sent `bytes` more bytes of probes.
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

/// Returns the log as seen by node `index`: appends and reads fail while the
/// node is in `cut_off_nodes`.
fn log_for_node(
    index: usize,
    log: &LogPort,
    cut_off_nodes: &Arc<Mutex<HashSet<usize>>>,
) -> LogPort {
    let is_cut_off = {
        let cut_off_nodes = Arc::clone(cut_off_nodes);
        move || lock(&cut_off_nodes).contains(&index)
    };
    let (append_log, read_log) = (log.clone(), log.clone());
    let is_append_cut_off = is_cut_off.clone();
    LogPort::new(
        move |stream, data| {
            let (log, is_cut_off) = (append_log.clone(), is_append_cut_off());
            Box::pin(async move {
                if is_cut_off {
                    return Err(LogError::Refused("cut".to_owned()));
                }
                log.append(&stream, data).await
            })
        },
        move |mut request| {
            let (log, is_still_cut_off) = (read_log.clone(), is_cut_off.clone());
            let is_cut_off = is_cut_off();
            // Long polls are cut short, so that a lost log is noticed soon.
            request.wait = request.wait.min(std::time::Duration::from_millis(50));
            Box::pin(async move {
                if is_cut_off {
                    return Err(LogError::Refused("cut".to_owned()));
                }
                let batch = log.read(request).await;
                if is_still_cut_off() {
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

/// Guards against a partition between two regions that stops the region with the
/// log, makes it suspect the members behind the partition, or leaves the other
/// region behind once the links are restored.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_regions_keep_working_and_converge_again() -> Result<()> {
    // Nodes 0 to 3 are in the data centres r1-a, r1-b, r2-a and r2-b, and so are
    // nodes 4 to 7.
    let mesh = EmbeddedMesh::start(8, 4).await?;
    let (connected_region, cut_off_region) = ([0, 1, 4, 5], [2, 3, 6, 7]);
    mesh.cut_between(&connected_region, &cut_off_region);
    lock(&mesh.nodes_without_log).extend(cut_off_region);

    let refused = mesh.cluster.apply(2, service("far")).await?;
    assert_eq!(refused.status, 503, "{}", refused.text());
    let version = mesh.cluster.apply_accepted(0, service("near")).await?;
    for index in connected_region {
        mesh.cluster
            .wait_for("the region with the log to converge", async || {
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
    // Nodes behind the partition must not become suspects.
    mesh.wait_probes(0, 6_000.0).await?;
    for of in cut_off_region {
        assert_eq!(mesh.state(0, of), Some(MemberState::Alive));
        assert_eq!(mesh.version(of), 0, "the partition must block the change");
    }

    mesh.restore_links();
    for index in cut_off_region {
        mesh.cluster
            .wait_for("the other region to catch up", async || {
                mesh.version(index) >= version
            })
            .await?;
    }
    let version = mesh.cluster.apply_accepted(3, service("far")).await?;
    let path = format!("/v1/convergence?version={version}");
    mesh.cluster
        .wait_for(
            "all nodes to hold a change made in the other region",
            async || {
                let report = client::get(mesh.cluster.admin(0), &path).await;
                report.is_ok_and(|report| report.json()["converged"] == json!(true))
            },
        )
        .await?;
    mesh.cluster.remove_folder();
    Ok(())
}

/// Guards against false suspicion: one cut link must not make a reachable node a
/// suspect, and a node that loses all links must not declare the others dead.
#[tokio::test(flavor = "multi_thread")]
async fn one_cut_link_is_tolerated_and_an_isolated_node_is_declared_dead() -> Result<()> {
    let mesh = EmbeddedMesh::start(5, 1).await?;
    // Node 1 cannot reach node 0 directly, but the indirect probes through other
    // nodes succeed.
    lock(&mesh.cut_links).insert((1, mesh.cluster.peer(0)));
    mesh.wait_probes(1, 8_000.0).await?;
    for at in 0..5 {
        assert_eq!(mesh.state(at, 0), Some(MemberState::Alive), "at {at}");
    }
    mesh.cut_between(&[0], &[1, 2, 3, 4]);
    mesh.cluster
        .wait_for("the others to declare node 0 dead", async || {
            (1..5).all(|at| mesh.state(at, 0) == Some(MemberState::Dead))
        })
        .await?;
    // To node 0, all others appear lost, so it must assume a fault of its own
    // link.
    mesh.wait_probes(0, 3_000.0).await?;
    for of in 1..5 {
        assert_ne!(mesh.state(0, of), Some(MemberState::Dead), "of {of}");
    }
    mesh.restore_links();
    mesh.cluster
        .wait_for("the others to see node 0 alive again", async || {
            (1..5).all(|at| mesh.state(at, 0) == Some(MemberState::Alive))
        })
        .await?;
    mesh.cluster.remove_folder();
    Ok(())
}
