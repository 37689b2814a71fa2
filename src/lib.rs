//! The decision logic of wisteriaturn, a service mesh that distributes its own
//! configuration.
//!
//! Every node of the mesh runs the same code: it folds configuration changes
//! from an append-only log, keeps a table of the other nodes, selects a target
//! for each call and limits the load on the target that runs on its own VM.
//! This crate contains that logic and the interfaces it needs. It uses no
//! sockets and no HTTP types, so that tests can run it under a manual clock;
//! network I/O is in the `wisteriaturnd` crate.
//!
//! The trade-off: the daemon has to convert a few values between wire types and
//! the types of this crate. In return, property tests cover the logic without a
//! network.
//!
//! See [docs/DESIGN.md](../docs/DESIGN.md) for the design and
//! [docs/PROOFS.md](../docs/PROOFS.md) for the tests behind each guarantee.

#[macro_use]
mod macros;

pub mod buffer;
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
pub mod rollout;
pub mod route;
pub mod team;
