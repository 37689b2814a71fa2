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
pub mod body;
pub mod claims;
pub mod directory;
pub mod documents;
pub mod error;
pub mod exchange;
pub mod follow;
pub mod gate;
pub mod gossip;
pub mod handshake;
pub mod headers;
pub mod hop;
pub mod ingress;
pub mod keeper;
pub mod lifecycle;
pub mod listener;
pub mod log_client;
pub mod log_http;
pub mod log_memory;
pub mod logs;
pub mod metrics;
pub mod net;
pub mod news;
pub mod node;
pub mod peer_client;
pub mod peer_server;
pub mod pool;
pub mod prober;
pub mod settings;
pub mod start;
pub mod store;
pub mod targets;
pub mod trial;
