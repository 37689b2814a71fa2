//! Configuration as a fold over the log.
//!
//! A version is the number of records folded. Every node folds the same
//! records in the same order with the same function, so all nodes agree on
//! what is in force without talking to each other about it. A record is one
//! change, a batch of writes, and is accepted or rejected whole; validation
//! looks at the whole set that would result.
//!
//! The trade-off: a node must see every record, also those that are rejected.
//! The other way, a leader that validates before it writes, needs a lease and
//! so a second coordination service.
//!
//! See [docs/DESIGN.md](../../docs/DESIGN.md#2-configuration).

pub mod change;
pub mod delta;
pub mod document;
pub mod fold;
pub mod resource;
pub mod snapshot;
pub mod tail;
pub mod validate;
pub mod view;
