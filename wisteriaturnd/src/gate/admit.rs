//! Admission control for calls to the targets on this VM.
//!
//! A call that is refused here has not reached its target, so it is answered
//! as `not-run`. Every decision is logged together with its inputs.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::time::timeout_at;
use wisteriaturn::clock::lock;
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::gate::quarantine::QuarantineStatus;
use wisteriaturn::gate::slots::{QueueRank, SlotGate, SlotPermit, SlotRequest};

use crate::error::LinkError;
use crate::gate::notice::loggable_limit;
use crate::gate::pace::can_answer_in_time;
use crate::gate::targets::{self, LocalTarget};
use crate::http::pool::PooledConnection;
use crate::mesh::hop::GateCall;
use crate::node::{NodeHandle, NodeStage};

/// The resources that an admitted call holds while it runs.
pub(crate) struct AdmittedCall {
    /// Slot of the target. It is freed when the permit is dropped.
    pub(crate) permit: SlotPermit,
    /// Connection to the target.
    pub(crate) connection: PooledConnection,
    /// Target that runs the call.
    pub(crate) target: Arc<LocalTarget>,
}

/// Admits or refuses a call, and logs the decision.
///
/// # Errors
///
/// Returns the reason if the call is refused.
pub(crate) async fn admit(
    node: &NodeHandle,
    call: &GateCall,
) -> Result<AdmittedCall, RefusalReason> {
    let arrival = node.clock.now();
    let admitted = try_admit(node, call).await;
    let waited = node.clock.now().saturating_duration_since(arrival);
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
        request:% = call.loggable_request_id(),
        service:% = call.service,
        reason = reason,
        waited_us = waited.as_micros() as u64,
        busy = load.map_or(0, |load| load.busy),
        waiting = load.map_or(0, |load| load.waiting),
        limit = loggable_limit(load.and_then(|load| load.limit)),
        limit_wait_ms = load.map_or(0, |load| load.limit_wait.as_millis() as u64),
        aim_ms = call.soft_deadline.remaining(arrival).as_millis() as u64,
        deadline_ms = call.deadline.remaining(arrival).as_millis() as u64;
        "gate"
    );
    admitted
}

/// Checks whether this gate may run the call at all, apart from its load, and
/// returns the target that would run it.
///
/// # Errors
///
/// Returns the reason if it may not.
pub(crate) fn check_acceptable(
    node: &NodeHandle,
    call: &GateCall,
) -> Result<Arc<LocalTarget>, RefusalReason> {
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
    let status = lock(&node.suspects).status(call.fingerprint, now);
    if let QuarantineStatus::Quarantined(_) = status {
        return Err(RefusalReason::Quarantined);
    }
    let target = node
        .targets
        .get(&call.service)
        .ok_or(RefusalReason::NoTarget)?;
    if node
        .rollouts
        .is_closed(&call.service, target.version.as_ref())
    {
        return Err(RefusalReason::Draining);
    }
    let run_time = expected_run_time(node, call, &target);
    let schedule = node.stop_schedule.get();
    if schedule.is_some_and(|schedule| !schedule.gate_takes(run_time, now)) {
        return Err(RefusalReason::Draining);
    }
    Ok(target)
}

/// Returns the request for a slot of a target that a call makes.
pub(crate) fn slot_request(
    node: &NodeHandle,
    call: &GateCall,
    target: &LocalTarget,
) -> SlotRequest {
    let request = SlotRequest {
        rank: if call.is_of_run {
            QueueRank::of_run(call.class)
        } else {
            QueueRank::new(call.class, call.priority)
        },
        soft_deadline: call.soft_deadline.at(),
        deadline: call.deadline.at(),
        expected_run_time: expected_run_time(node, call, target),
        max_wait: call.max_wait,
    };
    if node.settings.placement.short_calls_first {
        request.if_short(target.gate.load().mean_run_time)
    } else {
        request
    }
}

/// Checks whether the call may run, then waits for a slot and a connection.
async fn try_admit(node: &NodeHandle, call: &GateCall) -> Result<AdmittedCall, RefusalReason> {
    let target = check_acceptable(node, call)?;
    let now = node.clock.now();
    let slot_request = slot_request(node, call, &target);
    if !can_answer_in_time(node, call, slot_request.expected_run_time) {
        return Err(RefusalReason::Saturated);
    }
    let acquired = timeout_at(
        call.deadline.at().into(),
        acquire_slot(&target.gate, slot_request),
    )
    .await;
    let permit = acquired.map_err(|_| RefusalReason::Deadline)??;
    let waited = node.clock.now().duration_since(now);
    node.metrics.gate_wait_seconds.observe(waited.as_secs_f64());
    if !call.deadline.allows_attempt(node.clock.now()) {
        return Err(RefusalReason::Deadline);
    }
    let connection = connect(node, call, &target).await?;
    Ok(AdmittedCall {
        permit,
        connection,
        target,
    })
}

/// Waits for a slot. Lets waiting calls start when the limit on their rate allows it,
/// since the gate itself has no timer.
async fn acquire_slot(gate: &SlotGate, request: SlotRequest) -> Result<SlotPermit, RefusalReason> {
    let mut acquired = pin!(gate.acquire_for(request));
    loop {
        let limit_changed = gate.limit_changed();
        let next_start = async {
            match gate.next_start() {
                Some(time) => tokio::time::sleep_until(time.into()).await,
                None => limit_changed.await,
            }
        };
        tokio::select! {
            biased;
            result = &mut acquired => return result,
            () = next_start => gate.start_waiting(),
        }
    }
}

/// Returns the time for which a call is expected to hold its slot: the average
/// of its route or, if the route has no samples yet, the average of the target.
fn expected_run_time(node: &NodeHandle, call: &GateCall, target: &LocalTarget) -> Duration {
    let route_average = call
        .route
        .as_ref()
        .and_then(|route| node.run_estimates.measured(route));
    route_average.map_or_else(
        || target.gate.load().mean_run_time,
        |average| average.run_time,
    )
}

/// Adds the time for which a call held its slot to the average of its route.
pub(crate) fn record_run(node: &NodeHandle, call: &GateCall, started: Instant) {
    if let Some(route) = &call.route {
        let run_time = node.clock.now().saturating_duration_since(started);
        node.run_estimates.record(route, 0, run_time);
    }
}

async fn connect(
    node: &NodeHandle,
    call: &GateCall,
    target: &LocalTarget,
) -> Result<PooledConnection, RefusalReason> {
    match node.target_pool.acquire(target.address).await {
        Ok(connection) => Ok(connection),
        Err(error) => {
            log::warn!(
                event = "target-unreachable",
                service:% = call.service,
                address:% = target.address,
                error:% = error;
                "gate"
            );
            if matches!(error, LinkError::Unreachable(_)) {
                // The target announces itself again once it is back.
                targets::withdraw(node, &call.service).await;
            }
            Err(RefusalReason::Unreachable)
        }
    }
}
