//! Whole configurations, for sources that write a new document each time.
//!
//! Where operators write the whole configuration at once, there is nothing to
//! fold: a document replaces everything before it, its own number is the
//! version, and only the newest one matters. Validation is the same as for a
//! change, so a document is accepted whole or rejected whole.
//!
//! The trade-off: a document of many routes is sent again for a change of one.
//! In return a node that missed any number of versions needs one read, and no
//! snapshots have to be written.
//!
//! See [docs/decisions/0007](../../docs/decisions/0007-programs-on-the-platform.md).

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::config::change::encode_resource;
use crate::config::fold::{ChainHash, ConfigState, VersionedResource};
use crate::config::resource::Resource;
use crate::config::validate::{Rejection, ResourceMap, validate};
use crate::error::LogError;
use crate::ids::{ConfigVersion, Offset, Revision};
use crate::log_port::BoxFuture;

/// A whole configuration as its source wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Version that the source gave it; a later document has a higher one.
    pub version: ConfigVersion,
    /// All resources.
    pub resources: Vec<Resource>,
}

impl TryFrom<ConfigDocument> for ConfigState {
    type Error = Rejection;

    fn try_from(document: ConfigDocument) -> Result<Self, Rejection> {
        document.into_state(&Self::new())
    }
}

impl ConfigDocument {
    /// Returns the state that this document puts in place of `before`. What did
    /// not change is shared with it, so that documents cost memory only for
    /// what they change.
    ///
    /// # Errors
    ///
    /// [`Rejection`] says what is wrong with the document.
    pub fn into_state(self, before: &ConfigState) -> Result<ConfigState, Rejection> {
        let document = self;
        let revision = Revision(document.version.0);
        let mut resources = ResourceMap::new();
        for resource in document.resources {
            let key = resource.key();
            let shared = before.resources().get(&key);
            let held = match shared {
                Some(shared) if shared.resource == resource => Arc::clone(shared),
                _ => Arc::new(VersionedResource { revision, resource }),
            };
            if resources.insert(key.clone(), held).is_some() {
                return Err(Rejection::WrittenTwice(key));
            }
        }
        validate(&resources)?;
        let chain = document_hash(document.version, &resources)?;
        Ok(ConfigState::from_parts(
            document.version,
            chain,
            resources,
            Vec::new(),
        ))
    }
}

/// Hashes a document, so that two nodes at one version can see that they hold
/// the same one.
pub(crate) fn document_hash(
    version: ConfigVersion,
    resources: &ResourceMap,
) -> Result<ChainHash, Rejection> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&version.0.to_le_bytes());
    for held in resources.values() {
        let bytes = encode_resource(&held.resource)
            .map_err(|error| Rejection::Undecodable(error.to_string()))?;
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(&bytes);
    }
    Ok(*hasher.finalize().as_bytes())
}

/// What one read of a source found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DocumentBatch {
    /// The newest document that could be read, if there was one.
    pub newest: Option<ConfigDocument>,
    /// Where the next read goes on.
    pub next: Offset,
}

type NewestFn = dyn Fn() -> BoxFuture<Result<DocumentBatch, LogError>> + Send + Sync;
type FollowFn =
    dyn Fn(Offset, Duration) -> BoxFuture<Result<DocumentBatch, LogError>> + Send + Sync;

/// A cheap handle to a source of documents.
#[derive(Clone)]
pub struct DocumentPort {
    newest: Arc<NewestFn>,
    follow: Arc<FollowFn>,
}

impl DocumentPort {
    /// Returns a port made of a function that reads the newest document and one
    /// that waits for documents from an offset on.
    pub fn new<N, F>(newest: N, follow: F) -> Self
    where
        N: Fn() -> BoxFuture<Result<DocumentBatch, LogError>> + Send + Sync + 'static,
        F: Fn(Offset, Duration) -> BoxFuture<Result<DocumentBatch, LogError>>
            + Send
            + Sync
            + 'static,
    {
        Self {
            newest: Arc::new(newest),
            follow: Arc::new(follow),
        }
    }

    /// Reads the newest document.
    ///
    /// # Errors
    ///
    /// [`LogError`] when the source does not answer.
    pub async fn newest(&self) -> Result<DocumentBatch, LogError> {
        (self.newest)().await
    }

    /// Reads documents from `from` on, waiting up to `wait` for one.
    ///
    /// # Errors
    ///
    /// [`LogError::Trimmed`] when the source no longer keeps `from`.
    pub async fn follow(&self, from: Offset, wait: Duration) -> Result<DocumentBatch, LogError> {
        (self.follow)(from, wait).await
    }
}

impl fmt::Debug for DocumentPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DocumentPort").finish_non_exhaustive()
    }
}
