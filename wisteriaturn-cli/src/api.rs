//! The resource API of a node, as the tool speaks it.

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

use crate::error::ToolError;

/// A reply with its JSON body.
#[derive(Debug)]
pub(crate) struct ApiReply {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body.
    pub(crate) body: Value,
}

/// A request.
#[derive(Debug)]
pub(crate) struct ApiRequest {
    /// Method.
    pub(crate) method: Method,
    /// Path with its query.
    pub(crate) path: String,
    /// Body.
    pub(crate) body: String,
    /// Revision that must be held.
    pub(crate) revision: Option<u64>,
}

/// A node and the token to write through it.
#[derive(Debug)]
pub(crate) struct NodeApi {
    address: SocketAddr,
    token: Option<String>,
}

impl NodeApi {
    /// Returns the API of the node at `address`.
    pub(crate) fn new(address: SocketAddr, token: Option<String>) -> Self {
        Self { address, token }
    }

    /// Gets a path.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, ToolError> {
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
            Err(ToolError::Refused(error_text(&reply)))
        }
    }

    /// Makes a request and reads the whole reply.
    pub(crate) async fn send(&self, request: ApiRequest) -> Result<ApiReply, ToolError> {
        let response = self.open(request).await?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| ToolError::Unknown(error.to_string()))?
            .to_bytes();
        let body = serde_json::from_slice(&body).unwrap_or_else(|_| {
            Value::String(String::from_utf8_lossy(&body).trim_end().to_owned())
        });
        Ok(ApiReply { status, body })
    }

    /// Makes a request whose reply the caller reads.
    pub(crate) async fn open(&self, request: ApiRequest) -> Result<Response<Incoming>, ToolError> {
        let unreachable =
            |error: std::io::Error| ToolError::Unreachable(format!("{}: {error}", self.address));
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(unreachable)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| ToolError::Unreachable(error.to_string()))?;
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
            .map_err(|error| ToolError::Usage(error.to_string()))?;
        // Once the request is on its way a write may have taken effect.
        sender
            .send_request(request)
            .await
            .map_err(|error| ToolError::Unknown(error.to_string()))
    }
}

/// Returns what a reply says is wrong.
pub(crate) fn error_text(reply: &ApiReply) -> String {
    let text = reply.body["error"]
        .as_str()
        .or_else(|| reply.body["reason"].as_str());
    match text {
        Some(text) => text.to_owned(),
        None => format!("status {}: {}", reply.status, reply.body),
    }
}
