//! Keeps the records of roll-outs, tells the operator, and repeats how one ended.

use std::time::{Duration, Instant};

use wisteriaturn::rollout::board::ServiceRollout;
use wisteriaturn::rollout::state::{RolloutOrder, RolloutPhase, RolloutRecord, RolloutVerdict};

use crate::jitter::jittered;
use crate::node::NodeHandle;
use crate::rollout::task::{BEAT_INTERVAL, WRITE_RETRY_PAUSE, line, merge, merge_record, spread};

/// Time for which the end of a roll-out is repeated to nodes that may have missed it.
const END_REPEATED_FOR: Duration = Duration::from_secs(10);

/// Time after which the first in line tells the operator of an end, in case the node that
/// led has ended before it did. By then, nodes that were started together agree on who that
/// is.
const END_TOLD_AFTER: Duration = Duration::from_secs(3);

/// Number of attempts to tell the operator.
const MAX_TELL_ATTEMPTS: usize = 20;

/// Records the start or the end of a roll-out in the log, and tells the operator what
/// stands there then.
pub(crate) async fn write(node: NodeHandle, order: RolloutOrder, verdict: Option<RolloutVerdict>) {
    let Some(port) = node.rollouts.port.clone() else {
        return;
    };
    let elapsed = node.rollouts.with_board(|board| {
        let known = board.find(&order)?;
        Some(known.elapsed(node.clock.now()))
    });
    let elapsed_ms = elapsed.unwrap_or_default().as_millis() as u64;
    let record = RolloutRecord {
        started_unix_ms: node.clock.unix_millis().saturating_sub(elapsed_ms),
        order: order.clone(),
        verdict,
    };
    match port.write(record).await {
        Ok(held) if held.order.offset == order.offset => {
            merge_record(&node, &held);
            node.rollouts.finish_write(&order.service, true);
            if let Some(state) = node
                .rollouts
                .with_board(|board| board.find(&order).map(|known| known.state.clone()))
                && state.phase.is_final()
            {
                spread(&node, state).await;
            }
            tell(&node, held).await;
        }
        Ok(held) => {
            log::warn!(
                event = "rollout-replaced",
                service:% = order.service,
                order:% = order.offset,
                held:% = held.order.offset;
                "rollout"
            );
            node.rollouts.finish_write(&order.service, false);
        }
        Err(error) => {
            log::warn!(
                event = "rollout-unrecorded",
                service:% = order.service,
                verdict:? = verdict,
                error:% = error;
                "rollout"
            );
            tokio::time::sleep(jittered(WRITE_RETRY_PAUSE)).await;
            node.rollouts.finish_write(&order.service, false);
        }
    }
}

/// Tells the operator what the log has recorded, until that succeeds or a later record has
/// taken its place.
async fn tell(node: &NodeHandle, record: RolloutRecord) {
    let Some(port) = node.rollouts.port.clone() else {
        return;
    };
    for _ in 0..MAX_TELL_ATTEMPTS {
        let is_outdated = node.rollouts.with_board(|board| {
            let known = board.find(&record.order);
            known.is_none_or(|known| record.verdict.is_none() && known.state.phase.is_final())
        });
        if is_outdated {
            return;
        }
        match port.tell(record.clone()).await {
            Ok(()) => {
                log::info!(
                    event = "rollout-told",
                    service:% = record.order.service,
                    version:% = record.order.version,
                    verdict:? = record.verdict;
                    "rollout"
                );
                return;
            }
            Err(error) => {
                log::warn!(event = "rollout-untold", service:% = record.order.service, error:% = error; "rollout");
                tokio::time::sleep(jittered(WRITE_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Repeats how a roll-out ended for a while, if this node is the first in line. One that
/// has only just been started also tells the operator, since the node that led may have
/// ended before it did.
pub(crate) async fn repeat_end(node: &NodeHandle, known: &ServiceRollout, now: Instant) {
    let is_recent = now.saturating_duration_since(known.phase_since) < END_REPEATED_FOR;
    let service = &known.state.order.service;
    if !is_recent || line(node, service).first() != Some(&node.address()) {
        return;
    }
    let mut notes = node.rollouts.take_notes(service, known.state.order.offset);
    let is_due = notes
        .told_at
        .is_none_or(|told_at| now.saturating_duration_since(told_at) >= BEAT_INTERVAL * 2);
    let is_overdue = now.saturating_duration_since(known.phase_since) >= END_TOLD_AFTER;
    if is_overdue && !notes.is_recorded && !notes.is_writing {
        notes.is_writing = true;
        let verdict = match known.state.phase {
            RolloutPhase::Completed => RolloutVerdict::Completed,
            _ => RolloutVerdict::RolledBack,
        };
        let order = known.state.order.clone();
        tokio::spawn(write(node.clone(), order, Some(verdict)));
    }
    if is_due {
        notes.told_at = Some(now);
    }
    node.rollouts.put_notes(service, notes);
    if is_due {
        let mut state = known.state.clone();
        state.beat += 1;
        if merge(node, state.clone()) {
            spread(node, state).await;
        }
    }
}
