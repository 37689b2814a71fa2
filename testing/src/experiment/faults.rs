//! Faults, alone and over each other, drawn from a seed.

use std::time::{Duration, Instant};

use eyre::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::cluster::TestCluster;
use crate::experiment::observer::ViewLog;

/// A fault and when it ends.
#[derive(Debug)]
struct OpenFault {
    ends: Instant,
    kind: FaultKind,
}

#[derive(Debug, Clone, Copy)]
enum FaultKind {
    KillNode(usize),
    FreezeNode(usize),
    StopNode(usize),
    KillTarget(usize),
    KillPlace(usize),
    LogOrder,
}

/// Draws faults and undoes them.
#[derive(Debug)]
pub struct FaultInjector {
    rng: StdRng,
    open: Vec<OpenFault>,
    nodes: usize,
    places: usize,
    next: Instant,
    /// Number of faults by name.
    pub counts: std::collections::BTreeMap<&'static str, u32>,
    /// Planned stops: the node, when it began and when it ended.
    pub stops: Vec<(usize, Instant, Instant)>,
    /// Planned stops that did not end by themselves.
    pub bad_stops: u32,
}

impl FaultInjector {
    /// Returns a plan from a seed.
    pub fn new(seed: u64, nodes: usize, places: usize) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            open: Vec::new(),
            nodes,
            places,
            next: Instant::now(),
            counts: Default::default(),
            stops: Vec::new(),
            bad_stops: 0,
        }
    }

    /// Undoes the faults that are over and draws a new one when it is time.
    pub async fn step(&mut self, cluster: &mut TestCluster, views: &ViewLog) -> Result<()> {
        let now = Instant::now();
        self.undo(cluster, views, |fault| fault.ends <= now).await?;
        if now < self.next {
            return Ok(());
        }
        self.next = now + Duration::from_millis(self.rng.random_range(100..900));
        self.draw(cluster, views).await
    }

    /// Undoes all faults.
    pub async fn undo_all(&mut self, cluster: &mut TestCluster, views: &ViewLog) -> Result<()> {
        self.undo(cluster, views, |_| true).await
    }

    async fn undo<F>(
        &mut self,
        cluster: &mut TestCluster,
        views: &ViewLog,
        is_over: F,
    ) -> Result<()>
    where
        F: Fn(&OpenFault) -> bool,
    {
        let (over, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(is_over);
        self.open = open;
        for fault in over {
            match fault.kind {
                FaultKind::KillNode(index) | FaultKind::StopNode(index) => {
                    cluster.start_node(index)?;
                    views.record_up(index);
                }
                FaultKind::FreezeNode(index) => {
                    cluster.node_process(index).send_signal("CONT");
                    views.record_up(index);
                }
                FaultKind::KillTarget(index) => start_target(cluster, index)?,
                FaultKind::KillPlace(place) => {
                    for index in self.nodes_of(place) {
                        cluster.start_node(index)?;
                        views.record_up(index);
                    }
                }
                FaultKind::LogOrder => cluster.set_log_behaviour("{}").await?,
            }
        }
        Ok(())
    }

    async fn draw(&mut self, cluster: &mut TestCluster, views: &ViewLog) -> Result<()> {
        let index = self.rng.random_range(0..self.nodes);
        let lasts = Duration::from_millis(self.rng.random_range(200..3_000));
        let is_touched = self.is_touched(index);
        let place = index % self.places;
        let is_place_touched = self.nodes_of(place).any(|index| self.is_touched(index));
        let has_order = self
            .open
            .iter()
            .any(|fault| matches!(fault.kind, FaultKind::LogOrder));
        let draw = self.rng.random_range(0..11_u8);
        let kind = match draw {
            0 | 1 if !is_touched => {
                views.record_down(index);
                cluster.kill_node(index);
                self.count("kill node", FaultKind::KillNode(index))
            }
            2 | 3 if !is_touched => {
                views.record_down(index);
                cluster.node_process(index).send_signal("STOP");
                self.count("freeze node", FaultKind::FreezeNode(index))
            }
            4 if !is_touched => {
                self.stop_node(cluster, views, index).await?;
                self.count("planned stop", FaultKind::StopNode(index))
            }
            5 if !is_touched => {
                cluster.kill_target(index);
                self.count("kill target", FaultKind::KillTarget(index))
            }
            10 if !is_place_touched => {
                for index in self.nodes_of(place) {
                    views.record_down(index);
                    cluster.kill_node(index);
                }
                self.count("kill data centre", FaultKind::KillPlace(place))
            }
            6..=9 if !has_order => {
                let is_hanging = self.rng.random_bool(0.5);
                let order = match draw {
                    6 if is_hanging => r#"{"hang":true}"#,
                    6 => r#"{"outage":true}"#,
                    7 => r#"{"lose_answers":3}"#,
                    8 => r#"{"late_appends":2,"late_ms":400}"#,
                    _ => r#"{"delay_ms":300}"#,
                };
                cluster.set_log_behaviour(order).await?;
                let names = [
                    "log outage",
                    "log loses answers",
                    "log is late",
                    "log is slow",
                ];
                self.count(names[usize::from(draw) - 6], FaultKind::LogOrder)
            }
            _ => return Ok(()),
        };
        self.open.push(OpenFault {
            ends: Instant::now() + lasts,
            kind,
        });
        Ok(())
    }

    /// Returns the nodes of a data centre, numbered as the cluster does.
    fn nodes_of(&self, place: usize) -> impl Iterator<Item = usize> + use<> {
        (place..self.nodes).step_by(self.places)
    }

    fn is_touched(&self, index: usize) -> bool {
        self.open.iter().any(|fault| match fault.kind {
            FaultKind::KillNode(other)
            | FaultKind::FreezeNode(other)
            | FaultKind::StopNode(other)
            | FaultKind::KillTarget(other) => other == index,
            FaultKind::KillPlace(place) => index % self.places == place,
            FaultKind::LogOrder => false,
        })
    }

    async fn stop_node(
        &mut self,
        cluster: &mut TestCluster,
        views: &ViewLog,
        index: usize,
    ) -> Result<()> {
        // A process that has not opened its ports yet has no call to cut and
        // no handler for the signal either; it ends by it.
        cluster.wait_node_listening(index).await?;
        let began = Instant::now();
        cluster.node_process(index).send_signal("TERM");
        let ended =
            tokio::time::timeout(Duration::from_secs(60), cluster.node_process(index).wait()).await;
        if !matches!(ended, Ok(Ok(0))) {
            self.bad_stops += 1;
        }
        views.record_down(index);
        self.stops.push((index, began, Instant::now()));
        cluster.kill_node(index);
        Ok(())
    }

    fn count(&mut self, name: &'static str, kind: FaultKind) -> FaultKind {
        *self.counts.entry(name).or_default() += 1;
        kind
    }
}

/// Starts the target beside a node: portal on even nodes, dispatch on odd ones.
pub fn start_target(cluster: &mut TestCluster, index: usize) -> Result<()> {
    let service = if index.is_multiple_of(2) {
        "portal"
    } else {
        "dispatch"
    };
    cluster.start_target(index, service, 6)
}
