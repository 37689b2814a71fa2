//! The interface to the node directory, through which nodes discover each
//! other.
//!
//! A starting node needs the address of one live node; everything else is
//! exchanged between the nodes themselves. The directory therefore holds one
//! entry for each node. An entry is written when its node starts, and the
//! entries are read at start and periodically after that. The directory is
//! never used to decide which nodes are alive; probing does that.
//!
//! An entry also names the targets that left its node, since these must be known even if
//! all nodes are restarted. So it is written again when a target leaves; see
//! [docs/decisions/0018](../../docs/decisions/0018-departures-outlive-nodes.md).
//!
//! A store that is restored from a copy may have lost entries. So an entry is also
//! written again when its node learns that the store was restored since; see
//! [docs/decisions/0016](../../docs/decisions/0016-eras-of-the-store.md).

use std::fmt;
use std::sync::Arc;

use crate::error::LogError;
use crate::ids::{NodeAddress, SourceEra};
use crate::log_port::BoxFuture;
use crate::member::record::MemberRecord;

type PublishFn = dyn Fn(MemberRecord) -> BoxFuture<Result<SourceEra, LogError>> + Send + Sync;
type ListFn = dyn Fn() -> BoxFuture<Result<Vec<MemberRecord>, LogError>> + Send + Sync;
type RemoveFn = dyn Fn(NodeAddress) -> BoxFuture<Result<(), LogError>> + Send + Sync;

/// A handle to the node directory, backed by any store. Clones share the same
/// store.
#[derive(Clone)]
pub struct DirectoryPort {
    publish: Arc<PublishFn>,
    list: Arc<ListFn>,
    remove: Arc<RemoveFn>,
}

impl DirectoryPort {
    /// Returns a handle that calls the given functions to publish, list and
    /// remove entries.
    pub fn new<P, L, R>(publish: P, list: L, remove: R) -> Self
    where
        P: Fn(MemberRecord) -> BoxFuture<Result<SourceEra, LogError>> + Send + Sync + 'static,
        L: Fn() -> BoxFuture<Result<Vec<MemberRecord>, LogError>> + Send + Sync + 'static,
        R: Fn(NodeAddress) -> BoxFuture<Result<(), LogError>> + Send + Sync + 'static,
    {
        Self {
            publish: Arc::new(publish),
            list: Arc::new(list),
            remove: Arc::new(remove),
        }
    }

    /// Writes the entry of a node, replacing an earlier one, and returns the era of the
    /// store in which it was written. Writing the same entry again is harmless.
    ///
    /// # Errors
    ///
    /// Returns the [`LogError`] of the underlying store.
    pub async fn publish(&self, record: MemberRecord) -> Result<SourceEra, LogError> {
        (self.publish)(record).await
    }

    /// Returns all entries that can be decoded.
    ///
    /// # Errors
    ///
    /// Returns the [`LogError`] of the underlying store.
    pub async fn list(&self) -> Result<Vec<MemberRecord>, LogError> {
        (self.list)().await
    }

    /// Removes the entry of a node that is gone.
    ///
    /// # Errors
    ///
    /// Returns the [`LogError`] of the underlying store.
    pub async fn remove(&self, address: NodeAddress) -> Result<(), LogError> {
        (self.remove)(address).await
    }
}

impl fmt::Debug for DirectoryPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DirectoryPort").finish_non_exhaustive()
    }
}
