//! The configuration state of a node and the view that is built from it.

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

/// The outcome of folding a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The record was the next one and was folded.
    Folded(FoldVerdict),
    /// The record had already been folded.
    Duplicate,
    /// Earlier records are missing, so the record was not folded.
    Gap,
}

/// The configuration state, the newest records or documents that lead to it, and
/// the view built from it.
#[derive(Debug, Default)]
pub struct ConfigStore {
    state: ConfigState,
    tail: RecordTail,
    history: DocumentHistory,
    cached_delta: Option<DocumentDelta>,
    view: Arc<ConfigView>,
}

impl ConfigStore {
    /// Returns a store with the empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current state.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Returns the view of the current state.
    pub fn view(&self) -> Arc<ConfigView> {
        Arc::clone(&self.view)
    }

    /// Returns the version of the current state.
    pub fn version(&self) -> ConfigVersion {
        self.state.version()
    }

    /// Folds the record that results in `version`.
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
        self.rebuild_view(verdict == FoldVerdict::Accepted);
        FoldOutcome::Folded(verdict)
    }

    /// Replaces the state with a newer one. Returns `false` if `state` is not newer.
    pub fn adopt(&mut self, state: ConfigState) -> bool {
        if state.version() <= self.state.version() {
            return false;
        }
        self.tail = RecordTail::starting_at(state.version());
        self.state = state;
        self.rebuild_view(true);
        true
    }

    /// Returns up to `limit` records after `version`, or `None` if these are no
    /// longer kept and a snapshot is needed.
    pub fn records_after(&self, version: ConfigVersion, limit: usize) -> Option<Vec<Bytes>> {
        self.tail.records_after(version, limit)
    }

    /// Replaces the state with that of a newer document and keeps the previous
    /// one, so that peers can be sent a delta. Returns `false` if `state` is not
    /// newer.
    ///
    /// States that were folded from changes have different hashes and are not
    /// kept.
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

    /// Applies the delta to a newer document. Returns `Ok(false)` if the document
    /// is not newer.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the delta does not start from the current state
    /// or does not yield the document that it names.
    pub fn adopt_delta(&mut self, delta: &DocumentDelta) -> Result<bool, Rejection> {
        if delta.to <= self.state.version() {
            return Ok(false);
        }
        let state = apply_delta(&self.state, delta)?;
        Ok(self.adopt_document(state))
    }

    /// Returns the delta from `version` to the current document, or `None` if the
    /// document of that version is no longer kept.
    ///
    /// The last delta is cached, because all nodes of a data centre request the
    /// same one at once.
    pub fn delta_from(&mut self, version: ConfigVersion) -> Option<DocumentDelta> {
        let is_match = |delta: &&DocumentDelta| delta.from == version && delta.to == self.version();
        if let Some(delta) = self.cached_delta.as_ref().filter(is_match) {
            return Some(delta.clone());
        }
        let before = self.history.get(version)?;
        self.cached_delta = delta_between(before, &self.state).ok();
        self.cached_delta.clone()
    }

    /// Returns the current state, encoded as a snapshot.
    ///
    /// # Errors
    ///
    /// Returns a [`CodecError`] if a resource cannot be encoded.
    pub fn snapshot(&self) -> Result<Bytes, CodecError> {
        encode_snapshot(&self.state)
    }

    /// Rebuilds the view. A rejected record changes only the version, so the new
    /// view then shares its routes and services with the old one.
    fn rebuild_view(&mut self, has_changed: bool) {
        let view = if has_changed {
            ConfigView::try_from(&self.state)
        } else {
            Ok(self
                .view
                .with_version(self.state.version(), self.state.chain()))
        };
        match view {
            Ok(view) => self.view = Arc::new(view),
            // The fold has validated these resources, so this is an invariant
            // violation, which `try_from` has counted. The old view stays in
            // force.
            Err(error) => log::error!(event = "view-refused", error:% = error; "config"),
        }
    }
}
