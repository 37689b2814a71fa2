//! Claims of idempotency keys, decided by the order of a log stream.
//!
//! A gate runs a call with a key only after its claim was read back from the
//! log as the first live one. Log order cannot be held by mistake, so a gate
//! that was paused or cut off has nothing that could lapse. A lease would
//! lapse; a quorum of nodes would be a replicated store of our own.
//!
//! A claim lives for the key lifetime, counted between the wall times in the
//! records themselves, so every reader of the stream comes to the same end.
//!
//! See [docs/DESIGN.md](../../docs/DESIGN.md#6-at-most-once).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::error::CodecError;
use crate::ids::{BootId, CallId, KeyHash, Offset};

/// First byte of a claim record.
pub const CLAIM_FORMAT_VERSION: u8 = 1;

/// Streams over which keys are spread.
pub const CLAIM_STREAM_COUNT: u32 = 4;

/// Most items in one record.
pub const MAX_BATCH_ITEMS: usize = 2048;

/// Most keys that one stream's reader holds.
pub const MAX_KEYS_PER_STREAM: usize = 400_000;

record! {
    /// The run that holds a key.
    pub struct ClaimHolder {
        /// The run, which is the call at the gate that runs it.
        pub run: CallId,
        /// Where the gate takes calls from other nodes.
        pub hop: SocketAddr,
        /// Life of the gate.
        pub life: BootId,
    }

    /// One claim or release.
    pub enum ClaimItem {
        /// Claims a key for a run.
        Claim {
            /// The key.
            key: KeyHash,
            /// The run.
            holder: ClaimHolder,
        },
        /// Frees a key whose run won and then was not started.
        Release {
            /// The key.
            key: KeyHash,
            /// The run that held it.
            run: CallId,
        },
    }

    /// What a gate asks of a keeper.
    pub struct ClaimRequest {
        /// Number of the stream.
        pub stream: u32,
        /// The items.
        pub items: Vec<ClaimItem>,
    }

    /// What became of an item.
    pub enum ClaimOutcome {
        /// The run holds the key, or the release took effect.
        Won,
        /// Another run holds the key.
        Lost(ClaimHolder),
        /// The log could not be read or written in time.
        Unavailable,
    }

    /// One record of a claim stream.
    pub struct ClaimBatch {
        /// Chosen at random, to find the record after a lost answer.
        pub id: CallId,
        /// Wall time of the writer, in milliseconds since the Unix epoch.
        pub wall_ms: u64,
        /// How long the claims live, in milliseconds.
        pub lifetime_ms: u64,
        /// The items in order.
        pub items: Vec<ClaimItem>,
    }
}

impl ClaimBatch {
    /// Encodes the batch as a record of the log.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        let mut record = vec![CLAIM_FORMAT_VERSION];
        record.extend(postcard::to_stdvec(self).map_err(|_| CodecError::Malformed)?);
        Ok(Bytes::from(record))
    }
}

impl TryFrom<&[u8]> for ClaimBatch {
    type Error = CodecError;

    fn try_from(record: &[u8]) -> Result<Self, CodecError> {
        match record.split_first() {
            Some((&CLAIM_FORMAT_VERSION, body)) => match postcard::take_from_bytes(body) {
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

/// The keys of one stream, folded up to an offset.
#[derive(Debug, Default)]
pub struct ClaimTable {
    next: Offset,
    newest_ms: u64,
    keys: HashMap<KeyHash, HeldClaim>,
}

impl ClaimTable {
    /// Returns a fold that starts at `next`, which must be at or before the
    /// first record that can still be live.
    pub fn starting_at(next: Offset) -> Self {
        Self {
            next,
            ..Self::default()
        }
    }

    /// Returns the offset of the next record to fold.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Folds the next record. An undecodable one counts and changes nothing.
    pub fn apply(&mut self, record: &[u8]) -> Vec<ClaimOutcome> {
        self.next.0 += 1;
        let Ok(batch) = ClaimBatch::try_from(record) else {
            return Vec::new();
        };
        self.newest_ms = self.newest_ms.max(batch.wall_ms);
        let expires_ms = batch.wall_ms.saturating_add(batch.lifetime_ms);
        let mut verdicts = Vec::with_capacity(batch.items.len());
        for item in batch.items {
            verdicts.push(self.apply_item(item, batch.wall_ms, expires_ms));
        }
        verdicts
    }

    /// Returns the run that holds a key.
    pub fn holder(&self, key: KeyHash) -> Option<&ClaimHolder> {
        self.keys.get(&key).map(|held| &held.holder)
    }

    /// Drops keys that no later record can meet alive: by the newest record,
    /// or by the reader's wall time `now_ms` when nobody writes. Writers' clocks
    /// may differ, so keys stay for `slack` beyond their time.
    pub fn remove_expired(&mut self, now_ms: u64, slack: Duration) {
        let slack_ms = u64::try_from(slack.as_millis()).unwrap_or(u64::MAX);
        let newest_ms = self.newest_ms.max(now_ms);
        self.keys
            .retain(|_, held| held.expires_ms.saturating_add(slack_ms) > newest_ms);
    }

    fn apply_item(&mut self, item: ClaimItem, wall_ms: u64, expires_ms: u64) -> ClaimOutcome {
        match item {
            ClaimItem::Claim { key, holder } => match self.keys.get(&key) {
                Some(held) if held.holder.run == holder.run => ClaimOutcome::Won,
                Some(held) if held.expires_ms > wall_ms => ClaimOutcome::Lost(held.holder.clone()),
                Some(_) | None => {
                    self.keys.insert(key, HeldClaim { holder, expires_ms });
                    ClaimOutcome::Won
                }
            },
            ClaimItem::Release { key, run } => {
                if self
                    .keys
                    .get(&key)
                    .is_some_and(|held| held.holder.run == run)
                {
                    self.keys.remove(&key);
                }
                ClaimOutcome::Won
            }
        }
    }
}

/// Returns the number of the stream that a key belongs to.
pub fn stream_for_key(key: KeyHash) -> u32 {
    (key.0 % u128::from(CLAIM_STREAM_COUNT)) as u32
}

/// Returns the name of a claim stream.
pub fn stream_name(stream: u32) -> String {
    format!("claims-{stream}")
}
