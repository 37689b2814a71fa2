//! What changed between two documents.
//!
//! Documents are written whole, but most of a new one is what the old one said.
//! A node that holds the old one is told the difference only, which for a change
//! of one route is a few hundred bytes in place of the whole document. The hash
//! of the result is part of the difference, so that one which was put on the
//! wrong document, or was changed on its way, is refused whole.

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

/// Documents that are kept to tell what changed since: those of a storm of
/// versions which a node may have missed in part.
pub const MAX_HISTORY_DOCUMENTS: usize = 6;

record! {
    /// The difference between two documents.
    pub struct DocumentDelta {
        /// Version that it starts from.
        pub from: ConfigVersion,
        /// Hash of the document that it starts from.
        pub from_hash: ChainHash,
        /// Version that it leads to.
        pub to: ConfigVersion,
        /// Hash of the document that it leads to.
        pub to_hash: ChainHash,
        /// Resources that are new or changed.
        pub puts: Vec<Bytes>,
        /// Resources that are gone.
        pub removed: Vec<ResourceKey>,
    }
}

/// Returns what leads from one document to another.
///
/// # Errors
///
/// [`CodecError`] when a resource cannot be encoded.
pub fn delta_between(old: &ConfigState, new: &ConfigState) -> Result<DocumentDelta, CodecError> {
    let mut puts = Vec::new();
    for (key, held) in new.resources() {
        let before = old.resources().get(key);
        if before.is_none_or(|before| before.resource != held.resource) {
            puts.push(encode_resource(&held.resource)?);
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

/// Returns the document that a difference leads to.
///
/// # Errors
///
/// [`Rejection`] when it starts from another document or leads to another one
/// than it says.
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
        let held = Arc::new(VersionedResource { revision, resource });
        resources.insert(held.resource.key(), held);
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

/// The documents that were in force lately.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    states: VecDeque<ConfigState>,
}

impl DocumentHistory {
    /// Adds the document that was in force until now.
    pub fn push(&mut self, state: ConfigState) {
        if self.states.len() == MAX_HISTORY_DOCUMENTS {
            self.states.pop_front();
        }
        self.states.push_back(state);
    }

    /// Returns the document of a version that is still kept.
    pub fn get(&self, version: ConfigVersion) -> Option<&ConfigState> {
        self.states.iter().find(|state| state.version() == version)
    }
}
