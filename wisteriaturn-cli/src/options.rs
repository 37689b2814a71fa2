//! The command-line options of `wisteriaturn`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use gumdrop::Options;

/// Format in which responses are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum OutputFormat {
    /// Indented `key: value` lines.
    #[default]
    Text,
    /// The JSON body of the response on one line.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(OutputFormat::Text),
            "json" => Ok(OutputFormat::Json),
            _ => Err("expected text or json".to_owned()),
        }
    }
}

/// Administers a mesh through the resource API of any of its nodes.
#[derive(Debug, Options)]
pub(crate) struct CliOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "print the version")]
    pub(crate) version: bool,
    #[options(
        help = "admin address of a node (default 127.0.0.1:7081, or WISTERIATURN_NODE)",
        meta = "ADDRESS"
    )]
    pub(crate) node: Option<SocketAddr>,
    #[options(
        help = "bearer token for writes (or WISTERIATURN_TOKEN)",
        meta = "TOKEN"
    )]
    pub(crate) token: Option<String>,
    #[options(help = "text or json (default text)", meta = "FORMAT")]
    pub(crate) output: OutputFormat,
    #[options(command)]
    pub(crate) command: Option<CliCommand>,
}

/// The subcommands.
#[derive(Debug, Options)]
pub(crate) enum CliCommand {
    #[options(help = "write the resources of a TOML or JSON file as one change")]
    Apply(ApplyOptions),
    #[options(help = "show resources in force on the node")]
    Get(GetOptions),
    #[options(help = "delete one resource")]
    Delete(DeleteOptions),
    #[options(help = "show the state of the node")]
    Status(HelpOnlyOptions),
    #[options(help = "print a line for each change as the node applies it")]
    Watch(WatchOptions),
    #[options(help = "show which target a call would be sent to, and why not the others")]
    Explain(ExplainOptions),
    #[options(help = "show the targets of each service")]
    Targets(HelpOnlyOptions),
    #[options(help = "show the roll-outs that the node knows of")]
    Rollouts(HelpOnlyOptions),
    #[options(help = "show the teams' allowances that the node keeps")]
    Allowances(HelpOnlyOptions),
    #[options(help = "show the nodes of the mesh")]
    Members(HelpOnlyOptions),
    #[options(help = "show which nodes hold a version and which do not")]
    Convergence(ConvergenceOptions),
    #[options(help = "show the outcome of a change")]
    Change(ChangeOptions),
    #[options(help = "show the lines of log files about one request, ordered by time")]
    Why(WhyOptions),
    #[options(help = "validate a file of resources against the node's view without writing")]
    Check(CheckOptions),
}

#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "file, or - for standard input")]
    pub(crate) file: Option<PathBuf>,
    #[options(help = "author to record with the change")]
    pub(crate) author: Option<String>,
    #[options(
        help = "id of the change, 32 hexadecimal digits; a repeated id is applied only once"
    )]
    pub(crate) change_id: Option<String>,
    #[options(help = "wait until every live node holds the change")]
    pub(crate) wait: bool,
    #[options(help = "seconds to wait", default = "10", meta = "SECONDS")]
    pub(crate) timeout: u64,
}

#[derive(Debug, Options)]
pub(crate) struct GetOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "kind, or kind/name; all resources if absent")]
    pub(crate) what: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct DeleteOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "kind/name")]
    pub(crate) what: Option<String>,
    #[options(
        help = "delete only if the resource has this revision",
        meta = "REVISION"
    )]
    pub(crate) revision: Option<u64>,
}

#[derive(Debug, Options)]
pub(crate) struct HelpOnlyOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
}

#[derive(Debug, Options)]
pub(crate) struct WatchOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "start after this version", default = "0")]
    pub(crate) from: u64,
}

#[derive(Debug, Options)]
pub(crate) struct ExplainOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "path, such as /tables/2026")]
    pub(crate) path: Option<String>,
    #[options(help = "host of the call", default = "")]
    pub(crate) host: String,
    #[options(help = "method of the call", default = "GET")]
    pub(crate) method: String,
    #[options(help = "key of the caller's team; only its hash is sent", meta = "KEY")]
    pub(crate) key: Option<String>,
    #[options(help = "name of the caller's team, in place of a key", meta = "TEAM")]
    pub(crate) team: Option<String>,
    #[options(help = "size of the request's body", default = "0", meta = "BYTES")]
    pub(crate) bytes: u64,
}

#[derive(Debug, Options)]
pub(crate) struct ConvergenceOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "version; the node's current version if absent")]
    pub(crate) version: Option<u64>,
}

#[derive(Debug, Options)]
pub(crate) struct ChangeOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "id of the change")]
    pub(crate) id: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "file, or - for standard input")]
    pub(crate) file: Option<PathBuf>,
}

#[derive(Debug, Options)]
pub(crate) struct WhyOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "request id chosen by the caller, then log files")]
    pub(crate) words: Vec<String>,
}
