//! One exchange with a log service over HTTP, whatever its protocol says.
//!
//! The one thing that every such protocol needs is to know whether a request
//! that failed was sent: a write that was not sent can be made again.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, StatusCode};
use tokio::time::timeout;
use wisteriaturn::clock::SharedClock;
use wisteriaturn::error::LogError;

use crate::http::body::full;
use crate::http::exchange::{self, ExchangeError};
use crate::http::pool::LinkPool;

/// Largest answer in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// A client of one log service; a cheap handle.
#[derive(Debug, Clone)]
pub struct LogClient {
    address: SocketAddr,
    answer_time: Duration,
    pool: LinkPool,
}

impl LogClient {
    /// Returns a client of the service at `address`, which has `answer_time`
    /// for an answer beyond what a request allows it to wait.
    pub fn new(address: SocketAddr, answer_time: Duration, clock: SharedClock) -> Self {
        Self {
            address,
            answer_time,
            pool: LinkPool::to_store(clock),
        }
    }

    /// Makes one request and returns the status and the body of its answer.
    ///
    /// # Errors
    ///
    /// [`LogError::Refused`] when the request was not sent, [`LogError::Indeterminate`]
    /// when it may have been.
    pub async fn exchange(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), LogError> {
        let exchange = self.exchange_now(method, path, body);
        timeout(wait + self.answer_time, exchange)
            .await
            .map_err(|_| LogError::Indeterminate("no answer in time".to_owned()))?
    }

    async fn exchange_now(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), LogError> {
        let refused = |why: String| LogError::Refused(why);
        let lost = |why: String| LogError::Indeterminate(why);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(full(body))
            .map_err(|error| refused(error.to_string()))?;
        loop {
            let mut link = self
                .pool
                .take(self.address)
                .await
                .map_err(|error| refused(error.to_string()))?;
            let response = match exchange::send(&mut link, request).await {
                Ok(response) => response,
                Err(ExchangeError::Unsent(unsent)) if link.is_reused => {
                    request = *unsent;
                    continue;
                }
                Err(ExchangeError::Unsent(_)) => return Err(refused("not sent".to_owned())),
                Err(ExchangeError::Lost(error)) => return Err(lost(error.to_string())),
            };
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_LIMIT)
                .collect()
                .await
                .map_err(|error| lost(error.to_string()))?
                .to_bytes();
            self.pool.give_back(link);
            return Ok((status, body));
        }
    }
}
