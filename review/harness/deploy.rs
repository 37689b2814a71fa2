//! Starts nodes with the command and the template of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{encode, exchange};
use crate::record::Record;

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
    safe fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

const PR_SET_PDEATHSIG: i32 = 1;

/// The heartbeat of the example on the page about deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// What the platform tells a node.
#[derive(Clone)]
pub struct NodePlan {
    pub name: String,
    pub index: usize,
    pub region: String,
    pub zone: String,
    pub service: String,
    pub grace: String,
}

pub struct Node {
    pub plan: NodePlan,
    pub ip: Ipv4Addr,
    pub ingress: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

/// Returns a loopback address for machine `index` of this run. As on the users' platform,
/// each machine has an address of its own and the ports are the same on all.
pub fn machine_ip(index: usize) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(
        127,
        64 + (pid % 128) as u8,
        (pid / 128 % 250) as u8,
        index as u8 + 1,
    )
}

/// The ports of the example on the page about deployment.
pub const APP_PORT: u16 = 8301;

impl Node {
    pub fn start(
        plan: NodePlan,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Self> {
        let ip = machine_ip(plan.index);
        let address = |port: u16| SocketAddr::from((ip, port));
        let (ingress, hop) = (address(8304), address(8300));
        let (ready, control) = (address(8302), address(8306));
        let values = [
            ("region", plan.region.clone()),
            ("zone", plan.zone.clone()),
            ("service", plan.service.clone()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("listen.outbound", ingress.to_string()),
            ("listen.inbound", hop.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.control", control.to_string()),
            ("ip", ip.to_string()),
            ("port_range.0", "7620".to_owned()),
            ("port_range.1", "7635".to_owned()),
            ("platform.address", store.to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", "60".to_owned()),
            ("bounds.retry_window", "10s".to_owned()),
            ("bounds.grace", plan.grace.clone()),
            ("heartbeat", format!("{}ms", HEARTBEAT.as_millis())),
        ];
        let mut text = fs::read_to_string("deploy/node.toml")?;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(io::Error::other("the template has an unknown placeholder"));
        }
        let settings = folder.join(format!("{}.toml", plan.name));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{}.log", plan.name));
        let mut node = Self {
            plan,
            ip,
            ingress,
            ready,
            control,
            settings,
            log,
            child: None,
            record: record.clone(),
        };
        node.spawn()?;
        Ok(node)
    }

    /// Starts the process, for the first time or again.
    pub fn spawn(&mut self) -> io::Result<()> {
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .map(|value| value.trim_matches('"').to_owned())
            .ok_or_else(|| io::Error::other("no command in deploy/system.toml"))?;
        let mut words = run.split_whitespace();
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words);
        command.env("WISTERIATURN_CONFIG", &self.settings);
        let log = File::options().create(true).append(true).open(&self.log)?;
        command.stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        // The nodes end if the harness ends for any reason.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        self.record.line(&format!("{} starts", self.plan.name));
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            let name = &self.plan.name;
            self.record.line(&format!("{name} gets signal {signal}"));
            kill(child.id() as i32, signal);
        }
    }

    pub fn wait_for_exit(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            self.record.line(&format!("{} has ended", self.plan.name));
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = encode("GET /-/ready HTTP/1.1", &[("Host", "node")], b"");
        exchange(self.ready, &request, Duration::from_secs(1))
            .is_ok_and(|answer| answer.head.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(&format!("{} is ready", self.plan.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", self.plan.name)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
