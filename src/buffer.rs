//! A bound on the bytes of request bodies that a node holds in memory.
//!
//! It is designed for many large uploads at once on VMs with little memory. A
//! body that is held whole can be sent again after a refusal, and it is received
//! before it takes a slot of a target. Without a common bound, a few hundred such
//! bodies would exceed the memory of a small VM. A body that finds no room is
//! streamed instead, which needs a slot for longer and allows one attempt only.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum number of bytes of request bodies that a node holds at once. It is a
/// tenth of the memory of the smallest VMs.
pub const MAX_HELD_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Counts the bytes of the bodies that are held. Clones share the count.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

/// Bytes that are reserved until this is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// Returns a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            used: Arc::default(),
            limit,
        }
    }

    /// Reserves bytes, or returns `None` if fewer are left.
    pub fn try_reserve(&self, bytes: usize) -> Option<ByteReservation> {
        self.used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
                used.checked_add(bytes).filter(|sum| *sum <= self.limit)
            })
            .ok()?;
        Some(ByteReservation {
            budget: self.clone(),
            bytes,
        })
    }

    /// Returns the number of reserved bytes.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
