//! What a target states about itself in its answers.
//!
//! A target that is in trouble names the rate of requests that it accepts, in each
//! answer for as long as the limit holds, and one that shuts down states that it is
//! leaving. Answers overtake each other: one whose request was sent before the target
//! named its limit may arrive seconds later and does not end the limit. So a limit ends
//! only with an answer whose request was sent after the limit was last named. A limit
//! that is named always takes effect at once, since ignoring one costs more than keeping
//! one for the time of a call.
//!
//! The trade-off: a target that gets no requests cannot say that its limit is over.
//! [`TokenBucket`](crate::gate::rate::TokenBucket) therefore admits a few requests at any
//! limit.
//!
//! A node that is restarted has no answers yet. The other nodes return to it what its
//! target stated through it before, with their next calls; see
//! [docs/decisions/0015](../../docs/decisions/0015-limits-that-targets-name.md).

use std::fmt;
use std::str::FromStr;
use std::time::Instant;

use crate::error::NoticeError;
use crate::ids::{Incarnation, InstanceId, RequestRate};

/// The statements in one answer of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerNotice {
    /// The rate of requests that the target accepts from all callers together.
    pub limit: Option<RequestRate>,
    /// Whether the target is leaving.
    pub is_leaving: bool,
}

/// What a target has stated, together with its identity, as nodes tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetNotice {
    /// Instance name of the target.
    pub instance: InstanceId,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// The statements.
    pub stated: AnswerNotice,
}

/// Separates the fields of a notice. It cannot be part of an instance name.
const FIELD_SEPARATOR: char = ';';

const LIMIT_FIELD: &str = "limit=";

const LEAVING_FIELD: &str = "leaving";

impl fmt::Display for TargetNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{FIELD_SEPARATOR}{}", self.instance, self.incarnation)?;
        if let Some(limit) = self.stated.limit {
            write!(f, "{FIELD_SEPARATOR}{LIMIT_FIELD}{limit}")?;
        }
        if self.stated.is_leaving {
            write!(f, "{FIELD_SEPARATOR}{LEAVING_FIELD}")?;
        }
        Ok(())
    }
}

impl FromStr for TargetNotice {
    type Err = NoticeError;

    /// Parses the form that `Display` writes. Unknown fields are ignored, so that later
    /// versions can add some.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || NoticeError(text.to_owned());
        let mut fields = text.split(FIELD_SEPARATOR);
        let instance = fields.next().and_then(|name| name.parse().ok());
        let incarnation = fields.next().and_then(|number| number.parse().ok());
        let mut stated = AnswerNotice::default();
        for field in fields {
            if let Some(limit) = field.strip_prefix(LIMIT_FIELD) {
                stated.limit = Some(limit.parse().map_err(|_| malformed())?);
            }
            stated.is_leaving |= field == LEAVING_FIELD;
        }
        Ok(Self {
            instance: instance.ok_or_else(malformed)?,
            incarnation: incarnation.ok_or_else(malformed)?,
            stated,
        })
    }
}

/// The limit that holds for one target.
#[derive(Debug, Default)]
pub struct LimitTracker {
    named: Option<NamedLimit>,
    /// Whether an answer of the target has been seen. What other nodes remember counts
    /// only before that.
    has_answer: bool,
}

#[derive(Debug, Clone, Copy)]
struct NamedLimit {
    limit: RequestRate,
    named_at: Instant,
}

impl LimitTracker {
    /// Returns the limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.named.map(|named| named.limit)
    }

    /// Records the limit in an answer that arrived at `now`, or its absence. The request
    /// was sent at `sent_at`. Returns `true` if this changes the limit in force.
    pub fn record_answer(
        &mut self,
        limit: Option<RequestRate>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let before = self.limit();
        self.has_answer = true;
        match limit {
            Some(limit) => {
                let named_at = now;
                self.named = Some(NamedLimit { limit, named_at });
            }
            None => self.named = self.named.filter(|named| sent_at < named.named_at),
        }
        self.limit() != before
    }

    /// Adopts the limit that another node remembers, unless the target has answered
    /// since this node was started. Returns `true` if this changes the limit in force.
    pub fn adopt(&mut self, limit: Option<RequestRate>, now: Instant) -> bool {
        if self.has_answer || self.named.is_some() {
            return false;
        }
        let named_at = now;
        self.named = limit.map(|limit| NamedLimit { limit, named_at });
        limit.is_some()
    }
}
