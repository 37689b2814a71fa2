//! HTTP exchanges over pooled connections.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::error::LinkError;
use crate::http::body::{BodyEnd, NodeBody, OnEndBody, boxed, with_stall_timeout};
use crate::http::held_body::SendPermission;
use crate::http::observed::AbortHandle;
use crate::http::pool::{ConnectionPool, PooledConnection};

/// Maximum number of interim responses (1xx) to a request. Servers send one or two;
/// one that sends them without end never answers.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// The error of a failed exchange.
#[derive(Debug)]
pub enum ExchangeError {
    /// No byte of the request was sent. Contains the request, so that it can be
    /// sent over another connection.
    Unsent(Box<Request<NodeBody>>),
    /// The request may have been sent, fully or in part.
    Lost(LinkError),
}

/// Returns `true` if a response with this status ends an exchange.
///
/// Numbers above the classes are no status (RFC 9110, section 15). Of the interim ones, 101
/// ends an exchange only if the request asked for another protocol, and none does: a caller
/// that got it would take the bytes that follow for that protocol.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Sends a request and returns the response, whose body is not read yet.
///
/// A response without a valid status counts as lost: the request may have run.
///
/// [`pooled_body`] returns the connection to its pool once the body is read.
///
/// # Errors
///
/// Returns an [`ExchangeError`], which states whether any byte may have been
/// sent.
pub async fn send(
    connection: &mut PooledConnection,
    mut request: Request<NodeBody>,
) -> Result<Response<Incoming>, ExchangeError> {
    watch_interim_responses(&mut request, connection.abort.clone());
    match connection.sender.try_send_request(request).await {
        Ok(response) if !is_final_status(response.status()) => {
            let status = response.status().as_u16();
            log::warn!(event = "status-invalid", status = status; "http");
            let error = format!("status {status} ends no exchange, allowed: 200 to 599");
            Err(ExchangeError::Lost(LinkError::Lost(error)))
        }
        Ok(response) => {
            connection.apply_keep_alive(response.headers());
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

/// Lets a held body be sent once the other side asks for it, and ends the connection
/// if interim responses come without end.
fn watch_interim_responses(request: &mut Request<NodeBody>, abort: AbortHandle) {
    let permission = request.extensions().get::<SendPermission>().cloned();
    let count = AtomicU32::new(0);
    hyper::ext::on_informational(request, move |response| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
            log::warn!(event = "interim-responses-endless", count = MAX_INTERIM_RESPONSES; "gate");
            abort.abort();
        }
        if response.status() == StatusCode::CONTINUE
            && let Some(permission) = &permission
        {
            permission.grant();
        }
    });
}

/// Returns the body of a response. It fails after `timeout` without progress,
/// releases its connection to the pool when it is complete, and calls `on_end`
/// when it ends.
pub fn pooled_body<F>(
    incoming: Incoming,
    connection: PooledConnection,
    pool: &ConnectionPool,
    timeout: Duration,
    on_end: F,
) -> NodeBody
where
    F: FnOnce(BodyEnd) + Send + Unpin + 'static,
{
    let pool = pool.clone();
    let mut connection = Some(connection);
    boxed(OnEndBody::new(
        with_stall_timeout(boxed(incoming), timeout),
        move |end| {
            if let (BodyEnd::Whole, Some(connection)) = (end, connection.take()) {
                release_when_ready(pool, connection);
            }
            on_end(end);
        },
    ))
}

/// Releases a connection to its pool once it is ready for the next exchange,
/// which may be shortly after the last byte of the body was read.
fn release_when_ready(pool: ConnectionPool, mut connection: PooledConnection) {
    if connection.sender.is_ready() {
        pool.release(connection);
        return;
    }
    tokio::spawn(async move {
        if connection.sender.ready().await.is_ok() {
            pool.release(connection);
        }
    });
}
