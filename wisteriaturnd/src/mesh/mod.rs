//! What nodes say to each other: probes, news, requests, calls.
//!
//! Datagrams may be lost and are cheap; connections are kept for what must
//! arrive. See [docs/DESIGN.md](../../../docs/DESIGN.md#3-spreading).

pub mod directory;
pub mod gossip;
pub mod handshake;
pub mod hop;
pub mod peer_client;
pub mod peer_server;
pub mod prober;
pub mod rumors;
