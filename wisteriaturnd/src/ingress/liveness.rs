//! When to give up an attempt whose gate has fallen silent.

use std::time::Duration;

use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::ids::ServiceName;

use crate::mesh::gossip;
use crate::node::{NodeHandle, NodeStage};

/// Time after which a gate that has not answered is asked whether it lives:
/// longer than most runs, so that few calls pay for a probe.
const DOUBT_TIME: Duration = Duration::from_millis(400);

/// Pause between two such questions.
const DOUBT_PAUSE: Duration = Duration::from_millis(200);

/// Time for the answer: a VM with a small share of a core stands still for up
/// to a tenth of a second, and a thin link holds packets back.
const DOUBT_WAIT: Duration = Duration::from_millis(400);

/// Questions in a row without an answer after which an attempt is given up:
/// giving up wrongly costs a run that may be nearly done.
const DOUBT_LIMIT: u32 = 3;

/// Waits until the node of a target no longer answers probes. A frozen node
/// and a cut link leave connections open, so an attempt there would wait for
/// its whole deadline.
///
/// Giving up only helps a call that can be tried elsewhere, so it needs a retry
/// in the budget, and a node that stops gives up nothing that is under way.
pub(crate) async fn wait_until_unresponsive(
    node: &NodeHandle,
    target: &TargetEntry,
    service: &ServiceName,
) {
    tokio::time::sleep(DOUBT_TIME).await;
    let mut missed = 0;
    loop {
        if gossip::ping(node, target.node, DOUBT_WAIT).await.is_some() {
            missed = 0;
        } else {
            missed += 1;
        }
        let may_give_up =
            node.current_stage() == NodeStage::Ready && node.retry_budget(service).has_retry();
        if missed >= DOUBT_LIMIT && may_give_up {
            break;
        }
        tokio::time::sleep(DOUBT_PAUSE).await;
    }
    log::warn!(event = "gate-silent", target:% = target.node, missed = missed; "route");
}
