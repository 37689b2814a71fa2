//! The interface through which records of roll-outs are kept.
//!
//! The log decides how a roll-out ended: of two nodes that record an end for one order, the
//! first one in the log wins, and both learn which it was. So no node has to be the only
//! one that leads.

use std::fmt;
use std::sync::Arc;

use crate::error::LogError;
use crate::ids::ServiceName;
use crate::log_port::BoxFuture;
use crate::rollout::state::RolloutRecord;

type WriteFn = dyn Fn(RolloutRecord) -> BoxFuture<Result<RolloutRecord, LogError>> + Send + Sync;
type ListFn = dyn Fn() -> BoxFuture<Result<Vec<RolloutRecord>, LogError>> + Send + Sync;
type TellFn = dyn Fn(RolloutRecord) -> BoxFuture<Result<(), LogError>> + Send + Sync;

/// A handle to the records of roll-outs. Clones share the same store.
#[derive(Clone)]
pub struct RolloutPort {
    write: Arc<WriteFn>,
    list: Arc<ListFn>,
    tell: Arc<TellFn>,
}

impl RolloutPort {
    /// Returns a handle that calls `write` to record a start or an end, `list` to read
    /// the newest record of each service, and `tell` to tell the operator.
    pub fn new<W, L, T>(write: W, list: L, tell: T) -> Self
    where
        W: Fn(RolloutRecord) -> BoxFuture<Result<RolloutRecord, LogError>> + Send + Sync + 'static,
        L: Fn() -> BoxFuture<Result<Vec<RolloutRecord>, LogError>> + Send + Sync + 'static,
        T: Fn(RolloutRecord) -> BoxFuture<Result<(), LogError>> + Send + Sync + 'static,
    {
        Self {
            write: Arc::new(write),
            list: Arc::new(list),
            tell: Arc::new(tell),
        }
    }

    /// Records the start or the end of a roll-out, and returns the newest record of the
    /// service: another one if another node was first.
    ///
    /// # Errors
    ///
    /// Returns the [`LogError`] of the underlying store. Writing the same record again is
    /// harmless.
    pub async fn write(&self, record: RolloutRecord) -> Result<RolloutRecord, LogError> {
        (self.write)(record).await
    }

    /// Returns the newest record of each service.
    ///
    /// # Errors
    ///
    /// Returns the [`LogError`] of the underlying store.
    pub async fn list(&self) -> Result<Vec<RolloutRecord>, LogError> {
        (self.list)().await
    }

    /// Tells the operator how far a roll-out is, by its record.
    ///
    /// # Errors
    ///
    /// Returns the [`LogError`] of the underlying store.
    pub async fn tell(&self, record: RolloutRecord) -> Result<(), LogError> {
        (self.tell)(record).await
    }

    /// Returns the newest record of one service.
    ///
    /// # Errors
    ///
    /// Same as [`Self::list`].
    pub async fn find(&self, service: &ServiceName) -> Result<Option<RolloutRecord>, LogError> {
        let records = self.list().await?;
        Ok(records
            .into_iter()
            .find(|record| record.order.service == *service))
    }
}

impl fmt::Debug for RolloutPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RolloutPort").finish_non_exhaustive()
    }
}
