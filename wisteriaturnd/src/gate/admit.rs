//! The admission of a call to the target beside this node.
//!
//! Everything here can still refuse the call as `not-run`, and each refusal is
//! logged with what decided.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::time::timeout_at;
use wisteriaturn::clock::lock;
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::gate::quarantine::QuarantineStatus;
use wisteriaturn::gate::slots::{LIKELY_RUN_FACTOR, QueueRank, SlotPermit, SlotRequest};

use crate::error::LinkError;
use crate::gate::targets::{self, LocalTarget};
use crate::http::pool::PooledConnection;
use crate::mesh::hop::GateCall;
use crate::node::{NodeHandle, NodeStage};

/// What a run holds of its target.
pub(crate) struct AdmittedCall {
    /// The slot.
    pub(crate) permit: SlotPermit,
    /// A connection to the target.
    pub(crate) link: PooledConnection,
    /// The target.
    pub(crate) target: Arc<LocalTarget>,
}

/// Admits a call or refuses it, and says so with what decided.
pub(crate) async fn admit(
    node: &NodeHandle,
    call: &GateCall,
) -> Result<AdmittedCall, RefusalReason> {
    let came = node.clock.now();
    let admitted = admit_now(node, call).await;
    let waited = node.clock.now().saturating_duration_since(came);
    let reason = admitted
        .as_ref()
        .err()
        .map_or("none", |reason| reason.name());
    let load = node
        .targets
        .get(&call.service)
        .map(|target| target.gate.load());
    log::info!(
        event = "admission",
        request:% = call.request_text(),
        service:% = call.service,
        reason = reason,
        waited_us = waited.as_micros() as u64,
        busy = load.map_or(0, |load| load.busy),
        waiting = load.map_or(0, |load| load.waiting),
        aim_ms = call.aim.remaining(came).as_millis() as u64,
        deadline_ms = call.deadline.remaining(came).as_millis() as u64;
        "gate"
    );
    admitted
}

/// Checks all that can refuse a call, waits for a slot and for a connection.
async fn admit_now(node: &NodeHandle, call: &GateCall) -> Result<AdmittedCall, RefusalReason> {
    match node.current_stage() {
        NodeStage::Starting => return Err(RefusalReason::NotReady),
        NodeStage::Draining | NodeStage::Stopping | NodeStage::Closing => {
            return Err(RefusalReason::Draining);
        }
        NodeStage::LameDuck if !node.was_ready.load(Ordering::Acquire) => {
            return Err(RefusalReason::NotReady);
        }
        NodeStage::Ready | NodeStage::LameDuck => {}
    }
    let now = node.clock.now();
    let standing = lock(&node.suspects).status(call.fingerprint, now);
    if let QuarantineStatus::Quarantined(_) = standing {
        return Err(RefusalReason::Quarantined);
    }
    let target = node
        .targets
        .get(&call.service)
        .ok_or(RefusalReason::NoTarget)?;
    let until = call.deadline.at();
    let run = expected_run(node, call, &target);
    let closes = *lock(&node.gate_closes_at);
    if closes.is_some_and(|closes| now + run.mul_f64(LIKELY_RUN_FACTOR) > closes) {
        return Err(RefusalReason::Draining);
    }
    let demand = SlotRequest {
        rank: QueueRank::new(call.class, call.priority),
        latency_target: call.aim.at(),
        deadline: until,
        expected_run: run,
        max_wait: call.patience,
    };
    let acquired = timeout_at(until.into(), target.gate.acquire_for(demand)).await;
    let permit = acquired.map_err(|_| RefusalReason::Deadline)??;
    let waited = node.clock.now().duration_since(now);
    node.metrics.gate_wait_seconds.observe(waited.as_secs_f64());
    if !call.deadline.allows_attempt(node.clock.now()) {
        return Err(RefusalReason::Deadline);
    }
    let link = connect(node, call, &target).await?;
    Ok(AdmittedCall {
        permit,
        link,
        target,
    })
}

/// Returns how long a call is expected to hold its slot: as long as those of its
/// route, or as any if there was none yet.
fn expected_run(node: &NodeHandle, call: &GateCall, target: &LocalTarget) -> Duration {
    let of_route = call
        .route
        .as_ref()
        .and_then(|route| node.run_estimates.measured(route));
    of_route.map_or_else(|| target.gate.load().mean_run, |held| held.run_time)
}

/// Notes how long a call held its slot.
pub(crate) fn record_run(node: &NodeHandle, call: &GateCall, started: Instant) {
    if let Some(route) = &call.route {
        let took = node.clock.now().saturating_duration_since(started);
        node.run_estimates.record(route, 0, took);
    }
}

async fn connect(
    node: &NodeHandle,
    call: &GateCall,
    target: &LocalTarget,
) -> Result<PooledConnection, RefusalReason> {
    match node.target_pool.acquire(target.address).await {
        Ok(link) => Ok(link),
        Err(error) => {
            log::warn!(
                event = "target-unreachable",
                service:% = call.service,
                address:% = target.address,
                error:% = error;
                "gate"
            );
            if matches!(error, LinkError::Unreachable(_)) {
                // It announces itself again when it is back.
                targets::withdraw(node, &call.service).await;
            }
            Err(RefusalReason::Unreachable)
        }
    }
}
