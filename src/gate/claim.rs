//! Claims on idempotency keys, decided by the order of records in a log stream.
//!
//! A gate runs a call with an idempotency key only after it has read its claim
//! back from the log and no earlier unexpired claim on the key precedes it.
//! Unlike a lease, which can expire while its holder is paused or partitioned
//! and still believes that it holds it, a position in the log stays valid. A
//! quorum of nodes would also work, but would amount to a replicated store of
//! our own.
//!
//! A claim expires after the key lifetime. Expiry is computed only from the
//! wall times in the records, so every reader of the stream reaches the same
//! result.
//!
//! See [docs/DESIGN.md](../../docs/DESIGN.md#6-at-most-once).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::error::CodecError;
use crate::ids::{BootId, CallId, KeyHash, Offset};

/// Format number in the first byte of a claim record.
pub const CLAIM_FORMAT: u8 = 1;

/// Number of log streams among which keys are distributed.
pub const CLAIM_STREAM_COUNT: u32 = 4;

/// Maximum number of items in one record.
pub const MAX_BATCH_ITEMS: usize = 2048;

/// Maximum number of keys that the reader of one stream holds.
pub const MAX_KEYS_PER_STREAM: usize = 400_000;

record! {
    /// The execution that holds a key.
    pub struct ClaimHolder {
        /// Identifies the execution by the call at the gate that runs it.
        pub call: CallId,
        /// Address at which the gate accepts calls from other nodes.
        pub hop: SocketAddr,
        /// Identifies the run of the gate's process.
        pub boot_id: BootId,
    }

    /// A claim on a key or its release.
    pub enum ClaimItem {
        /// Claims a key for an execution.
        Claim {
            /// The key.
            key: KeyHash,
            /// The execution that claims the key.
            holder: ClaimHolder,
        },
        /// Releases a key whose execution won the claim and then was not started.
        Release {
            /// The key.
            key: KeyHash,
            /// The execution that held it.
            call: CallId,
        },
    }

    /// A request from a gate to a keeper, a node that appends claims to a stream.
    pub struct ClaimRequest {
        /// Index of the stream.
        pub stream: u32,
        /// The claims and releases.
        pub items: Vec<ClaimItem>,
    }

    /// The result of a claim or release.
    pub enum ClaimOutcome {
        /// The execution holds the key, or the release was processed.
        Won,
        /// Another execution holds the key.
        Lost(ClaimHolder),
        /// The log could not be read or written before the deadline.
        Unavailable,
    }

    /// One record of a claim stream.
    pub struct ClaimBatch {
        /// Random identifier that finds the record in the log if the answer to its
        /// append was lost.
        pub id: CallId,
        /// Wall time of the writer, in milliseconds since the Unix epoch.
        pub wall_ms: u64,
        /// Time after which the claims expire, in milliseconds.
        pub lifetime_ms: u64,
        /// The claims and releases, in order.
        pub items: Vec<ClaimItem>,
    }
}

impl ClaimBatch {
    /// Encodes the batch as a log record.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        let mut record = vec![CLAIM_FORMAT];
        record.extend(postcard::to_stdvec(self).map_err(|_| CodecError::Malformed)?);
        Ok(Bytes::from(record))
    }
}

impl TryFrom<&[u8]> for ClaimBatch {
    type Error = CodecError;

    fn try_from(record: &[u8]) -> Result<Self, CodecError> {
        match record.split_first() {
            Some((&CLAIM_FORMAT, body)) => match postcard::take_from_bytes(body) {
                Ok((batch, [])) => Ok(batch),
                Ok(_) | Err(_) => Err(CodecError::Malformed),
            },
            Some((format, _)) => Err(CodecError::UnknownFormat(*format)),
            None => Err(CodecError::Malformed),
        }
    }
}

#[derive(Debug)]
struct HeldClaim {
    holder: ClaimHolder,
    expires_ms: u64,
}

/// The keys claimed in one stream, up to an offset.
#[derive(Debug, Default)]
pub struct ClaimTable {
    next: Offset,
    newest_ms: u64,
    keys: HashMap<KeyHash, HeldClaim>,
}

impl ClaimTable {
    /// Returns an empty table whose next record is at `next`, which must be at
    /// or before the first record that may hold an unexpired claim.
    pub fn starting_at(next: Offset) -> Self {
        Self {
            next,
            ..Self::default()
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the number of claimed keys in the table, including expired ones
    /// that have not been removed yet.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns `true` if the table holds no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Applies the next record and returns the outcome of each of its items.
    ///
    /// A record that cannot be decoded only advances the offset.
    pub fn apply(&mut self, record: &[u8]) -> Vec<ClaimOutcome> {
        self.next.0 += 1;
        let Ok(batch) = ClaimBatch::try_from(record) else {
            return Vec::new();
        };
        self.newest_ms = self.newest_ms.max(batch.wall_ms);
        let expires_ms = batch.wall_ms.saturating_add(batch.lifetime_ms);
        let mut outcomes = Vec::with_capacity(batch.items.len());
        for item in batch.items {
            outcomes.push(self.apply_item(item, batch.wall_ms, expires_ms));
        }
        outcomes
    }

    /// Returns the execution that holds a key.
    pub fn holder(&self, key: KeyHash) -> Option<&ClaimHolder> {
        self.keys.get(&key).map(|held| &held.holder)
    }

    /// Removes the keys that have expired for every possible later record.
    ///
    /// Time is measured by the newest record, or by the reader's wall time
    /// `now_ms` if that is later, since there may be no new records. Keys are
    /// kept for `clock_skew` beyond their expiry because the clocks of writers
    /// may differ.
    pub fn remove_expired(&mut self, now_ms: u64, clock_skew: Duration) {
        let clock_skew_ms = u64::try_from(clock_skew.as_millis()).unwrap_or(u64::MAX);
        let newest_ms = self.newest_ms.max(now_ms);
        self.keys
            .retain(|_, held| held.expires_ms.saturating_add(clock_skew_ms) > newest_ms);
    }

    fn apply_item(&mut self, item: ClaimItem, wall_ms: u64, expires_ms: u64) -> ClaimOutcome {
        match item {
            ClaimItem::Claim { key, holder } => match self.keys.get(&key) {
                Some(held) if held.holder.call == holder.call => ClaimOutcome::Won,
                Some(held) if held.expires_ms > wall_ms => ClaimOutcome::Lost(held.holder.clone()),
                Some(_) | None => {
                    self.keys.insert(key, HeldClaim { holder, expires_ms });
                    ClaimOutcome::Won
                }
            },
            ClaimItem::Release { key, call } => {
                if self
                    .keys
                    .get(&key)
                    .is_some_and(|held| held.holder.call == call)
                {
                    self.keys.remove(&key);
                }
                ClaimOutcome::Won
            }
        }
    }
}

/// Returns the index of the stream that a key belongs to.
pub fn stream_for_key(key: KeyHash) -> u32 {
    (key.0 % u128::from(CLAIM_STREAM_COUNT)) as u32
}

/// Returns the log stream name for a stream index.
pub fn stream_name(stream: u32) -> String {
    format!("claims-{stream}")
}
