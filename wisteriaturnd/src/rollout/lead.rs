//! What the node that leads a roll-out has been told, and what it derives from that.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use wisteriaturn::ids::{NodeAddress, Offset, TargetVersion};
use wisteriaturn::rollout::evidence::{EvidenceTable, Finding, GateEvidence};

/// Time over which the newest answers are also compared on their own, so that a version
/// that turns bad is found however many sound answers it gave before.
const RECENT_TIME: Duration = Duration::from_millis(2_000);

/// Interval at which the evidence is kept for that.
const HISTORY_INTERVAL: Duration = Duration::from_millis(250);

/// The notes of the leading node about one roll-out.
#[derive(Debug)]
pub struct LeaderNotes {
    order: Offset,
    table: EvidenceTable,
    heard: BTreeMap<NodeAddress, Instant>,
    history: VecDeque<(Instant, EvidenceTable)>,
    /// Whether a record is being written to the log.
    pub is_writing: bool,
    /// Whether the log has recorded the start.
    pub is_recorded: bool,
    /// Records that could not be written, one after the other.
    pub failed_writes: u32,
    /// When the leading node last told the others.
    pub told_at: Option<Instant>,
}

impl LeaderNotes {
    /// Returns the notes of a node that has been told nothing.
    pub fn new(order: Offset) -> Self {
        Self {
            order,
            table: EvidenceTable::default(),
            heard: BTreeMap::new(),
            history: VecDeque::new(),
            is_writing: false,
            is_recorded: false,
            failed_writes: 0,
            told_at: None,
        }
    }

    /// Begins anew if the order is another one.
    pub fn set_order(&mut self, order: Offset) {
        if self.order != order {
            *self = Self::new(order);
        }
    }

    /// Takes what a gate has seen.
    pub fn record(
        &mut self,
        order: Offset,
        from: NodeAddress,
        evidence: GateEvidence,
        now: Instant,
    ) {
        self.set_order(order);
        self.heard.insert(from, now);
        self.table.record(from, evidence);
    }

    /// Returns the number of answers of a version.
    pub fn answers(&self, version: &TargetVersion) -> u32 {
        self.table.answers(version)
    }

    /// Returns in which way a version answers worse, of all answers or the newest ones.
    pub fn find_worse(&mut self, version: &TargetVersion, now: Instant) -> Option<Finding> {
        let is_due = self
            .history
            .back()
            .is_none_or(|(at, _)| now.saturating_duration_since(*at) >= HISTORY_INTERVAL);
        if is_due {
            self.history.push_back((now, self.table.clone()));
        }
        while self.history.len() > 1
            && now.saturating_duration_since(self.history[1].0) >= RECENT_TIME
        {
            self.history.pop_front();
        }
        let overall = self.table.find_worse(version);
        overall.or_else(|| {
            let (_, earlier) = self.history.front()?;
            self.table.since(earlier).find_worse(version)
        })
    }

    /// Returns `true` if the gate of a node has lately said that it is closed and empty.
    pub fn is_empty_gate(&self, node: NodeAddress, max_age: Duration, now: Instant) -> bool {
        let is_recent = self
            .heard
            .get(&node)
            .is_some_and(|heard| now.saturating_duration_since(*heard) < max_age);
        let evidence = self.table.get(node);
        is_recent && evidence.is_some_and(|gate| gate.is_closed && gate.in_flight == 0)
    }
}
