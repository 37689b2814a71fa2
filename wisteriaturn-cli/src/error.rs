//! The errors of the command-line tool and their exit codes.

use std::fmt;
use std::process::ExitCode;

/// Why a command failed.
#[derive(Debug)]
#[non_exhaustive]
pub(crate) enum CliError {
    /// The node rejected the request, for the given reason.
    Refused(String),
    /// The arguments or an input file are invalid.
    Usage(String),
    /// It is unknown whether the change will take effect.
    Unknown(String),
    /// The awaited condition did not hold before the timeout.
    TimedOut(String),
    /// The node cannot be reached, so nothing was written.
    Unreachable(String),
}

impl CliError {
    /// Returns the exit code: 1 if the node refused or cannot be reached, 2 for
    /// a usage error, 3 if the outcome is unknown, 4 for a timeout.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CliError::Refused(_) | CliError::Unreachable(_) => 1,
            CliError::Usage(_) => 2,
            CliError::Unknown(_) => 3,
            CliError::TimedOut(_) => 4,
        })
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Refused(reason) => write!(f, "refused: {reason}"),
            CliError::Usage(reason) => f.write_str(reason),
            CliError::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
            CliError::TimedOut(reason) => write!(f, "timed out: {reason}"),
            CliError::Unreachable(reason) => write!(f, "cannot reach the node: {reason}"),
        }
    }
}

impl std::error::Error for CliError {}
