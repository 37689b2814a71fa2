//! Choosing the target of a call.
//!
//! Health and load endpoints lag or mislead, so the choice rests on what this
//! node saw itself: calls under way, slots that gates reported with their
//! answers, latency, and failures.
//!
//! See [docs/DESIGN.md](../../docs/DESIGN.md#5-the-request-path).

pub mod choose;
pub mod cost;
pub mod estimate;
pub mod limit;
pub mod load;
