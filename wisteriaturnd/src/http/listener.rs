//! Accepts connections and serves HTTP until the node stops.
//!
//! A stop must not cut off any request, not even one that a caller has just
//! sent. Connections in the accept queue are therefore still accepted, and a
//! new connection gets some time to send its first request. While the node
//! drains, each response asks the client to close the connection, so that few
//! connections are open when the node stops. hyper's graceful shutdown is not
//! sufficient: it closes a connection from which it has not read a byte, even
//! if bytes have arrived.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio_io_timeout::TimeoutStream;
use tokio_util::task::TaskTracker;
use wisteriaturn::config::resource::LimitsSpec;

use crate::http::body::NodeBody;
use crate::node::{NodeHandle, NodeStage};

/// Timeout for receiving the head of a request. It limits clients that send the
/// head byte by byte.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for the first request on a connection that is open when the node
/// stops.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The limits of one port.
#[derive(Debug, Clone, Copy)]
pub struct PortLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Label under which connections above the maximum are counted as dropped.
    pub drop_cause: &'static str,
    /// Size in bytes of a connection's buffer for the head of a request.
    pub max_head_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Whether callers connect to this port. The limits in the configuration apply
    /// to callers only.
    pub is_for_callers: bool,
}

impl PortLimits {
    /// Returns the timeout for the head of a request. It starts at the end of the
    /// previous exchange, so it also limits how long a connection may stay idle,
    /// which the configuration sets for callers.
    fn head_timeout(&self, node: &NodeHandle) -> Duration {
        if !self.is_for_callers {
            return HEAD_TIMEOUT;
        }
        let view = node.view.load();
        let limits = view.config.limits.as_ref();
        limits.map_or(HEAD_TIMEOUT, LimitsSpec::idle_timeout)
    }
}

/// Accepts connections until the node stops, and serves each one in its own
/// task. Drops connections above the limit of the port.
pub async fn accept_until_stopped<F, T>(
    node: NodeHandle,
    listener: TcpListener,
    tracker: TaskTracker,
    limits: PortLimits,
    serve: F,
) where
    F: Fn(NodeHandle, TcpStream) -> T,
    T: Future<Output = ()> + Send + 'static,
{
    let semaphore = Arc::new(Semaphore::new(limits.max_connections));
    let spawn_serving = |stream: TcpStream| {
        let Ok(permit) = Arc::clone(&semaphore).try_acquire_owned() else {
            node.metrics.record_drop(limits.drop_cause);
            return;
        };
        let _ = stream.set_nodelay(true);
        let serving = serve(node.clone(), stream);
        tracker.spawn(async move {
            serving.await;
            drop(permit);
        });
    };
    let mut stage = node.stage.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage >= NodeStage::Stopping) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_serving(stream),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    for stream in accept_queued(listener) {
        spawn_serving(stream);
    }
}

/// Closes a listener and returns the connections that were in its queue.
///
/// [`TcpListener::accept`] is ready only after the runtime has polled the operating
/// system. A connection that was queued since would be reset, although its caller may
/// have sent a request. So the queue itself is asked, right before it is closed.
pub fn accept_queued(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(event = "accept-failed", port = "closing", error:% = error; "node");
            return streams;
        }
    };
    // The listener does not block, so an empty queue is an error as well.
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => streams.push(stream),
            Err(error) => {
                log::warn!(event = "accept-failed", port = "closing", error:% = error; "node");
            }
        }
    }
    streams
}

/// Serves HTTP on one connection until it closes or the node stops.
pub async fn serve_http<S, F, T>(node: &NodeHandle, stream: S, limits: PortLimits, handle: F)
where
    S: AsyncRead + AsyncWrite + Send + Unpin,
    F: Fn(Request<Incoming>) -> T,
    T: Future<Output = Response<NodeBody>>,
{
    // A client that stops reading would otherwise keep the slot of its call
    // forever.
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(node.settings.tuning.stall_timeout));
    let mut stage = node.stage.subscribe();
    let has_request = AtomicBool::new(false);
    let first_request = Notify::new();
    let service = service_fn(|request| {
        has_request.store(true, Ordering::Relaxed);
        first_request.notify_one();
        let handling = handle(request);
        async {
            let mut response = handling.await;
            let closing_stage = if limits.is_for_callers {
                NodeStage::LameDuck
            } else {
                NodeStage::Draining
            };
            if node.current_stage() >= closing_stage {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout(node))
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stage.wait_for(|stage| *stage >= NodeStage::Stopping) => {}
    }
    if !has_request.load(Ordering::Relaxed) {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = first_request.notified() => {}
            () = tokio::time::sleep(FIRST_REQUEST_TIMEOUT) => {}
        }
    }
    // Finishes the exchange in progress, then closes the connection.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
