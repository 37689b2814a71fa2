//! The listener for callers, with one task per connection.

use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

use crate::http::listener::{PortLimits, accept_until_stopped, serve_http};
use crate::http::observed::ObservedStream;
use crate::ingress::call;
use crate::ingress::pipeline::CallPipeline;
use crate::node::NodeHandle;
use crate::team::identify::CallOrigin;

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 100;

/// Accepts connections from callers until the node stops.
pub async fn accept_task(node: NodeHandle, listener: TcpListener, tracker: TaskTracker) {
    let limits = PortLimits {
        max_connections: node.settings.tuning.max_connections,
        drop_cause: "ingress-connections",
        max_head_bytes: call::MAX_HEAD_BYTES,
        max_headers: MAX_HEADERS,
        is_for_callers: true,
    };
    accept_until_stopped(
        node,
        listener,
        tracker,
        limits,
        move |node, stream| async move {
            let pipeline = CallPipeline::new(node.clone(), origin_of(&stream));
            let scanner = pipeline.clone();
            let stream = ObservedStream::new(stream, move |bytes: &[u8]| {
                scanner.look_ahead(bytes);
                Ok(())
            });
            serve_http(&node, stream, limits, |request| pipeline.answer(request)).await;
        },
    )
    .await;
}

/// Returns where the calls on a connection come from. A target reaches its node from their
/// common VM.
fn origin_of(stream: &TcpStream) -> CallOrigin {
    match (stream.peer_addr(), stream.local_addr()) {
        (Ok(peer), Ok(local)) if peer.ip() == local.ip() || peer.ip().is_loopback() => {
            CallOrigin::OwnVm
        }
        _ => CallOrigin::Caller,
    }
}
