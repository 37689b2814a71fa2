//! The newest records, kept so that a peer which is a little behind gets only
//! what it does not hold.
//!
//! A peer that is further behind than the tail reaches gets a snapshot. The
//! tail is bounded in bytes, because a few large changes must not push a node
//! over its memory.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::ids::ConfigVersion;

/// Most bytes of records kept.
pub const MAX_TAIL_BYTES: usize = 4 * 1024 * 1024;

/// The newest records of the configuration stream.
#[derive(Debug, Default)]
pub struct RecordTail {
    first: ConfigVersion,
    records: VecDeque<Bytes>,
    bytes: usize,
}

impl RecordTail {
    /// Returns a tail that starts after `version`.
    pub fn starting_at(version: ConfigVersion) -> Self {
        Self {
            first: version,
            ..Self::default()
        }
    }

    /// Adds the record that leads to the next version.
    pub fn push(&mut self, record: Bytes) {
        self.bytes += record.len();
        self.records.push_back(record);
        while self.bytes > MAX_TAIL_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.bytes -= oldest.len();
            self.first.0 += 1;
        }
    }

    /// Returns the records after `version` up to `limit` bytes, or nothing
    /// when the tail does not reach back that far.
    pub fn records_after(&self, version: ConfigVersion, limit: usize) -> Option<Vec<Bytes>> {
        if version < self.first {
            return None;
        }
        let skip = usize::try_from(version.0 - self.first.0).ok()?;
        let mut total = 0;
        let mut records = Vec::new();
        for record in self.records.iter().skip(skip) {
            total += record.len();
            if total > limit && !records.is_empty() {
                break;
            }
            records.push(record.clone());
        }
        Some(records)
    }
}
