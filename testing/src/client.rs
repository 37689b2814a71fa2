//! A small HTTP/1 client for single requests, each over a new connection or over
//! one that the caller keeps open.

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

/// Timeout of one request, including the connection attempt.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP response with its whole body.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpReply {
    /// Returns the value of a header, or an empty string if it is missing or not
    /// text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the call's outcome as the mesh reports it, such as `done` or
    /// `not-run`.
    pub fn outcome(&self) -> &str {
        self.header("wisteriaturn-outcome")
    }

    /// Returns the body as JSON, or `null` if it isn't valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// An open connection that sends one request after the other.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
}

impl HttpConnection {
    /// Connects to `address`.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(driver);
        Ok(Self { sender, address })
    }

    /// Sends a request and waits for the whole response.
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

/// Sends a request over a new connection and waits for the whole response, at most
/// [`REQUEST_TIMEOUT`].
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<HttpReply> {
    let exchange = async {
        let mut connection = HttpConnection::open(address).await?;
        connection.send(method, path, headers, body).await
    };
    timeout(REQUEST_TIMEOUT, exchange)
        .await
        .map_err(|_| eyre!("no response from {address} within {REQUEST_TIMEOUT:?}"))?
}

/// Sends a `GET` request.
pub async fn get(address: SocketAddr, path: &str) -> Result<HttpReply> {
    send(address, "GET", path, &[], b"").await
}

/// Sends a `POST` request with a JSON body.
pub async fn post(address: SocketAddr, path: &str, body: &str) -> Result<HttpReply> {
    send(address, "POST", path, &[], body.as_bytes()).await
}
