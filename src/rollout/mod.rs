//! Roll-outs: moving a service from one version of its targets to another.
//!
//! It is designed for a version that turns out to be bad: part of its answers are
//! failures or take several times as long, from the start or only after a while, under
//! load, or on one route. What a bad version may get of a service's calls is bounded over
//! all nodes, although each of them sees only its own.
//!
//! The trade-off: the bound is kept by each node for its own calls alone, so it needs no
//! message and holds for nodes that are cut off or were restarted. In return, a node with
//! few calls tries the new version seldom, and evidence has to be added up over all gates.
//!
//! | module | decides |
//! |---|---|
//! | [`share`] | whether this node may send one more call to a version on trial |
//! | [`evidence`] | whether a version answers worse than another at the same time |
//! | [`plan`] | the next phase of a roll-out, at the node that leads it |
//! | [`board`] | which targets a call may go to, by what this node knows |
//! | [`port`] | how records of roll-outs are kept in the log |
//!
//! See [docs/design/rollouts.md](../../docs/design/rollouts.md).

pub mod board;
pub mod evidence;
pub mod plan;
pub mod port;
pub mod share;
pub mod state;
