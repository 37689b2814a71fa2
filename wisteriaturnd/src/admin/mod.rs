//! The resource API, the targets' announcements and the metrics.
//!
//! Reads show the view in force on this node, the same that its calls use.
//! [docs/API.md](../../../docs/API.md) has all requests.

pub mod change;
pub mod port;
pub mod reply;
pub mod view;
