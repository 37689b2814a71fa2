//! The daemon of wisteriaturn: network I/O around the decision logic of the crate
//! `wisteriaturn`.
//!
//! One process runs next to each target. It accepts requests of callers
//! ([`ingress`]), admits calls to its target ([`gate`]), tracks the other nodes
//! ([`mesh`]), reads the log on behalf of its data centre if it is a relay
//! ([`control`]), and serves the resource API ([`admin`]). Every connection has its
//! own task, written as sequential code.
//!
//! See [docs/DESIGN.md](../../docs/DESIGN.md) and
//! [docs/OPERATIONS.md](../../docs/OPERATIONS.md).

pub mod admin;
pub mod claims;
pub mod control;
pub mod error;
pub mod gate;
pub mod http;
pub mod ingress;
pub mod jitter;
pub mod lifecycle;
pub mod logs;
pub mod mesh;
pub mod metrics;
pub mod node;
pub mod rollout;
pub mod settings;
pub mod stream;
pub mod team;
pub mod trial;
