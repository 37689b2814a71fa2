//! Accepting and serving HTTP until the node stops.
//!
//! A stop must cut no request, also not one that its caller has just sent:
//! connections that wait to be accepted are still taken, one that has not
//! brought its first request yet gets a moment to do so, and while the node
//! drains every answer asks its caller to close the connection, so that few
//! are open when the node stops. hyper's graceful shutdown alone closes a
//! connection of which it has not read a byte, even when the bytes are there.

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

/// Time for the head of a request, against callers that send it byte by byte.
const HEAD_TIME: Duration = Duration::from_secs(10);

/// Time for the first request of a connection that is open when the node stops.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The bounds of one port.
#[derive(Debug, Clone, Copy)]
pub struct PortLimits {
    /// Connections that are open at once.
    pub max_connections: usize,
    /// Cause under which connections beyond that are counted.
    pub drop_cause: &'static str,
    /// Bytes that a connection buffers for the head of a request.
    pub max_head_bytes: usize,
    /// Most headers of a request.
    pub max_headers: usize,
    /// Whether callers connect here, for whom the configuration has limits.
    pub is_for_callers: bool,
}

impl PortLimits {
    /// Returns the time until the head of a request must be there, which counts
    /// from the end of the one before: a caller's connection may stay idle for
    /// as long as the configuration allows.
    fn head_timeout(&self, node: &NodeHandle) -> Duration {
        if !self.is_for_callers {
            return HEAD_TIME;
        }
        let view = node.view.load();
        let limits = view.config.limits.as_ref();
        limits.map_or(HEAD_TIME, LimitsSpec::idle_timeout)
    }
}

/// Accepts connections until the node stops, and serves each in a task.
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
    let connections = Arc::new(Semaphore::new(limits.max_connections));
    let mut stage = node.stage.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage >= NodeStage::Stopping) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            node.metrics.count_drop(limits.drop_cause);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let served = serve(node.clone(), stream);
        tracker.spawn(async move {
            served.await;
            drop(permit);
        });
    }
}

/// Serves HTTP on one connection until it closes or the node stops.
pub async fn serve_http<S, F, T>(node: &NodeHandle, stream: S, limits: PortLimits, handle: F)
where
    S: AsyncRead + AsyncWrite + Send + Unpin,
    F: Fn(Request<Incoming>) -> T,
    T: Future<Output = Response<NodeBody>>,
{
    // A caller that stops reading would hold the slot of its call for ever.
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(node.settings.tuning.stall_timeout));
    let mut stage = node.stage.subscribe();
    let has_request = AtomicBool::new(false);
    let first_request = Notify::new();
    let service = service_fn(|request| {
        has_request.store(true, Ordering::Relaxed);
        first_request.notify_one();
        let answering = handle(request);
        async {
            let mut response = answering.await;
            let last_stage = if limits.is_for_callers {
                NodeStage::LameDuck
            } else {
                NodeStage::Draining
            };
            if node.current_stage() >= last_stage {
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
            () = tokio::time::sleep(FIRST_REQUEST_TIME) => {}
        }
    }
    // The answer under way is sent whole; then the connection closes.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
