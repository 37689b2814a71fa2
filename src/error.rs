//! Error types.
//!
//! Each layer has its own error type and converts the errors of the layer
//! below into it, so that callers don't depend on the libraries used.

use std::fmt;

use crate::ids::{ConfigVersion, Offset};

/// The reason why a name is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum NameError {
    /// The name is empty.
    Empty,
    /// The name is too long.
    TooLong {
        /// Length in bytes.
        length: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The name contains a byte that is not allowed in this kind of name.
    InvalidByte {
        /// The first such byte.
        byte: u8,
        /// Description of the allowed bytes.
        allowed: &'static str,
    },
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NameError::Empty => f.write_str("must not be empty"),
            NameError::TooLong { length, limit } => {
                write!(f, "has {length} bytes, at most {limit} are allowed")
            }
            NameError::InvalidByte { byte, allowed } => {
                write!(
                    f,
                    "contains the byte {:?}, allowed are {allowed}",
                    char::from(*byte)
                )
            }
        }
    }
}

impl std::error::Error for NameError {}

/// The reason why a team's key is invalid. It never shows the key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum KeyError {
    /// The key is empty.
    Empty,
    /// The key is too long.
    TooLong {
        /// Length in bytes.
        length: usize,
    },
    /// The key contains a byte that is not visible ASCII.
    InvalidByte,
    /// The hash of a key is not 32 hexadecimal digits.
    Hash,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyError::Empty => f.write_str("the key must not be empty"),
            KeyError::TooLong { length } => {
                write!(f, "the key has {length} bytes, at most 256 are allowed")
            }
            KeyError::InvalidByte => f.write_str("the key must be visible ASCII"),
            KeyError::Hash => f.write_str("the hash of a key must be 32 hexadecimal digits"),
        }
    }
}

impl std::error::Error for KeyError {}

/// A text or number that is not a rate of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RateError(pub String);

impl fmt::Display for RateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a number of requests per second", self.0)
    }
}

impl std::error::Error for RateError {}

/// A text that is not the notice of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoticeError(pub String);

impl fmt::Display for NoticeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a notice of a target", self.0)
    }
}

impl std::error::Error for NoticeError {}

/// An error in encoding or decoding a log record or a message between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum CodecError {
    /// The message exceeds the maximum size of its kind.
    TooLarge {
        /// Length in bytes.
        length: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The message has a format number that this version does not support.
    UnknownFormat(u8),
    /// The message is truncated, has trailing bytes or contains an invalid
    /// value.
    Malformed,
    /// The authentication tag is missing or was computed with another key.
    Unauthenticated,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::TooLarge { length, limit } => {
                write!(f, "message of {length} bytes, at most {limit} are allowed")
            }
            CodecError::UnknownFormat(format) => write!(f, "unknown format number {format}"),
            CodecError::Malformed => f.write_str("malformed message"),
            CodecError::Unauthenticated => f.write_str("authentication tag is missing or invalid"),
        }
    }
}

impl std::error::Error for CodecError {}

/// The reason why a view could not be built or installed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum ViewError {
    /// The view is older than the current one.
    Older {
        /// Version of the current view.
        current: ConfigVersion,
        /// Version of the rejected view.
        offered: ConfigVersion,
    },
    /// The view refers to a resource that it does not contain.
    DanglingReference(String),
}

impl fmt::Display for ViewError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ViewError::Older { current, offered } => {
                write!(
                    f,
                    "version {offered} is older than the current version {current}"
                )
            }
            ViewError::DanglingReference(what) => {
                write!(f, "the view does not contain {what}, which it refers to")
            }
        }
    }
}

impl std::error::Error for ViewError {}

/// The reason why an operation on the platform's log failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum LogError {
    /// The operation was refused before it took effect, so nothing was written.
    Refused(String),
    /// No valid response arrived; an append may or may not have taken effect.
    Indeterminate(String),
    /// The requested records have been trimmed.
    Trimmed {
        /// First offset that is still retained.
        first: Offset,
    },
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::Refused(why) => write!(f, "the log refused the operation: {why}"),
            LogError::Indeterminate(why) => write!(f, "no valid response from the log: {why}"),
            LogError::Trimmed { first } => write!(
                f,
                "records before offset {first} have been trimmed from the log"
            ),
        }
    }
}

impl std::error::Error for LogError {}
