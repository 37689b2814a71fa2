//! An HTTP client for the resource API of a node.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, HOST, IF_MATCH};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::error::CliError;

/// A response of the API.
#[derive(Debug)]
pub(crate) struct ApiReply {
    /// HTTP status code.
    pub(crate) status: u16,
    /// Body as JSON; a body that is not JSON becomes a JSON string.
    pub(crate) body: Value,
}

/// A request to the API.
#[derive(Debug)]
pub(crate) struct ApiRequest {
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Body; empty for a request without one.
    pub(crate) body: String,
    /// Revision that the resource must have, sent as `If-Match`.
    pub(crate) revision: Option<u64>,
}

/// A client of one node. It opens a new connection for each request.
#[derive(Debug)]
pub(crate) struct NodeClient {
    address: SocketAddr,
    token: Option<String>,
}

impl NodeClient {
    /// Returns a client of the node whose admin port is at `address`; `token` is
    /// sent as bearer token.
    pub(crate) fn new(address: SocketAddr, token: Option<String>) -> Self {
        Self { address, token }
    }

    /// Sends a `GET` request and returns the body of the response.
    ///
    /// Every status other than 200 is an error.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, CliError> {
        let reply = self
            .send(ApiRequest {
                method: Method::GET,
                path: path.to_owned(),
                body: String::new(),
                revision: None,
            })
            .await?;
        if reply.status == 200 {
            Ok(reply.body)
        } else {
            Err(CliError::Refused(error_message(&reply)))
        }
    }

    /// Sends a request and reads the whole response.
    pub(crate) async fn send(&self, request: ApiRequest) -> Result<ApiReply, CliError> {
        let response = self.open(request).await?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| CliError::Unknown(error.to_string()))?
            .to_bytes();
        let body = serde_json::from_slice(&body).unwrap_or_else(|_| {
            Value::String(String::from_utf8_lossy(&body).trim_end().to_owned())
        });
        Ok(ApiReply { status, body })
    }

    /// Sends a request and returns the response with its body unread.
    pub(crate) async fn open(&self, request: ApiRequest) -> Result<Response<Incoming>, CliError> {
        let unreachable =
            |error: std::io::Error| CliError::Unreachable(format!("{}: {error}", self.address));
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(unreachable)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| CliError::Unreachable(error.to_string()))?;
        tokio::spawn(connection);
        let mut builder = Request::builder()
            .method(request.method)
            .uri(request.path)
            .header(HOST, self.address.to_string());
        if let Some(token) = &self.token {
            builder = builder.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(revision) = request.revision {
            builder = builder.header(IF_MATCH, format!("\"{revision}\""));
        }
        let request = builder
            .body(Full::new(Bytes::from(request.body)))
            .map_err(|error| CliError::Usage(error.to_string()))?;
        // From here on the request may have been sent, so an error does not tell
        // whether a write took effect.
        sender
            .send_request(request)
            .await
            .map_err(|error| CliError::Unknown(error.to_string()))
    }
}

/// Returns the error message of a response: its `error` or `reason` field, or
/// the status and the body if it has neither.
pub(crate) fn error_message(reply: &ApiReply) -> String {
    let message = reply.body["error"]
        .as_str()
        .or_else(|| reply.body["reason"].as_str());
    match message {
        Some(message) => message.to_owned(),
        None => format!("status {}: {}", reply.status, reply.body),
    }
}
