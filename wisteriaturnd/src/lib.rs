//! The daemon of wisteriaturn: the sockets around the decisions.
//!
//! One process runs beside each target. It takes callers' requests (ingress),
//! guards its target (gate), knows the other nodes (member), sometimes reads
//! the log for its data centre (relay) and serves the resource API (admin).
//! Every connection and every peer has a task that is written straight down.
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
pub mod settings;
pub mod stream;
pub mod trial;
