//! Teams: on whose behalf callers make calls, and what they may ask together.
//!
//! It is designed for many teams that share one mesh and compete for it: a few of them
//! large, one of them sending several times its usual, keys that are added and taken away
//! while calls wait.
//!
//! | module | decides |
//! |---|---|
//! | [`key`] | whose call it is |
//! | [`keeper`] | how many calls of a team the nodes may make, at the node that keeps its allowance |
//! | [`wallet`] | whether this node may make one more call, asks for more, or refuses it |
//!
//! See [docs/design/teams.md](../../docs/design/teams.md).

pub mod keeper;
pub mod key;
pub mod wallet;
