//! Cluster membership: which nodes there are, what each one announces about
//! itself, and how the others see it.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
//! a node probes one member at a time, asks other members for an indirect probe
//! before it suspects the member, and a suspect can refute the suspicion.
//! Probes stay within a data centre, because links between regions are billed
//! and a loss on them says nothing about a node. Relays pass what they know on
//! to other data centres.
//!
//! See [docs/DESIGN.md](../../docs/DESIGN.md#4-membership).

pub mod directory;
pub mod isolation;
pub mod probe;
pub mod pull;
pub mod reader;
pub mod record;
pub mod role;
pub mod rumor;
pub mod table;
