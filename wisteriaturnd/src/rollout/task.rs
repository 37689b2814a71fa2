//! The task that reports what this node's gate sees of a roll-out, and that leads a
//! roll-out if this node is the first in line.
//!
//! Each node works out the line from its own member table. Two nodes may lead at once: what
//! they tell is ordered by its rank, and the log decides how the roll-out ends. A node
//! that is next in line takes over when the leading one has not been heard for a while.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use wisteriaturn::clock::lock;
use wisteriaturn::ids::{NodeAddress, Permille, ServiceName, TargetVersion};
use wisteriaturn::member::record::{MemberRecord, MemberState};
use wisteriaturn::member::role::choose_members_by_link;
use wisteriaturn::member::rumor::Rumor;
use wisteriaturn::peer::message::Datagram;
use wisteriaturn::rollout::board::ServiceRollout;
use wisteriaturn::rollout::plan::{PlanInputs, PlanStep, next_step};
use wisteriaturn::rollout::state::{
    RolloutOrder, RolloutPhase, RolloutRecord, RolloutState, RolloutVerdict,
};

use crate::jitter::jittered;
use crate::mesh::{gossip, rumors};
use crate::metrics::TrafficKind;
use crate::node::NodeHandle;
use crate::rollout::lead::LeaderNotes;
use crate::rollout::record;

/// Interval at which gates report and the leading node decides.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the leading node tells the others that it still leads, well below the
/// time after which a version on trial rests.
pub(crate) const BEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a message of the leading node after which the next in line takes over;
/// the one after it waits once more as long.
const TAKE_OVER_TIME: Duration = Duration::from_millis(1_200);

/// Number of nodes that may take over.
const LINE_LENGTH: usize = 4;

/// Maximum age of a gate's report that it is closed and empty.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Records that could not be written after which the next in line leads. The store may
/// serve that one.
const MAX_FAILED_WRITES: u32 = 2;

/// Pause after a record could not be written, before jitter.
pub(crate) const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Reports and leads for as long as the node runs, if the settings call for roll-outs.
pub async fn rollout_task(node: NodeHandle) {
    if !node.rollouts.is_enabled() {
        return;
    }
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let services: Vec<ServiceName> = {
            let states = node.rollouts.states();
            states
                .into_iter()
                .map(|state| state.order.service)
                .collect()
        };
        for service in services {
            report(&node, &service).await;
            lead(&node, &service).await;
        }
    }
}

/// Takes orders that were read from the operator's log. An order that this node has not
/// seen holds its version back at once; then the log is asked how far it is.
pub fn take_orders(node: &NodeHandle, orders: Vec<RolloutOrder>) {
    if !node.rollouts.is_enabled() {
        return;
    }
    for order in orders {
        let now = node.clock.now();
        let is_new = node
            .rollouts
            .with_board(|board| board.merge_order(order.clone(), node.address(), now));
        if is_new {
            log::info!(
                event = "rollout-ordered",
                service:% = order.service,
                version:% = order.version,
                order:% = order.offset,
                limit_ms = order.duration_ms;
                "rollout"
            );
            tokio::spawn(learn_record(node.clone(), order));
        }
    }
}

/// Reads from the log how far a roll-out is, and spreads the order.
async fn learn_record(node: NodeHandle, order: RolloutOrder) {
    let Some(port) = node.rollouts.port.clone() else {
        return;
    };
    spread(&node, RolloutState::new(order.clone(), node.address())).await;
    loop {
        match port.find(&order.service).await {
            Ok(record) => {
                if let Some(record) = record {
                    merge_record(&node, &record);
                }
                return;
            }
            Err(error) => {
                log::warn!(event = "rollout-unread", service:% = order.service, error:% = error; "rollout");
                tokio::time::sleep(jittered(WRITE_RETRY_PAUSE)).await;
            }
        }
        let is_over = node.rollouts.with_board(|board| {
            let known = board.get(&order.service);
            known.is_none_or(|known| known.state.beat > 0 || known.state.phase.is_final())
        });
        if is_over {
            return;
        }
    }
}

/// Merges a state that another node tells. Returns `true` if it was new.
pub fn merge(node: &NodeHandle, state: RolloutState) -> bool {
    if !node.rollouts.is_enabled() {
        return false;
    }
    let now = node.clock.now();
    let before = phase_of(node, &state.order.service);
    let is_new = node
        .rollouts
        .with_board(|board| board.merge(state.clone(), now));
    if is_new {
        log_phase(node, &state.order.service, before);
    }
    is_new
}

pub(crate) fn merge_record(node: &NodeHandle, record: &RolloutRecord) {
    let service = &record.order.service;
    let before = phase_of(node, service);
    let (now, unix_ms) = (node.clock.now(), node.clock.unix_millis());
    node.rollouts
        .with_board(|board| board.merge_record(record, node.address(), unix_ms, now));
    log_phase(node, service, before);
}

fn phase_of(node: &NodeHandle, service: &ServiceName) -> Option<(RolloutPhase, Permille)> {
    node.rollouts.with_board(|board| {
        let known = board.get(service)?;
        Some((known.state.phase, known.state.share))
    })
}

/// Logs the phase of a roll-out if it is another one than before.
fn log_phase(node: &NodeHandle, service: &ServiceName, before: Option<(RolloutPhase, Permille)>) {
    let now = node.clock.now();
    let Some(known) = node.rollouts.get(service) else {
        return;
    };
    if before == Some((known.state.phase, known.state.share)) {
        return;
    }
    node.metrics.record_rollout(service, known.state.phase);
    log::info!(
        event = "rollout",
        service:% = service,
        version:% = known.state.order.version,
        order:% = known.state.order.offset,
        phase:% = known.state.phase,
        share_permille:% = known.state.share,
        leader:% = known.state.leader,
        beat = known.state.beat,
        elapsed_ms = known.elapsed(now).as_millis() as u64,
        own_calls = known.counter.reached(),
        own_tried = known.counter.tried();
        "rollout"
    );
}

pub(crate) async fn spread(node: &NodeHandle, state: RolloutState) {
    rumors::spread(node, Rumor::Rollout(state)).await;
}

/// Tells the leading node what the gate of this node has seen.
async fn report(node: &NodeHandle, service: &ServiceName) {
    let Some(target) = node.targets.get(service) else {
        return;
    };
    let Some(version) = &target.version else {
        return;
    };
    let Some(known) = node.rollouts.get(service) else {
        return;
    };
    if known.state.phase.is_final() {
        return;
    }
    let incarnation = lock(&node.table).own().incarnation;
    let load = target.gate.load();
    let in_flight = load.busy + load.waiting;
    let evidence = node
        .rollouts
        .gate_evidence(service, version, incarnation, in_flight);
    let Some(evidence) = evidence else {
        return;
    };
    let order = known.state.order.offset;
    let leader = known.state.leader;
    if leader == node.address() {
        let now = node.clock.now();
        node.rollouts
            .record_evidence(service, order, leader, evidence, now);
        return;
    }
    let datagram = Datagram::RolloutEvidence {
        service: service.clone(),
        order,
        evidence,
    };
    gossip::send(node, leader, &datagram, TrafficKind::Push).await;
}

/// Returns the nodes that may lead a roll-out, the first in line first.
pub(crate) fn line(node: &NodeHandle, service: &ServiceName) -> Vec<NodeAddress> {
    let table = lock(&node.table);
    let members: Vec<&MemberRecord> = table
        .iter()
        .map(|entry| &entry.record)
        .filter(|record| record.state == MemberState::Alive && record.is_ready)
        .collect();
    choose_members_by_link(&format!("rollout-{service}"), &members, LINE_LENGTH)
}

/// Returns the node that is next in line after this one.
fn next_in_line(node: &NodeHandle, service: &ServiceName) -> Option<NodeAddress> {
    let line = line(node, service);
    let place = line.iter().position(|member| *member == node.address());
    let next = place.map_or(0, |place| (place + 1) % line.len());
    line.get(next)
        .copied()
        .filter(|next| *next != node.address())
}

/// Returns `true` if this node leads, or takes over.
fn is_leading(node: &NodeHandle, known: &ServiceRollout, now: Instant) -> bool {
    let address = node.address();
    let line = line(node, &known.state.order.service);
    let Some(place) = line.iter().position(|member| *member == address) else {
        return false;
    };
    let silence = now.saturating_duration_since(known.heard_at);
    if known.state.beat == 0 {
        // Nobody leads yet.
        return silence >= TAKE_OVER_TIME * place as u32;
    }
    known.state.leader == address || silence >= TAKE_OVER_TIME * (place as u32 + 1)
}

/// Decides and carries out the next step of a roll-out, if this node leads it.
async fn lead(node: &NodeHandle, service: &ServiceName) {
    let now = node.clock.now();
    let is_able = node.was_ready.load(Ordering::Acquire) && node.is_serving();
    let Some(known) = node.rollouts.get(service) else {
        return;
    };
    if known.state.phase.is_final() {
        record::repeat_end(node, &known, now).await;
        return;
    }
    if !is_able || !is_leading(node, &known, now) {
        return;
    }
    let order = known.state.order.clone();
    let mut notes = node.rollouts.take_notes(service, order.offset);
    let step = if notes.is_recorded {
        let inputs = inputs(node, &known, &mut notes, now);
        let step = next_step(&inputs);
        log_step(&known, &inputs, step);
        step
    } else {
        PlanStep::Hold
    };
    let needs_start = !notes.is_recorded && !notes.is_writing;
    let verdict = match step {
        PlanStep::Complete => Some(RolloutVerdict::Completed),
        PlanStep::RollBack => Some(RolloutVerdict::RolledBack),
        _ => None,
    };
    if needs_start || (verdict.is_some() && !notes.is_writing) {
        notes.is_writing = true;
        tokio::spawn(record::write(node.clone(), order.clone(), verdict));
    }
    let is_beat_due = notes
        .told_at
        .is_none_or(|told_at| now.saturating_duration_since(told_at) >= BEAT_INTERVAL);
    let successor = (notes.failed_writes >= MAX_FAILED_WRITES)
        .then(|| next_in_line(node, service))
        .flatten();
    if successor.is_some() {
        notes.failed_writes = 0;
    }
    let is_changed = matches!(step, PlanStep::Share(_) | PlanStep::Enter(_)) || successor.is_some();
    let is_told = is_changed || is_beat_due;
    if is_told {
        notes.told_at = Some(now);
    }
    node.rollouts.put_notes(service, notes);
    if !is_told {
        return;
    }
    let mut state = known.state.clone();
    match step {
        PlanStep::Share(share) => state.share = share,
        PlanStep::Enter(phase) => state.phase = phase,
        PlanStep::Hold | PlanStep::Complete | PlanStep::RollBack => {}
    }
    state.beat += 1;
    state.leader = successor.unwrap_or(node.address());
    let remaining = known.deadline.saturating_duration_since(now);
    state.remaining_ms = remaining.as_millis() as u64;
    if merge(node, state.clone()) {
        spread(node, state).await;
    }
}

/// Collects what the next step depends on.
fn inputs(
    node: &NodeHandle,
    known: &ServiceRollout,
    notes: &mut LeaderNotes,
    now: Instant,
) -> PlanInputs {
    let order = &known.state.order;
    let targets = node.view.load().find_targets(&order.service);
    let slots = |is_new: bool| -> u64 {
        let targets = targets.iter().flat_map(|targets| targets.iter());
        targets
            .filter(|target| (target.version.as_ref() == Some(&order.version)) == is_new)
            .map(|target| u64::from(target.slots))
            .sum()
    };
    PlanInputs {
        phase: known.state.phase,
        share: known.state.share,
        elapsed: known.elapsed(now),
        limit: Duration::from_millis(order.duration_ms),
        in_phase: now.saturating_duration_since(known.phase_since),
        answers: notes.answers(&order.version),
        finding: notes.find_worse(&order.version, now),
        new_slots: slots(true),
        old_slots: slots(false),
        is_old_empty: is_old_empty(node, &order.service, &order.version, notes, now),
    }
}

/// Returns `true` if the gates of all old targets that are in reach are closed and empty.
fn is_old_empty(
    node: &NodeHandle,
    service: &ServiceName,
    version: &TargetVersion,
    notes: &LeaderNotes,
    now: Instant,
) -> bool {
    let table = lock(&node.table);
    table
        .iter()
        .map(|entry| &entry.record)
        .filter(|record| record.state == MemberState::Alive)
        .filter(|record| {
            record.targets.iter().any(|target| {
                target.service == *service && target.version.as_ref() != Some(version)
            })
        })
        .all(|record| notes.is_empty_gate(record.address, MAX_REPORT_AGE, now))
}

fn log_step(known: &ServiceRollout, inputs: &PlanInputs, step: PlanStep) {
    if step == PlanStep::Hold {
        return;
    }
    let finding = inputs.finding.as_ref();
    log::info!(
        event = "rollout-step",
        service:% = known.state.order.service,
        version:% = known.state.order.version,
        step:? = step,
        phase:% = inputs.phase,
        share_permille:% = inputs.share,
        elapsed_ms = inputs.elapsed.as_millis() as u64,
        limit_ms = inputs.limit.as_millis() as u64,
        answers = inputs.answers,
        new_slots = inputs.new_slots,
        old_slots = inputs.old_slots,
        shortcoming:? = finding.map(|finding| finding.shortcoming),
        route:? = finding.and_then(|finding| finding.route.as_ref()),
        bad = finding.map_or(0, |finding| finding.bad),
        of = finding.map_or(0, |finding| finding.answers),
        usual_permille = finding.map_or(0, |finding| finding.usual_permille);
        "rollout"
    );
}
