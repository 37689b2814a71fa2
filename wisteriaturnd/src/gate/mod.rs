//! The gate: the port that receives calls from other nodes, and the admission
//! and execution of each call at a target on this VM.

pub mod admit;
pub mod answer;
pub mod answer_kind;
pub mod crash;
mod notice;
mod pace;
pub mod port;
pub mod run;
pub mod send;
pub mod targets;
pub mod transfer;
