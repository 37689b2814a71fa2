//! The gate: the only way into the target beside a node.
//!
//! It owns the target's slots and the record of what was sent to it, so it is
//! the one place that can truthfully say that a call was not run. What must
//! hold about running a call is therefore decided here and not where the call
//! entered the mesh.
//!
//! See [docs/DESIGN.md](../../docs/DESIGN.md#5-the-request-path).

pub mod announce;
pub mod claim;
pub mod ledger;
pub mod outcome;
pub mod quarantine;
pub mod slots;
