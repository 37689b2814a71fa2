//! Configuration changes, from the request to the verdict.
//!
//! A change is appended to the log; whether it was accepted follows from
//! folding the log up to its record. If the response to the append is lost, the
//! node reads the stream until the change id appears. If the log stays
//! unavailable, the client is told that the outcome is unknown and which change
//! id to query; the node never guesses.

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

/// How long [`apply`] waits for the verdict on a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay between two reads of the log while waiting for a verdict.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A change as written in a request body, not yet validated.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawChange {
    /// Identifier chosen by the client; the node generates one if absent.
    #[serde(default)]
    pub change_id: Option<ChangeId>,
    /// Author to record with the change.
    #[serde(default)]
    pub author: Option<AuthorName>,
    /// Operations that are applied together or not at all.
    pub operations: Vec<RawOperation>,
}

/// An operation as written in a request body: exactly one of `put` and
/// `delete`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOperation {
    /// Resource to create or replace.
    #[serde(default)]
    pub put: Option<Resource>,
    /// `kind/name` of the resource to delete.
    #[serde(default)]
    pub delete: Option<String>,
    /// Precondition on the current revision of the resource.
    #[serde(default)]
    pub expect: Option<RawPrecondition>,
}

/// A precondition as written in a request: a revision, `"any"` or `"absent"`.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum RawPrecondition {
    /// The resource must have this revision.
    Revision(u64),
    /// `"any"` or `"absent"`; other words are rejected during conversion.
    Word(String),
}

/// Outcome of a change whose record this node has folded.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeReport {
    /// Identifier of the change.
    pub change_id: ChangeId,
    /// Configuration version that the record of the change produced.
    pub version: ConfigVersion,
    /// Whether the change was accepted.
    pub accepted: bool,
    /// Why the change was rejected; absent if it was accepted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Whether the change was rejected because a resource did not have the
    /// expected revision or a resource to delete did not exist.
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
            _ => Err("expected exactly one of put and delete".to_owned()),
        }
    }
}

impl TryFrom<RawPrecondition> for Precondition {
    type Error = String;

    fn try_from(raw: RawPrecondition) -> Result<Self, String> {
        match raw {
            RawPrecondition::Revision(revision) => Ok(Precondition::At(Revision(revision))),
            RawPrecondition::Word(word) if word == "any" => Ok(Precondition::Any),
            RawPrecondition::Word(word) if word == "absent" => Ok(Precondition::Absent),
            RawPrecondition::Word(word) => Err(format!(
                "expect = {word:?} is not allowed; allowed: a revision, \"any\", \"absent\""
            )),
        }
    }
}

/// Parses a resource key of the form `kind/name`.
///
/// # Errors
///
/// Returns a message if the slash is missing or the kind is unknown.
pub fn parse_key(text: &str) -> Result<ResourceKey, String> {
    let (kind, name) = text
        .split_once('/')
        .ok_or_else(|| format!("{text:?} is not kind/name"))?;
    let kind: ResourceKind = kind.parse()?;
    Ok(ResourceKey::new(kind, name))
}

impl ChangeReport {
    /// Returns the HTTP status for this outcome.
    pub fn status(&self) -> StatusCode {
        match (self.accepted, self.is_conflict) {
            (true, _) => StatusCode::OK,
            (false, true) => StatusCode::CONFLICT,
            (false, false) => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }
}

impl ApplyError {
    /// Returns the HTTP status for this error.
    pub fn status(&self) -> StatusCode {
        match self {
            ApplyError::Encoding(_) => StatusCode::PAYLOAD_TOO_LARGE,
            ApplyError::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            ApplyError::Unknown => StatusCode::GATEWAY_TIMEOUT,
            ApplyError::ReadOnly => StatusCode::METHOD_NOT_ALLOWED,
        }
    }
}

/// Returns the outcome of a change, or `None` if this node has not folded it or
/// no longer remembers its verdict.
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

/// Appends a change to the log and waits for its verdict. A change that this
/// node has already folded is not appended again.
///
/// # Errors
///
/// Returns an [`ApplyError`], which states whether the change may still take
/// effect.
pub async fn apply(node: &NodeHandle, change: &Change) -> Result<ChangeReport, ApplyError> {
    if node.documents.is_some() {
        return Err(ApplyError::ReadOnly);
    }
    if let Some(report) = find_report(node, change.id) {
        return Ok(report);
    }
    let record = change.encode().map_err(ApplyError::Encoding)?;
    let deadline = node.clock.now() + APPLY_TIMEOUT;
    match node.log.append(CONFIG_STREAM, record).await {
        Ok(_) => {}
        Err(LogError::Indeterminate(error)) => {
            log::warn!(event = "append-lost", change:% = change.id, error = error; "config");
        }
        Err(error) => return Err(ApplyError::Refused(error)),
    }
    wait_for_verdict(node, change.id, deadline).await
}

async fn wait_for_verdict(
    node: &NodeHandle,
    id: ChangeId,
    deadline: Instant,
) -> Result<ChangeReport, ApplyError> {
    loop {
        // Reads the log directly rather than waiting for a relay to deliver the
        // record; new records are pushed to peers as they are folded.
        let read = follow::read_to_end(node);
        let _ = tokio::time::timeout_at(deadline.into(), read).await;
        if let Some(report) = find_report(node, id) {
            return Ok(report);
        }
        if node.clock.now() + LOG_POLL_INTERVAL >= deadline {
            return Err(ApplyError::Unknown);
        }
        tokio::time::sleep(LOG_POLL_INTERVAL).await;
    }
}
