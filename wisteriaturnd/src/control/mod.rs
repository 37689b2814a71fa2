//! How a node obtains its configuration and keeps it current.
//!
//! A node either folds changes from the log or reads whole documents from their
//! source. See [docs/DESIGN.md](../../../docs/DESIGN.md#2-configuration).

pub mod documents;
pub mod follow;
pub mod source;
pub mod start;
pub mod store;
