//! Stand-ins for what surrounds the mesh, and the means to run many processes
//! of it on one machine. Kept small: the users' own bench will replace it.

pub mod client;
pub mod cluster;
pub mod experiment;
pub mod forwarder;
pub mod metrics;
pub mod plan;
pub mod process;
