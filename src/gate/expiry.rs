//! Queues of call ids that are forgotten after a time, or earlier if there are too many.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::CallId;

/// Ids in the order in which they expire, with the time at which they do. The caller adds
/// them in that order.
#[derive(Debug, Default)]
pub(crate) struct ExpiryQueue(VecDeque<(Duration, CallId)>);

/// An id that was removed from an [`ExpiryQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RemovedId {
    /// The call.
    pub(crate) call: CallId,
    /// The time at which the id expires.
    pub(crate) expires_at: Duration,
    /// Whether it has expired. Otherwise, there were too many.
    pub(crate) has_expired: bool,
}

impl ExpiryQueue {
    /// Returns the number of ids.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Adds an id that expires no earlier than the others.
    pub(crate) fn push(&mut self, expires_at: Duration, call: CallId) {
        self.0.push_back((expires_at, call));
    }

    /// Removes the first id if it has expired or if there are more than `limit`.
    pub(crate) fn pop(&mut self, time: Duration, limit: usize) -> Option<RemovedId> {
        let (expires_at, call) = *self.0.front()?;
        let has_expired = expires_at <= time;
        if !has_expired && self.0.len() <= limit {
            return None;
        }
        self.0.pop_front();
        Some(RemovedId {
            call,
            expires_at,
            has_expired,
        })
    }
}
