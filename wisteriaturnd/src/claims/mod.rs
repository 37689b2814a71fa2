//! Claims on idempotency keys, which are stored in the log.
//!
//! See [docs/decisions/0001](../../../docs/decisions/0001-keepers-by-the-log.md).

pub mod client;
pub mod keeper;
