//! Deltas between two documents.
//!
//! Documents are written whole, but most of a new document is the same as in
//! the old one. A node that has the old one is sent only a delta, which for a
//! change of one route is a few hundred bytes instead of the whole document.
//! The delta contains the hash of the result, so that it is rejected as a whole
//! when it is applied to the wrong document or was altered in transit.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;

use crate::config::change::{decode_resource, encode_resource};
use crate::config::document::document_hash;
use crate::config::fold::{ChainHash, ConfigState, VersionedResource};
use crate::config::resource::ResourceKey;
use crate::config::validate::{Rejection, validate};
use crate::error::CodecError;
use crate::ids::{ConfigVersion, Revision};

/// Maximum number of past documents that are kept as bases for deltas. They
/// cover a burst of versions of which a node may have missed some.
pub const MAX_HISTORY_DOCUMENTS: usize = 6;

record! {
    /// The difference between two documents.
    pub struct DocumentDelta {
        /// Version of the old document.
        pub from: ConfigVersion,
        /// Hash of the old document.
        pub from_hash: ChainHash,
        /// Version of the new document.
        pub to: ConfigVersion,
        /// Hash of the new document.
        pub to_hash: ChainHash,
        /// Added and changed resources, encoded.
        pub puts: Vec<Bytes>,
        /// Keys of the removed resources.
        pub removed: Vec<ResourceKey>,
    }
}

/// Returns the delta that turns `old` into `new`.
///
/// # Errors
///
/// Returns a [`CodecError`] if a resource cannot be encoded.
pub fn delta_between(old: &ConfigState, new: &ConfigState) -> Result<DocumentDelta, CodecError> {
    let mut puts = Vec::new();
    for (key, entry) in new.resources() {
        let old_entry = old.resources().get(key);
        if old_entry.is_none_or(|old_entry| old_entry.resource != entry.resource) {
            puts.push(encode_resource(&entry.resource)?);
        }
    }
    let removed = old
        .resources()
        .keys()
        .filter(|key| !new.resources().contains_key(key))
        .cloned()
        .collect();
    Ok(DocumentDelta {
        from: old.version(),
        from_hash: old.chain(),
        to: new.version(),
        to_hash: new.chain(),
        puts,
        removed,
    })
}

/// Returns the document that results from applying `delta` to `state`.
///
/// # Errors
///
/// Returns a [`Rejection`] if `delta` was made from another document, or if the
/// result is invalid or doesn't have the version and hash that `delta` states.
pub fn apply_delta(state: &ConfigState, delta: &DocumentDelta) -> Result<ConfigState, Rejection> {
    if delta.from != state.version() || delta.from_hash != state.chain() {
        let why = format!("a difference from version {}", delta.from);
        return Err(Rejection::Undecodable(why));
    }
    let revision = Revision(delta.to.0);
    let mut resources = state.resources().clone();
    for key in &delta.removed {
        resources.remove(key);
    }
    for put in &delta.puts {
        let resource =
            decode_resource(put).map_err(|error| Rejection::Undecodable(error.to_string()))?;
        let entry = Arc::new(VersionedResource { revision, resource });
        resources.insert(entry.resource.key(), entry);
    }
    validate(&resources)?;
    if document_hash(delta.to, &resources)? != delta.to_hash {
        let why = format!("a difference that does not lead to version {}", delta.to);
        return Err(Rejection::Undecodable(why));
    }
    Ok(ConfigState::from_parts(
        delta.to,
        delta.to_hash,
        resources,
        Vec::new(),
    ))
}

/// The most recent documents before the current one.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    states: VecDeque<ConfigState>,
}

impl DocumentHistory {
    /// Adds the document that has just been replaced, and drops the oldest one
    /// when [`MAX_HISTORY_DOCUMENTS`] are kept.
    pub fn push(&mut self, state: ConfigState) {
        if self.states.len() == MAX_HISTORY_DOCUMENTS {
            self.states.pop_front();
        }
        self.states.push_back(state);
    }

    /// Returns the document of `version`, if it is still kept.
    pub fn get(&self, version: ConfigVersion) -> Option<&ConfigState> {
        self.states.iter().find(|state| state.version() == version)
    }
}
