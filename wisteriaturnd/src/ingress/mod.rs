//! The ingress, where requests from callers enter the mesh.
//!
//! The ingress decides on routing, retries and deadlines, close to the caller.
//! Guarantees about the execution of a call, such as at-most-once, are enforced
//! by the gate of its target.

pub mod attempt;
pub mod call;
pub mod liveness;
pub mod overload;
pub mod pipeline;
pub mod port;
pub mod selection;
