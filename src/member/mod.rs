//! Membership: which nodes there are, what each one says of itself, and what
//! others say of it.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
//! probe one member at a time, ask others before suspecting it, and let a
//! suspect refute. Probing stays within a data centre, since links between
//! regions are billed and their loss says nothing about a node; relays carry
//! what they know to other data centres.
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
