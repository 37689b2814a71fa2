//! The ingress: where callers' requests enter the mesh.
//!
//! Routing, retries and deadlines are decided here, next to the caller. What
//! must hold about running a call is left to the gate of its target.

pub mod attempt;
pub mod call;
pub mod liveness;
pub mod pipeline;
pub mod port;
pub mod selection;
