//! Runs a mesh of real processes under load, faults or nothing, and prints
//! what was seen as a table and as CSV.

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
    #[options(help = "mixed failures under load, with all promises checked")]
    Chaos(chaos::ChaosOptions),
    #[options(help = "convergence time and control bytes for a number of nodes")]
    Spread(spread::SpreadOptions),
    #[options(help = "cost of a node that knows 1,100 members")]
    Scale(scale::ScaleOptions),
    #[options(help = "time that the mesh adds to a call")]
    Latency(latency::LatencyOptions),
    #[options(help = "useful answers under overload, with and without the mesh")]
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
