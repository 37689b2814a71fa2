//! `wisteriaturn`, the command-line tool for operators: administers a mesh
//! through the resource API of any of its nodes.

mod api;
mod change_file;
mod commands;
mod error;
mod options;
mod print;
mod why;

use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;

use crate::api::NodeClient;
use crate::error::CliError;
use crate::options::CliOptions;

/// Admin address that is used if neither `--node` nor `WISTERIATURN_NODE` is
/// set.
const DEFAULT_NODE_ADDRESS: &str = "127.0.0.1:7081";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = CliOptions::parse_args_default_or_exit();
    if options.version {
        println!("wisteriaturn {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wisteriaturn: {error}");
            error.exit_code()
        }
    }
}

async fn run(options: CliOptions) -> Result<(), CliError> {
    let address = match options.node {
        Some(address) => address,
        None => node_address_from_env()?,
    };
    let token = options
        .token
        .clone()
        .or_else(|| std::env::var("WISTERIATURN_TOKEN").ok());
    let client = NodeClient::new(address, token);
    commands::run(options, &client).await
}

fn node_address_from_env() -> Result<SocketAddr, CliError> {
    let text =
        std::env::var("WISTERIATURN_NODE").unwrap_or_else(|_| DEFAULT_NODE_ADDRESS.to_owned());
    text.parse().map_err(|error| {
        CliError::Usage(format!(
            "WISTERIATURN_NODE = {text:?} is not allowed: {error}"
        ))
    })
}
