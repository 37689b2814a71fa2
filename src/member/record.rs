//! What a node says of itself, and its standing among the others.

use std::net::SocketAddr;

use crate::ids::{
    DataCentre, Incarnation, InstanceId, LinkRate, NodeAddress, RegionName, Sequence, ServiceName,
    SlotCount,
};

/// Most targets that one node vouches for.
pub const MAX_TARGETS: usize = 8;

/// Most ends of targets' lives in a record: late announcements are seconds late,
/// and a VM replaces its one target now and then.
pub const MAX_DEPARTURES: usize = 4;

record! {
    /// Whether a target takes calls.
    #[derive(Copy)]
    pub enum TargetState {
        /// The target takes calls.
        Serving,
        /// The target takes no new call and ends those it has.
        Draining,
    }

    /// A target as the node beside it vouches for it.
    pub struct TargetRecord {
        /// Service that the target serves.
        pub service: ServiceName,
        /// Address of the target, on its VM.
        pub address: SocketAddr,
        /// Calls that it runs at once.
        pub slots: SlotCount,
        /// Whether it takes calls.
        pub state: TargetState,
    }

    /// A target that said that it leaves, kept by peers for a node that may be
    /// restarted before the target's late announcements arrive.
    pub struct TargetDeparture {
        /// Name of the target.
        pub instance: InstanceId,
        /// Its life.
        pub incarnation: Incarnation,
        /// Number of its last announcement that was taken.
        pub sequence: Sequence,
        /// Where it served, if it was known.
        pub address: Option<SocketAddr>,
        /// Whether it has left; otherwise it drains.
        pub has_left: bool,
    }

    /// The standing of a member. A later one wins over an earlier one about
    /// the same statement of the member.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum MemberState {
        /// The member answers.
        Alive,
        /// Some node could not reach the member, which may refute it.
        Suspect,
        /// The member did not refute in time.
        Dead,
        /// The member said that it leaves.
        Left,
    }

    /// A member of the mesh.
    pub struct MemberRecord {
        /// Peer address, the identity of the member.
        pub address: NodeAddress,
        /// Life of the member.
        pub incarnation: Incarnation,
        /// Number of its statement in this life.
        pub sequence: Sequence,
        /// Standing.
        pub state: MemberState,
        /// Region.
        pub region: RegionName,
        /// Data centre.
        pub data_centre: DataCentre,
        /// Where it takes calls from other nodes.
        pub hop: SocketAddr,
        /// What the link of its VM carries.
        pub link: LinkRate,
        /// Whether its view is current, so that others may start from it.
        pub is_ready: bool,
        /// Targets that it vouches for.
        pub targets: Vec<TargetRecord>,
        /// Targets that it knows to leave.
        pub departures: Vec<TargetDeparture>,
    }
}

impl MemberRecord {
    /// Returns what orders two records of one member; the greater one wins.
    pub fn rank(&self) -> (Incarnation, Sequence, MemberState) {
        (self.incarnation, self.sequence, self.state)
    }

    /// Tells whether the member is expected to answer.
    pub fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns a hash of the rank, from which digests are made.
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.address.to_string().as_bytes());
        hasher.update(&self.incarnation.0.to_le_bytes());
        hasher.update(&self.sequence.0.to_le_bytes());
        hasher.update(&[self.state as u8]);
        let mut head = [0; 8];
        hasher.finalize_xof().fill(&mut head);
        u64::from_le_bytes(head)
    }
}
