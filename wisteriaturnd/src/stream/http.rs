//! The adapter to the platform's log over HTTP/1.1 and JSON.
//!
//! All that is particular to this protocol is in this file, so that another
//! one costs one file. [docs/DESIGN.md](../../docs/DESIGN.md#7-the-edges) has
//! the requests.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use wisteriaturn::clock::SharedClock;
use wisteriaturn::error::LogError;
use wisteriaturn::ids::Offset;
use wisteriaturn::log_port::{LogBatch, LogPort, LogRecord, ReadRequest};

use crate::stream::client::LogClient;

/// Time for the log to answer beyond what a read may wait.
const ANSWER_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Deserialize)]
struct AppendReply {
    offset: Offset,
}

#[derive(Debug, Deserialize)]
struct ReadReply {
    first: Offset,
    next: Offset,
    records: Vec<RecordReply>,
}

#[derive(Debug, Deserialize)]
struct RecordReply {
    offset: Offset,
    data: String,
}

#[derive(Debug, Deserialize)]
struct TrimReply {
    first: Offset,
}

#[derive(Clone)]
struct HttpLog {
    client: LogClient,
}

/// Returns a port to the log service at `address`.
pub fn http_log(address: SocketAddr, clock: SharedClock) -> LogPort {
    let service = HttpLog {
        client: LogClient::new(address, ANSWER_TIME, clock),
    };
    let reader = service.clone();
    LogPort::new(
        move |stream, data| {
            let service = service.clone();
            Box::pin(async move { service.append(&stream, data).await })
        },
        move |request| {
            let service = reader.clone();
            Box::pin(async move { service.read(&request).await })
        },
    )
}

impl HttpLog {
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, LogError> {
        let path = format!("/streams/{stream}/records");
        let (status, body) = self
            .client
            .exchange(Method::POST, path, data, Duration::ZERO)
            .await?;
        if status.is_client_error() {
            return Err(LogError::Refused(status.to_string()));
        }
        if status != StatusCode::OK {
            // The record may have been written before the error.
            return Err(LogError::Indeterminate(status.to_string()));
        }
        let reply: AppendReply = decode(&body)?;
        Ok(reply.offset)
    }

    async fn read(&self, request: &ReadRequest) -> Result<LogBatch, LogError> {
        let path = format!(
            "/streams/{}/records?from={}&limit={}&wait_ms={}",
            request.stream,
            request.from,
            request.limit,
            request.wait.as_millis()
        );
        let (status, body) = self
            .client
            .exchange(Method::GET, path, Bytes::new(), request.wait)
            .await?;
        match status {
            StatusCode::OK => to_batch(decode(&body)?, request.from),
            StatusCode::GONE => {
                let reply: TrimReply = decode(&body)?;
                Err(LogError::Trimmed { first: reply.first })
            }
            _ => Err(LogError::Indeterminate(status.to_string())),
        }
    }
}

fn decode<T>(body: &[u8]) -> Result<T, LogError>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body)
        .map_err(|error| LogError::Indeterminate(format!("bad answer: {error}")))
}

/// Checks that the records follow each other from the offset asked for: an
/// answer that was delayed or repeated must not be folded in a wrong place.
fn to_batch(reply: ReadReply, from: Offset) -> Result<LogBatch, LogError> {
    let mut records = Vec::with_capacity(reply.records.len());
    for (expected, record) in (from.0..).zip(reply.records) {
        let data = STANDARD
            .decode(&record.data)
            .map_err(|error| LogError::Indeterminate(format!("bad record: {error}")))?;
        if record.offset.0 != expected {
            return Err(LogError::Indeterminate("records out of order".to_owned()));
        }
        records.push(LogRecord {
            offset: record.offset,
            data: Bytes::from(data),
        });
    }
    Ok(LogBatch {
        first: reply.first,
        next: reply.next,
        records,
    })
}
