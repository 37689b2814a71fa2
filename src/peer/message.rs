//! The typed messages between nodes.
//!
//! Datagrams carry probes and pushes, which may be lost. Requests go over a
//! connection, since their answers may be large and a loss must be noticed.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::config::delta::DocumentDelta;
use crate::error::CodecError;
use crate::gate::claim::{ClaimOutcome, ClaimRequest};
use crate::gate::ledger::CallResult;
use crate::gate::outcome::RefusalReason;
use crate::ids::{BootId, CallId, ConfigVersion, DataCentre, Incarnation, NodeAddress, Offset};
use crate::member::record::{MemberRecord, TargetDeparture};
use crate::member::rumor::Rumor;

/// Largest datagram in bytes; below the smallest usual path limit.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Bytes that rumors may take in one probe.
pub const MAX_RUMOR_BYTES: usize = 700;

/// Largest request or answer in bytes.
pub const MAX_FRAME_BYTES: usize = 20 * 1024 * 1024;

/// Bytes of configuration records in one answer.
pub const MAX_RECORDS_BYTES: usize = 1024 * 1024;

record! {
    /// What a node says of its state with every probe.
    #[derive(Copy)]
    pub struct NodeStatus {
        /// Version of the view in force.
        pub version: ConfigVersion,
        /// First bytes of the hash over the records folded.
        pub chain: u64,
        /// Digest over the members known.
        pub digest: u64,
    }

    /// A message without an answer, or with one that may be lost.
    pub enum Datagram {
        /// Asks whether the receiver answers.
        Ping {
            /// Number that the answer repeats.
            nonce: u64,
            /// State of the sender.
            status: NodeStatus,
            /// News.
            rumors: Vec<Rumor>,
        },
        /// Answers a ping.
        Ack {
            /// Number of the ping.
            nonce: u64,
            /// State of the sender.
            status: NodeStatus,
            /// News.
            rumors: Vec<Rumor>,
        },
        /// Asks the receiver to ping another node on the sender's behalf.
        IndirectPing {
            /// Number that the answer repeats.
            nonce: u64,
            /// Node to ping.
            target: NodeAddress,
        },
        /// Says that the node of a [`Datagram::IndirectPing`] answered.
        IndirectAck {
            /// Number of the request.
            nonce: u64,
        },
        /// A configuration record.
        Record {
            /// Version that the record leads to.
            version: ConfigVersion,
            /// The record, or nothing when it is too large for a datagram.
            record: Option<Bytes>,
        },
        /// Urgent news.
        Rumors {
            /// The news.
            rumors: Vec<Rumor>,
        },
        /// Says that the sender reads the source of documents for the receiver
        /// and had an answer just now.
        ReaderHeartbeat {
            /// Version in force at the sender.
            version: ConfigVersion,
            /// Where the sender goes on reading: all before it is in force, so
            /// that a receiver which has to read itself reads nothing twice.
            position: Offset,
        },
    }

    /// A request over a connection.
    pub enum PeerRequest {
        /// Asks for the members and the configuration, to start from them.
        Join {
            /// Record of the node that joins.
            record: MemberRecord,
            /// Digests of the members that it knows, so that it is told only
            /// of data centres that differ.
            digests: BTreeMap<DataCentre, u64>,
        },
        /// Compares the members of each data centre.
        Compare {
            /// Digests of the sender.
            digests: BTreeMap<DataCentre, u64>,
        },
        /// Gives records that the receiver may lack and asks for the rest.
        Exchange {
            /// Data centres that differ.
            data_centres: Vec<DataCentre>,
            /// All records of the sender in them.
            records: Vec<MemberRecord>,
        },
        /// Asks for the configuration after a version.
        Pull {
            /// Version that the sender holds.
            version: ConfigVersion,
        },
        /// Asks which live members of the receiver's data centre lack a version.
        Holders {
            /// The version.
            version: ConfigVersion,
        },
        /// Asks a keeper to claim or release keys.
        Claim(ClaimRequest),
        /// Asks what became of a call, through a node that may reach its gate.
        Inquire {
            /// Where the gate takes calls.
            hop: NodeAddress,
            /// The call.
            call: CallId,
            /// Life of the gate that the call went to.
            boot_id: BootId,
        },
    }

    /// The answer to a request.
    pub enum PeerAnswer {
        /// Try another node or come back later.
        Busy,
        /// The members, the state of the receiver, and the highest version
        /// and incarnation that it saw at the sender's address.
        Joined {
            /// Members of the data centres that differ.
            records: Vec<MemberRecord>,
            /// State of the receiver.
            status: NodeStatus,
            /// Whether the receiver's view is current.
            is_ready: bool,
            /// Version last seen at the sender's address.
            seen_version: ConfigVersion,
            /// Incarnation last seen at the sender's address.
            seen_incarnation: Incarnation,
            /// Targets that an earlier life of the sender knew to leave.
            departures: Vec<TargetDeparture>,
        },
        /// The data centres whose members differ.
        Differing(Vec<DataCentre>),
        /// Records that the receiver holds and the sender lacks.
        Records(Vec<MemberRecord>),
        /// Records of the configuration, without gaps.
        Tail {
            /// Version that the first record leads to.
            first: ConfigVersion,
            /// The records.
            records: Vec<Bytes>,
        },
        /// A snapshot of the configuration.
        Snapshot(Bytes),
        /// Who holds a version in one data centre.
        Holders(HolderReport),
        /// What became of claims, in the order asked.
        Claimed(Vec<ClaimOutcome>),
        /// What a gate said of a call.
        Inquired(InquiryAnswer),
        /// What changed since the document that the asker holds.
        Delta(DocumentDelta),
    }

    /// What a gate says of a call that it was asked about.
    pub enum InquiryAnswer {
        /// The call never started and never will.
        NotRun(RefusalReason),
        /// The call ended.
        Ended(CallResult),
        /// The gate cannot say.
        Unknown,
    }

    /// Who holds a version in one data centre.
    pub struct HolderReport {
        /// The data centre.
        pub data_centre: DataCentre,
        /// Live members that hold the version.
        pub holders: u32,
        /// Live members that do not, or did not answer.
        pub laggards: Vec<NodeAddress>,
    }
}

/// Encodes a message.
pub fn encode<T>(message: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    postcard::to_stdvec(message).map_err(|_| CodecError::Malformed)
}

/// Decodes a message; bytes left over are an error.
pub fn decode<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok(_) | Err(_) => Err(CodecError::Malformed),
    }
}
