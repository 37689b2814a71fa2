//! Interface to the platform's append-only log.
//!
//! Everything that nodes must agree on or persist is written through it:
//! configuration, snapshots and claims of idempotency keys. [`LogPort`] is a
//! struct of closures rather than a trait, so that the HTTP adapter, the
//! in-memory log of `--trial` and a test fake are each one function that
//! returns it.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;

use crate::error::LogError;
use crate::ids::Offset;

/// A record of a stream and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Position of the record in the stream.
    pub offset: Offset,
    /// The appended bytes.
    pub data: Bytes,
}

/// The result of a read: consecutive records of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogBatch {
    /// First offset that the stream still retains.
    pub first: Offset,
    /// Offset that the next append to the stream will get.
    pub next: Offset,
    /// The records, without gaps.
    pub records: Vec<LogRecord>,
}

/// The parameters of a read.
#[derive(Debug, Clone)]
pub struct ReadRequest {
    /// Name of the stream.
    pub stream: String,
    /// First offset to return.
    pub from: Offset,
    /// Maximum number of records to return.
    pub limit: usize,
    /// How long to wait for a record when there is none yet.
    pub wait: Duration,
}

/// A boxed future, which gives all adapters the same type.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

type AppendFn = dyn Fn(String, Bytes) -> BoxFuture<Result<Offset, LogError>> + Send + Sync;
type ReadFn = dyn Fn(ReadRequest) -> BoxFuture<Result<LogBatch, LogError>> + Send + Sync;

/// Estimated size of the HTTP head of a request or a response.
const ESTIMATED_HEAD_BYTES: u64 = 160;

/// A handle to the log. Clones are cheap and share the traffic count.
#[derive(Clone)]
pub struct LogPort {
    append: Arc<AppendFn>,
    read: Arc<ReadFn>,
    traffic_bytes: Arc<AtomicU64>,
}

impl LogPort {
    /// Returns a handle that calls `append` and `read`.
    pub fn new<A, R>(append: A, read: R) -> Self
    where
        A: Fn(String, Bytes) -> BoxFuture<Result<Offset, LogError>> + Send + Sync + 'static,
        R: Fn(ReadRequest) -> BoxFuture<Result<LogBatch, LogError>> + Send + Sync + 'static,
    {
        Self {
            append: Arc::new(append),
            read: Arc::new(read),
            traffic_bytes: Arc::default(),
        }
    }

    /// Appends a record to `stream` and returns its offset.
    pub async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, LogError> {
        self.count_traffic(data.len());
        (self.append)(stream.to_owned(), data).await
    }

    /// Reads consecutive records of a stream.
    pub async fn read(&self, request: ReadRequest) -> Result<LogBatch, LogError> {
        let result = (self.read)(request).await;
        let records = result.iter().flat_map(|batch| &batch.records);
        // Records are sent in Base64, which is a third longer.
        self.count_traffic(records.map(|record| record.data.len() * 4 / 3).sum());
        result
    }

    /// Returns an estimate of the bytes sent to and received from the log.
    pub fn traffic_bytes(&self) -> u64 {
        self.traffic_bytes.load(Ordering::Relaxed)
    }

    fn count_traffic(&self, payload_bytes: usize) {
        let bytes = 2 * ESTIMATED_HEAD_BYTES + payload_bytes as u64;
        self.traffic_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl fmt::Debug for LogPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogPort").finish_non_exhaustive()
    }
}
