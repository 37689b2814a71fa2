//! The admin HTTP server: the resource API, target announcements and metrics.
//!
//! Reads return the configuration view of the node that serves them, which is
//! the view that its calls are routed by; it may lag behind other nodes.
//! [docs/API.md](../../../docs/API.md) lists all requests.

pub mod change;
pub mod explain;
pub mod port;
pub mod reply;
pub mod view;
