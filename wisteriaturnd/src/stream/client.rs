//! An HTTP client for log services, independent of the protocol on top of it.
//!
//! Its errors state whether a failed request may have been sent, because only a
//! write that was not sent can be retried safely.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response};
use tokio::time::timeout;
use wisteriaturn::clock::SharedClock;
use wisteriaturn::error::LogError;

use crate::http::body::full;
use crate::http::exchange::{self, ExchangeError};
use crate::http::pool::ConnectionPool;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A client of one log service. Clones share one connection pool.
#[derive(Debug, Clone)]
pub struct LogClient {
    address: SocketAddr,
    response_timeout: Duration,
    pool: ConnectionPool,
}

impl LogClient {
    /// Returns a client of the service at `address`.
    ///
    /// A request times out `response_timeout` after the time for which it allows
    /// the service to hold it open.
    pub fn new(address: SocketAddr, response_timeout: Duration, clock: SharedClock) -> Self {
        Self {
            address,
            response_timeout,
            pool: ConnectionPool::for_store(clock),
        }
    }

    /// Sends one request and returns the response with its whole body.
    /// `wait` is how long the service may hold the request open.
    ///
    /// # Errors
    ///
    /// Returns [`LogError::Refused`] if the request was not sent and
    /// [`LogError::Indeterminate`] if it may have been.
    pub async fn exchange(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        wait: Duration,
    ) -> Result<Response<Bytes>, LogError> {
        let exchange = self.exchange_without_timeout(method, path, body);
        timeout(wait + self.response_timeout, exchange)
            .await
            .map_err(|_| LogError::Indeterminate("timed out".to_owned()))?
    }

    /// Sends the request again if a reused connection turned out to be closed
    /// before any of it was sent.
    async fn exchange_without_timeout(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Result<Response<Bytes>, LogError> {
        let refused = |reason: String| LogError::Refused(reason);
        let indeterminate = |reason: String| LogError::Indeterminate(reason);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(full(body))
            .map_err(|error| refused(error.to_string()))?;
        loop {
            let mut connection = self
                .pool
                .acquire(self.address)
                .await
                .map_err(|error| refused(error.to_string()))?;
            let response = match exchange::send(&mut connection, request).await {
                Ok(response) => response,
                Err(ExchangeError::Unsent(unsent)) if connection.is_reused => {
                    request = *unsent;
                    continue;
                }
                Err(ExchangeError::Unsent(_)) => {
                    return Err(refused("the request was not sent".to_owned()));
                }
                Err(ExchangeError::Lost(error)) => return Err(indeterminate(error.to_string())),
            };
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|error| indeterminate(error.to_string()))?
                .to_bytes();
            self.pool.release(connection);
            return Ok(Response::from_parts(parts, body));
        }
    }
}
