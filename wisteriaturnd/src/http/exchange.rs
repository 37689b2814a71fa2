//! One HTTP exchange over a pooled connection.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::error::LinkError;
use crate::http::body::{BodyEnd, NodeBody, OnEndBody, boxed, with_stall_timeout};
use crate::http::pool::{ConnectionPool, PooledConnection};

/// How an exchange failed.
#[derive(Debug)]
pub enum ExchangeError {
    /// No byte of the request was sent; here it is again.
    Unsent(Box<Request<NodeBody>>),
    /// Some of the request may have been sent.
    Lost(LinkError),
}

/// Sends a request and returns the head of the answer with the connection,
/// which goes back to the pool once the body was read.
///
/// # Errors
///
/// [`ExchangeError`] tells whether anything can have been sent.
pub async fn send(
    link: &mut PooledConnection,
    request: Request<NodeBody>,
) -> Result<Response<Incoming>, ExchangeError> {
    match link.sender.try_send_request(request).await {
        Ok(response) => {
            link.apply_keep_alive(response.headers());
            Ok(response)
        }
        Err(mut error) => match error.take_message() {
            Some(request) => Err(ExchangeError::Unsent(Box::new(request))),
            None => Err(ExchangeError::Lost(LinkError::Lost(
                error.error().to_string(),
            ))),
        },
    }
}

/// Returns the body of an answer, which fails after `stall` without progress,
/// gives its connection back to the pool at its end and calls `on_end`.
pub fn pooled_body<F>(
    incoming: Incoming,
    link: PooledConnection,
    pool: &ConnectionPool,
    stall: Duration,
    on_end: F,
) -> NodeBody
where
    F: FnOnce(BodyEnd) + Send + Unpin + 'static,
{
    let pool = pool.clone();
    let mut link = Some(link);
    boxed(OnEndBody::new(
        with_stall_timeout(boxed(incoming), stall),
        move |end| {
            if let (BodyEnd::Whole, Some(link)) = (end, link.take()) {
                give_back_when_ready(pool, link);
            }
            on_end(end);
        },
    ))
}

/// Waits for the connection to finish its exchange before the pool has it: the
/// last byte of a body comes a moment before the connection is ready again.
fn give_back_when_ready(pool: ConnectionPool, mut link: PooledConnection) {
    if link.sender.is_ready() {
        pool.release(link);
        return;
    }
    tokio::spawn(async move {
        if link.sender.ready().await.is_ok() {
            pool.release(link);
        }
    });
}
