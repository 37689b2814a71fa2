//! Adapters to the service that keeps streams of records.

pub mod client;
pub mod http;
pub mod memory;
