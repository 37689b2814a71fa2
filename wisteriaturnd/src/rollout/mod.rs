//! Roll-outs at this node: what it knows, what its gate has seen, and the task that leads.
//!
//! The decisions are in [`wisteriaturn::rollout`].

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use wisteriaturn::clock::lock;
use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::ids::{Incarnation, NodeAddress, Offset, RouteName, ServiceName, TargetVersion};
use wisteriaturn::rollout::board::{RolloutBoard, ServiceRollout};
use wisteriaturn::rollout::evidence::GateEvidence;
use wisteriaturn::rollout::port::RolloutPort;
use wisteriaturn::rollout::state::RolloutState;

use crate::rollout::lead::LeaderNotes;

pub mod lead;
mod record;
pub mod task;

/// The roll-outs of a node. Where the settings call for none, it does nothing.
#[derive(Debug)]
pub struct NodeRollouts {
    /// The records of roll-outs, or `None` if this node serves none.
    pub port: Option<RolloutPort>,
    board: Mutex<RolloutBoard>,
    leading: Mutex<BTreeMap<ServiceName, LeaderNotes>>,
}

impl NodeRollouts {
    /// Returns the state of a node that has heard of no roll-out. `own_seed` differs from
    /// node to node.
    pub fn new(port: Option<RolloutPort>, own_seed: u64) -> Self {
        Self {
            port,
            board: Mutex::new(RolloutBoard::new(own_seed)),
            leading: Mutex::default(),
        }
    }

    /// Returns `true` if the settings call for roll-outs.
    pub fn is_enabled(&self) -> bool {
        self.port.is_some()
    }

    /// Calls `f` with what this node knows of all roll-outs.
    pub fn with_board<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut RolloutBoard) -> T,
    {
        f(&mut lock(&self.board))
    }

    /// Returns a copy of what this node knows of a service's roll-out, if there is one.
    pub fn get(&self, service: &ServiceName) -> Option<ServiceRollout> {
        lock(&self.board).get(service).cloned()
    }

    /// Returns all states that this node knows.
    pub fn states(&self) -> Vec<RolloutState> {
        let board = lock(&self.board);
        board.iter().map(|rollout| rollout.state.clone()).collect()
    }

    /// Returns the targets that a call may go to, or `None` if it may go to all.
    pub fn filter(
        &self,
        service: &ServiceName,
        targets: &[TargetEntry],
        is_retry: bool,
        now: Instant,
    ) -> Option<Vec<TargetEntry>> {
        if !self.is_enabled() {
            return None;
        }
        lock(&self.board).filter(service, targets, is_retry, now)
    }

    /// Counts a call that reached a target.
    pub fn record_reached(&self, service: &ServiceName) {
        if self.is_enabled() {
            lock(&self.board).record_reached(service);
        }
    }

    /// Counts a run at the gate of this node.
    pub fn record_run(
        &self,
        service: &ServiceName,
        route: Option<&RouteName>,
        is_failure: bool,
        run_time: Duration,
    ) {
        let Some(route) = route.filter(|_| self.is_enabled()) else {
            return;
        };
        if let Some(rollout) = lock(&self.board).get_mut(service)
            && !rollout.state.phase.is_final()
        {
            rollout.gate.record(route, is_failure, run_time);
        }
    }

    /// Returns `true` if the gate of a target of `version` refuses calls because another
    /// version has replaced it.
    pub fn is_closed(&self, service: &ServiceName, version: Option<&TargetVersion>) -> bool {
        self.is_enabled() && lock(&self.board).is_closed(service, version)
    }

    /// Takes what the gate of another node, or of this one, has seen, if this node leads.
    pub fn record_evidence(
        &self,
        service: &ServiceName,
        order: Offset,
        from: NodeAddress,
        evidence: GateEvidence,
        now: Instant,
    ) {
        if !self.is_enabled() || lock(&self.board).newest_order(service) != Some(order) {
            return;
        }
        let mut leading = lock(&self.leading);
        let notes = leading
            .entry(service.clone())
            .or_insert_with(|| LeaderNotes::new(order));
        notes.record(order, from, evidence, now);
    }

    /// Returns what the gate of this node has seen of a roll-out.
    pub fn gate_evidence(
        &self,
        service: &ServiceName,
        version: &TargetVersion,
        incarnation: Incarnation,
        in_flight: usize,
    ) -> Option<GateEvidence> {
        let board = lock(&self.board);
        let rollout = board.get(service)?;
        Some(GateEvidence {
            incarnation,
            version: version.clone(),
            routes: rollout.gate.report(),
            in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            is_closed: board.is_closed(service, Some(version)),
        })
    }

    /// Takes the notes about an order out, for the task that leads.
    pub(crate) fn take_notes(&self, service: &ServiceName, order: Offset) -> LeaderNotes {
        let notes = lock(&self.leading).remove(service);
        let mut notes = notes.unwrap_or_else(|| LeaderNotes::new(order));
        notes.set_order(order);
        notes
    }

    /// Puts the notes back.
    pub(crate) fn put_notes(&self, service: &ServiceName, notes: LeaderNotes) {
        lock(&self.leading).insert(service.clone(), notes);
    }

    /// Notes that the log has answered, and whether the record stands there.
    pub(crate) fn finish_write(&self, service: &ServiceName, is_recorded: bool) {
        if let Some(notes) = lock(&self.leading).get_mut(service) {
            notes.is_writing = false;
            notes.is_recorded |= is_recorded;
            notes.failed_writes = if is_recorded {
                0
            } else {
                notes.failed_writes + 1
            };
        }
    }
}
