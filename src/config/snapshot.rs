//! Snapshots: the state at one version, so that a start does not need records
//! that the log no longer keeps.
//!
//! The fold is deterministic, so two writers make the same snapshot and no
//! lease is needed to write one. A snapshot is cut into records of bounded
//! size; each carries the hash of the whole, so a torn snapshot, or one mixed
//! from two writers, is never put together.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::config::change::{decode_resource, encode_resource};
use crate::config::fold::{ChainHash, ConfigState, FoldVerdict, VersionedResource};
use crate::config::validate::{ResourceMap, validate};
use crate::error::CodecError;
use crate::ids::{ChangeId, ConfigVersion, Revision};

/// First byte of an encoded snapshot.
pub const SNAPSHOT_FORMAT: u8 = 1;

/// Largest payload of one snapshot record in bytes.
pub const MAX_CHUNK_BYTES: usize = 128 * 1024;

/// Largest snapshot in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

#[derive(Debug, Serialize, Deserialize)]
struct RawSnapshot {
    version: ConfigVersion,
    chain: ChainHash,
    resources: Vec<(Revision, Bytes)>,
    recent: Vec<(ChangeId, ConfigVersion, FoldVerdict)>,
}

record! {
    /// One record of the snapshot stream.
    pub struct SnapshotChunk {
        /// Version of the snapshot.
        pub version: ConfigVersion,
        /// Hash of the whole snapshot.
        pub hash: [u8; 32],
        /// Position of this chunk, from 0.
        pub index: u32,
        /// Number of chunks.
        pub count: u32,
        /// Bytes of this chunk.
        pub bytes: Bytes,
    }
}

/// Encodes a state.
pub fn encode_snapshot(state: &ConfigState) -> Result<Bytes, CodecError> {
    let mut resources = Vec::with_capacity(state.resources().len());
    for held in state.resources().values() {
        resources.push((held.revision, encode_resource(&held.resource)?));
    }
    let raw = RawSnapshot {
        version: state.version(),
        chain: state.chain(),
        resources,
        recent: state.recent(),
    };
    let mut bytes = vec![SNAPSHOT_FORMAT];
    bytes.extend(postcard::to_stdvec(&raw).map_err(|_| CodecError::Malformed)?);
    Ok(Bytes::from(bytes))
}

/// Decodes a state and checks it as a whole.
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
    let (raw, rest): (RawSnapshot, _) =
        postcard::take_from_bytes(body).map_err(|_| CodecError::Malformed)?;
    if !rest.is_empty() {
        return Err(CodecError::Malformed);
    }
    let mut resources = ResourceMap::new();
    for (revision, bytes) in raw.resources {
        let resource = decode_resource(&bytes)?;
        resources.insert(
            resource.key(),
            Arc::new(VersionedResource { revision, resource }),
        );
    }
    validate(&resources).map_err(|_| CodecError::Malformed)?;
    Ok(ConfigState::from_parts(
        raw.version,
        raw.chain,
        resources,
        raw.recent,
    ))
}

/// Cuts an encoded snapshot into records.
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
    /// Encodes the chunk as a record of the log.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        postcard::to_stdvec(self)
            .map(Bytes::from)
            .map_err(|_| CodecError::Malformed)
    }
}

/// Puts snapshots together from the records of the snapshot stream.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    partial: BTreeMap<(ConfigVersion, [u8; 32]), BTreeMap<u32, Bytes>>,
    newest: Option<ConfigState>,
}

impl SnapshotAssembler {
    /// Returns a reader that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one record; records that do not fit are ignored.
    pub fn add_record(&mut self, record: &[u8]) {
        let Ok((chunk, _)) = postcard::take_from_bytes::<SnapshotChunk>(record) else {
            return;
        };
        let limit = MAX_SNAPSHOT_BYTES.div_ceil(MAX_CHUNK_BYTES) as u32;
        if chunk.count == 0 || chunk.count > limit || chunk.index >= chunk.count {
            return;
        }
        let place = (chunk.version, chunk.hash);
        let parts = self.partial.entry(place).or_default();
        parts.insert(chunk.index, chunk.bytes);
        if parts.len() < chunk.count as usize {
            return;
        }
        let whole: Vec<u8> = parts
            .values()
            .flat_map(|part| part.iter().copied())
            .collect();
        self.partial.remove(&place);
        if *blake3::hash(&whole).as_bytes() != place.1 {
            return;
        }
        if let Ok(state) = decode_snapshot(&whole) {
            self.offer(state);
        }
    }

    /// Returns the newest whole snapshot.
    pub fn into_newest(self) -> Option<ConfigState> {
        self.newest
    }

    fn offer(&mut self, state: ConfigState) {
        let held = self.newest.as_ref().map(ConfigState::version);
        if held.is_none_or(|held| held < state.version()) {
            self.newest = Some(state);
        }
    }
}
