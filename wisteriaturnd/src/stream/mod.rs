//! Adapters to the append-only log service, which stores streams of records.

pub mod client;
pub mod http;
pub mod memory;
