//! The operators' tool `wisteriaturn`: drives a mesh through the resource API
//! of any of its nodes.

mod api;
mod commands;
mod error;
mod options;
mod print;
mod source;
mod why;

use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;

use crate::api::NodeApi;
use crate::error::ToolError;
use crate::options::ToolOptions;

/// Node that is asked when none is named.
const DEFAULT_NODE: &str = "127.0.0.1:7081";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = ToolOptions::parse_args_default_or_exit();
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

async fn run(options: ToolOptions) -> Result<(), ToolError> {
    let address = match options.node {
        Some(address) => address,
        None => default_node()?,
    };
    let token = options
        .token
        .clone()
        .or_else(|| std::env::var("WISTERIATURN_TOKEN").ok());
    let api = NodeApi::new(address, token);
    commands::run(options, &api).await
}

fn default_node() -> Result<SocketAddr, ToolError> {
    let text = std::env::var("WISTERIATURN_NODE").unwrap_or_else(|_| DEFAULT_NODE.to_owned());
    text.parse().map_err(|error| {
        ToolError::Usage(format!(
            "WISTERIATURN_NODE = {text:?} is not allowed: {error}"
        ))
    })
}
