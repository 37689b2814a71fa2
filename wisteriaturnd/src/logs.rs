//! Logging: one line for each event, as key=value pairs.
//!
//! logforth formats the lines. It quotes a value that contains a space, a quote or
//! an equals sign, but not one that contains a line break. Untrusted text is
//! therefore logged as [`Sanitized`], so that it cannot forge a line.

use std::fmt;

use hyper::header::HeaderValue;
use log::LevelFilter;
use logforth::append::Stdout;
use logforth::bridge::log::LogBridge;
use logforth::layout::LogfmtLayout;

/// Maximum number of characters of untrusted text in one value.
const MAX_VALUE_CHARS: usize = 200;

/// Displays untrusted text with its control characters escaped and its length
/// limited.
#[derive(Debug, Clone, Copy)]
pub struct Sanitized<'a>(pub &'a str);

impl<'a> Sanitized<'a> {
    /// Wraps the value of a header, or an empty string if the header is missing or
    /// contains other bytes than visible ASCII.
    pub fn from_header(value: Option<&'a HeaderValue>) -> Self {
        let text = value.and_then(|value| value.to_str().ok());
        Self(text.unwrap_or_default())
    }
}

impl fmt::Display for Sanitized<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            // After an empty value, the next key would look like the value.
            return f.write_str("-");
        }
        for character in self.0.chars().take(MAX_VALUE_CHARS) {
            if character.is_control() {
                write!(f, "{}", character.escape_default())?;
            } else {
                write!(f, "{character}")?;
            }
        }
        Ok(())
    }
}

/// Initializes logging to standard output.
///
/// A separate thread writes the lines, so that a slow reader of the output does
/// not delay calls. Lines are dropped while the thread's buffer is full.
pub fn init(level: LevelFilter) {
    let appender = logforth::append::asynchronous::AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(16_384))
        .overflow_drop_incoming()
        .append(Stdout::default().with_layout(LogfmtLayout::default()))
        .build();
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(appender))
        .build();
    log::set_max_level(level);
    // A second initialization in the same process, as in tests, keeps the first
    // logger.
    let _ = log::set_boxed_logger(Box::new(LogBridge::new(logger)));
}
