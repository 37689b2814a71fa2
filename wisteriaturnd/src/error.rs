//! The errors of the daemon.

use std::fmt;

use wisteriaturn::error::{CodecError, LogError};

/// Says why a settings file was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable(String),
    /// The file is not TOML, or has an unknown key or a value of a wrong type.
    Malformed(String),
    /// A value is not allowed.
    NotAllowed {
        /// Key of the value.
        key: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable(why) => write!(f, "cannot read the settings: {why}"),
            SettingsError::Malformed(why) => write!(f, "malformed settings: {why}"),
            SettingsError::NotAllowed {
                key,
                value,
                allowed,
            } => write!(
                f,
                "settings: {key} = {value} is not allowed; allowed: {allowed}"
            ),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Says why a peer or a gate could not be asked.
#[derive(Debug)]
#[non_exhaustive]
pub enum LinkError {
    /// The connection could not be made, so nothing was sent.
    Unreachable(String),
    /// The connection failed after something was sent.
    Lost(String),
    /// The other side does not know the mesh key.
    Unauthenticated,
    /// The other side sent what cannot be decoded.
    Codec(CodecError),
    /// No answer came in time.
    TimedOut,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Unreachable(why) => write!(f, "unreachable: {why}"),
            LinkError::Lost(why) => write!(f, "connection lost: {why}"),
            LinkError::Unauthenticated => f.write_str("the peer does not know the mesh key"),
            LinkError::Codec(error) => write!(f, "peer sent a bad message: {error}"),
            LinkError::TimedOut => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<CodecError> for LinkError {
    fn from(error: CodecError) -> Self {
        LinkError::Codec(error)
    }
}

impl From<tokio::time::error::Elapsed> for LinkError {
    fn from(_: tokio::time::error::Elapsed) -> Self {
        LinkError::TimedOut
    }
}

/// Says why a change of the configuration has no verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum ApplyError {
    /// The change cannot be written as a record.
    Encoding(CodecError),
    /// The log refused the record: the change is not in force and will not be.
    Refused(LogError),
    /// The record may have been written; its change id can be asked about.
    Unknown,
    /// The configuration is written at its source, and only read here.
    ReadOnly,
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApplyError::Encoding(error) => write!(f, "the change cannot be written: {error}"),
            ApplyError::Refused(error) => write!(f, "the change was not written: {error}"),
            ApplyError::ReadOnly => {
                f.write_str("the configuration is written at its source and only read here")
            }
            ApplyError::Unknown => f.write_str("the log did not answer in time"),
        }
    }
}

impl std::error::Error for ApplyError {}
