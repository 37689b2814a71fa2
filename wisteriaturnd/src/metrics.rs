//! The metrics of a node.
//!
//! Names carry their units. [docs/OPERATIONS.md](../../docs/OPERATIONS.md)
//! says which of them deserve an alarm.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use wisteriaturn::invariant::{INVARIANTS, violations};

/// Labels of a call's end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// What the caller was told.
    pub outcome: &'static str,
    /// Why there was no answer, or `none`.
    pub reason: &'static str,
}

/// Kinds of control traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum TrafficKind {
    /// Probes with the news that rides along.
    Probe,
    /// Pushed news and configuration records.
    Push,
    /// Comparison of members.
    AntiEntropy,
    /// Pulled configuration and joins.
    Transfer,
    /// Claims of idempotency keys.
    Claim,
    /// Questions about who holds a version.
    Convergence,
}

/// How far control traffic goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum TrafficReach {
    /// Within the data centre.
    DataCentre,
    /// Within the region.
    Region,
    /// Across regions, which is billed.
    World,
    /// To an address that is not a known member.
    Unknown,
}

/// Labels of control traffic that was sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TrafficLabels {
    /// Kind.
    pub kind: TrafficKind,
    /// Reach.
    pub reach: TrafficReach,
}

/// Labels of something that was dropped.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DropLabels {
    /// Why it was dropped.
    pub cause: &'static str,
}

/// Labels of an invariant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RuleLabels {
    rule: &'static str,
}

/// All metrics of a node.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    /// Calls that ended at this ingress.
    pub calls: Family<CallLabels, Counter>,
    /// Attempts beyond the first.
    pub retries: Counter,
    /// Retries that the budget refused.
    pub retries_refused: Counter,
    /// Time that a call spent at this ingress.
    pub call_seconds: Histogram,
    /// Time that a call waited at this gate.
    pub gate_wait_seconds: Histogram,
    /// Calls sent to the local target.
    pub target_runs: Counter,
    /// Answers handed over after a lost exchange.
    pub handovers: Counter,
    /// Control bytes sent, with 28 bytes of IP and UDP headers a datagram.
    pub control_bytes: Family<TrafficLabels, Counter>,
    /// Things dropped at a bound or a check.
    pub drops: Family<DropLabels, Counter>,
    /// Version in force.
    pub config_version: Gauge<u64, AtomicU64>,
    /// Members alive or suspect.
    pub members: Gauge,
    /// Whether the node is ready.
    pub ready: Gauge,
    /// Whether this node is a relay of its data centre.
    pub relay: Gauge,
    /// Targets ejected by this node.
    pub ejections: Counter,
    /// Requests that lost a target here.
    pub target_losses: Counter,
    rules: Family<RuleLabels, Gauge<u64, AtomicU64>>,
    log_bytes: Gauge<u64, AtomicU64>,
}

impl NodeMetrics {
    /// Registers all metrics.
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
        let rules = Family::default();
        registry.register(
            "invariant_violations",
            "Broken invariants; must be 0",
            rules.clone(),
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
            rules,
        }
    }

    /// Counts something that was dropped.
    pub fn record_drop(&self, cause: &'static str) {
        self.drops.get_or_create(&DropLabels { cause }).inc();
    }

    /// Counts control bytes that were sent.
    pub fn record_sent(&self, kind: TrafficKind, reach: TrafficReach, bytes: usize) {
        self.control_bytes
            .get_or_create(&TrafficLabels { kind, reach })
            .inc_by(bytes as u64);
    }

    /// Returns all metrics as text; `log_bytes` comes from the log's port.
    pub fn encode(&self, log_bytes: u64) -> String {
        self.log_bytes.set(log_bytes);
        for rule in INVARIANTS {
            self.rules
                .get_or_create(&RuleLabels { rule: rule.name() })
                .set(violations(rule));
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
