//! Per-target statistics of one node: calls in flight, reported load and limits,
//! latency and failures.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use crate::clock::lock;
use crate::config::resource::PolicySpec;
use crate::config::view::TargetEntry;
use crate::gate::notice::TargetNotice;
use crate::ids::{Incarnation, NodeAddress, RequestRate, RouteName, ServiceName};
use crate::retry::refused::RefusalBudget;
use crate::retry::throttle::CallThrottle;
use crate::route::news::{MAX_NEWS_AGE, TargetNews};

/// How long a reported load is used.
pub const REPORT_TTL: Duration = Duration::from_secs(2);

/// How long a reported run time is used.
pub const RUN_TIME_TTL: Duration = Duration::from_secs(5);

/// How long a target that refused a call as full is not chosen.
pub const FULL_BACKOFF: Duration = Duration::from_millis(20);

/// How long a node remembers what a target stated, for its gate.
pub const NOTICE_TTL: Duration = Duration::from_secs(30);

/// Time in which a target's load becomes what is usual for its service, to about a third.
/// It is that of a run or two: by then, the calls of the report have been replaced by others.
const NEWS_LIFETIME: Duration = Duration::from_millis(350);

/// Weight of a report in the average load of a service's targets.
const USUAL_LOAD_WEIGHT: f64 = 0.04;

/// Lowest rate for which the wait at a limited target is estimated.
const MIN_LIMIT_PER_SECOND: f64 = 0.1;

/// Maximum time for which a target is ejected.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);

/// Weight of a new sample in the moving average of failures. With 0.25, three
/// failures in a row distinguish a failing target from one with a rare error.
const FAILURE_WEIGHT: f64 = 0.25;

/// Half-life of the failure rate while a target gets no calls.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Maximum number of routes of a service with a throttle. A further route clears all
/// of them.
const MAX_THROTTLES: usize = 4096;

/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Highest usual load that is reckoned with: beyond it, waits would be endless.
const MAX_USUAL_LOAD: f64 = 0.95;

/// What a node believes of a target's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BelievedLoad {
    /// Calls that the target is running or has queued by the newest report.
    pub busy: u32,
    /// Age of that report, or `None` if there is none.
    pub age: Option<Duration>,
    /// How much of the report still holds, from 0 to 1.
    pub weight: f64,
    /// Load of the service's targets by slot, which holds for the rest.
    pub usual_load: f64,
}

impl BelievedLoad {
    /// Returns the expected wait of a call at a target of which nothing is known but the
    /// usual load, as a share of its run time: that of a queue with `slots` servers, by the
    /// formula of Sakasegawa (1977).
    pub fn usual_wait(&self, slots: u16) -> f64 {
        let slots = f64::from(slots.max(1));
        let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
        self.usual_load.powf(exponent) / (slots * (1.0 - self.usual_load))
    }
}

/// Statistics about one target, kept for one incarnation of its node.
#[derive(Debug, Clone)]
pub struct TargetLoad {
    /// Incarnation of the node that the target is attached to.
    pub incarnation: Incarnation,
    /// Slots of the target.
    slots: u16,
    /// Number of calls from this node that are in flight.
    pub in_flight: u32,
    /// The gate's last load report: when it arrived, the calls that were
    /// running or queued there from all nodes, and the calls that this node had
    /// in flight when it arrived.
    last_report: Option<(Instant, u32, u32)>,
    /// When the calls in flight from this node began, if news is shared.
    started_at: Vec<Instant>,
    /// Moving average of the time to an answer, in seconds.
    pub latency: f64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    full_until: Option<Instant>,
    run_times: Vec<RouteRunTime>,
    failure_rate: FailureRate,
    /// The wait for the link of the gate's VM in its last report, and when it
    /// arrived.
    link_wait: Option<(Instant, Duration)>,
    /// The wait of large answers for that link in the last report, and when it arrived.
    answer_wait: Option<(Instant, Duration)>,
    limit: Option<ReportedLimit>,
    /// What the target stated last, and when that arrived. It outlives the incarnation of
    /// the node, which has forgotten it then.
    notice: Option<(Instant, TargetNotice)>,
}

/// The limit of a target on the rate of its calls, as its gate reported it.
#[derive(Debug, Clone, Copy)]
struct ReportedLimit {
    limit: RequestRate,
    /// Wait of another call at the gate when the report arrived.
    wait: Duration,
    reported_at: Instant,
    /// Calls that this node has sent there since.
    sent: u32,
}

/// The mean run time of one route, as reported by a gate.
#[derive(Debug, Clone)]
struct RouteRunTime {
    route: RouteName,
    mean: Duration,
    reported_at: Instant,
}

/// An exponentially weighted failure rate. It decays with time, so that a
/// target which is avoided because of its failures is tried again.
#[derive(Debug, Clone, Copy, Default)]
struct FailureRate {
    rate: f64,
    updated_at: Option<Instant>,
}

impl FailureRate {
    fn rate_at(self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        self.rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn record(&mut self, is_failure: bool, now: Instant) {
        let decayed = self.rate_at(now);
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.rate = decayed + (sample - decayed) * FAILURE_WEIGHT;
        self.updated_at = Some(now);
    }
}

impl TargetLoad {
    fn new(incarnation: Incarnation, slots: u16) -> Self {
        Self {
            incarnation,
            slots,
            in_flight: 0,
            last_report: None,
            started_at: Vec::new(),
            latency: 0.0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            full_until: None,
            run_times: Vec::new(),
            failure_rate: FailureRate::default(),
            link_wait: None,
            answer_wait: None,
            limit: None,
            notice: None,
        }
    }

    /// Returns the time until the limit on the rate of the target's calls allows another
    /// one: what the gate last reported, less the time since, and more for each call that
    /// this node has sent since. Zero without a report within [`REPORT_TTL`].
    pub fn limit_wait(&self, now: Instant) -> Duration {
        let Some(reported) = &self.limit else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(reported.reported_at);
        if age >= REPORT_TTL.max(reported.wait) {
            return Duration::ZERO;
        }
        let rate = reported.limit.per_second().max(MIN_LIMIT_PER_SECOND);
        let own = Duration::from_secs_f64(f64::from(reported.sent) / rate);
        (reported.wait + own).saturating_sub(age)
    }

    /// Returns what the target stated last, if that was within [`NOTICE_TTL`].
    pub fn notice(&self, now: Instant) -> Option<&TargetNotice> {
        let (heard_at, notice) = self.notice.as_ref()?;
        (now.saturating_duration_since(*heard_at) < NOTICE_TTL).then_some(notice)
    }

    /// Returns the expected wait for the link of the gate's VM: what the gate
    /// last reported, less the time since.
    pub fn link_wait(&self, now: Instant) -> Duration {
        self.link_wait
            .map_or(Duration::ZERO, |(reported_at, wait)| {
                wait.saturating_sub(now.saturating_duration_since(reported_at))
            })
    }

    /// Returns the expected wait of a large answer for the link of the gate's VM: what the
    /// gate last reported, less the time since.
    pub fn answer_wait(&self, now: Instant) -> Duration {
        self.answer_wait
            .map_or(Duration::ZERO, |(reported_at, wait)| {
                wait.saturating_sub(now.saturating_duration_since(reported_at))
            })
    }

    /// Returns the mean run time of a route at this target, if the gate
    /// reported it within [`RUN_TIME_TTL`].
    ///
    /// Only a call brings a new report. If old reports counted, a target that
    /// was slow for a while would never be used again.
    pub fn mean_run_time(&self, route: &RouteName, now: Instant) -> Option<Duration> {
        self.run_times
            .iter()
            .find(|run| run.route == *route)
            .filter(|run| now.saturating_duration_since(run.reported_at) < RUN_TIME_TTL)
            .map(|run| run.mean)
    }

    /// Returns the recent failure rate, from 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failure_rate.rate_at(now)
    }

    /// Returns the estimated number of calls that the target is running or has
    /// queued: the last report, corrected by the calls that this node has
    /// started or finished since.
    pub fn busy(&self, now: Instant) -> u32 {
        match self.last_report {
            Some((reported_at, busy, own_in_flight))
                if now.duration_since(reported_at) < REPORT_TTL =>
            {
                busy.saturating_sub(own_in_flight)
                    .saturating_add(self.in_flight)
            }
            Some(_) | None => self.in_flight,
        }
    }

    /// Returns the age of the newest report of the target's load, if there is one.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let (reported_at, _, _) = self.last_report?;
        Some(now.saturating_duration_since(reported_at))
    }

    /// Returns how much of the newest report still holds, from 0 to 1: the calls that it
    /// counted end and others take their place.
    fn report_weight(&self, now: Instant) -> f64 {
        let age = self.report_age(now);
        age.map_or(0.0, |age| {
            (-age.as_secs_f64() / NEWS_LIFETIME.as_secs_f64()).exp()
        })
    }

    /// Returns the number of calls in the newest report, which may come from another node,
    /// with those that this node has begun since.
    fn reported_busy(&self, now: Instant) -> u32 {
        let recent = self
            .last_report
            .filter(|(at, _, _)| now.saturating_duration_since(*at) < REPORT_TTL);
        let Some((reported_at, busy, _)) = recent else {
            return self.in_flight;
        };
        let since = self.started_at.iter().filter(|at| **at > reported_at);
        busy.saturating_add(u32::try_from(since.count()).unwrap_or(u32::MAX))
    }

    /// Returns `true` if the target is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns `true` if the target refused a call as full within the last
    /// [`FULL_BACKOFF`].
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }
}

/// The outcome of an attempt, as far as it affects target selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered.
    Answered,
    /// The gate refused the call because it is full.
    Full,
    /// The gate refused the call for a reason that says nothing about the
    /// target's health.
    Refused,
    /// The target or its gate was unreachable, or the connection broke during
    /// the call. This counts towards an ejection.
    Failed,
    /// The target answered with a failure or rejected the call. This raises the
    /// failure rate but does not lead to an ejection.
    Faulty,
    /// The gate was unreachable and is ejected for the given time.
    Unreachable(Duration),
}

/// Statistics about the targets of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceLoad {
    /// Average load of the service's targets, by slot, if news is shared.
    usual_load: Option<f64>,
    targets: HashMap<NodeAddress, TargetLoad>,
    /// Attempts that may follow refusals by gates.
    pub refusals: RefusalBudget,
    throttles: HashMap<RouteName, CallThrottle>,
    /// Maximum distance level to which calls currently go.
    pub max_distance: u8,
}

impl ServiceLoad {
    /// Returns statistics that take account of news from other nodes, and of its age.
    pub fn with_shared_news() -> Self {
        Self {
            usual_load: Some(0.0),
            ..Self::default()
        }
    }

    /// Returns `true` if news from other nodes counts.
    pub fn shares_news(&self) -> bool {
        self.usual_load.is_some()
    }

    /// Returns the calls that a target was last said to be running or to have queued, and how
    /// sure that is. Without shared news, a report counts in full until it is too old.
    pub fn believed(&mut self, target: &TargetEntry, now: Instant) -> BelievedLoad {
        let usual_load = self.usual_load;
        let load = self.get(target);
        let age = load.report_age(now);
        match usual_load {
            Some(usual_load) => BelievedLoad {
                busy: load.reported_busy(now),
                age,
                weight: load.report_weight(now),
                usual_load: usual_load.clamp(0.0, MAX_USUAL_LOAD),
            },
            None => BelievedLoad {
                busy: load.busy(now),
                age,
                weight: 1.0,
                usual_load: 0.0,
            },
        }
    }

    /// Takes news that another node passed on, unless this one knows newer. A target that
    /// this node has not considered yet is left out.
    pub fn record_news(&mut self, news: TargetNews, now: Instant) {
        let Some(reported_at) = now.checked_sub(news.age) else {
            return;
        };
        if self.usual_load.is_none() || news.age > MAX_NEWS_AGE {
            return;
        }
        if let Some(load) = self.targets.get_mut(&news.node)
            && load
                .last_report
                .is_none_or(|(known, _, _)| known < reported_at)
        {
            load.last_report = Some((reported_at, news.busy, load.in_flight));
        }
    }

    /// Returns the newest that this node knows of up to `count` targets other than
    /// `except`.
    pub fn newest_news(&self, except: NodeAddress, count: usize, now: Instant) -> Vec<TargetNews> {
        if self.usual_load.is_none() {
            return Vec::new();
        }
        let mut news: Vec<_> = self
            .targets
            .iter()
            .filter(|(node, _)| **node != except)
            .filter_map(|(node, load)| {
                let (reported_at, busy, _) = load.last_report?;
                let age = now.saturating_duration_since(reported_at);
                (age <= MAX_NEWS_AGE).then_some(TargetNews {
                    node: *node,
                    busy,
                    age,
                })
            })
            .collect();
        news.sort_unstable_by_key(|news| news.age);
        news.truncate(count);
        news
    }

    /// Returns the statistics of a target. They are reset when the node of the
    /// target has a newer incarnation; only the calls in flight and
    /// what the target stated are kept.
    pub fn get(&mut self, target: &TargetEntry) -> &mut TargetLoad {
        let load = self
            .targets
            .entry(target.node)
            .or_insert_with(|| TargetLoad::new(target.incarnation, target.slots));
        if load.incarnation < target.incarnation {
            let (in_flight, notice) = (load.in_flight, load.notice.take());
            *load = TargetLoad::new(target.incarnation, target.slots);
            load.in_flight = in_flight;
            load.notice = notice;
        }
        load
    }

    /// Returns the throttle of the calls of a route.
    pub fn throttle(&mut self, route: &RouteName) -> &mut CallThrottle {
        if self.throttles.len() >= MAX_THROTTLES && !self.throttles.contains_key(route) {
            self.throttles.clear();
        }
        self.throttles.entry(route.clone()).or_default()
    }

    /// Removes targets that the view no longer has, that have no call in flight and
    /// that have stated nothing lately.
    pub fn retain_targets(&mut self, targets: &[TargetEntry], now: Instant) {
        self.targets.retain(|node, load| {
            load.in_flight > 0
                || load.notice(now).is_some()
                || targets.iter().any(|target| target.node == *node)
        });
    }

    /// Counts an attempt as in flight.
    pub fn start_attempt(&mut self, target: &TargetEntry, now: Instant) {
        let shares_news = self.shares_news();
        let load = self.get(target);
        load.in_flight += 1;
        if shares_news {
            load.started_at.push(now);
        }
        if let Some(reported) = &mut load.limit {
            reported.sent += 1;
        }
    }

    /// Counts an attempt as no longer in flight. The result is recorded
    /// separately by [`Self::record_result`].
    pub fn finish_attempt(&mut self, node: NodeAddress) {
        if let Some(load) = self.targets.get_mut(&node) {
            load.in_flight = load.in_flight.saturating_sub(1);
            // Which of the calls has ended does not matter: all that began after a report
            // count alike, and the first to begin most often ends first.
            if !load.started_at.is_empty() {
                load.started_at.remove(0);
            }
        }
    }

    /// Records the load that a gate reported with its answer.
    pub fn record_load(&mut self, node: NodeAddress, busy: u32, now: Instant) {
        if let Some(load) = self.targets.get_mut(&node) {
            load.last_report = Some((now, busy, load.in_flight));
            if let Some(usual_load) = &mut self.usual_load {
                let slots = f64::from(load.slots.max(1));
                *usual_load += (f64::from(busy) / slots - *usual_load) * USUAL_LOAD_WEIGHT;
            }
        }
    }

    /// Records the wait for the link of its VM that a gate reported with its
    /// answer.
    pub fn record_link_wait(&mut self, node: NodeAddress, wait: Duration, now: Instant) {
        if let Some(load) = self.targets.get_mut(&node) {
            load.link_wait = Some((now, wait));
        }
    }

    /// Records the wait of large answers for the link of its VM that a gate reported with
    /// its answer.
    pub fn record_answer_wait(&mut self, node: NodeAddress, wait: Duration, now: Instant) {
        if let Some(load) = self.targets.get_mut(&node) {
            load.answer_wait = Some((now, wait));
        }
    }

    /// Records the limit on the rate of a target's calls that its gate reported with an
    /// answer, or that there is none, and the wait for another call there.
    pub fn record_limit(
        &mut self,
        node: NodeAddress,
        limit: Option<RequestRate>,
        wait: Duration,
        now: Instant,
    ) {
        if let Some(load) = self.targets.get_mut(&node) {
            load.limit = limit.map(|limit| ReportedLimit {
                limit,
                wait,
                reported_at: now,
                sent: 0,
            });
        }
    }

    /// Records what a target states about itself, as its gate reported it with the result
    /// of an attempt that began at `started`.
    ///
    /// Nothing stated ends what was stated before only if the attempt began after that and
    /// the target has answered it: a gate that was restarted knows of nothing at first.
    pub fn record_notice(
        &mut self,
        node: NodeAddress,
        notice: Option<TargetNotice>,
        is_answer: bool,
        started: Instant,
        now: Instant,
    ) {
        let Some(load) = self.targets.get_mut(&node) else {
            return;
        };
        match notice {
            Some(notice) => load.notice = Some((now, notice)),
            None if is_answer => {
                load.notice = load
                    .notice
                    .take()
                    .filter(|(heard_at, _)| started < *heard_at);
            }
            None => {}
        }
    }

    /// Records the mean run time of a route that a gate reported with its
    /// answer.
    ///
    /// Run times are kept per route, because a target that serves many short
    /// calls isn't faster than one that serves few.
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
        load.run_times.retain(|run| {
            run.route != *route && now.saturating_duration_since(run.reported_at) < RUN_TIME_TTL
        });
        load.run_times.push(RouteRunTime {
            route: route.clone(),
            mean,
            reported_at: now,
        });
    }

    /// Records the result of an attempt, and ejects the target if it failed too
    /// often. At most the policy's share of `target_count` targets is ejected
    /// at once.
    ///
    /// Returns the ejection time if the target is ejected.
    pub fn record_result(
        &mut self,
        target: &TargetEntry,
        result: AttemptResult,
        elapsed: Duration,
        policy: &PolicySpec,
        target_count: usize,
        now: Instant,
    ) -> Option<Duration> {
        let load = self.get(target);
        match result {
            AttemptResult::Answered => load.failure_rate.record(false, now),
            AttemptResult::Failed | AttemptResult::Faulty | AttemptResult::Unreachable(_) => {
                load.failure_rate.record(true, now);
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
                let sample = elapsed.as_secs_f64();
                load.latency += (sample - load.latency) * LATENCY_WEIGHT;
                load.consecutive_failures = 0;
                load.ejections = 0;
                None
            }
            AttemptResult::Full => {
                load.full_until = Some(now + FULL_BACKOFF);
                None
            }
            AttemptResult::Refused => None,
            AttemptResult::Failed => {
                load.consecutive_failures += 1;
                let should_eject =
                    load.consecutive_failures >= policy.eject_after && !load.is_ejected(now);
                if should_eject && self.may_eject(policy, target_count, now) {
                    return Some(self.eject(target, policy, now));
                }
                None
            }
        }
    }

    /// Returns the number of targets that are currently ejected.
    pub fn ejected_count(&self, now: Instant) -> usize {
        self.targets
            .values()
            .filter(|load| load.is_ejected(now))
            .count()
    }

    fn may_eject(&self, policy: &PolicySpec, target_count: usize, now: Instant) -> bool {
        (self.ejected_count(now) + 1) * 100 <= target_count * usize::from(policy.eject_max_share.0)
    }

    fn eject(&mut self, target: &TargetEntry, policy: &PolicySpec, now: Instant) -> Duration {
        let load = self.get(target);
        let backoff_factor = 1_u32 << load.ejections.min(10);
        let ejection_time =
            (Duration::from_millis(policy.eject_base_ms) * backoff_factor).min(MAX_EJECTION_TIME);
        load.ejections += 1;
        // A single failure after the ejection ejects the target again, for
        // longer.
        load.consecutive_failures = policy.eject_after - 1;
        load.ejected_until = Some(now + ejection_time);
        ejection_time
    }
}

/// Statistics about the targets of all services. Clones share the same
/// statistics.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    shares_news: bool,
    services: Arc<RwLock<HashMap<ServiceName, Arc<Mutex<ServiceLoad>>>>>,
}

impl LoadTracker {
    /// Returns a tracker without any statistics. With `shares_news`, they take account of
    /// news from other nodes and of its age.
    pub fn new(shares_news: bool) -> Self {
        Self {
            shares_news,
            ..Self::default()
        }
    }

    /// Returns the statistics of a service, creating them if there are none.
    pub fn service(&self, name: &ServiceName) -> Arc<Mutex<ServiceLoad>> {
        let services = self.services.read().unwrap_or_else(|e| e.into_inner());
        if let Some(load) = services.get(name) {
            return Arc::clone(load);
        }
        drop(services);
        let mut services = self.services.write().unwrap_or_else(|e| e.into_inner());
        let entry = services.entry(name.clone()).or_insert_with(|| {
            let load = if self.shares_news {
                ServiceLoad::with_shared_news()
            } else {
                ServiceLoad::default()
            };
            Arc::new(Mutex::new(load))
        });
        Arc::clone(entry)
    }

    /// Calls `f` with the locked statistics of a service.
    pub fn with_service<F, T>(&self, name: &ServiceName, f: F) -> T
    where
        F: FnOnce(&mut ServiceLoad) -> T,
    {
        let service = self.service(name);
        let mut load = lock(&service);
        f(&mut load)
    }
}
