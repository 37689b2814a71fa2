//! Configuration, computed as a fold over the records of the log.
//!
//! A version is the number of records folded. Every node folds the same
//! records in the same order with the same function, so all nodes agree on
//! the configuration without any communication between them. Each record is a
//! change, a batch of writes that is accepted or rejected atomically;
//! validation covers the whole set of resources that would result.
//!
//! The trade-off: a node must read every record, including rejected ones. The
//! alternative, a leader that validates changes before it writes them, needs a
//! lease and therefore a second coordination service.
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
