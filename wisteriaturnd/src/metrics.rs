//! The metrics of a node.
//!
//! Metric names include their units. [docs/OPERATIONS.md](../../docs/OPERATIONS.md)
//! describes which of them to alert on.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use wisteriaturn::ids::{ServiceName, TeamName};
use wisteriaturn::invariant::{INVARIANTS, violations};
use wisteriaturn::rollout::state::{ROLLOUT_PHASES, RolloutPhase};

/// The labels of a finished call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Outcome that was reported to the caller.
    pub outcome: &'static str,
    /// Reason why the call was not answered, or `none`.
    pub reason: &'static str,
}

/// The kind of a control message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum TrafficKind {
    /// Failure-detection probes, with the updates that are piggybacked on them.
    Probe,
    /// Pushed updates, configuration records and reader heartbeats.
    Push,
    /// Anti-entropy exchanges of member records.
    AntiEntropy,
    /// Configuration pulls and joins.
    Transfer,
    /// Claims of idempotency keys.
    Claim,
    /// Queries for the number of nodes that hold a version.
    Convergence,
    /// Questions to the keepers of teams' allowances, and their answers.
    Allowance,
}

/// The distance that control traffic travels.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum TrafficReach {
    /// Within the data centre.
    DataCentre,
    /// Within the region.
    Region,
    /// To another region; this traffic is billed.
    World,
    /// To an address that does not belong to a known member.
    Unknown,
}

/// The labels of control traffic that was sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TrafficLabels {
    /// Kind of the message.
    pub kind: TrafficKind,
    /// Distance that the message travels.
    pub reach: TrafficReach,
}

/// The label of a message, connection or request that was dropped.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DropLabels {
    /// Reason for the drop.
    pub cause: &'static str,
}

/// The label of an invariant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct InvariantLabels {
    rule: &'static str,
}

/// The labels of the decisions on a team's calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamLabels {
    team: String,
    decision: &'static str,
}

/// The labels of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RolloutLabels {
    service: String,
    phase: &'static str,
}

/// All metrics of a node.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    /// Calls that finished at this ingress.
    pub calls: Family<CallLabels, Counter>,
    /// Attempts after the first one of a call.
    pub retries: Counter,
    /// Retries that were refused by a retry budget.
    pub retries_refused: Counter,
    /// Time from the arrival of a call at this ingress to the end of its answer.
    pub call_seconds: Histogram,
    /// Time for which a call waited for a slot at this gate.
    pub gate_wait_seconds: Histogram,
    /// Calls that were sent to a local target.
    pub target_runs: Counter,
    /// Answers that were sent to a node after its connection for the call had
    /// broken.
    pub handovers: Counter,
    /// Bytes of control traffic sent, including 28 bytes of IP and UDP headers for
    /// each datagram.
    pub control_bytes: Family<TrafficLabels, Counter>,
    /// Messages, connections and requests that were dropped because of a limit or
    /// a failed check.
    pub drops: Family<DropLabels, Counter>,
    /// Configuration version in force.
    pub config_version: Gauge<u64, AtomicU64>,
    /// Members that are alive or suspect.
    pub members: Gauge,
    /// 1 if the node is ready, otherwise 0.
    pub ready: Gauge,
    /// 1 if this node is a relay of its data centre, otherwise 0.
    pub relay: Gauge,
    /// Targets that this node ejected because of failures.
    pub ejections: Counter,
    /// Crashes of a local target during a call.
    pub target_losses: Counter,
    /// Decisions on calls of teams with an allowance.
    team_calls: Family<TeamLabels, Counter>,
    /// Phase of the roll-out of each service: 1 for the one in force, otherwise 0.
    rollouts: Family<RolloutLabels, Gauge>,
    invariant_violations: Family<InvariantLabels, Gauge<u64, AtomicU64>>,
    log_bytes: Gauge<u64, AtomicU64>,
}

impl NodeMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("wisteriaturn");
        let calls = Family::default();
        registry.register("calls", "Calls by outcome and reason", calls.clone());
        let retries = Counter::default();
        registry.register("retries", "Attempts beyond the first", retries.clone());
        let retries_refused = Counter::default();
        registry.register(
            "retries_refused",
            "Retries beyond the budget",
            retries_refused.clone(),
        );
        let call_seconds = Histogram::new(exponential_buckets(0.000_25, 2.0, 16));
        registry.register("call_seconds", "Time of calls", call_seconds.clone());
        let gate_wait_seconds = Histogram::new(exponential_buckets(0.000_25, 2.0, 16));
        registry.register(
            "gate_wait_seconds",
            "Time that calls wait for a slot",
            gate_wait_seconds.clone(),
        );
        let target_runs = Counter::default();
        registry.register(
            "target_runs",
            "Calls sent to the target",
            target_runs.clone(),
        );
        let handovers = Counter::default();
        registry.register("handovers", "Answers handed over later", handovers.clone());
        let control_bytes = Family::default();
        registry.register("control_bytes", "Control bytes sent", control_bytes.clone());
        let drops = Family::default();
        registry.register("drops", "Things dropped", drops.clone());
        let config_version = Gauge::default();
        registry.register("config_version", "Version in force", config_version.clone());
        let members = Gauge::default();
        registry.register("members", "Live members", members.clone());
        let ready = Gauge::default();
        registry.register("ready", "1 when the node is ready", ready.clone());
        let relay = Gauge::default();
        registry.register("relay", "1 when the node is a relay", relay.clone());
        let ejections = Counter::default();
        registry.register("ejections", "Targets ejected", ejections.clone());
        let target_losses = Counter::default();
        registry.register(
            "target_losses",
            "Exchanges lost to a crash",
            target_losses.clone(),
        );
        let team_calls = Family::default();
        registry.register(
            "team_calls",
            "Decisions on calls of teams",
            team_calls.clone(),
        );
        let rollouts = Family::default();
        registry.register(
            "rollout_phase",
            "1 for the phase in force",
            rollouts.clone(),
        );
        let invariant_violations = Family::default();
        registry.register(
            "invariant_violations",
            "Broken invariants; must be 0",
            invariant_violations.clone(),
        );
        let log_bytes = Gauge::default();
        registry.register(
            "log_bytes",
            "Bytes to and from the log since the start",
            log_bytes.clone(),
        );
        Self {
            registry,
            log_bytes,
            calls,
            retries,
            retries_refused,
            call_seconds,
            gate_wait_seconds,
            target_runs,
            handovers,
            control_bytes,
            drops,
            config_version,
            members,
            ready,
            relay,
            ejections,
            target_losses,
            team_calls,
            rollouts,
            invariant_violations,
        }
    }

    /// Counts a dropped message, connection or request.
    pub fn record_drop(&self, cause: &'static str) {
        self.record_drops(cause, 1);
    }

    /// Counts several drops for the same cause, if there are any.
    pub fn record_drops(&self, cause: &'static str, count: u64) {
        if count > 0 {
            self.drops
                .get_or_create(&DropLabels { cause })
                .inc_by(count);
        }
    }

    /// Counts a decision on a call of a team. The configuration bounds the number of teams.
    pub fn record_team(&self, team: &TeamName, decision: &'static str) {
        let labels = TeamLabels {
            team: team.to_string(),
            decision,
        };
        self.team_calls.get_or_create(&labels).inc();
    }

    /// Sets the phase of the roll-out of a service.
    pub fn record_rollout(&self, service: &ServiceName, phase: RolloutPhase) {
        for other in ROLLOUT_PHASES {
            let labels = RolloutLabels {
                service: service.to_string(),
                phase: other.name(),
            };
            let value = i64::from(other == phase);
            self.rollouts.get_or_create(&labels).set(value);
        }
    }

    /// Adds control bytes that were sent.
    pub fn record_sent(&self, kind: TrafficKind, reach: TrafficReach, bytes: usize) {
        self.control_bytes
            .get_or_create(&TrafficLabels { kind, reach })
            .inc_by(bytes as u64);
    }

    /// Returns all metrics in the Prometheus text format. `log_bytes` is the
    /// traffic with the log so far.
    pub fn encode(&self, log_bytes: u64) -> String {
        self.log_bytes.set(log_bytes);
        for invariant in INVARIANTS {
            self.invariant_violations
                .get_or_create(&InvariantLabels {
                    rule: invariant.name(),
                })
                .set(violations(invariant));
        }
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self::new()
    }
}
