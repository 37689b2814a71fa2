//! Injection of random faults, which may overlap, from a seed.

use std::time::{Duration, Instant};

use eyre::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use wisteriaturn::clock::{Clock, SystemClock};

use crate::cluster::TestCluster;
use crate::experiment::observer::ViewLog;

/// Minimum time for which a target states something: long enough for the window over which
/// a limit is checked.
const STATEMENT_TIME: Duration = Duration::from_secs(7);

/// Time that a started node takes at most until it knows what the others know.
const LEARNING_TIME_MS: u64 = 1_000;

/// Time that an answer of a target takes at most to its node.
const DELIVERY_TIME_MS: u64 = 100;

/// A time in which a node was not running, in milliseconds since the Unix epoch.
#[derive(Debug)]
struct NodeAbsence {
    index: usize,
    /// Whether the node was only frozen. It forgets nothing then.
    is_frozen: bool,
    began_ms: u64,
    ended_ms: u64,
}

impl NodeAbsence {
    fn overlaps(&self, from_ms: u64, to_ms: u64) -> bool {
        self.began_ms <= to_ms && from_ms <= self.ended_ms
    }
}

/// An injected fault and the time at which it is undone.
#[derive(Debug)]
struct ActiveFault {
    ends_at: Instant,
    kind: FaultKind,
}

#[derive(Debug, Clone, Copy)]
enum FaultKind {
    KillNode(usize),
    FreezeNode(usize),
    StopNode(usize),
    KillTarget(usize),
    KillDataCentre(usize),
    LimitTarget(usize),
    LeavingTarget(usize),
    Log,
}

/// Injects random faults into a cluster and undoes them after a random time.
#[derive(Debug)]
pub struct FaultInjector {
    rng: StdRng,
    active: Vec<ActiveFault>,
    nodes: usize,
    data_centres: usize,
    next_fault_at: Instant,
    /// Number of injected faults, by name.
    pub counts: std::collections::BTreeMap<&'static str, u32>,
    /// Planned stops of nodes: the node's index, and when the stop began and ended.
    pub stops: Vec<(usize, Instant, Instant)>,
    absences: Vec<NodeAbsence>,
    /// Number of planned stops after which the node didn't exit with status 0 within 60
    /// seconds.
    pub failed_stops: u32,
}

impl FaultInjector {
    /// Returns an injector that draws its faults from `seed`.
    pub fn new(seed: u64, nodes: usize, data_centres: usize) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            active: Vec::new(),
            nodes,
            data_centres,
            next_fault_at: Instant::now(),
            counts: Default::default(),
            stops: Vec::new(),
            absences: Vec::new(),
            failed_stops: 0,
        }
    }

    /// Undoes the faults whose time is over, and injects a new one if it is due.
    pub async fn step(&mut self, cluster: &mut TestCluster, views: &ViewLog) -> Result<()> {
        let now = Instant::now();
        self.undo_where(cluster, views, |fault| fault.ends_at <= now)
            .await?;
        if now < self.next_fault_at {
            return Ok(());
        }
        self.next_fault_at = now + Duration::from_millis(self.rng.random_range(100..900));
        self.inject(cluster, views).await
    }

    /// Undoes all faults.
    pub async fn undo_all(&mut self, cluster: &mut TestCluster, views: &ViewLog) -> Result<()> {
        self.undo_where(cluster, views, |_| true).await
    }

    async fn undo_where<F>(
        &mut self,
        cluster: &mut TestCluster,
        views: &ViewLog,
        is_expired: F,
    ) -> Result<()>
    where
        F: Fn(&ActiveFault) -> bool,
    {
        let (expired, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(is_expired);
        self.active = active;
        for fault in expired {
            match fault.kind {
                FaultKind::KillNode(index) | FaultKind::StopNode(index) => {
                    cluster.start_node(index)?;
                    self.end_absence(index);
                    views.record_up(index);
                }
                FaultKind::FreezeNode(index) => {
                    cluster.node_process(index).send_signal("CONT");
                    self.end_absence(index);
                    views.record_up(index);
                }
                FaultKind::KillTarget(index) => start_target(cluster, index)?,
                FaultKind::KillDataCentre(data_centre) => {
                    for index in self.nodes_of(data_centre) {
                        cluster.start_node(index)?;
                        self.end_absence(index);
                        views.record_up(index);
                    }
                }
                FaultKind::LimitTarget(index) => cluster.set_statements(index, None, false).await,
                FaultKind::LeavingTarget(index) => {
                    cluster.kill_target(index);
                    start_target(cluster, index)?;
                }
                FaultKind::Log => cluster.set_log_behaviour("{}").await?,
            }
        }
        Ok(())
    }

    /// Injects a random fault, or none if an active fault already affects the chosen node,
    /// data centre or log.
    async fn inject(&mut self, cluster: &mut TestCluster, views: &ViewLog) -> Result<()> {
        let index = self.rng.random_range(0..self.nodes);
        let mut duration = Duration::from_millis(self.rng.random_range(200..3_000));
        let is_affected = self.is_affected(index);
        let data_centre = index % self.data_centres;
        let is_data_centre_affected = self
            .nodes_of(data_centre)
            .any(|index| self.is_affected(index));
        let has_log_fault = self
            .active
            .iter()
            .any(|fault| matches!(fault.kind, FaultKind::Log));
        let choice = self.rng.random_range(0..14_u8);
        let has_statements = self.has_statements(index);
        let kind = match choice {
            0 | 1 if !is_affected => {
                views.record_down(index);
                self.begin_absence(index, false);
                cluster.kill_node(index);
                self.count("kill node", FaultKind::KillNode(index))
            }
            2 | 3 if !is_affected => {
                views.record_down(index);
                self.begin_absence(index, true);
                cluster.node_process(index).send_signal("STOP");
                self.count("freeze node", FaultKind::FreezeNode(index))
            }
            4 if !is_affected => {
                self.stop_node(cluster, views, index).await?;
                self.count("planned stop", FaultKind::StopNode(index))
            }
            5 if !is_affected && !has_statements => {
                cluster.kill_target(index);
                self.count("kill target", FaultKind::KillTarget(index))
            }
            11 | 12 if !is_affected && !has_statements => {
                duration += STATEMENT_TIME;
                let limit = f64::from(self.rng.random_range(2..20_u32));
                cluster.set_statements(index, Some(limit), false).await;
                self.count("target names a limit", FaultKind::LimitTarget(index))
            }
            13 if !is_affected && !has_statements => {
                duration += STATEMENT_TIME;
                cluster.set_statements(index, None, true).await;
                self.count("target is leaving", FaultKind::LeavingTarget(index))
            }
            10 if !is_data_centre_affected => {
                for index in self.nodes_of(data_centre) {
                    views.record_down(index);
                    self.begin_absence(index, false);
                    cluster.kill_node(index);
                }
                self.count("kill data centre", FaultKind::KillDataCentre(data_centre))
            }
            6..=9 if !has_log_fault => {
                let is_hanging = self.rng.random_bool(0.5);
                let behaviour = match choice {
                    6 if is_hanging => r#"{"hang":true}"#,
                    6 => r#"{"outage":true}"#,
                    7 => r#"{"lose_answers":3}"#,
                    8 => r#"{"late_appends":2,"late_ms":400}"#,
                    _ => r#"{"delay_ms":300}"#,
                };
                cluster.set_log_behaviour(behaviour).await?;
                let names = [
                    "log outage",
                    "log loses answers",
                    "log is late",
                    "log is slow",
                ];
                self.count(names[usize::from(choice) - 6], FaultKind::Log)
            }
            _ => return Ok(()),
        };
        self.active.push(ActiveFault {
            ends_at: Instant::now() + duration,
            kind,
        });
        Ok(())
    }

    /// Returns the indices of the nodes of a data centre, in the cluster's numbering.
    fn nodes_of(&self, data_centre: usize) -> impl Iterator<Item = usize> + use<> {
        (data_centre..self.nodes).step_by(self.data_centres)
    }

    /// Returns `true` if an active fault affects a node or its target.
    fn is_affected(&self, index: usize) -> bool {
        self.active.iter().any(|fault| match fault.kind {
            FaultKind::KillNode(other)
            | FaultKind::FreezeNode(other)
            | FaultKind::StopNode(other)
            | FaultKind::KillTarget(other) => other == index,
            FaultKind::KillDataCentre(data_centre) => index % self.data_centres == data_centre,
            // Nodes fail while their targets state something.
            FaultKind::LimitTarget(_) | FaultKind::LeavingTarget(_) | FaultKind::Log => false,
        })
    }

    /// Returns `true` if the target next to a node states something at the moment.
    fn has_statements(&self, index: usize) -> bool {
        self.active.iter().any(|fault| match fault.kind {
            FaultKind::LimitTarget(other) | FaultKind::LeavingTarget(other) => other == index,
            _ => false,
        })
    }

    /// Stops a node with `SIGTERM` and records whether it exited as planned.
    async fn stop_node(
        &mut self,
        cluster: &mut TestCluster,
        views: &ViewLog,
        index: usize,
    ) -> Result<()> {
        // A process that doesn't listen yet has no signal handler either, so the
        // signal would kill it and count as a failed stop. It has no calls that could
        // be cut.
        cluster.wait_node_listening(index).await?;
        let began = Instant::now();
        self.begin_absence(index, false);
        cluster.node_process(index).send_signal("TERM");
        let ended =
            tokio::time::timeout(Duration::from_secs(60), cluster.node_process(index).wait()).await;
        if !matches!(ended, Ok(Ok(0))) {
            self.failed_stops += 1;
        }
        views.record_down(index);
        self.stops.push((index, began, Instant::now()));
        cluster.kill_node(index);
        Ok(())
    }

    fn begin_absence(&mut self, index: usize, is_frozen: bool) {
        self.absences.push(NodeAbsence {
            index,
            is_frozen,
            began_ms: SystemClock.unix_millis(),
            ended_ms: u64::MAX,
        });
    }

    fn end_absence(&mut self, index: usize) {
        let now_ms = SystemClock.unix_millis();
        let mut latest = self.absences.iter_mut().rev();
        if let Some(absence) = latest.find(|absence| absence.index == index) {
            absence.ended_ms = now_ms + LEARNING_TIME_MS;
        }
    }

    /// Returns `true` if a node cannot be blamed at `at_ms` for what its target stated at
    /// `stated_ms`: the node has just returned, and either it was frozen when the target
    /// said so, or at some moment no node was left that knew.
    pub fn excuses(&self, index: usize, stated_ms: u64, at_ms: u64) -> bool {
        let has_returned =
            |absence: &&NodeAbsence| absence.index == index && absence.overlaps(at_ms, at_ms);
        self.absences.iter().filter(has_returned).any(|absence| {
            if absence.is_frozen {
                absence.began_ms <= stated_ms + DELIVERY_TIME_MS
            } else {
                self.was_all_lost(stated_ms, at_ms)
            }
        })
    }

    /// Returns `true` if all nodes were down at some moment between two times.
    fn was_all_lost(&self, from_ms: u64, to_ms: u64) -> bool {
        let down: Vec<_> = self
            .absences
            .iter()
            .filter(|absence| !absence.is_frozen && absence.overlaps(from_ms, to_ms))
            .collect();
        let is_down = |node: usize, at_ms: u64| {
            down.iter()
                .any(|absence| absence.index == node && absence.overlaps(at_ms, at_ms))
        };
        down.iter().any(|absence| {
            let at_ms = absence.began_ms.max(from_ms);
            (0..self.nodes).all(|node| is_down(node, at_ms))
        })
    }

    /// Counts a fault under a name and returns its kind.
    fn count(&mut self, name: &'static str, kind: FaultKind) -> FaultKind {
        *self.counts.entry(name).or_default() += 1;
        kind
    }
}

/// Starts the target next to a node, of the service `portal` on even nodes and `dispatch`
/// on odd ones.
pub fn start_target(cluster: &mut TestCluster, index: usize) -> Result<()> {
    let service = if index.is_multiple_of(2) {
        "portal"
    } else {
        "dispatch"
    };
    cluster.start_target(index, service, 6)
}
