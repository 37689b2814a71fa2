//! Bounds on retries: how many, and until when.
//!
//! Calls go many services deep. If each layer retried freely, a failing leaf
//! would be hit a number of times that grows with a power of the depth. So
//! only the node next to a failure retries, within a budget, and never past
//! the deadline that travels with the call.

pub mod budget;
pub mod deadline;
