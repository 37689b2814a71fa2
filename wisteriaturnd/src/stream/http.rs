//! The adapter to the platform's log service over HTTP/1.1 and JSON.
//!
//! Everything specific to this protocol is in this file, so that supporting
//! another one takes one new file.
//! [docs/DESIGN.md](../../docs/DESIGN.md#7-the-edges) describes the requests.

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

/// How long the log service may take to respond, beyond the time for which a
/// read may be held open.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

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

/// Returns a [`LogPort`] to the log service at `address`.
pub fn http_log(address: SocketAddr, clock: SharedClock) -> LogPort {
    let log = HttpLog {
        client: LogClient::new(address, RESPONSE_TIMEOUT, clock),
    };
    let reader = log.clone();
    LogPort::new(
        move |stream, data| {
            let log = log.clone();
            Box::pin(async move { log.append(&stream, data).await })
        },
        move |request| {
            let log = reader.clone();
            Box::pin(async move { log.read(&request).await })
        },
    )
}

impl HttpLog {
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, LogError> {
        let path = format!("/streams/{stream}/records");
        let response = self
            .client
            .exchange(Method::POST, path, data, Duration::ZERO)
            .await?;
        let status = response.status();
        if status.is_client_error() {
            return Err(LogError::Refused(status.to_string()));
        }
        if status != StatusCode::OK {
            // The service may have written the record before it failed.
            return Err(LogError::Indeterminate(status.to_string()));
        }
        let reply: AppendReply = decode_json(response.body())?;
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
        let response = self
            .client
            .exchange(Method::GET, path, Bytes::new(), request.wait)
            .await?;
        let body = response.body();
        match response.status() {
            StatusCode::OK => decode_batch(decode_json(body)?, request.from),
            StatusCode::GONE => {
                let reply: TrimReply = decode_json(body)?;
                Err(LogError::Trimmed { first: reply.first })
            }
            status => Err(LogError::Indeterminate(status.to_string())),
        }
    }
}

fn decode_json<T>(body: &[u8]) -> Result<T, LogError>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body)
        .map_err(|error| LogError::Indeterminate(format!("malformed response: {error}")))
}

/// Decodes the records and checks that their offsets are consecutive from `from`
/// on, so that a delayed or duplicated response is never folded at the wrong
/// position.
fn decode_batch(reply: ReadReply, from: Offset) -> Result<LogBatch, LogError> {
    let mut records = Vec::with_capacity(reply.records.len());
    for (expected, record) in (from.0..).zip(reply.records) {
        let data = STANDARD
            .decode(&record.data)
            .map_err(|error| LogError::Indeterminate(format!("malformed record: {error}")))?;
        if record.offset.0 != expected {
            return Err(LogError::Indeterminate(
                "records are not consecutive".to_owned(),
            ));
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
