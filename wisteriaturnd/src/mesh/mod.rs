//! Communication between nodes: probes, rumors, requests and calls.
//!
//! Probes and rumors are sent as datagrams, which are cheap but may be lost.
//! What must arrive is sent over connections. See [docs/DESIGN.md](../../../docs/DESIGN.md#3-spreading).

pub mod departures;
pub mod directory;
pub mod gossip;
pub mod handshake;
pub mod hop;
pub mod peer_client;
pub mod peer_server;
pub mod prober;
pub mod rumors;
