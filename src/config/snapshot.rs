//! Snapshots of the state at one version, from which a node starts without the
//! records that the log has trimmed.
//!
//! The fold is deterministic, so two writers produce the same snapshot and no
//! lease is needed to write one. A snapshot is split into chunks of bounded
//! size, one per log record. Each chunk contains the hash of the whole snapshot,
//! so an incomplete snapshot or one mixed from two writers is never assembled.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::config::change::{decode_resource, encode_resource};
use crate::config::fold::{ChainHash, ConfigState, FoldVerdict, VersionedResource};
use crate::config::validate::{ResourceMap, validate};
use crate::error::CodecError;
use crate::ids::{ChangeId, ConfigVersion, Revision};

/// Format number in the first byte of an encoded snapshot.
pub const SNAPSHOT_FORMAT: u8 = 1;

/// Maximum payload of a snapshot chunk in bytes.
pub const MAX_CHUNK_BYTES: usize = 128 * 1024;

/// Maximum size of an encoded snapshot in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

#[derive(Debug, Serialize, Deserialize)]
struct EncodedSnapshot {
    version: ConfigVersion,
    chain: ChainHash,
    resources: Vec<(Revision, Bytes)>,
    recent: Vec<(ChangeId, ConfigVersion, FoldVerdict)>,
}

record! {
    /// A part of a snapshot, stored as one record of the snapshot stream.
    pub struct SnapshotChunk {
        /// Version of the snapshot.
        pub version: ConfigVersion,
        /// Hash of the whole snapshot.
        pub hash: [u8; 32],
        /// Position of this chunk in the snapshot, starting at 0.
        pub index: u32,
        /// Number of chunks in the snapshot.
        pub count: u32,
        /// Payload of this chunk.
        pub bytes: Bytes,
    }
}

/// Encodes a state as a snapshot.
pub fn encode_snapshot(state: &ConfigState) -> Result<Bytes, CodecError> {
    let mut resources = Vec::with_capacity(state.resources().len());
    for entry in state.resources().values() {
        resources.push((entry.revision, encode_resource(&entry.resource)?));
    }
    let encoded = EncodedSnapshot {
        version: state.version(),
        chain: state.chain(),
        resources,
        recent: state.recent(),
    };
    let mut bytes = vec![SNAPSHOT_FORMAT];
    bytes.extend(postcard::to_stdvec(&encoded).map_err(|_| CodecError::Malformed)?);
    Ok(Bytes::from(bytes))
}

/// Decodes a snapshot and validates its resources.
pub fn decode_snapshot(bytes: &[u8]) -> Result<ConfigState, CodecError> {
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        return Err(CodecError::TooLarge {
            length: bytes.len(),
            limit: MAX_SNAPSHOT_BYTES,
        });
    }
    let (format, body) = bytes.split_first().ok_or(CodecError::Malformed)?;
    if *format != SNAPSHOT_FORMAT {
        return Err(CodecError::UnknownFormat(*format));
    }
    let (encoded, trailing): (EncodedSnapshot, _) =
        postcard::take_from_bytes(body).map_err(|_| CodecError::Malformed)?;
    if !trailing.is_empty() {
        return Err(CodecError::Malformed);
    }
    let mut resources = ResourceMap::new();
    for (revision, bytes) in encoded.resources {
        let resource = decode_resource(&bytes)?;
        resources.insert(
            resource.key(),
            Arc::new(VersionedResource { revision, resource }),
        );
    }
    validate(&resources).map_err(|_| CodecError::Malformed)?;
    Ok(ConfigState::from_parts(
        encoded.version,
        encoded.chain,
        resources,
        encoded.recent,
    ))
}

/// Splits an encoded snapshot into chunks.
pub fn split_snapshot(version: ConfigVersion, snapshot: &Bytes) -> Vec<SnapshotChunk> {
    let hash = *blake3::hash(snapshot).as_bytes();
    let count = snapshot.len().div_ceil(MAX_CHUNK_BYTES);
    let mut chunks = Vec::with_capacity(count);
    for index in 0..count {
        let start = index * MAX_CHUNK_BYTES;
        let end = snapshot.len().min(start + MAX_CHUNK_BYTES);
        chunks.push(SnapshotChunk {
            version,
            hash,
            index: index as u32,
            count: count as u32,
            bytes: snapshot.slice(start..end),
        });
    }
    chunks
}

impl SnapshotChunk {
    /// Encodes the chunk as a log record.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        postcard::to_stdvec(self)
            .map(Bytes::from)
            .map_err(|_| CodecError::Malformed)
    }
}

/// Assembles snapshots from the records of the snapshot stream.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    incomplete: BTreeMap<(ConfigVersion, [u8; 32]), BTreeMap<u32, Bytes>>,
    newest: Option<ConfigState>,
}

impl SnapshotAssembler {
    /// Returns an assembler without any records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a record of the snapshot stream. Invalid records are ignored.
    pub fn add_record(&mut self, record: &[u8]) {
        let Ok((chunk, _)) = postcard::take_from_bytes::<SnapshotChunk>(record) else {
            return;
        };
        let max_count = MAX_SNAPSHOT_BYTES.div_ceil(MAX_CHUNK_BYTES) as u32;
        if chunk.count == 0 || chunk.count > max_count || chunk.index >= chunk.count {
            return;
        }
        let snapshot_id = (chunk.version, chunk.hash);
        let payloads = self.incomplete.entry(snapshot_id).or_default();
        payloads.insert(chunk.index, chunk.bytes);
        if payloads.len() < chunk.count as usize {
            return;
        }
        let snapshot: Vec<u8> = payloads
            .values()
            .flat_map(|payload| payload.iter().copied())
            .collect();
        self.incomplete.remove(&snapshot_id);
        if *blake3::hash(&snapshot).as_bytes() != snapshot_id.1 {
            return;
        }
        if let Ok(state) = decode_snapshot(&snapshot) {
            self.keep_if_newer(state);
        }
    }

    /// Returns the state of the newest complete snapshot.
    pub fn into_newest(self) -> Option<ConfigState> {
        self.newest
    }

    fn keep_if_newer(&mut self, state: ConfigState) {
        let newest_version = self.newest.as_ref().map(ConfigState::version);
        if newest_version.is_none_or(|version| version < state.version()) {
            self.newest = Some(state);
        }
    }
}
