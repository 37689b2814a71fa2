//! The port for callers: one task for each connection.

use tokio::net::TcpListener;
use tokio_util::task::TaskTracker;

use crate::http::listener::{PortLimits, accept_until_stopped, serve_http};
use crate::ingress::call;
use crate::ingress::pipeline::{CallPipeline, PeekStream};
use crate::node::NodeHandle;

/// Most headers of a request.
const HEADER_LIMIT: usize = 100;

/// Accepts callers until the node stops.
pub async fn accept_task(node: NodeHandle, listener: TcpListener, tracker: TaskTracker) {
    let limits = PortLimits {
        max_connections: node.settings.tuning.max_connections,
        drop_cause: "ingress-connections",
        max_head_bytes: call::MAX_HEAD_BYTES,
        max_headers: HEADER_LIMIT,
        is_for_callers: true,
    };
    accept_until_stopped(
        node,
        listener,
        tracker,
        limits,
        move |node, stream| async move {
            let pipeline = CallPipeline::new(node.clone());
            let stream = PeekStream::new(stream, pipeline.clone());
            serve_http(&node, stream, limits, |request| pipeline.answer(request)).await;
        },
    )
    .await;
}
