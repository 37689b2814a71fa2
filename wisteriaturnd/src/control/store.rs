//! The configuration that a node has folded, and how it is put in force.

use std::sync::Arc;

use bytes::Bytes;
use wisteriaturn::config::delta::{DocumentDelta, DocumentHistory, apply_delta, delta_between};
use wisteriaturn::config::fold::{ConfigState, FoldVerdict};
use wisteriaturn::config::snapshot::encode_snapshot;
use wisteriaturn::config::tail::RecordTail;
use wisteriaturn::config::validate::Rejection;
use wisteriaturn::config::view::ConfigView;
use wisteriaturn::error::CodecError;
use wisteriaturn::ids::ConfigVersion;
use wisteriaturn::invariant::{Invariant, check};

/// What folding a record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The record was the next one.
    Folded(FoldVerdict),
    /// The record was folded before.
    Duplicate,
    /// Records before this one are missing.
    Gap,
}

/// The folded state, the newest records and the view built from them.
#[derive(Debug, Default)]
pub struct ConfigStore {
    state: ConfigState,
    tail: RecordTail,
    history: DocumentHistory,
    delta: Option<DocumentDelta>,
    view: Arc<ConfigView>,
}

impl ConfigStore {
    /// Returns the empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the folded state.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Returns the view of the folded state.
    pub fn view(&self) -> Arc<ConfigView> {
        Arc::clone(&self.view)
    }

    /// Returns the version folded.
    pub fn version(&self) -> ConfigVersion {
        self.state.version()
    }

    /// Folds the record that leads to `version`.
    pub fn fold(&mut self, version: ConfigVersion, record: &Bytes) -> FoldOutcome {
        let held = self.state.version();
        if version <= held {
            return FoldOutcome::Duplicate;
        }
        if version.0 > held.0 + 1 {
            return FoldOutcome::Gap;
        }
        let verdict = self.state.fold(record);
        self.tail.push(record.clone());
        check(Invariant::VersionRises, self.state.version() > held);
        self.rebuild(verdict == FoldVerdict::Accepted);
        FoldOutcome::Folded(verdict)
    }

    /// Takes a snapshot if it is newer than what is held.
    pub fn adopt(&mut self, state: ConfigState) -> bool {
        if state.version() <= self.state.version() {
            return false;
        }
        self.tail = RecordTail::starting_at(state.version());
        self.state = state;
        self.rebuild(true);
        true
    }

    /// Returns the records after a version, or nothing when a snapshot is needed.
    pub fn records_after(&self, version: ConfigVersion, limit: usize) -> Option<Vec<Bytes>> {
        self.tail.records_after(version, limit)
    }

    /// Takes a document if it is newer than what is held, and remembers the one
    /// before, so that others can be told the difference. States that were
    /// folded from changes have other hashes and are not remembered.
    pub fn adopt_document(&mut self, state: ConfigState) -> bool {
        let before = self.state.clone();
        if !self.adopt(state) {
            return false;
        }
        if before.version() > ConfigVersion(0) {
            self.history.push(before);
        }
        true
    }

    /// Takes the difference to a newer document.
    ///
    /// # Errors
    ///
    /// [`Rejection`] when it does not lead from what is held to what it says.
    pub fn adopt_delta(&mut self, delta: &DocumentDelta) -> Result<bool, Rejection> {
        if delta.to <= self.state.version() {
            return Ok(false);
        }
        let state = apply_delta(&self.state, delta)?;
        Ok(self.adopt_document(state))
    }

    /// Returns what leads from a version to the one held, while that version is
    /// remembered.
    ///
    /// The last difference is kept: a whole data centre asks for it at once.
    pub fn delta_from(&mut self, version: ConfigVersion) -> Option<DocumentDelta> {
        let is_kept = |delta: &&DocumentDelta| delta.from == version && delta.to == self.version();
        if let Some(delta) = self.delta.as_ref().filter(is_kept) {
            return Some(delta.clone());
        }
        let before = self.history.get(version)?;
        self.delta = delta_between(before, &self.state).ok();
        self.delta.clone()
    }

    /// Encodes the state as a snapshot.
    ///
    /// # Errors
    ///
    /// [`CodecError`] when a resource cannot be encoded.
    pub fn snapshot(&self) -> Result<Bytes, CodecError> {
        encode_snapshot(&self.state)
    }

    /// Builds the view anew. A rejected record changes only the version, so
    /// the routes and services are shared with the view before.
    fn rebuild(&mut self, has_changed: bool) {
        let view = if has_changed {
            ConfigView::try_from(&self.state)
        } else {
            Ok(self
                .view
                .with_version(self.state.version(), self.state.chain()))
        };
        match view {
            Ok(view) => self.view = Arc::new(view),
            // The fold validated the same set, so this is a broken invariant,
            // which `try_from` counted; the view in force stays.
            Err(error) => log::error!(event = "view-refused", error:% = error; "config"),
        }
    }
}
