//! Limits on retries: a budget and a deadline.
//!
//! Call chains pass through many services. If every layer retried without
//! limits, the load on a failing service at the end of the chain would grow
//! exponentially with its depth. So only the node next to a failure retries,
//! within a budget, and never beyond the deadline that is propagated with the
//! call.

pub mod budget;
pub mod deadline;
pub mod refused;
pub mod throttle;
