//! The errors of the tool, each with its exit code.

use std::fmt;
use std::process::ExitCode;

/// Why a command did not do what was asked.
#[derive(Debug)]
#[non_exhaustive]
pub(crate) enum ToolError {
    /// The node refused, with a reason.
    Refused(String),
    /// The arguments or the file are wrong.
    Usage(String),
    /// It is not known whether the change will come into force.
    Unknown(String),
    /// A condition was not reached in time.
    NotReached(String),
    /// The node cannot be reached; nothing was written.
    Unreachable(String),
}

impl ToolError {
    /// Returns the exit code: 1 refused, 2 usage, 3 unknown, 4 not in time.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            ToolError::Refused(_) | ToolError::Unreachable(_) => 1,
            ToolError::Usage(_) => 2,
            ToolError::Unknown(_) => 3,
            ToolError::NotReached(_) => 4,
        })
    }
}

impl fmt::Display for ToolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ToolError::Refused(why) => write!(f, "refused: {why}"),
            ToolError::Usage(why) => f.write_str(why),
            ToolError::Unknown(why) => write!(f, "outcome unknown: {why}"),
            ToolError::NotReached(why) => write!(f, "not reached in time: {why}"),
            ToolError::Unreachable(why) => write!(f, "cannot reach the node: {why}"),
        }
    }
}

impl std::error::Error for ToolError {}
