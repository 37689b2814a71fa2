//! Admission of calls to the target on a node's own VM.
//!
//! All calls to a target pass through the gate of its node. The gate owns the
//! target's slots and the record of the calls that were sent to it, so no other
//! component can guarantee that a call was not run. Guarantees about running a
//! call are therefore enforced here and not where the call entered the mesh.
//!
//! See [docs/DESIGN.md](../../docs/DESIGN.md#5-the-request-path).

pub mod announce;
pub mod claim;
mod expiry;
pub mod ledger;
pub mod notice;
pub mod outcome;
pub mod pace;
pub mod quarantine;
pub mod rate;
pub mod slots;
pub mod transfer;
