//! The order, the phase and the record of a roll-out.

use std::fmt;

use crate::ids::{NodeAddress, Offset, Permille, ServiceName, TargetVersion};

record! {
    /// An operator's order to move a service to another version of its targets.
    ///
    /// Its offset in the operator's log identifies it: a later order for the same service
    /// replaces it, and the same order that is read again, also after the store was
    /// restored, is the same roll-out.
    pub struct RolloutOrder {
        /// Service whose targets are replaced.
        pub service: ServiceName,
        /// Version to which its calls are moved.
        pub version: TargetVersion,
        /// Offset of the order in the operator's log.
        pub offset: Offset,
        /// Time that the operator allows, in milliseconds.
        pub duration_ms: u64,
    }

    /// The phase of a roll-out. Of two phases that nodes report for one order, the later
    /// one in this list holds.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum RolloutPhase {
        /// A bounded share of the calls goes to the new version.
        Trial,
        /// All calls go to the new version.
        Shifted,
        /// The gates of the old targets refuse calls.
        Closing,
        /// No call goes to the new version; the log has not recorded that yet.
        Halted,
        /// The log has recorded that the new version replaces the old one.
        Completed,
        /// The log has recorded that the new version is given up.
        RolledBack,
    }

    /// What the leading node of a roll-out tells the others.
    pub struct RolloutState {
        /// The order.
        pub order: RolloutOrder,
        /// The phase.
        pub phase: RolloutPhase,
        /// Share of its calls that each node may send to the new version in
        /// [`RolloutPhase::Trial`].
        pub share: Permille,
        /// Rises with each message of the leading node; 0 until a node leads.
        pub beat: u64,
        /// The node that leads.
        pub leader: NodeAddress,
        /// Time left until the operator's limit, in milliseconds.
        pub remaining_ms: u64,
    }

    /// What the log keeps of a roll-out, so that it survives a restart of all nodes.
    pub struct RolloutRecord {
        /// The order.
        pub order: RolloutOrder,
        /// When a node first acted on the order, in milliseconds since the Unix epoch.
        pub started_unix_ms: u64,
        /// How it ended, or `None` while it runs. The first recorded end stands.
        pub verdict: Option<RolloutVerdict>,
    }

    /// How a roll-out ended.
    #[derive(Copy)]
    pub enum RolloutVerdict {
        /// The new version has replaced the old one.
        Completed,
        /// The new version was given up.
        RolledBack,
    }
}

/// All phases, in the order in which they take precedence.
pub const ROLLOUT_PHASES: [RolloutPhase; 6] = [
    RolloutPhase::Trial,
    RolloutPhase::Shifted,
    RolloutPhase::Closing,
    RolloutPhase::Halted,
    RolloutPhase::Completed,
    RolloutPhase::RolledBack,
];

impl RolloutPhase {
    /// Returns `true` if the log has recorded how the roll-out ended.
    pub fn is_final(self) -> bool {
        matches!(self, RolloutPhase::Completed | RolloutPhase::RolledBack)
    }

    /// Returns the name used in logs and the API.
    pub fn name(self) -> &'static str {
        match self {
            RolloutPhase::Trial => "trial",
            RolloutPhase::Shifted => "shifted",
            RolloutPhase::Closing => "closing",
            RolloutPhase::Halted => "halted",
            RolloutPhase::Completed => "completed",
            RolloutPhase::RolledBack => "rolled-back",
        }
    }
}

impl fmt::Display for RolloutPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl From<RolloutVerdict> for RolloutPhase {
    fn from(verdict: RolloutVerdict) -> Self {
        match verdict {
            RolloutVerdict::Completed => RolloutPhase::Completed,
            RolloutVerdict::RolledBack => RolloutPhase::RolledBack,
        }
    }
}

impl RolloutState {
    /// Returns the state of an order on which no node has acted yet. No call goes to the
    /// new version.
    pub fn new(order: RolloutOrder, reader: NodeAddress) -> Self {
        Self {
            remaining_ms: order.duration_ms,
            order,
            phase: RolloutPhase::Trial,
            share: Permille(0),
            beat: 0,
            leader: reader,
        }
    }

    /// Returns the precedence of this state among those of one service; the greatest
    /// holds. A share that was raised is not lowered again within the trial.
    pub fn rank(&self) -> (Offset, RolloutPhase, Permille, u64) {
        (self.order.offset, self.phase, self.share, self.beat)
    }
}
