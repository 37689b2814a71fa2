//! The executable `wisteriaturnd`, which runs one node.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use eyre::{Result, WrapErr};
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};
use wisteriaturn::clock::SystemClock;
use wisteriaturnd::lifecycle::RunningNode;
use wisteriaturnd::node::NodeBuilder;
use wisteriaturnd::settings::NodeSettings;
use wisteriaturnd::stream::http::http_log;
use wisteriaturnd::{logs, trial};

/// Exit code for invalid settings or arguments.
const EXIT_USAGE: u8 = 2;

#[derive(Debug, Options)]
struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "settings file", meta = "FILE")]
    config: Option<PathBuf>,
    #[options(help = "check the settings and exit")]
    check: bool,
    #[options(help = "run a demo of one node with an in-memory log and a sample target")]
    trial: bool,
    #[options(help = "abort the process on an invariant violation")]
    strict: bool,
}

fn main() -> ExitCode {
    let options = DaemonOptions::parse_args_default_or_exit();
    if options.version {
        println!("wisteriaturnd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match read_settings(&options) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("wisteriaturnd: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    logs::init(settings.log_level);
    match run(settings, options.trial) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wisteriaturnd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(options: &DaemonOptions) -> Result<NodeSettings> {
    let mut settings = match (&options.config, options.trial) {
        (Some(path), _) => NodeSettings::read(path)?,
        (None, true) => trial::TRIAL_SETTINGS.parse()?,
        (None, false) => eyre::bail!("--config FILE or --trial is needed; see --help"),
    };
    settings.strict |= options.strict;
    Ok(settings)
}

fn run(settings: NodeSettings, is_trial: bool) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let stop_signal = wait_for_stop_signal()?;
        if is_trial {
            return trial::run(settings, stop_signal).await;
        }
        let log = http_log(settings.log_address, Arc::new(SystemClock));
        let builder = NodeBuilder::new(settings, Arc::new(SystemClock), log);
        let running = RunningNode::start(builder)
            .await
            .wrap_err("cannot open a port")?;
        stop_signal.await;
        running.stop().await;
        Ok(())
    })
}

/// Installs the signal handlers and returns a future that completes on SIGTERM or
/// SIGINT.
fn wait_for_stop_signal() -> Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
