//! The gate of the local target: the port that other nodes send calls to, and
//! the run of one call.

pub mod admit;
pub mod answer;
pub mod answer_kind;
pub mod crash;
pub mod port;
pub mod run;
pub mod send;
pub mod targets;
