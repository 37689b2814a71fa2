//! Experiments with a mesh of real processes.

pub mod callers;
pub mod chaos;
pub mod cost;
pub mod faults;
pub mod known_red;
pub mod latency;
pub mod observer;
pub mod overload;
pub mod scale;
pub mod spread;
