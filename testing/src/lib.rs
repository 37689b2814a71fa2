//! Test support: stand-ins for the targets and the log service, and clusters of
//! node processes on one machine. It stays small, because the users' own test
//! bench will replace it.

pub mod client;
pub mod cluster;
pub mod experiment;
pub mod forwarder;
pub mod metrics;
pub mod plan;
pub mod process;
pub mod raw_target;
pub mod statement;
pub mod stating_target;
