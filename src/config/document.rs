//! Complete configurations, for sources that write a new document each time.
//!
//! Where operators write the complete configuration at once, there is nothing
//! to fold: a document replaces its predecessor, its own number is the version,
//! and only the newest one matters. Validation is the same as for a change, so
//! a document is accepted or rejected as a whole.
//!
//! The trade-off: a document with many routes is written again when one of them
//! changes. In return, a node that missed any number of versions needs a single
//! read, and no snapshots have to be written.
//!
//! A source may be restored from a copy that lacks its last records. It then gives their
//! offsets out again, so an offset counts only together with the era of the source in
//! which it was read; see [docs/decisions/0016](../../docs/decisions/0016-eras-of-the-store.md).
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
use crate::ids::{ConfigVersion, Offset, Revision, SourceEra};
use crate::log_port::BoxFuture;
use crate::rollout::state::RolloutOrder;

/// A complete configuration as its source wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Version assigned by the source; a later document has a higher one.
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
    /// Converts the document into the state that replaces `previous`.
    ///
    /// Unchanged resources are shared with `previous` and keep their revision,
    /// so a document takes memory only for what it changes.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the document is invalid.
    pub fn into_state(self, previous: &ConfigState) -> Result<ConfigState, Rejection> {
        let document = self;
        let revision = Revision(document.version.0);
        let mut resources = ResourceMap::new();
        for resource in document.resources {
            let key = resource.key();
            let old_entry = previous.resources().get(&key);
            let entry = match old_entry {
                Some(old_entry) if old_entry.resource == resource => Arc::clone(old_entry),
                _ => Arc::new(VersionedResource { revision, resource }),
            };
            if resources.insert(key.clone(), entry).is_some() {
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

/// Returns the hash of a document, by which nodes at the same version verify
/// that they hold the same document.
pub(crate) fn document_hash(
    version: ConfigVersion,
    resources: &ResourceMap,
) -> Result<ChainHash, Rejection> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&version.0.to_le_bytes());
    for entry in resources.values() {
        let bytes = encode_resource(&entry.resource)
            .map_err(|error| Rejection::Undecodable(error.to_string()))?;
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(&bytes);
    }
    Ok(*hasher.finalize().as_bytes())
}

/// The result of one read from a source of documents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DocumentBatch {
    /// The newest readable document, if there was one.
    pub newest: Option<ConfigDocument>,
    /// Offset at which the next read starts.
    pub next: Offset,
    /// Era of the source in which this was read.
    pub era: SourceEra,
    /// Orders to roll out a version, where roll-outs are served.
    pub orders: Vec<RolloutOrder>,
}

record! {
    /// A position in a source of documents. Later eras come after all offsets of earlier
    /// ones.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct SourcePosition {
        /// Era of the source.
        pub era: SourceEra,
        /// Offset of the next read.
        pub offset: Offset,
    }
}

impl fmt::Display for SourcePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.offset)
    }
}

type NewestFn = dyn Fn() -> BoxFuture<Result<DocumentBatch, LogError>> + Send + Sync;
type FollowFn =
    dyn Fn(Offset, Duration) -> BoxFuture<Result<DocumentBatch, LogError>> + Send + Sync;

/// A handle to a source of documents that is cheap to clone.
#[derive(Clone)]
pub struct DocumentPort {
    newest: Arc<NewestFn>,
    follow: Arc<FollowFn>,
}

impl DocumentPort {
    /// Returns a handle that calls `newest` to read the newest document and
    /// `follow` to wait for documents from an offset on.
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
    /// Returns a [`LogError`] if the source cannot be read.
    pub async fn newest(&self) -> Result<DocumentBatch, LogError> {
        (self.newest)().await
    }

    /// Reads documents from offset `from` on, waiting up to `wait` for one.
    ///
    /// # Errors
    ///
    /// Returns [`LogError::Trimmed`] if the source no longer retains `from`, or
    /// another [`LogError`] if it cannot be read.
    pub async fn follow(&self, from: Offset, wait: Duration) -> Result<DocumentBatch, LogError> {
        (self.follow)(from, wait).await
    }
}

impl fmt::Debug for DocumentPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DocumentPort").finish_non_exhaustive()
    }
}
