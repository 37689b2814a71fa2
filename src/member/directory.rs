//! The port to a place where nodes find each other.
//!
//! A starting node needs one address of a live one; everything else travels
//! between the nodes themselves. So the directory holds one entry for each
//! node, written at start, and is read at start and now and then after. It is
//! never taken for the truth about who lives: that is what probing is for.

use std::fmt;
use std::sync::Arc;

use crate::error::LogError;
use crate::ids::NodeAddress;
use crate::log_port::BoxFuture;
use crate::member::record::MemberRecord;

type PublishFn = dyn Fn(MemberRecord) -> BoxFuture<Result<(), LogError>> + Send + Sync;
type ListFn = dyn Fn() -> BoxFuture<Result<Vec<MemberRecord>, LogError>> + Send + Sync;
type RemoveFn = dyn Fn(NodeAddress) -> BoxFuture<Result<(), LogError>> + Send + Sync;

/// A cheap handle to the directory.
#[derive(Clone)]
pub struct DirectoryPort {
    publish: Arc<PublishFn>,
    list: Arc<ListFn>,
    remove: Arc<RemoveFn>,
}

impl DirectoryPort {
    /// Returns a port made of three functions.
    pub fn new<P, L, R>(publish: P, list: L, remove: R) -> Self
    where
        P: Fn(MemberRecord) -> BoxFuture<Result<(), LogError>> + Send + Sync + 'static,
        L: Fn() -> BoxFuture<Result<Vec<MemberRecord>, LogError>> + Send + Sync + 'static,
        R: Fn(NodeAddress) -> BoxFuture<Result<(), LogError>> + Send + Sync + 'static,
    {
        Self {
            publish: Arc::new(publish),
            list: Arc::new(list),
            remove: Arc::new(remove),
        }
    }

    /// Writes the entry of a node, in place of an earlier one.
    ///
    /// # Errors
    ///
    /// [`LogError`] as of the store behind it; writing again does no harm.
    pub async fn publish(&self, record: MemberRecord) -> Result<(), LogError> {
        (self.publish)(record).await
    }

    /// Reads all entries that can be decoded.
    ///
    /// # Errors
    ///
    /// [`LogError`] as of the store behind it.
    pub async fn list(&self) -> Result<Vec<MemberRecord>, LogError> {
        (self.list)().await
    }

    /// Removes the entry of a node that is gone.
    ///
    /// # Errors
    ///
    /// [`LogError`] as of the store behind it.
    pub async fn remove(&self, address: NodeAddress) -> Result<(), LogError> {
        (self.remove)(address).await
    }
}

impl fmt::Debug for DirectoryPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DirectoryPort").finish_non_exhaustive()
    }
}
