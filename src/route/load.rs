//! What a node saw of each target: calls under way, reported load, latency
//! and failures.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use crate::clock::lock;
use crate::config::resource::PolicySpec;
use crate::config::view::TargetEntry;
use crate::ids::{Incarnation, NodeAddress, RouteName, ServiceName};

/// How long a reported load is believed.
pub const REPORT_TTL: Duration = Duration::from_secs(2);

/// How long a reported time of runs is believed.
pub const RUN_TIME_TTL: Duration = Duration::from_secs(5);

/// How long a target that said it is full is passed over.
pub const FULL_BACKOFF: Duration = Duration::from_millis(20);

/// Longest ejection.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);

/// Share of the failures' mean that a new sample gets: three failures in a row
/// tell a failing target from one with a rare error.
const FAULT_WEIGHT: f64 = 0.25;

/// Time in which what is held against a target halves.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Share of the latency mean that a new sample gets.
const LATENCY_WEIGHT: f64 = 0.2;

/// What a node saw of one target in one life of its node.
#[derive(Debug, Clone)]
pub struct TargetLoad {
    /// Life of the node beside the target.
    pub incarnation: Incarnation,
    /// Calls of this node that are under way.
    pub in_flight: u32,
    /// Calls that the gate last said were running or waiting, of this node
    /// and others, with the calls of this node at that time.
    report: Option<(Instant, u32, u32)>,
    /// Mean time to an answer, in seconds.
    pub latency: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    full_until: Option<Instant>,
    runs: Vec<RouteRun>,
    faults: FaultShare,
}

/// What a gate reported of the runs of one route.
#[derive(Debug, Clone)]
struct RouteRun {
    route: RouteName,
    mean: Duration,
    when: Instant,
}

/// The share of calls that failed lately. It fades, so that a target which is
/// passed over for its failures is tried again.
#[derive(Debug, Clone, Copy, Default)]
struct FaultShare {
    share: f64,
    updated: Option<Instant>,
}

impl FaultShare {
    fn at(self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.share * 0.5_f64.powf(age / FAULT_HALF_LIFE.as_secs_f64())
    }

    fn note(&mut self, is_fault: bool, now: Instant) {
        let held = self.at(now);
        let sample = if is_fault { 1.0 } else { 0.0 };
        self.share = held + (sample - held) * FAULT_WEIGHT;
        self.updated = Some(now);
    }
}

impl TargetLoad {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            in_flight: 0,
            report: None,
            latency: 0.0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            full_until: None,
            runs: Vec::new(),
            faults: FaultShare::default(),
        }
    }

    /// Returns the mean time of a route's runs, if the gate reported it lately.
    /// An older report would keep a target that was slow for a time out of use
    /// for ever, since only a call brings a new one.
    pub fn mean_run_time(&self, route: &RouteName, now: Instant) -> Option<Duration> {
        self.runs
            .iter()
            .find(|run| run.route == *route)
            .filter(|run| now.saturating_duration_since(run.when) < RUN_TIME_TTL)
            .map(|run| run.mean)
    }

    /// Returns the share of calls that failed lately, from 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.faults.at(now)
    }

    /// Returns the calls that the target is believed to have.
    pub fn busy(&self, now: Instant) -> u32 {
        match self.report {
            Some((when, busy, own)) if now.duration_since(when) < REPORT_TTL => {
                busy.saturating_sub(own).saturating_add(self.in_flight)
            }
            Some(_) | None => self.in_flight,
        }
    }

    /// Tells whether the target is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Tells whether the target just said that it is full.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }
}

/// How an attempt ended, as far as the choice of targets cares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered.
    Answered,
    /// The gate refused because it is full.
    Full,
    /// The gate refused for a reason that says nothing about its health.
    Refused,
    /// The target or its gate could not be reached or lost the exchange.
    Failed,
    /// The target answered with a failure or turned the call away.
    Faulty,
    /// The gate could not be reached and is passed over for a time.
    Unreachable(Duration),
}

/// What a node saw of the targets of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceLoad {
    targets: HashMap<NodeAddress, TargetLoad>,
    /// Furthest distance that calls go to.
    pub max_distance: u8,
}

impl ServiceLoad {
    /// Returns what was seen of a target; nothing from an earlier life.
    pub fn get(&mut self, target: &TargetEntry) -> &mut TargetLoad {
        let load = self
            .targets
            .entry(target.node)
            .or_insert_with(|| TargetLoad::new(target.incarnation));
        if load.incarnation < target.incarnation {
            let in_flight = load.in_flight;
            *load = TargetLoad::new(target.incarnation);
            load.in_flight = in_flight;
        }
        load
    }

    /// Forgets targets that the view no longer has.
    pub fn retain_targets(&mut self, targets: &[TargetEntry]) {
        self.targets.retain(|node, load| {
            load.in_flight > 0 || targets.iter().any(|target| target.node == *node)
        });
    }

    /// Counts an attempt that starts.
    pub fn start_attempt(&mut self, target: &TargetEntry) {
        self.get(target).in_flight += 1;
    }

    /// Counts an attempt that ended without touching the standing of its target.
    pub fn finish_attempt(&mut self, node: NodeAddress) {
        if let Some(load) = self.targets.get_mut(&node) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Takes the load that a gate reported with its answer.
    pub fn record_load(&mut self, node: NodeAddress, busy: u32, now: Instant) {
        if let Some(load) = self.targets.get_mut(&node) {
            load.report = Some((now, busy, load.in_flight));
        }
    }

    /// Takes the mean time of a route's runs that a gate reported with its
    /// answer. Routes are kept apart: a target that has many short calls is not
    /// faster than one that has few.
    pub fn record_run_time(
        &mut self,
        node: NodeAddress,
        route: &RouteName,
        mean: Duration,
        now: Instant,
    ) {
        let Some(load) = self.targets.get_mut(&node) else {
            return;
        };
        load.runs.retain(|run| {
            run.route != *route && now.saturating_duration_since(run.when) < RUN_TIME_TTL
        });
        load.runs.push(RouteRun {
            route: route.clone(),
            mean,
            when: now,
        });
    }

    /// Takes the result of an attempt, and ejects the target when it failed
    /// too often. At most the policy's share of `all` targets is ejected.
    /// Returns the ejection time when it ejects.
    pub fn record_result(
        &mut self,
        target: &TargetEntry,
        result: AttemptResult,
        took: Duration,
        policy: &PolicySpec,
        all: usize,
        now: Instant,
    ) -> Option<Duration> {
        let load = self.get(target);
        match result {
            AttemptResult::Answered => load.faults.note(false, now),
            AttemptResult::Failed | AttemptResult::Faulty | AttemptResult::Unreachable(_) => {
                load.faults.note(true, now);
            }
            AttemptResult::Full | AttemptResult::Refused => {}
        }
        match result {
            AttemptResult::Faulty => None,
            AttemptResult::Unreachable(time) => {
                load.ejected_until = Some(now + time);
                Some(time)
            }
            AttemptResult::Answered => {
                let sample = took.as_secs_f64();
                load.latency += (sample - load.latency) * LATENCY_WEIGHT;
                load.failures = 0;
                load.ejections = 0;
                None
            }
            AttemptResult::Full => {
                load.full_until = Some(now + FULL_BACKOFF);
                None
            }
            AttemptResult::Refused => None,
            AttemptResult::Failed => {
                load.failures += 1;
                let is_due = load.failures >= policy.eject_after && !load.is_ejected(now);
                if is_due && self.may_eject(policy, all, now) {
                    return Some(self.eject(target, policy, now));
                }
                None
            }
        }
    }

    /// Returns the number of targets that are ejected.
    pub fn ejected_count(&self, now: Instant) -> usize {
        self.targets
            .values()
            .filter(|load| load.is_ejected(now))
            .count()
    }

    fn may_eject(&self, policy: &PolicySpec, all: usize, now: Instant) -> bool {
        (self.ejected_count(now) + 1) * 100 <= all * usize::from(policy.eject_max_share.0)
    }

    fn eject(&mut self, target: &TargetEntry, policy: &PolicySpec, now: Instant) -> Duration {
        let load = self.get(target);
        let factor = 1_u32 << load.ejections.min(10);
        let time = (Duration::from_millis(policy.eject_base_ms) * factor).min(MAX_EJECTION_TIME);
        load.ejections += 1;
        // One more failure after the ejection ejects again, for longer.
        load.failures = policy.eject_after - 1;
        load.ejected_until = Some(now + time);
        time
    }
}

/// What a node saw of all targets; a cheap handle.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    services: Arc<RwLock<HashMap<ServiceName, Arc<Mutex<ServiceLoad>>>>>,
}

impl LoadTracker {
    /// Returns an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the page of a service.
    pub fn service(&self, name: &ServiceName) -> Arc<Mutex<ServiceLoad>> {
        let services = self.services.read().unwrap_or_else(|e| e.into_inner());
        if let Some(load) = services.get(name) {
            return Arc::clone(load);
        }
        drop(services);
        let mut services = self.services.write().unwrap_or_else(|e| e.into_inner());
        Arc::clone(services.entry(name.clone()).or_default())
    }

    /// Runs `f` on the page of a service.
    pub fn with_service<F, T>(&self, name: &ServiceName, f: F) -> T
    where
        F: FnOnce(&mut ServiceLoad) -> T,
    {
        let service = self.service(name);
        let mut load = lock(&service);
        f(&mut load)
    }
}
