//! The decisions of wisteriaturn, a configuration distribution system for a
//! service mesh.
//!
//! Every node of the mesh runs the same code: it folds configuration changes
//! from an append-only log, keeps a table of the other nodes, picks a target
//! for each call and guards the target beside it. This crate holds those
//! decisions and the ports they need. It names no socket and no HTTP type, so
//! that a test can drive each decision with a clock of its own; the sockets
//! live in the `wisteriaturnd` crate.
//!
//! The trade-off: the daemon has to copy a few values between wire types and
//! the types here. In return a property test reaches every decision without a
//! network.
//!
//! See [docs/DESIGN.md](../docs/DESIGN.md) for the design and
//! [docs/PROOFS.md](../docs/PROOFS.md) for what proves each promise.

#[macro_use]
mod macros;

pub mod clock;
pub mod config;
pub mod error;
pub mod gate;
pub mod ids;
pub mod invariant;
pub mod log_port;
pub mod member;
pub mod peer;
pub mod retry;
pub mod route;
