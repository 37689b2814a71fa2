//! The record that a member announces about itself, and its state as seen by
//! the other members.

use std::net::SocketAddr;

use crate::ids::{
    DataCentre, Incarnation, InstanceId, LinkRate, NodeAddress, RegionName, Sequence, ServiceName,
    SlotCount, TargetVersion,
};

/// Maximum number of targets that one node announces.
pub const MAX_TARGETS: usize = 8;

/// Maximum number of target departures in a record. A few are enough: an
/// announcement is late by seconds only, and a VM seldom replaces its one
/// target.
pub const MAX_DEPARTURES: usize = 4;

record! {
    /// Whether a target accepts calls.
    #[derive(Copy)]
    pub enum TargetState {
        /// The target accepts calls.
        Serving,
        /// The target accepts no new calls and finishes those in flight.
        Draining,
    }

    /// A target as announced by the node that it is attached to.
    pub struct TargetRecord {
        /// The service that the target serves.
        pub service: ServiceName,
        /// The address of the target, on its VM.
        pub address: SocketAddr,
        /// Number of calls that the target runs concurrently.
        pub slots: SlotCount,
        /// Whether the target accepts calls.
        pub state: TargetState,
        /// The version of the target's software, where roll-outs are served.
        pub version: Option<TargetVersion>,
    }

    /// A target that announced that it is leaving.
    ///
    /// Peers keep it for the target's node: that node may be restarted before
    /// late announcements of the target arrive, and must not take them for
    /// those of a running target.
    pub struct TargetDeparture {
        /// The name of the target instance.
        pub instance: InstanceId,
        /// The incarnation of the instance.
        pub incarnation: Incarnation,
        /// Sequence number of the last announcement that was accepted.
        pub sequence: Sequence,
        /// The address at which the target served, if known.
        pub address: Option<SocketAddr>,
        /// Whether the target has left; otherwise it is draining.
        pub has_left: bool,
    }

    /// The state of a member. Of two states for the same incarnation and
    /// sequence of a member, the later one in this list takes precedence.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum MemberState {
        /// The member answers probes.
        Alive,
        /// Some node could not reach the member, which may still refute the
        /// suspicion.
        Suspect,
        /// The member did not refute the suspicion in time.
        Dead,
        /// The member announced that it leaves.
        Left,
    }

    /// A member of the mesh, as announced by itself, with its current state.
    pub struct MemberRecord {
        /// The peer address, which identifies the member.
        pub address: NodeAddress,
        /// The incarnation of the member.
        pub incarnation: Incarnation,
        /// Sequence number of the announcement in this incarnation.
        pub sequence: Sequence,
        /// The state of the member.
        pub state: MemberState,
        /// The region of the member.
        pub region: RegionName,
        /// The data centre of the member.
        pub data_centre: DataCentre,
        /// The address on which the member accepts calls from other nodes.
        pub hop: SocketAddr,
        /// Bandwidth of the network link of the member's VM.
        pub link: LinkRate,
        /// Whether the member's view is current, so that other nodes can start
        /// from it.
        pub is_ready: bool,
        /// The targets that the member announces.
        pub targets: Vec<TargetRecord>,
        /// The targets of the member that are leaving or have left.
        pub departures: Vec<TargetDeparture>,
    }
}

impl MemberRecord {
    /// Returns the precedence of this record among records of the same member;
    /// the greatest one wins.
    pub fn rank(&self) -> (Incarnation, Sequence, MemberState) {
        (self.incarnation, self.sequence, self.state)
    }

    /// Returns `true` if the member is expected to answer.
    pub fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns a hash of the address and rank. Table digests are made of these
    /// hashes.
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.address.to_string().as_bytes());
        hasher.update(&self.incarnation.0.to_le_bytes());
        hasher.update(&self.sequence.0.to_le_bytes());
        hasher.update(&[self.state as u8]);
        let mut prefix = [0; 8];
        hasher.finalize_xof().fill(&mut prefix);
        u64::from_le_bytes(prefix)
    }
}
