//! What a target stand-in states about itself, and the check that the mesh acts on it.
//!
//! A target knows best what reached it, so the stand-in itself counts the requests that it
//! should not have got.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use eyre::eyre;

/// Time from a statement until the mesh must act on it: the time that the users' rules give
/// for a limit.
pub const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// Window over which requests are counted against a limit.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Time after which a target that stated that it is leaving may get no request.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Returns the number of requests within [`LIMIT_WINDOW`] that the users' rules allow at a
/// limit of `limit` requests per second.
pub fn allowed_requests(limit: f64) -> f64 {
    limit * 1.5 * LIMIT_WINDOW.as_secs_f64() + 5.0
}

/// Path of the stand-in on which it is told what to state.
pub const STATEMENT_PATH: &str = "/x-statement";

/// What a target should not have got a request after.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    /// It named a limit.
    Limit,
    /// It stated that it is leaving.
    Leaving,
}

/// A request that a target should not have got after what it stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatementViolation {
    /// What it stated.
    pub kind: StatementKind,
    /// Time since an answer first carried that, in milliseconds.
    pub age_ms: u64,
}

impl StatementViolation {
    fn new(kind: StatementKind, age: Duration) -> Self {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Self { kind, age_ms }
    }
}

impl fmt::Display for StatementViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            StatementKind::Limit => LIMIT_NAME,
            StatementKind::Leaving => LEAVING_NAME,
        };
        write!(f, "{kind} {}", self.age_ms)
    }
}

impl FromStr for StatementViolation {
    type Err = eyre::Report;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || eyre!("{text:?} is not a violation");
        let (kind, age_ms) = text.split_once(' ').ok_or_else(malformed)?;
        let kind = match kind {
            LIMIT_NAME => StatementKind::Limit,
            LEAVING_NAME => StatementKind::Leaving,
            _ => return Err(malformed()),
        };
        let age_ms = age_ms.parse()?;
        Ok(Self { kind, age_ms })
    }
}

const LIMIT_NAME: &str = "limit";

const LEAVING_NAME: &str = "leaving";

/// The statements of a target and when an answer first carried them.
#[derive(Debug, Default)]
pub struct StatementCheck {
    limit: Option<f64>,
    is_leaving: bool,
    answered_at: Option<Instant>,
    recent: VecDeque<Instant>,
}

impl StatementCheck {
    /// Changes what the target states.
    pub fn set(&mut self, limit: Option<f64>, is_leaving: bool) {
        *self = Self {
            limit,
            is_leaving,
            ..Self::default()
        };
    }

    /// Returns the headers of an answer, which is sent now.
    pub fn headers(&mut self, now: Instant) -> Vec<(&'static str, String)> {
        self.answered_at.get_or_insert(now);
        let limit = self
            .limit
            .map(|limit| ("wisteriaturn-target-limit", limit.to_string()));
        let leaving = self
            .is_leaving
            .then(|| ("wisteriaturn-target-leaving", "1".to_owned()));
        limit.into_iter().chain(leaving).collect()
    }

    /// Records a request. Returns the violation if the target should not have got it.
    pub fn record_request(&mut self, now: Instant) -> Option<StatementViolation> {
        let age = now.saturating_duration_since(self.answered_at?);
        if self.is_leaving && age > LEAVING_GRACE {
            return Some(StatementViolation::new(StatementKind::Leaving, age));
        }
        let limit = self.limit.filter(|_| age > LIMIT_GRACE)?;
        self.recent.push_back(now);
        while self
            .recent
            .front()
            .is_some_and(|first| now.saturating_duration_since(*first) >= LIMIT_WINDOW)
        {
            self.recent.pop_front();
        }
        (self.recent.len() as f64 > allowed_requests(limit))
            .then(|| StatementViolation::new(StatementKind::Limit, age))
    }
}
