//! The newest log records, kept in memory so that a peer that is slightly behind
//! is sent only the records that it lacks.
//!
//! A peer that is behind the start of the tail is sent a snapshot. The tail is
//! bounded in bytes rather than records, so that a few large changes cannot
//! exhaust a node's memory.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::ids::ConfigVersion;

/// Maximum total size of the records kept in bytes.
pub const MAX_TAIL_BYTES: usize = 4 * 1024 * 1024;

/// The newest records of the configuration stream.
#[derive(Debug, Default)]
pub struct RecordTail {
    /// Version before the oldest record kept.
    base_version: ConfigVersion,
    records: VecDeque<Bytes>,
    total_bytes: usize,
}

impl RecordTail {
    /// Returns an empty tail whose first record will lead to the version after
    /// `version`.
    pub fn starting_at(version: ConfigVersion) -> Self {
        Self {
            base_version: version,
            ..Self::default()
        }
    }

    /// Adds the record of the next version, and drops the oldest records when
    /// the tail exceeds [`MAX_TAIL_BYTES`].
    pub fn push(&mut self, record: Bytes) {
        self.total_bytes += record.len();
        self.records.push_back(record);
        while self.total_bytes > MAX_TAIL_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.total_bytes -= oldest.len();
            self.base_version.0 += 1;
        }
    }

    /// Returns the records after `version`, or `None` if the tail does not reach
    /// back that far.
    ///
    /// At most `max_bytes` of records are returned, but always the first one.
    pub fn records_after(&self, version: ConfigVersion, max_bytes: usize) -> Option<Vec<Bytes>> {
        if version < self.base_version {
            return None;
        }
        let skip_count = usize::try_from(version.0 - self.base_version.0).ok()?;
        let mut total_bytes = 0;
        let mut records = Vec::new();
        for record in self.records.iter().skip(skip_count) {
            total_bytes += record.len();
            if total_bytes > max_bytes && !records.is_empty() {
                break;
            }
            records.push(record.clone());
        }
        Some(records)
    }
}
