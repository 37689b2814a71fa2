//! The port to the platform's append-only log.
//!
//! All that must be agreed on or kept goes through this port: configuration,
//! snapshots and claims of idempotency keys. The port is a struct of closures
//! rather than a trait, so that the HTTP adapter, the in-memory log of
//! `--trial` and a fake in a test are each one function that returns it.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;

use crate::error::LogError;
use crate::ids::Offset;

/// A record of a stream with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// The bytes that were appended.
    pub data: Bytes,
}

/// A run of records.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogBatch {
    /// First offset that the stream still keeps.
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// The records, without gaps.
    pub records: Vec<LogRecord>,
}

/// Where to read in a stream.
#[derive(Debug, Clone)]
pub struct ReadRequest {
    /// Name of the stream.
    pub stream: String,
    /// First offset wanted.
    pub from: Offset,
    /// Most records wanted.
    pub limit: usize,
    /// How long to wait for a record when there is none.
    pub wait: Duration,
}

/// A future that is boxed so that different adapters have one type.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

type AppendFn = dyn Fn(String, Bytes) -> BoxFuture<Result<Offset, LogError>> + Send + Sync;
type ReadFn = dyn Fn(ReadRequest) -> BoxFuture<Result<LogBatch, LogError>> + Send + Sync;

/// Bytes counted for the head of a request or an answer.
const HEAD_BYTES: u64 = 160;

/// A cheap handle to the log.
#[derive(Clone)]
pub struct LogPort {
    append: Arc<AppendFn>,
    read: Arc<ReadFn>,
    bytes: Arc<AtomicU64>,
}

impl LogPort {
    /// Returns a port made of an append and a read function.
    pub fn new<A, R>(append: A, read: R) -> Self
    where
        A: Fn(String, Bytes) -> BoxFuture<Result<Offset, LogError>> + Send + Sync + 'static,
        R: Fn(ReadRequest) -> BoxFuture<Result<LogBatch, LogError>> + Send + Sync + 'static,
    {
        Self {
            append: Arc::new(append),
            read: Arc::new(read),
            bytes: Arc::default(),
        }
    }

    /// Appends a record to `stream` and returns its offset.
    pub async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, LogError> {
        self.count(data.len());
        (self.append)(stream.to_owned(), data).await
    }

    /// Reads records in order.
    pub async fn read(&self, request: ReadRequest) -> Result<LogBatch, LogError> {
        let batch = (self.read)(request).await;
        let records = batch.iter().flat_map(|batch| &batch.records);
        // Records travel in base 64, which is a third longer.
        self.count(records.map(|record| record.data.len() * 4 / 3).sum());
        batch
    }

    /// Returns about how many bytes went to and from the log.
    pub fn traffic_bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn count(&self, payload: usize) {
        let bytes = 2 * HEAD_BYTES + payload as u64;
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl fmt::Debug for LogPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogPort").finish_non_exhaustive()
    }
}
