//! Target selection for calls.
//!
//! Health endpoints and load endpoints can be stale or misleading, so selection
//! relies on what this node has observed itself: calls in flight, the slot
//! usage that gates report with their answers, latency, and failures.
//!
//! See [docs/DESIGN.md](../../docs/DESIGN.md#5-the-request-path).

pub mod choose;
pub mod cost;
pub mod estimate;
pub mod limit;
pub mod load;
pub mod news;
pub mod stop;
