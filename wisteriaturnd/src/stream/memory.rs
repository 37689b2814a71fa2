//! An in-memory log, for `--trial` and for tests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::timeout;
use wisteriaturn::clock::lock;
use wisteriaturn::error::LogError;
use wisteriaturn::ids::Offset;
use wisteriaturn::log_port::{LogBatch, LogPort, LogRecord, ReadRequest};

#[derive(Debug, Default)]
struct MemoryLog {
    streams: Mutex<HashMap<String, Vec<Bytes>>>,
    appended: Notify,
}

impl MemoryLog {
    fn append(&self, stream: &str, data: Bytes) -> Offset {
        let mut streams = lock(&self.streams);
        let records = streams.entry(stream.to_owned()).or_default();
        records.push(data);
        let offset = Offset(records.len() as u64 - 1);
        drop(streams);
        self.appended.notify_waiters();
        offset
    }

    fn read(&self, request: &ReadRequest) -> LogBatch {
        let streams = lock(&self.streams);
        let records = streams
            .get(&request.stream)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let selected = (0..)
            .map(Offset)
            .zip(records)
            .skip(request.from.0 as usize)
            .take(request.limit)
            .map(|(offset, data)| LogRecord {
                offset,
                data: data.clone(),
            })
            .collect();
        LogBatch {
            first: Offset(0),
            next: Offset(records.len() as u64),
            records: selected,
        }
    }

    /// Reads a batch; if it would be empty, waits up to `request.wait` for one
    /// append to any stream and reads again.
    async fn read_or_wait(&self, request: &ReadRequest) -> LogBatch {
        let appended = self.appended.notified();
        let batch = self.read(request);
        if !batch.records.is_empty() || request.wait.is_zero() {
            return batch;
        }
        let _ = timeout(request.wait, appended).await;
        self.read(request)
    }
}

/// Returns a [`LogPort`] to a new, empty in-memory log.
pub fn memory_log() -> LogPort {
    let log = Arc::new(MemoryLog::default());
    let reader = Arc::clone(&log);
    LogPort::new(
        move |stream, data| {
            let log = Arc::clone(&log);
            Box::pin(async move { Ok::<_, LogError>(log.append(&stream, data)) })
        },
        move |request| {
            let log = Arc::clone(&reader);
            Box::pin(async move { Ok(log.read_or_wait(&request).await) })
        },
    )
}
