//! Error types of the daemon.

use std::fmt;

use wisteriaturn::error::{CodecError, LogError};

/// The reason why a settings file is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable(String),
    /// The file is not valid TOML, or contains an unknown key or a value of the
    /// wrong type.
    Malformed(String),
    /// A value is not allowed.
    NotAllowed {
        /// Key of the setting.
        key: &'static str,
        /// The value.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable(reason) => write!(f, "cannot read the settings: {reason}"),
            SettingsError::Malformed(reason) => write!(f, "malformed settings: {reason}"),
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

/// The reason why a request to another node or to a target failed.
#[derive(Debug)]
#[non_exhaustive]
pub enum LinkError {
    /// The connection could not be opened, so nothing was sent.
    Unreachable(String),
    /// The connection failed after part of the request may have been sent.
    Lost(String),
    /// The other side could not prove that it knows the mesh key.
    Unauthenticated,
    /// The other side sent a message that cannot be decoded.
    Codec(CodecError),
    /// The connection was not opened, or the answer did not arrive, in time.
    TimedOut,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Unreachable(reason) => write!(f, "unreachable: {reason}"),
            LinkError::Lost(reason) => write!(f, "connection lost: {reason}"),
            LinkError::Unauthenticated => f.write_str("the peer does not know the mesh key"),
            LinkError::Codec(error) => write!(f, "the peer sent an invalid message: {error}"),
            LinkError::TimedOut => f.write_str("timed out"),
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

/// The reason why the outcome of a configuration change is not known, or why the
/// change was not written.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum ApplyError {
    /// The change cannot be encoded as a record.
    Encoding(CodecError),
    /// The log refused the record, so the change never comes into force.
    Refused(LogError),
    /// The record may have been written. Sending the change again with the same
    /// change id is safe and returns its outcome.
    Unknown,
    /// The configuration is written at the document source and is read-only here.
    ReadOnly,
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApplyError::Encoding(error) => write!(f, "the change cannot be encoded: {error}"),
            ApplyError::Refused(error) => write!(f, "the change was not written: {error}"),
            ApplyError::ReadOnly => {
                f.write_str("the configuration is read-only here; change it at the document source")
            }
            ApplyError::Unknown => f.write_str("the log did not answer in time"),
        }
    }
}

impl std::error::Error for ApplyError {}
