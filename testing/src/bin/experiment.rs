//! Runs a mesh of real processes, idle or under load and faults, and prints the
//! results as a table or as CSV.
//!
//! The exit status is 0 on success, 1 if the chaos experiment saw a broken promise or
//! no command was given, and 2 after an error.

use std::process::ExitCode;

use eyre::Result;
use gumdrop::Options;
use wisteriaturn_testing::experiment::{chaos, latency, overload, scale, spread};

#[derive(Debug, Options)]
struct ExperimentOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<ExperimentCommand>,
}

#[derive(Debug, Options)]
enum ExperimentCommand {
    #[options(help = "mixed faults under load, with every promise checked")]
    Chaos(chaos::ChaosOptions),
    #[options(help = "convergence time and control traffic of a number of nodes")]
    Spread(spread::SpreadOptions),
    #[options(help = "cost of a node that knows 1,100 members")]
    Scale(scale::ScaleOptions),
    #[options(help = "latency that the mesh adds to a call")]
    Latency(latency::LatencyOptions),
    #[options(help = "goodput under overload, with and without the mesh")]
    Overload(overload::OverloadOptions),
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = ExperimentOptions::parse_args_default_or_exit();
    match run(options).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("experiment: {error:#}");
            ExitCode::from(2)
        }
    }
}

async fn run(options: ExperimentOptions) -> Result<bool> {
    match options.command {
        Some(ExperimentCommand::Chaos(options)) => chaos::run(options).await,
        Some(ExperimentCommand::Spread(options)) => spread::run(options).await,
        Some(ExperimentCommand::Scale(options)) => scale::run(options).await,
        Some(ExperimentCommand::Latency(options)) => latency::run(options).await,
        Some(ExperimentCommand::Overload(options)) => overload::run(options).await,
        None => {
            println!("{}", ExperimentOptions::usage());
            Ok(false)
        }
    }
}
