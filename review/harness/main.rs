//! Runs one case of the review: `harness CASE FOLDER`. It starts the project's nodes as
//! separate processes; store, backends and consumers are stand-ins in this process.
//!
//! It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.

mod backend;
mod client;
mod deploy;
mod http;
mod record;
mod store;

mod encoded;
mod grace;
mod key;
mod leaving;
mod twice;

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use deploy::{Node, NodePlan};
use record::Record;
use store::Store;

/// Time for nodes to become ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Time for targets and versions to become known everywhere before a case begins.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// What all cases share.
pub struct Setup {
    pub record: Record,
    pub store: Store,
    /// Whether the disruption is to take place.
    pub has_trouble: bool,
    folder: PathBuf,
}

impl Setup {
    /// Starts one node for each service, in a zone of its own unless one is given.
    pub fn start_nodes(&self, plans: &[(&str, &str)], grace: &str) -> io::Result<Vec<Node>> {
        let mut nodes = Vec::new();
        for (index, (service, zone)) in plans.iter().enumerate() {
            let plan = NodePlan {
                name: format!("node-{index}"),
                index,
                region: "north-east".to_owned(),
                zone: (*zone).to_owned(),
                service: (*service).to_owned(),
                grace: grace.to_owned(),
            };
            let address = self.store.address;
            nodes.push(Node::start(plan, address, &self.folder, &self.record)?);
        }
        for node in &nodes {
            node.wait_ready(READY_LIMIT)?;
        }
        Ok(nodes)
    }

    pub fn settle(&self) {
        thread::sleep(SETTLE_TIME);
    }
}

/// The result of a case: the broken rule, if it was broken.
pub type Verdict = io::Result<Option<String>>;

fn run(case: &str, folder: &Path) -> Verdict {
    let record = Record::create(folder)?;
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let setup = Setup {
        record: record.clone(),
        store: Store::start()?,
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        folder: temporary.clone(),
    };
    let verdict = match case {
        "twice" => twice::run(&setup),
        "encoded" => encoded::run(&setup),
        "key" => key::run(&setup),
        "leaving" => leaving::run(&setup),
        "grace" => grace::run(&setup),
        _ => Err(io::Error::other("no such case")),
    };
    match &verdict {
        Ok(None) => record.line("the rule held"),
        Ok(Some(broken)) => record.line(&format!("BROKEN: {broken}")),
        Err(error) => record.line(&format!("the case couldn't run: {error}")),
    }
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    verdict
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    match run(case, Path::new(folder)) {
        Ok(None) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            println!("{case}: BROKEN: {broken}");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("{case}: couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
