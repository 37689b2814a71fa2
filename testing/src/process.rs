//! Processes of the mesh and of its surroundings.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, eyre};

/// Longest wait for a process to stand still, far above what that takes.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks at it.
const STOP_STEP: Duration = Duration::from_millis(1);

/// A process that is killed, by its own id, when it is dropped.
#[derive(Debug)]
pub struct OwnedProcess {
    child: Child,
}

impl OwnedProcess {
    /// Starts a program with its output in a file.
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

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, as `kill` takes it. After a `STOP` it returns
    /// when the process stands still: `kill` only asks for that, and a thread that
    /// runs at that moment goes on for a little.
    pub fn send_signal(&self, name: &str) {
        let id = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &id]).status();
        if name == "STOP" {
            let until = Instant::now() + STOP_LIMIT;
            while !self.is_stopped() {
                assert!(Instant::now() < until, "process {id} does not stop");
                std::thread::sleep(STOP_STEP);
            }
        }
    }

    /// Tells whether every thread of the process stands still.
    fn is_stopped(&self) -> bool {
        let tasks = format!("/proc/{}/task", self.pid());
        let Ok(entries) = std::fs::read_dir(tasks) else {
            // A process that is gone runs nothing either.
            return true;
        };
        entries.flatten().all(|entry| {
            let status = std::fs::read_to_string(entry.path().join("status"));
            status.is_ok_and(|status| status.contains("State:\tT"))
        })
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process.
    pub async fn wait(&mut self) -> Result<i32> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return status.code().ok_or_else(|| eyre!("ended by a signal"));
            }
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }

    /// Tells whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for OwnedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program of this workspace, built on first use with
/// the profile of the caller.
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
    let own = std::env::current_exe()?;
    // A test sits in a folder below its profile's, a program in it.
    let mut folder = own.parent().ok_or_else(|| eyre!("no folder"))?;
    if folder.ends_with("deps") {
        folder = folder.parent().ok_or_else(|| eyre!("no folder"))?;
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
        Err(eyre!("the programs do not build"))
    }
}
