//! The typed messages between nodes.
//!
//! Datagrams carry probes and gossip, which may be lost. Requests are sent over
//! a connection, because their answers may be large and a loss must be
//! detected.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::config::delta::DocumentDelta;
use crate::config::document::SourcePosition;
use crate::error::CodecError;
use crate::gate::claim::{ClaimOutcome, ClaimRequest};
use crate::gate::ledger::CallResult;
use crate::gate::outcome::RefusalReason;
use crate::ids::{
    BootId, CallId, ConfigVersion, DataCentre, Incarnation, NodeAddress, Offset, ServiceName,
    TeamName,
};
use crate::member::record::{MemberRecord, TargetDeparture};
use crate::member::rumor::Rumor;
use crate::rollout::evidence::GateEvidence;
use crate::rollout::state::RolloutState;
use crate::team::keeper::AllowanceGrant;

/// Maximum size of a datagram in bytes, below the smallest common path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Maximum encoded size of the rumors in one probe, in bytes.
pub const MAX_RUMOR_BYTES: usize = 700;

/// Maximum encoded size of a request or an answer, in bytes.
pub const MAX_FRAME_BYTES: usize = 20 * 1024 * 1024;

/// Maximum total size of the configuration records in one answer, in bytes.
pub const MAX_RECORDS_BYTES: usize = 1024 * 1024;

record! {
    /// The state of a node, which is sent with every probe.
    #[derive(Copy)]
    pub struct NodeStatus {
        /// Version of the view that is in force.
        pub version: ConfigVersion,
        /// First bytes of the hash of the records or the document behind the
        /// version.
        pub chain: u64,
        /// Digest of the member table.
        pub digest: u64,
    }

    /// A message that has no answer, or whose answer may be lost.
    pub enum Datagram {
        /// Probes the receiver.
        Ping {
            /// Number that the answer repeats.
            nonce: u64,
            /// State of the sender.
            status: NodeStatus,
            /// Rumors that are piggybacked on the probe.
            rumors: Vec<Rumor>,
        },
        /// Answers a [`Datagram::Ping`].
        Ack {
            /// The nonce of the ping.
            nonce: u64,
            /// State of the sender.
            status: NodeStatus,
            /// Rumors that are piggybacked on the answer.
            rumors: Vec<Rumor>,
        },
        /// Asks the receiver to probe another node on the sender's behalf.
        IndirectPing {
            /// Number that the answer repeats.
            nonce: u64,
            /// The node to probe.
            target: NodeAddress,
        },
        /// Reports that the target of a [`Datagram::IndirectPing`] answered.
        IndirectAck {
            /// The nonce of the indirect ping.
            nonce: u64,
        },
        /// Announces a configuration record.
        Record {
            /// Version of the configuration after the record is applied.
            version: ConfigVersion,
            /// The record, or `None` if it is too large for a datagram.
            record: Option<Bytes>,
        },
        /// Carries rumors that are sent at once instead of with a probe.
        Rumors {
            /// The rumors.
            rumors: Vec<Rumor>,
        },
        /// Tells the receiver that the sender reads the document source for it
        /// and has just had an answer from the source.
        ReaderHeartbeat {
            /// Version that is in force at the sender.
            version: ConfigVersion,
            /// Position from which the sender goes on reading. Everything
            /// before it is in force, so that a receiver that has to read for
            /// itself reads nothing twice.
            position: Offset,
        },
        /// Replaces [`Datagram::ReaderHeartbeat`], which only earlier builds send.
        SourceHeartbeat {
            /// Version that is in force at the sender.
            version: ConfigVersion,
            /// Position from which the sender goes on reading.
            position: SourcePosition,
            /// Time since the source's last answer to the sender, in milliseconds.
            answer_age_ms: u32,
        },
        /// Returns to a restarted node the departures that it announced before.
        Departures {
            /// The departures.
            departures: Vec<TargetDeparture>,
        },
        /// Asks the keeper of a team's allowance for calls.
        AllowanceQuestion {
            /// The team.
            team: TeamName,
            /// Number of the question; a repeated one has the same.
            number: u64,
            /// Calls that the sender wants to make.
            wanted: u16,
            /// Whether the keeper that is first in line has not answered.
            is_first_silent: bool,
        },
        /// Answers an [`Datagram::AllowanceQuestion`].
        AllowanceAnswer {
            /// The team.
            team: TeamName,
            /// Number of the question.
            number: u64,
            /// The answer.
            grant: AllowanceGrant,
        },
        /// Tells the node that leads a roll-out what the sender's gate has seen of it.
        RolloutEvidence {
            /// The service.
            service: ServiceName,
            /// Offset of the order.
            order: Offset,
            /// What the gate has seen.
            evidence: GateEvidence,
        },
    }

    /// A request that is sent over a connection.
    pub enum PeerRequest {
        /// Sent by a joining node to ask for the members and the state of the
        /// receiver.
        Join {
            /// Record of the joining node.
            record: MemberRecord,
            /// Digests of the members that the joining node knows, so that the
            /// answer is limited to data centres that differ.
            digests: BTreeMap<DataCentre, u64>,
        },
        /// Compares the members of each data centre, as the first step of
        /// anti-entropy.
        Compare {
            /// The sender's digest of each data centre.
            digests: BTreeMap<DataCentre, u64>,
        },
        /// Sends records that the receiver may lack and asks for those that the
        /// sender lacks.
        Exchange {
            /// The data centres whose members differ.
            data_centres: Vec<DataCentre>,
            /// All records that the sender has of members in these data
            /// centres.
            records: Vec<MemberRecord>,
        },
        /// Asks for the configuration changes after a version.
        Pull {
            /// The version that the sender holds.
            version: ConfigVersion,
        },
        /// Asks which live members of the receiver's data centre lack a
        /// version.
        Holders {
            /// The version.
            version: ConfigVersion,
        },
        /// Asks a keeper to claim or release keys.
        Claim(ClaimRequest),
        /// Asks a node that may be able to reach the gate of a call to revoke
        /// the call there and to report its outcome.
        Inquire {
            /// The address on which the gate accepts calls from other nodes.
            hop: NodeAddress,
            /// The call.
            call: CallId,
            /// Boot id of the gate that the call was sent to.
            boot_id: BootId,
        },
    }

    /// The answer to a [`PeerRequest`].
    pub enum PeerAnswer {
        /// The receiver is busy: the sender should try another node or retry
        /// later.
        Busy,
        /// Answers a [`PeerRequest::Join`] with the members, the state of the
        /// receiver, and the highest version and incarnation that it has seen
        /// at the sender's address.
        Joined {
            /// Records of the members in the data centres that differ.
            records: Vec<MemberRecord>,
            /// State of the receiver.
            status: NodeStatus,
            /// Whether the receiver's view is current.
            is_ready: bool,
            /// Highest version seen at the sender's address.
            seen_version: ConfigVersion,
            /// Highest incarnation seen at the sender's address.
            seen_incarnation: Incarnation,
            /// Target departures that an earlier incarnation of the sender
            /// announced.
            departures: Vec<TargetDeparture>,
            /// The roll-outs that the receiver knows of.
            rollouts: Vec<RolloutState>,
        },
        /// The data centres whose members differ.
        Differing(Vec<DataCentre>),
        /// Records that the receiver holds and the sender lacks or has an older
        /// version of.
        Records(Vec<MemberRecord>),
        /// Consecutive configuration records.
        Tail {
            /// Version of the configuration after the first record is applied.
            first: ConfigVersion,
            /// The records.
            records: Vec<Bytes>,
        },
        /// A snapshot of the configuration.
        Snapshot(Bytes),
        /// Which members of one data centre hold a version.
        Holders(HolderReport),
        /// The verdicts on claims, in the order of the request.
        Claimed(Vec<ClaimOutcome>),
        /// What a gate reported about a call.
        Inquired(InquiryAnswer),
        /// The changes since the document that the sender holds.
        Delta(DocumentDelta),
    }

    /// A gate's answer to an inquiry about a call.
    pub enum InquiryAnswer {
        /// The call has not started and never will.
        NotRun(RefusalReason),
        /// The call ended.
        Ended(CallResult),
        /// The gate doesn't know.
        Unknown,
    }

    /// Which members of one data centre hold a version.
    pub struct HolderReport {
        /// The data centre.
        pub data_centre: DataCentre,
        /// Number of live members that hold the version or a later one.
        pub holders: u32,
        /// Live members that hold an earlier version or didn't answer.
        pub laggards: Vec<NodeAddress>,
    }
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] if the message cannot be serialized.
pub fn encode<T>(message: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    postcard::to_stdvec(message).map_err(|_| CodecError::Malformed)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] if the bytes cannot be decoded or if any
/// are left over.
pub fn decode<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok(_) | Err(_) => Err(CodecError::Malformed),
    }
}
