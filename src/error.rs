//! The errors of this crate.
//!
//! Each layer has its own error type and turns those of the layer below into
//! its own; a caller never has to know which library failed.

use std::fmt;

use crate::ids::{ConfigVersion, Offset};

/// Says why a name was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum NameError {
    /// The name has no characters.
    Empty,
    /// The name has more bytes than are allowed.
    TooLong {
        /// Length in bytes.
        length: usize,
        /// Allowed length in bytes.
        limit: usize,
    },
    /// The name holds a byte that its kind does not allow.
    InvalidByte {
        /// The byte.
        byte: u8,
        /// Which bytes are allowed.
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
                    "has the byte {:?}, allowed are {allowed}",
                    char::from(*byte)
                )
            }
        }
    }
}

impl std::error::Error for NameError {}

/// Says why bytes from the log or a peer could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum CodecError {
    /// The bytes are longer than this kind of message may be.
    TooLarge {
        /// Length in bytes.
        length: usize,
        /// Allowed length in bytes.
        limit: usize,
    },
    /// The bytes are in a format that this version does not read.
    UnknownFormat(u8),
    /// The bytes are truncated, have a tail or hold an impossible value.
    Malformed,
    /// The authentication tag is missing or was made with another key.
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
            CodecError::Unauthenticated => f.write_str("message without a valid tag"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Says why a view could not be put in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum ViewError {
    /// The view is older than the one in force.
    Older {
        /// Version in force.
        held: ConfigVersion,
        /// Version offered.
        offered: ConfigVersion,
    },
    /// The view names something that it does not hold.
    DanglingReference(String),
}

impl fmt::Display for ViewError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ViewError::Older { held, offered } => {
                write!(
                    f,
                    "version {offered} is older than {held}, which is in force"
                )
            }
            ViewError::DanglingReference(what) => write!(f, "the view does not hold {what}"),
        }
    }
}

impl std::error::Error for ViewError {}

/// Says why the platform's log did not answer as asked.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum LogError {
    /// The log refused before it took the record, so nothing was written.
    Refused(String),
    /// No answer came; an append may or may not have taken effect.
    Indeterminate(String),
    /// The records asked for are no longer kept.
    Trimmed {
        /// First offset still kept.
        first: Offset,
    },
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::Refused(why) => write!(f, "the log refused: {why}"),
            LogError::Indeterminate(why) => write!(f, "the log's answer was lost: {why}"),
            LogError::Trimmed { first } => write!(f, "the log keeps records from {first} on"),
        }
    }
}

impl std::error::Error for LogError {}
