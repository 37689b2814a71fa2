//! Detects crashed targets.
//!
//! When an exchange with a target fails, the target's process may have crashed,
//! and the request may be the cause. If the process is gone, the target is
//! withdrawn and the request becomes suspect.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use wisteriaturn::clock::lock;
use wisteriaturn::member::rumor::Rumor;

use crate::gate::targets;
use crate::http::body::BodyEnd;
use crate::mesh::hop::GateCall;
use crate::mesh::rumors;
use crate::node::NodeHandle;

/// Timeout for each step of the check whether a target's process is gone.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Updates the suspects after the body of a target's answer ended: a complete
/// body clears the request, and a failed body starts the check for a crash.
pub fn handle_body_end(node: NodeHandle, call: &GateCall, address: SocketAddr, end: BodyEnd) {
    let fingerprint = call.fingerprint;
    match end {
        BodyEnd::Whole => {
            let is_cleared = lock(&node.suspects).record_success(fingerprint);
            if is_cleared {
                tokio::spawn(async move {
                    rumors::spread(&node, Rumor::Cleared { fingerprint }).await;
                });
            }
        }
        BodyEnd::Failed => {
            let call = call.clone();
            tokio::spawn(async move {
                check_crash(&node, &call, address).await;
            });
        }
        BodyEnd::Dropped => {}
    }
}

/// Returns `true` if there is no live process at an address. A process that is
/// terminating may still accept a connection, but closes it right away.
async fn is_process_gone(address: SocketAddr) -> bool {
    let connect = TcpStream::connect(address);
    let Ok(Ok(mut stream)) = timeout(CRASH_CHECK_TIMEOUT, connect).await else {
        return true;
    };
    let mut byte = [0];
    // A live target sends nothing before it has a request, so the read returns
    // only if the connection was closed.
    timeout(CRASH_CHECK_TIMEOUT, stream.read(&mut byte))
        .await
        .is_ok()
}

/// Checks whether the target's process is gone and, if it is, withdraws the target.
/// The request becomes suspect unless a request with the same fingerprint completed
/// recently. Returns `true` if the request is now suspect.
pub async fn check_crash(node: &NodeHandle, call: &GateCall, address: SocketAddr) -> bool {
    if !is_process_gone(address).await {
        return false;
    }
    node.metrics.target_losses.inc();
    node.target_pool.close_idle(address);
    // The target announces itself again once it is back.
    targets::withdraw(node, &call.service).await;
    let fingerprint = call.fingerprint;
    let now = node.clock.now();
    let loss = node.next_loss_id();
    let is_new = {
        let mut suspects = lock(&node.suspects);
        if suspects.has_recent_success(fingerprint) {
            return false;
        }
        suspects.record_target_loss(fingerprint, node.address(), loss, now)
    };
    log::warn!(event = "suspect", fingerprint:% = fingerprint, target:% = address; "gate");
    if is_new {
        let rumor = Rumor::Suspect {
            fingerprint,
            node: node.address(),
            loss,
        };
        rumors::spread(node, rumor).await;
    }
    true
}
