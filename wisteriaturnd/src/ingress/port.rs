//! The port for callers: one task for each connection.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::task::TaskTracker;

use crate::ingress::call;
use crate::node::{NodeHandle, NodeStage};

/// Largest head of a request in bytes.
const HEAD_LIMIT: usize = 64 * 1024;

/// Most headers of a request.
const HEADER_LIMIT: usize = 100;

/// Time for the head of a request, against callers that send it byte by byte.
const HEAD_TIME: Duration = Duration::from_secs(10);

/// Accepts callers until the node stops.
pub async fn accept_task(node: NodeHandle, listener: TcpListener, tracker: TaskTracker) {
    let most = node.settings.tuning.max_connections;
    let connections = Arc::new(Semaphore::new(most));
    let mut stage = node.stage.subscribe();
    loop {
        // Connections that wait to be accepted when the node stops are still
        // served: a closed listener would reset them.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage >= NodeStage::Stopping) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            node.metrics.note_drop("ingress-connections");
            continue;
        };
        let node = node.clone();
        tracker.spawn(async move {
            serve(node, stream).await;
            drop(permit);
        });
    }
}

async fn serve(node: NodeHandle, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stage = node.stage.subscribe();
    let service = service_fn(|request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(call::handle(&node, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_headers(HEADER_LIMIT)
        .max_buf_size(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stage.wait_for(|stage| *stage >= NodeStage::Stopping) => {}
    }
    // The answer under way is sent whole; then the connection closes.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
