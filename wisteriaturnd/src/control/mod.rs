//! How a node comes by its configuration and keeps it current.
//!
//! Either changes are folded from the log, or whole documents are followed at
//! their source. See [docs/DESIGN.md](../../../docs/DESIGN.md#2-configuration).

pub mod documents;
pub mod follow;
pub mod source;
pub mod start;
pub mod store;
