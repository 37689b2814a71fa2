//! A small HTTP client: one exchange, optionally over a kept connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, eyre};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for one exchange.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpReply {
    /// Returns a header's text, or nothing as an empty text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns what the mesh says became of the call.
    pub fn outcome(&self) -> &str {
        self.header("wisteriaturn-outcome")
    }

    /// Returns the body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A kept connection.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
}

impl HttpConnection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender, address })
    }

    /// Makes one exchange.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<HttpReply> {
        let mut request = Request::builder().method(method).uri(path);
        if !headers.iter().any(|(name, _)| *name == "host") {
            request = request.header("host", self.address.to_string());
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body)))?;
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        Ok(HttpReply {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: body.collect().await?.to_bytes(),
        })
    }
}

/// Makes one exchange over a connection of its own.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<HttpReply> {
    let exchange = async {
        let mut link = HttpConnection::open(address).await?;
        link.send(method, path, headers, body).await
    };
    timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .map_err(|_| eyre!("no answer from {address} in time"))?
}

/// Gets a path.
pub async fn get(address: SocketAddr, path: &str) -> Result<HttpReply> {
    send(address, "GET", path, &[], b"").await
}

/// Posts JSON.
pub async fn post(address: SocketAddr, path: &str, body: &str) -> Result<HttpReply> {
    send(address, "POST", path, &[], body.as_bytes()).await
}
