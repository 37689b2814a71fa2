//! Log lines: one event each, as key=value pairs.
//!
//! The layout is logforth's. It quotes a value that holds a space, a quote or
//! an equals sign, but not one that holds a line break, so text that strangers
//! choose goes through [`Sanitized`] first and cannot forge a line.

use std::fmt;

use hyper::header::HeaderValue;
use log::LevelFilter;
use logforth::append::Stdout;
use logforth::bridge::log::LogBridge;
use logforth::layout::LogfmtLayout;

/// Most characters of a stranger's text in one value.
const CLEAN_LIMIT: usize = 200;

/// Text with control characters escaped and its length bounded.
#[derive(Debug, Clone, Copy)]
pub struct Sanitized<'a>(pub &'a str);

impl<'a> Sanitized<'a> {
    /// Returns the text of a header, or nothing as an empty text.
    pub fn from_header(value: Option<&'a HeaderValue>) -> Self {
        let text = value.and_then(|value| value.to_str().ok());
        Self(text.unwrap_or_default())
    }
}

impl fmt::Display for Sanitized<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            // An empty value would read as if the next key were its value.
            return f.write_str("-");
        }
        for character in self.0.chars().take(CLEAN_LIMIT) {
            if character.is_control() {
                write!(f, "{}", character.escape_default())?;
            } else {
                write!(f, "{character}")?;
            }
        }
        Ok(())
    }
}

/// Starts logging to standard output.
///
/// Lines are handed to a thread of their own, so that a slow reader of the
/// output does not hold up calls; when its buffer is full, lines are dropped.
pub fn init(level: LevelFilter) {
    let append = logforth::append::asynchronous::AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(16_384))
        .overflow_drop_incoming()
        .append(Stdout::default().with_layout(LogfmtLayout::default()))
        .build();
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .build();
    log::set_max_level(level);
    // A second start in one process, as in tests, keeps the first logger.
    let _ = log::set_boxed_logger(Box::new(LogBridge::new(logger)));
}
