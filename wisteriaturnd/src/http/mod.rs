//! Connections, bodies and headers, on both sides of a node.

pub mod body;
pub mod exchange;
pub mod headers;
pub mod listener;
pub mod pool;
pub mod tcp_timeout;
