//! Compares the answers of two versions of a service.
//!
//! It is designed for versions that differ in one of three ways: a part of the answers are
//! failures, a part takes several times as long, or both on one route alone. Failures and
//! run times of the old version at the same time are the measure, so that a service that
//! is slow or fails as a whole says nothing about its new version.
//!
//! The test is one-sided and exact: if the new version failed as often as the old one, and
//! a margin more, how likely is it that so many of its answers are bad? Below
//! [`FALSE_ALARM`] it is called worse. A version of which half of the answers are bad is
//! found with about ten answers; one of which a quarter are, with about thirty. A route with two
//! calls a second shows nothing on its own within a short roll-out; its answers count in
//! the sum of all routes.
//!
//! A target that is bad by itself must not decide about a version: the finding must stand
//! without the target that contributes most to it, if there is another.
//!
//! Counts are cumulative for each gate, so that a lost or doubled message changes nothing.
//! Run times are kept in buckets of powers of the square root of two, which fit into a
//! datagram and are added up as they are.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Incarnation, NodeAddress, RouteName, TargetVersion};

/// Number of buckets of run times, from 1 ms to about 23 s.
pub const BUCKETS: usize = 30;

/// Maximum number of routes in one report. The routes with the most answers are named.
pub const MAX_REPORTED_ROUTES: usize = 8;

/// Probability of finding a version worse that is not, at one comparison.
pub const FALSE_ALARM: f64 = 1e-4;

/// Probability for the comparison that leaves the worst target out. The finding has been
/// made already; this only asks whether it rests on one target.
const CONFIRMATION: f64 = 0.02;

/// Share of bad answers beyond that of the old version which is never held against the
/// new one.
const MARGIN: f64 = 0.05;

/// Share of bad answers beyond that of the old version from which on a version is given
/// up. Less than that is left to the operator.
const MIN_EXCESS: f64 = 0.12;

/// Minimum number of bad answers for a finding.
const MIN_BAD: u32 = 5;

/// Answers of the old version that are assumed beside those seen, a tenth of them bad, so
/// that few answers don't make it look perfect.
const PRIOR_ANSWERS: f64 = 5.0;

/// Minimum number of answers of the old version for a comparison of run times.
const MIN_TIMED: u32 = 20;

/// Share of the old version's answers that are faster than the time from which on, with
/// [`SLOW_BUCKETS`] added, an answer counts as slow.
const TYPICAL_SHARE: f64 = 0.9;

/// Buckets beyond the typical time of the old version from which on an answer counts as
/// slow: a factor of two, which a target that has just started or has a slow VM may take.
const SLOW_BUCKETS: usize = 2;

record! {
    /// The answers of one route at one gate.
    pub struct RouteEvidence {
        /// The route.
        pub route: RouteName,
        /// Answers, failed or not.
        pub answers: u32,
        /// Failed answers, and calls that got none.
        pub failures: u32,
        /// Sound answers by run time; see [`bucket_of`].
        pub run_times: Vec<u32>,
    }

    /// The answers of one gate since a roll-out began.
    pub struct GateEvidence {
        /// Run of the gate's node; counts begin anew with it.
        pub incarnation: Incarnation,
        /// Version of the gate's target.
        pub version: TargetVersion,
        /// Answers by route.
        pub routes: Vec<RouteEvidence>,
        /// Calls that run or wait at the gate.
        pub in_flight: u32,
        /// Whether the gate refuses calls because its version was replaced.
        pub is_closed: bool,
    }
}

/// Why a version is worse than another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortcoming {
    /// More of its answers are failures.
    Failures,
    /// More of its answers are slow.
    SlowAnswers,
}

/// A version was found worse than another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// In which way it is worse.
    pub shortcoming: Shortcoming,
    /// The route, or `None` for all routes together.
    pub route: Option<RouteName>,
    /// Bad answers of the new version.
    pub bad: u32,
    /// Answers of the new version.
    pub answers: u32,
    /// Bad answers of the old version, in thousandths.
    pub usual_permille: u32,
}

/// Returns the bucket of a run time.
pub fn bucket_of(run_time: Duration) -> usize {
    let millis = (run_time.as_secs_f64() * 1_000.0).max(1.0);
    let bucket = (millis.log2() * 2.0).floor();
    (bucket as usize).min(BUCKETS - 1)
}

/// Answers of one route, added up.
#[derive(Debug, Clone, Default)]
struct AnswerCounts {
    answers: u32,
    failures: u32,
    run_times: [u32; BUCKETS],
}

impl AnswerCounts {
    fn add(&mut self, evidence: &RouteEvidence) {
        self.answers += evidence.answers;
        self.failures += evidence.failures;
        for (sum, count) in self.run_times.iter_mut().zip(&evidence.run_times) {
            *sum += count;
        }
    }

    fn timed(&self) -> u32 {
        self.run_times.iter().sum()
    }

    /// Returns the first bucket that counts as slow, by the answers of an old version.
    fn slow_bucket(&self) -> Option<usize> {
        let timed = self.timed();
        if timed < MIN_TIMED {
            return None;
        }
        let typical = f64::from(timed) * TYPICAL_SHARE;
        let mut sum = 0;
        let last = self.run_times.iter().position(|count| {
            sum += count;
            f64::from(sum) >= typical
        });
        last.map(|last| last + SLOW_BUCKETS + 1)
    }

    fn slower_than(&self, bucket: usize) -> u32 {
        self.run_times[bucket.min(BUCKETS)..].iter().sum()
    }
}

/// Counts the runs of one gate during a roll-out.
#[derive(Debug, Clone, Default)]
pub struct GateCounter {
    routes: BTreeMap<RouteName, RouteEvidence>,
}

impl GateCounter {
    /// Counts a run, which failed if `is_failure`.
    pub fn record(&mut self, route: &RouteName, is_failure: bool, run_time: Duration) {
        let evidence = self
            .routes
            .entry(route.clone())
            .or_insert_with(|| RouteEvidence {
                route: route.clone(),
                answers: 0,
                failures: 0,
                run_times: vec![0; BUCKETS],
            });
        evidence.answers += 1;
        if is_failure {
            evidence.failures += 1;
        } else {
            evidence.run_times[bucket_of(run_time)] += 1;
        }
    }

    /// Returns the counts of the routes with the most answers.
    pub fn report(&self) -> Vec<RouteEvidence> {
        let mut routes: Vec<_> = self.routes.values().cloned().collect();
        routes.sort_by_key(|evidence| std::cmp::Reverse(evidence.answers));
        routes.truncate(MAX_REPORTED_ROUTES);
        for evidence in &mut routes {
            let used = evidence.run_times.iter().rposition(|count| *count > 0);
            evidence.run_times.truncate(used.map_or(0, |last| last + 1));
        }
        routes
    }
}

/// The evidence of all gates of a service, by node.
#[derive(Debug, Clone, Default)]
pub struct EvidenceTable {
    gates: BTreeMap<NodeAddress, GateEvidence>,
}

impl EvidenceTable {
    /// Replaces the evidence of a gate, unless it comes from an earlier run of its node
    /// or is older than what is known.
    pub fn record(&mut self, node: NodeAddress, evidence: GateEvidence) {
        let answers = |evidence: &GateEvidence| -> u64 {
            let routes = evidence.routes.iter();
            routes.map(|route| u64::from(route.answers)).sum()
        };
        let is_older = self.gates.get(&node).is_some_and(|known| {
            evidence.incarnation < known.incarnation
                || (evidence.incarnation == known.incarnation
                    && evidence.version == known.version
                    && answers(&evidence) < answers(known))
        });
        if !is_older {
            self.gates.insert(node, evidence);
        }
    }

    /// Returns the evidence of a gate.
    pub fn get(&self, node: NodeAddress) -> Option<&GateEvidence> {
        self.gates.get(&node)
    }

    /// Returns the evidence that was added since `earlier`.
    pub fn since(&self, earlier: &EvidenceTable) -> EvidenceTable {
        let mut difference = self.clone();
        for (node, evidence) in &mut difference.gates {
            let Some(before) = earlier.gates.get(node).filter(|before| {
                before.incarnation == evidence.incarnation && before.version == evidence.version
            }) else {
                continue;
            };
            for route in &mut evidence.routes {
                let before = before.routes.iter().find(|old| old.route == route.route);
                if let Some(before) = before {
                    subtract(route, before);
                }
            }
        }
        difference
    }

    /// Returns the number of answers of a version.
    pub fn answers(&self, version: &TargetVersion) -> u32 {
        let gates = self.gates.values().filter(|gate| gate.version == *version);
        gates
            .flat_map(|gate| &gate.routes)
            .map(|route| route.answers)
            .sum()
    }

    /// Returns in which way `version` answers worse than all others, if it does.
    pub fn find_worse(&self, version: &TargetVersion) -> Option<Finding> {
        let mut routes: Vec<Option<&RouteName>> = vec![None];
        for gate in self.gates.values().filter(|gate| gate.version == *version) {
            for evidence in &gate.routes {
                if !routes.contains(&Some(&evidence.route)) {
                    routes.push(Some(&evidence.route));
                }
            }
        }
        routes
            .into_iter()
            .find_map(|route| self.find_worse_on(version, route))
    }

    fn find_worse_on(&self, version: &TargetVersion, route: Option<&RouteName>) -> Option<Finding> {
        let usual = self.sum(route, |_, gate| gate.version != *version);
        let slow_bucket = usual.slow_bucket();
        [Shortcoming::Failures, Shortcoming::SlowAnswers]
            .into_iter()
            .find_map(|shortcoming| {
                // Run times of different routes can't be compared with each other.
                if shortcoming == Shortcoming::SlowAnswers && route.is_none() {
                    return None;
                }
                let count = |counts: &AnswerCounts| match shortcoming {
                    Shortcoming::Failures => Some((counts.failures, counts.answers)),
                    Shortcoming::SlowAnswers => {
                        slow_bucket.map(|bucket| (counts.slower_than(bucket), counts.timed()))
                    }
                };
                let usual_share = bad_share(count(&usual)?);
                let all = self.sum(route, |_, gate| gate.version == *version);
                let (bad, answers) = count(&all)?;
                if !is_excessive(bad, answers, usual_share, FALSE_ALARM) {
                    return None;
                }
                // Without the target with the most bad answers.
                let worst = self
                    .gates
                    .iter()
                    .filter(|(_, gate)| gate.version == *version)
                    .max_by_key(|(node, _)| {
                        count(&self.sum(route, |other, _| other == **node)).map(|(bad, _)| bad)
                    })
                    .map(|(node, _)| *node)?;
                let others = self.sum(route, |node, gate| {
                    node != worst && gate.version == *version
                });
                let (other_bad, other_answers) = count(&others)?;
                let is_alone = other_answers < MIN_BAD * 2;
                let is_confirmed =
                    is_alone || is_excessive(other_bad, other_answers, usual_share, CONFIRMATION);
                is_confirmed.then(|| Finding {
                    shortcoming,
                    route: route.cloned(),
                    bad,
                    answers,
                    usual_permille: (usual_share * 1_000.0) as u32,
                })
            })
    }

    fn sum<F>(&self, route: Option<&RouteName>, is_counted: F) -> AnswerCounts
    where
        F: Fn(NodeAddress, &GateEvidence) -> bool,
    {
        let mut sum = AnswerCounts::default();
        for (node, gate) in &self.gates {
            if !is_counted(*node, gate) {
                continue;
            }
            for evidence in &gate.routes {
                if route.is_none_or(|route| evidence.route == *route) {
                    sum.add(evidence);
                }
            }
        }
        sum
    }
}

fn subtract(route: &mut RouteEvidence, before: &RouteEvidence) {
    route.answers = route.answers.saturating_sub(before.answers);
    route.failures = route.failures.saturating_sub(before.failures);
    for (count, old) in route.run_times.iter_mut().zip(&before.run_times) {
        *count = count.saturating_sub(*old);
    }
}

/// Returns the share of bad answers that a few assumed ones keep from being zero.
fn bad_share((bad, answers): (u32, u32)) -> f64 {
    (f64::from(bad) + PRIOR_ANSWERS * 0.1) / (f64::from(answers) + PRIOR_ANSWERS)
}

/// Returns `true` if `bad` of `answers` are more than the usual share explains, with the
/// given probability of being wrong.
fn is_excessive(bad: u32, answers: u32, usual_share: f64, probability: f64) -> bool {
    if bad < MIN_BAD.min(answers) || bad == 0 {
        return false;
    }
    let excess = f64::from(bad) / f64::from(answers) - usual_share;
    excess >= MIN_EXCESS
        && binomial_tail(bad, answers, (usual_share + MARGIN).min(0.99)) < probability
}

/// Returns the probability of `bad` or more bad answers among `answers`, each of which is
/// bad with probability `share`.
fn binomial_tail(bad: u32, answers: u32, share: f64) -> f64 {
    // The terms are summed as logarithms, since their factors under- and overflow.
    let mut log_choose = 0.0;
    let mut tail = 0.0;
    for count in 0..=answers {
        if count > 0 {
            log_choose += f64::from(answers - count + 1).ln() - f64::from(count).ln();
        }
        if count >= bad {
            let log_term = log_choose
                + f64::from(count) * share.ln()
                + f64::from(answers - count) * (1.0 - share).ln();
            tail += log_term.exp();
        }
    }
    tail
}
