//! A mesh of real processes on loopback: the log stand-in, nodes and targets.
//!
//! The ports are fixed, and each cluster has its own subnet of 127.0.0.0/8, so that
//! clusters of tests that run in parallel can't reach each other.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, eyre};
use serde_json::{Value, json};

use crate::client::{self, HttpReply};
pub use crate::plan::{ClusterPlan, DATA_CENTRES, MESH_SECRET};
use crate::process::{OwnedProcess, program_path};
use crate::statement::{STATEMENT_PATH, StatementViolation};

/// Timeout of every wait for a condition. It is far above what the conditions need,
/// so that no test fails because the machine is busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A mesh of processes, all of which are killed when the cluster is dropped.
#[derive(Debug)]
pub struct TestCluster {
    /// Folder of the settings files and process outputs.
    pub folder: PathBuf,
    plan: ClusterPlan,
    /// First three bytes of the cluster's addresses.
    network: String,
    log: Option<OwnedProcess>,
    nodes: Vec<Option<OwnedProcess>>,
    targets: Vec<Option<OwnedProcess>>,
}

impl TestCluster {
    /// Starts the log and all nodes, and waits until the nodes are ready and know
    /// each other.
    pub async fn start(plan: ClusterPlan) -> Result<Self> {
        let mut cluster = Self::prepare(plan)?;
        cluster.start_log()?;
        for index in 0..cluster.plan.nodes {
            cluster.start_node(index)?;
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Writes the settings of a cluster without starting any process.
    pub fn prepare(plan: ClusterPlan) -> Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let id = std::process::id();
        let network = format!("127.{}.{}", 16 + id % 200, number % 250);
        let folder = std::env::temp_dir().join(format!("wisteriaturn-{id}-{number}"));
        std::fs::create_dir_all(&folder)?;
        let (nodes, targets) = ((0..plan.nodes).map(|_| None), (0..plan.nodes).map(|_| None));
        let cluster = Self {
            folder,
            network,
            log: None,
            nodes: nodes.collect(),
            targets: targets.collect(),
            plan,
        };
        for index in 0..cluster.plan.nodes {
            cluster.write_settings(index)?;
        }
        Ok(cluster)
    }

    fn write_settings(&self, index: usize) -> Result<()> {
        let (region, data_centre) = self.location(index);
        let seeds: Vec<String> = (0..self.plan.nodes.min(4))
            .map(|seed| format!("\"{}\"", self.peer(seed)))
            .collect();
        let text = format!(
            "region = \"{region}\"\ndata_centre = \"{data_centre}\"\nseeds = [{}]\n\
             mesh_secrets = [\"{MESH_SECRET}\"]\nlog_level = \"{}\"\n\
             strict = {}\n\n[listen]\ningress = \"{}\"\nadmin = \"{}\"\nhop = \"{}\"\n\
             peer = \"{}\"\n\n[log]\naddress = \"{}\"\ndata_centre = \"r1-a\"\n\n[tuning]\n{}\n",
            seeds.join(", "),
            self.plan.log_level,
            self.plan.strict,
            self.ingress(index),
            self.admin(index),
            self.hop(index),
            self.peer(index),
            self.log_address(),
            self.plan.tuning,
        );
        std::fs::write(self.settings_path(index), text)?;
        Ok(())
    }

    /// Returns the path of a node's settings file.
    pub fn settings_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("node-{index}.toml"))
    }

    /// Returns the path of the file with a node's output.
    pub fn output_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("node-{index}.log"))
    }

    /// Returns the path of the file to which the targets append the ID of each run.
    pub fn runs_path(&self) -> PathBuf {
        self.folder.join("runs")
    }

    /// Returns the path of the file to which the targets append each request that they
    /// should not have got after what they stated.
    pub fn violations_path(&self) -> PathBuf {
        self.folder.join("violations")
    }

    /// Returns the region and data centre of a node. Nodes are assigned to the data
    /// centres in turn.
    pub fn location(&self, index: usize) -> (&'static str, &'static str) {
        DATA_CENTRES[index % self.plan.data_centres.clamp(1, DATA_CENTRES.len())]
    }

    fn address(&self, index: usize, port: u16) -> SocketAddr {
        let text = format!("{}.{}:{port}", self.network, index + 1);
        text.parse().expect("the network and the port are valid")
    }

    /// Returns the address of the log stand-in.
    pub fn log_address(&self) -> SocketAddr {
        self.address(253, 7000)
    }

    /// Returns the address on which a node accepts calls.
    pub fn ingress(&self, index: usize) -> SocketAddr {
        self.address(index, 7080)
    }

    /// Returns the address of a node's admin API.
    pub fn admin(&self, index: usize) -> SocketAddr {
        self.address(index, 7081)
    }

    /// Returns the address on which a node accepts calls from other nodes.
    pub fn hop(&self, index: usize) -> SocketAddr {
        self.address(index, 7082)
    }

    /// Returns the address on which a node accepts control messages from other
    /// nodes.
    pub fn peer(&self, index: usize) -> SocketAddr {
        self.address(index, 7083)
    }

    /// Returns the address of the target that runs next to a node.
    pub fn target_address(&self, index: usize) -> SocketAddr {
        self.address(index, 7090)
    }

    /// Starts the log stand-in.
    pub fn start_log(&mut self) -> Result<()> {
        let arguments = vec![format!("--listen={}", self.log_address())];
        let output = self.folder.join("log.log");
        self.log = Some(OwnedProcess::start(
            &program_path("log-standin")?,
            &arguments,
            &output,
        )?);
        Ok(())
    }

    /// Sets the failures that the log stand-in simulates. `behaviour` is a JSON
    /// object that replaces the previous one.
    pub async fn set_log_behaviour(&self, behaviour: &str) -> Result<()> {
        self.wait_for("the log to accept a new behaviour", async || {
            let reply = client::post(self.log_address(), "/behaviour", behaviour).await;
            reply.is_ok_and(|reply| reply.status == 200)
        })
        .await
    }

    /// Starts a node.
    pub fn start_node(&mut self, index: usize) -> Result<()> {
        let arguments = vec![format!("--config={}", self.settings_path(index).display())];
        let process = OwnedProcess::start(
            &program_path("wisteriaturnd")?,
            &arguments,
            &self.output_path(index),
        )?;
        self.nodes[index] = Some(process);
        Ok(())
    }

    /// Applies resources by the command-line tool, and waits until the nodes have them.
    pub fn apply_resources(&self, index: usize, resources: &str) -> Result<()> {
        let file = self.folder.join("resources.toml");
        std::fs::write(&file, resources)?;
        let output = Command::new(program_path("wisteriaturn")?)
            .args(["--node", &self.admin(index).to_string(), "apply", "--wait"])
            .arg(&file)
            .output()?;
        eyre::ensure!(output.status.success(), "{output:?}");
        Ok(())
    }

    /// Starts the target that runs next to a node and announces itself to it.
    pub fn start_target(&mut self, index: usize, service: &str, slots: u16) -> Result<()> {
        let mut arguments = vec![
            format!("--listen={}", self.target_address(index)),
            format!("--admin={}", self.admin(index)),
            format!("--ingress={}", self.ingress(index)),
            format!("--service={service}"),
            format!("--slots={slots}"),
            format!("--runs={}", self.runs_path().display()),
            format!("--violations={}", self.violations_path().display()),
        ];
        if self.plan.named_targets {
            arguments.push("--named".to_owned());
        }
        let output = self.folder.join(format!("target-{index}.log"));
        let process = OwnedProcess::start(&program_path("target-standin")?, &arguments, &output)?;
        self.targets[index] = Some(process);
        Ok(())
    }

    /// Returns the process of a node.
    ///
    /// # Panics
    ///
    /// Panics if the node isn't started.
    pub fn node_process(&mut self, index: usize) -> &mut OwnedProcess {
        self.nodes[index].as_mut().expect("the node is started")
    }

    /// Returns the process ID of a node, or 0 if it isn't started.
    pub fn node_pid(&self, index: usize) -> u32 {
        self.nodes[index].as_ref().map_or(0, OwnedProcess::pid)
    }

    /// Returns the process of the target that runs next to a node.
    ///
    /// # Panics
    ///
    /// Panics if the target isn't started.
    pub fn target_process(&mut self, index: usize) -> &mut OwnedProcess {
        self.targets[index].as_mut().expect("the target is started")
    }

    /// Polls until a condition holds. `what` completes "timed out waiting for" in
    /// the error that is returned after [`WAIT_TIMEOUT`].
    pub async fn wait_for<F>(&self, what: &str, mut condition: F) -> Result<()>
    where
        F: AsyncFnMut() -> bool,
    {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if condition().await {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(eyre!(
            "timed out waiting for {what}; process outputs are in {}",
            self.folder.display()
        ))
    }

    /// Waits until all nodes are ready and know each other.
    pub async fn wait_ready(&self) -> Result<()> {
        for index in 0..self.plan.nodes {
            self.wait_node_ready(index).await?;
        }
        let node_count = self.plan.nodes as u64;
        for index in 0..self.plan.nodes {
            self.wait_for("the nodes to know each other", async || {
                self.status(index).await["live_members"] == json!(node_count)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until one node is ready.
    pub async fn wait_node_ready(&self, index: usize) -> Result<()> {
        self.wait_for(&format!("node {index} to be ready"), async || {
            let reply = client::get(self.admin(index), "/ready").await;
            reply.is_ok_and(|reply| reply.status == 200)
        })
        .await
    }

    /// Waits until one node listens on its admin port.
    pub async fn wait_node_listening(&self, index: usize) -> Result<()> {
        self.wait_for(
            &format!("node {index} to listen on its admin port"),
            async || client::get(self.admin(index), "/health").await.is_ok(),
        )
        .await
    }

    /// Returns the status of a node, or `null` if it doesn't answer.
    pub async fn status(&self, index: usize) -> Value {
        let reply = client::get(self.admin(index), "/v1/status").await;
        reply.map(|reply| reply.json()).unwrap_or_default()
    }

    /// Returns the metrics of a node, or an empty string if it doesn't answer.
    pub async fn metrics(&self, index: usize) -> String {
        let reply = client::get(self.admin(index), "/metrics").await;
        reply.map(|reply| reply.text()).unwrap_or_default()
    }

    /// Submits a configuration change to a node.
    pub async fn apply(&self, index: usize, operations: Value) -> Result<HttpReply> {
        let body = json!({ "operations": operations }).to_string();
        client::post(self.admin(index), "/v1/changes", &body).await
    }

    /// Submits a configuration change to a node and returns its version.
    ///
    /// # Errors
    ///
    /// Returns an error if the node doesn't accept the change.
    pub async fn apply_accepted(&self, index: usize, operations: Value) -> Result<u64> {
        let reply = self
            .apply(index, operations)
            .await
            .wrap_err("cannot submit the change")?;
        match reply.json()["version"].as_u64() {
            Some(version) if reply.status == 200 => Ok(version),
            _ => Err(eyre!(
                "the change was not accepted: status {}, {}",
                reply.status,
                reply.text()
            )),
        }
    }

    /// Configures a service and a route to it at the path `/{name}`, and waits until
    /// all running nodes have applied them. The keys of the object `route` are added
    /// to the route.
    pub async fn add_service(&self, name: &str, route: Value) -> Result<()> {
        let mut resource = json!({ "kind": "route", "name": name, "path": format!("/{name}"),
            "services": [{ "service": name }] });
        if let (Some(resource), Value::Object(extra_keys)) = (resource.as_object_mut(), route) {
            resource.extend(extra_keys);
        }
        let service = json!({ "kind": "service", "name": name, "permit": ["127.0.0.0/8"] });
        let operations = json!([{ "put": service }, { "put": resource }]);
        let version = self.apply_accepted(0, operations).await?;
        self.wait_version(version).await
    }

    /// Waits until all running nodes have applied a configuration version.
    pub async fn wait_version(&self, version: u64) -> Result<()> {
        for index in 0..self.plan.nodes {
            if self.nodes[index].is_none() {
                continue;
            }
            self.wait_for(
                &format!("node {index} to apply version {version}"),
                async || self.status(index).await["version"].as_u64() >= Some(version),
            )
            .await?;
        }
        Ok(())
    }

    /// Waits until a node sees `count` targets of a service.
    pub async fn wait_targets(&self, index: usize, service: &str, count: usize) -> Result<()> {
        self.wait_for(
            &format!("node {index} to see {count} targets of {service}"),
            async || {
                let reply = client::get(self.admin(index), "/v1/targets").await;
                let targets = reply.map(|reply| reply.json()).unwrap_or_default();
                targets[service].as_array().map(Vec::len) == Some(count)
            },
        )
        .await
    }

    /// Returns how often the targets have executed each run ID.
    pub fn run_counts(&self) -> std::collections::HashMap<String, usize> {
        let text = std::fs::read_to_string(self.runs_path()).unwrap_or_default();
        let mut counts = std::collections::HashMap::new();
        for line in text.lines() {
            *counts.entry(line.to_owned()).or_default() += 1;
        }
        counts
    }

    /// Returns the requests that targets should not have got after what they stated: the
    /// index of the node, when the request arrived in milliseconds since the Unix epoch,
    /// and the violation.
    ///
    /// # Errors
    ///
    /// Returns an error if a line cannot be read, so that no violation is overlooked.
    pub fn violations(&self) -> Result<Vec<(usize, u64, StatementViolation)>> {
        let text = std::fs::read_to_string(self.violations_path()).unwrap_or_default();
        text.lines()
            .map(|line| self.parse_violation(line))
            .collect()
    }

    fn parse_violation(&self, line: &str) -> Result<(usize, u64, StatementViolation)> {
        let malformed = || eyre!("{line:?} is not a line of a target's violations");
        let (address, rest) = line.split_once(' ').ok_or_else(malformed)?;
        let (at_ms, violation) = rest.split_once(' ').ok_or_else(malformed)?;
        let address: SocketAddr = address.parse()?;
        let index = (0..self.plan.nodes)
            .find(|node| self.target_address(*node) == address)
            .ok_or_else(malformed)?;
        Ok((index, at_ms.parse()?, violation.parse()?))
    }

    /// Tells a target what to state in its answers from now on. A target that is down is
    /// told nothing.
    pub async fn set_statements(&self, index: usize, limit: Option<f64>, is_leaving: bool) {
        let body = json!({ "limit": limit, "leaving": is_leaving }).to_string();
        let target = self.target_address(index);
        let _ = client::post(target, STATEMENT_PATH, &body).await;
    }

    /// Kills a node and waits until it has exited.
    pub fn kill_node(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Kills a target and waits until it has exited.
    pub fn kill_target(&mut self, index: usize) {
        self.targets[index] = None;
    }

    /// Returns `true` if the process of a node has exited although
    /// [`kill_node`](Self::kill_node) wasn't called for it.
    pub fn has_crashed_node(&mut self) -> bool {
        self.nodes
            .iter_mut()
            .flatten()
            .any(|node| !node.is_running())
    }

    /// Removes the folder with the settings and outputs. A test calls it once it has
    /// passed; after a failure the outputs stay for inspection.
    pub fn remove_folder(&self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
