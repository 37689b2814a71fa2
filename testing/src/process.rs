//! Child processes: nodes, stand-ins and command-line tools of this workspace.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, eyre};

/// Timeout for a process to stop after a `STOP` signal, far above what that takes.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the state of a stopping process is read.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A child process that is killed, by its process ID, when this value is dropped.
#[derive(Debug)]
pub struct OwnedProcess {
    child: Child,
}

impl OwnedProcess {
    /// Starts a program whose standard output and standard error are appended to a
    /// file.
    pub fn start(program: &Path, arguments: &[String], output: &Path) -> Result<Self> {
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(output)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()
            .wrap_err_with(|| program.display().to_string())?;
        Ok(Self { child })
    }

    /// Returns the process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, named as `kill -s` expects it.
    ///
    /// For `STOP`, waits until every thread has stopped: the signal is delivered
    /// asynchronously, so a running thread goes on for a moment after `kill`
    /// returns.
    ///
    /// # Panics
    ///
    /// Panics if a process doesn't stop within 30 seconds of a `STOP`.
    pub fn send_signal(&self, name: &str) {
        let id = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &id]).status();
        if name == "STOP" {
            let deadline = Instant::now() + STOP_TIMEOUT;
            while !self.is_stopped() {
                assert!(
                    Instant::now() < deadline,
                    "process {id} has not stopped after {STOP_TIMEOUT:?}"
                );
                std::thread::sleep(STOP_POLL_INTERVAL);
            }
        }
    }

    /// Returns `true` if every thread of the process is stopped.
    fn is_stopped(&self) -> bool {
        let thread_folder = format!("/proc/{}/task", self.pid());
        let Ok(entries) = std::fs::read_dir(thread_folder) else {
            // The process has exited, so none of its threads runs.
            return true;
        };
        entries.flatten().all(|entry| {
            let status = std::fs::read_to_string(entry.path().join("status"));
            status.is_ok_and(|status| status.contains("State:\tT"))
        })
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits and returns its exit code.
    pub async fn wait(&mut self) -> Result<i32> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return status
                    .code()
                    .ok_or_else(|| eyre!("the process was terminated by a signal"));
            }
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }

    /// Returns `true` if the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for OwnedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a binary of this workspace. The first call builds all of
/// them with the profile of the running test or program, unless
/// `WISTERIATURN_NO_BUILD` is set.
pub fn program_path(name: &str) -> Result<PathBuf> {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    let folder = match FOLDER.get() {
        Some(folder) => folder.clone(),
        None => {
            let folder = build_programs()?;
            FOLDER.get_or_init(|| folder).clone()
        }
    };
    Ok(folder.join(name))
}

fn build_programs() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    // Cargo puts programs into the folder of their profile, and tests into `deps`
    // below it.
    let mut folder = executable
        .parent()
        .ok_or_else(|| eyre!("the running executable has no parent folder"))?;
    if folder.ends_with("deps") {
        folder = folder
            .parent()
            .ok_or_else(|| eyre!("the folder `deps` has no parent folder"))?;
    }
    if std::env::var_os("WISTERIATURN_NO_BUILD").is_some() {
        return Ok(folder.to_owned());
    }
    let mut build = Command::new("cargo");
    build.args(["build", "--workspace", "--bins", "--locked", "--quiet"]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let status = build.current_dir(root).status()?;
    if status.success() {
        Ok(folder.to_owned())
    } else {
        Err(eyre!(
            "cargo build of the workspace's binaries failed: {status}"
        ))
    }
}
