//! Changes of the configuration: from a request to a verdict.
//!
//! A change is appended to the log and its verdict read from the fold. A lost
//! answer of the log is settled by reading the stream until the change id
//! appears; when the log stays silent the writer is told that the outcome is
//! unknown and which id to ask about, never a guess.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use wisteriaturn::clock::lock;
use wisteriaturn::config::change::{Change, MAX_OPERATIONS, Operation, Precondition};
use wisteriaturn::config::fold::FoldVerdict;
use wisteriaturn::config::resource::{Resource, ResourceKey, ResourceKind};
use wisteriaturn::config::validate::Rejection;
use wisteriaturn::error::LogError;
use wisteriaturn::ids::{AuthorName, ChangeId, ConfigVersion, Revision};

use crate::control::follow::{self, CONFIG_STREAM};
use crate::error::ApplyError;
use crate::node::{NodeHandle, NodeState};

/// Time for a change to get its verdict.
const APPLY_TIME: Duration = Duration::from_secs(8);

/// Pause between two looks at the log.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// A change as a request carries it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawChange {
    /// Chosen by the writer, or by the node when absent.
    #[serde(default)]
    pub change_id: Option<ChangeId>,
    /// Who asks.
    #[serde(default)]
    pub author: Option<AuthorName>,
    /// The writes.
    pub operations: Vec<RawOperation>,
}

/// A write as a request carries it: exactly one of `put` and `delete`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOperation {
    /// The new value.
    #[serde(default)]
    pub put: Option<Resource>,
    /// `kind/name` of the resource to delete.
    #[serde(default)]
    pub delete: Option<String>,
    /// What the writer expects.
    #[serde(default)]
    pub expect: Option<RawExpectation>,
}

/// A revision, `"any"` or `"absent"`.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum RawExpectation {
    /// A revision.
    Revision(u64),
    /// A word.
    Word(String),
}

/// What became of a change.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeReport {
    /// Identifier of the change.
    pub change_id: ChangeId,
    /// Version of its record.
    pub version: ConfigVersion,
    /// Whether it is in force.
    pub accepted: bool,
    /// Why it was rejected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Whether it was rejected for a revision.
    #[serde(skip)]
    pub is_conflict: bool,
}

impl TryFrom<RawChange> for Change {
    type Error = String;

    fn try_from(raw: RawChange) -> Result<Self, String> {
        if raw.operations.len() > MAX_OPERATIONS {
            return Err(format!("more than {MAX_OPERATIONS} operations"));
        }
        let mut operations = Vec::with_capacity(raw.operations.len());
        for (index, operation) in raw.operations.into_iter().enumerate() {
            let operation = Operation::try_from(operation)
                .map_err(|error| format!("operations[{index}]: {error}"))?;
            operations.push(operation);
        }
        let author = match raw.author {
            Some(author) => author,
            None => "unnamed"
                .parse()
                .map_err(|error| format!("author: {error}"))?,
        };
        Ok(Change {
            id: raw.change_id.unwrap_or_else(|| ChangeId(rand::random())),
            author,
            operations,
        })
    }
}

impl TryFrom<RawOperation> for Operation {
    type Error = String;

    fn try_from(raw: RawOperation) -> Result<Self, String> {
        let expect = match raw.expect {
            None => Precondition::Any,
            Some(expect) => Precondition::try_from(expect)?,
        };
        match (raw.put, raw.delete) {
            (Some(resource), None) => Ok(Operation::put(resource, expect)),
            (None, Some(key)) => Ok(Operation::delete(parse_key(&key)?, expect)),
            _ => Err("needs exactly one of put and delete".to_owned()),
        }
    }
}

impl TryFrom<RawExpectation> for Precondition {
    type Error = String;

    fn try_from(raw: RawExpectation) -> Result<Self, String> {
        match raw {
            RawExpectation::Revision(revision) => Ok(Precondition::At(Revision(revision))),
            RawExpectation::Word(word) if word == "any" => Ok(Precondition::Any),
            RawExpectation::Word(word) if word == "absent" => Ok(Precondition::Absent),
            RawExpectation::Word(word) => Err(format!(
                "expect = {word:?} is not allowed; allowed: a revision, \"any\", \"absent\""
            )),
        }
    }
}

/// Parses `kind/name`.
///
/// # Errors
///
/// What is wrong with the text.
pub fn parse_key(text: &str) -> Result<ResourceKey, String> {
    let (kind, name) = text
        .split_once('/')
        .ok_or_else(|| format!("{text:?} is not kind/name"))?;
    let kind: ResourceKind = kind.parse()?;
    Ok(ResourceKey::new(kind, name))
}

impl ChangeReport {
    /// Returns the status of the reply.
    pub fn status(&self) -> StatusCode {
        match (self.accepted, self.is_conflict) {
            (true, _) => StatusCode::OK,
            (false, true) => StatusCode::CONFLICT,
            (false, false) => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }
}

impl ApplyError {
    /// Returns the status of the reply.
    pub fn status(&self) -> StatusCode {
        match self {
            ApplyError::Encoding(_) => StatusCode::PAYLOAD_TOO_LARGE,
            ApplyError::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            ApplyError::Unknown => StatusCode::GATEWAY_TIMEOUT,
            ApplyError::ReadOnly => StatusCode::METHOD_NOT_ALLOWED,
        }
    }
}

/// Returns what became of a change that this node has folded.
pub fn find_report(node: &NodeState, id: ChangeId) -> Option<ChangeReport> {
    let store = lock(&node.store);
    let (version, verdict) = store.state().verdict(id)?;
    let reason = match verdict {
        FoldVerdict::Rejected(rejection) => Some(rejection.to_string()),
        FoldVerdict::Accepted | FoldVerdict::Repeated(_) => None,
    };
    let is_conflict = matches!(
        verdict,
        FoldVerdict::Rejected(Rejection::Conflict { .. } | Rejection::Missing(_))
    );
    Some(ChangeReport {
        change_id: id,
        version: *version,
        accepted: reason.is_none(),
        reason,
        is_conflict,
    })
}

/// Appends a change and waits for its verdict.
///
/// # Errors
///
/// [`ApplyError`] says whether the change may still come into force.
pub async fn apply(node: &NodeHandle, change: &Change) -> Result<ChangeReport, ApplyError> {
    if node.documents.is_some() {
        return Err(ApplyError::ReadOnly);
    }
    if let Some(report) = find_report(node, change.id) {
        return Ok(report);
    }
    let record = change.encode().map_err(ApplyError::Encoding)?;
    let until = node.clock.now() + APPLY_TIME;
    match node.log.append(CONFIG_STREAM, record).await {
        Ok(_) => {}
        Err(LogError::Indeterminate(error)) => {
            log::warn!(event = "append-lost", change:% = change.id, error = error; "config");
        }
        Err(error) => return Err(ApplyError::Refused(error)),
    }
    wait_verdict(node, change.id, until).await
}

async fn wait_verdict(
    node: &NodeHandle,
    id: ChangeId,
    until: Instant,
) -> Result<ChangeReport, ApplyError> {
    loop {
        // The writer's node does not wait for a relay: it reads the log itself
        // and pushes what it finds.
        let read = follow::read_to_end(node);
        let _ = tokio::time::timeout_at(until.into(), read).await;
        if let Some(report) = find_report(node, id) {
            return Ok(report);
        }
        if node.clock.now() + LOOK_PAUSE >= until {
            return Err(ApplyError::Unknown);
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}
