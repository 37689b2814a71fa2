//! Detection of gates that stop responding while they handle an attempt.

use std::time::Duration;

use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::ids::ServiceName;

use crate::mesh::gossip;
use crate::node::{NodeHandle, NodeStage};

/// Time without an answer after which the gate's node is probed. It is longer
/// than most calls run, so that few calls cause a probe.
const PROBE_DELAY: Duration = Duration::from_millis(400);

/// Pause between the end of one probe and the start of the next.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// How long to wait for the answer to a probe. A VM with a small share of a core
/// can be paused for up to 100 ms, and a slow link delays packets.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of consecutive unanswered probes after which an attempt is abandoned.
/// Abandoning it wrongly wastes a run that may be nearly done.
const MAX_MISSED_PROBES: u32 = 3;

/// Waits until the node of a target no longer answers probes.
///
/// If a node freezes or a link is cut, connections stay open, so an attempt would
/// wait until its deadline. Abandoning the attempt only helps if the call can be
/// retried. So this function keeps waiting while the retry budget of the service
/// is empty, or while this node is not ready, such as when it is stopping.
pub(crate) async fn wait_until_unresponsive(
    node: &NodeHandle,
    target: &TargetEntry,
    service: &ServiceName,
) {
    tokio::time::sleep(PROBE_DELAY).await;
    let mut missed = 0;
    loop {
        if gossip::ping(node, target.node, PROBE_TIMEOUT)
            .await
            .is_some()
        {
            missed = 0;
        } else {
            missed += 1;
        }
        let may_retry =
            node.current_stage() == NodeStage::Ready && node.retry_budget(service).has_retry();
        if missed >= MAX_MISSED_PROBES && may_retry {
            break;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    log::warn!(event = "gate-silent", target:% = target.node, missed = missed; "route");
}
