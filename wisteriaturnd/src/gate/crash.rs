//! What a lost exchange says about its target and about the request.

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
use crate::mesh::news;
use crate::node::NodeHandle;

/// Time to see whether a target's process is gone after an exchange was lost.
const CRASH_CHECK_TIME: Duration = Duration::from_millis(200);

/// Notes how the body of an answer ended.
pub fn handle_body_end(node: NodeHandle, call: &GateCall, address: SocketAddr, end: BodyEnd) {
    let fingerprint = call.fingerprint;
    match end {
        BodyEnd::Whole => {
            let is_cleared = lock(&node.suspects).record_success(fingerprint);
            if is_cleared {
                tokio::spawn(async move {
                    news::spread(&node, Rumor::Cleared { fingerprint }).await;
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

/// Tells whether the process at an address is gone. One that is just ending may
/// still take a connection, but not keep it.
async fn is_gone(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    let Ok(Ok(mut stream)) = timeout(CRASH_CHECK_TIME, connecting).await else {
        return true;
    };
    let mut byte = [0];
    // A live target waits for a request, so only a closed connection is read.
    timeout(CRASH_CHECK_TIME, stream.read(&mut byte))
        .await
        .is_ok()
}

/// Looks whether the target's process is gone, and if so holds that against
/// the request and withdraws the target. Returns whether the request is suspect.
pub async fn check_crash(node: &NodeHandle, call: &GateCall, address: SocketAddr) -> bool {
    if !is_gone(address).await {
        return false;
    }
    node.metrics.target_losses.inc();
    node.target_pool.close_idle(address);
    // It announces itself again when it is back.
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
        news::spread(node, rumor).await;
    }
    true
}
