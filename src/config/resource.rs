//! The resources that operators write.
//!
//! Durations are whole milliseconds in these types, since that is what the
//! API speaks; accessors return the standard types.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{CallPriority, HostName, PathPrefix, Percent, RouteName, ServiceName, SlotCount};

/// Deadline of a route that names none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Longest deadline that a route may give, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Name of the limits that are in force.
pub const ACTIVE_LIMITS_NAME: &str = "callers";

/// Most slots that a service may allow a target.
pub const MAX_SLOTS: u16 = 4096;

record! {
    /// A service and who may serve it.
    #[serde(deny_unknown_fields)]
    pub struct ServiceSpec {
        /// Name of the service.
        pub name: ServiceName,
        /// Addresses from which a target may announce itself.
        pub permit: Vec<AddressRange>,
        /// Most slots that a target may announce.
        #[serde(default = "default_slots")]
        pub max_slots: SlotCount,
        /// Most connections that a gate opens to its target.
        #[serde(default = "default_connections")]
        pub max_connections: u16,
        /// Retries that a node may add, as a share of recent calls.
        #[serde(default = "default_retry")]
        pub retry_percent: Percent,
    }

    /// A route from a host and a path prefix to services.
    #[serde(deny_unknown_fields)]
    pub struct RouteSpec {
        /// Name of the route.
        pub name: RouteName,
        /// Host that the route matches; any host when absent.
        #[serde(default)]
        pub host: Option<HostName>,
        /// Path prefix that the route matches.
        pub path: PathPrefix,
        /// Services that share the route's calls by weight.
        pub services: Vec<WeightedService>,
        /// Class under which calls wait at a gate.
        #[serde(default)]
        pub class: CallClass,
        /// Time allowed for a call, in milliseconds.
        #[serde(default = "default_deadline")]
        pub deadline_ms: u64,
        /// Whether calls are idempotent; by method (RFC 9110, 9.2.2) when absent.
        #[serde(default)]
        pub idempotent: Option<bool>,
        /// Most calls that one node has under way on this route; no bound when absent.
        #[serde(default)]
        pub max_concurrent: Option<u32>,
        /// Whether a path must go on below the prefix: `/a/` then matches `/a/b`
        /// but not `/a`.
        #[serde(default)]
        pub only_below: bool,
        /// Most targets that one call is sent to; the node's own bound when absent.
        #[serde(default)]
        pub max_attempts: Option<u32>,
        /// Time within which an answer is worth most, in milliseconds.
        #[serde(default)]
        pub target_latency_ms: Option<u64>,
        /// Rank among the calls of one class; 0 is served first.
        #[serde(default)]
        pub priority: CallPriority,
    }

    /// What callers may send, and how long they may take or stay idle.
    #[serde(deny_unknown_fields)]
    pub struct LimitsSpec {
        /// Name of the limits; those named [`ACTIVE_LIMITS_NAME`] are in force.
        pub name: ServiceName,
        /// Bytes of a request's head at most.
        pub max_head_bytes: u64,
        /// Bytes of a request's body at most.
        pub max_body_bytes: u64,
        /// Time for the head of a request, in milliseconds.
        pub head_timeout_ms: u64,
        /// Time that a connection may stay idle, in milliseconds.
        pub idle_timeout_ms: u64,
    }

    /// A service with its share of a route's calls.
    #[serde(deny_unknown_fields)]
    pub struct WeightedService {
        /// Name of the service.
        pub service: ServiceName,
        /// Share relative to the other weights.
        #[serde(default = "default_weight")]
        pub weight: u32,
    }

    /// How nodes choose among the targets of a service.
    #[serde(deny_unknown_fields)]
    pub struct PolicySpec {
        /// Service that the policy is for.
        pub service: ServiceName,
        /// Time in which a new target's share grows to a full one, in milliseconds.
        #[serde(default = "default_slow_start")]
        pub slow_start_ms: u64,
        /// Failures in a row after which a node ejects a target.
        #[serde(default = "default_eject_after")]
        pub eject_after: u32,
        /// First ejection time, in milliseconds; doubles each time.
        #[serde(default = "default_eject_base")]
        pub eject_base_ms: u64,
        /// Largest share of the targets that a node ejects.
        #[serde(default = "default_eject_share")]
        pub eject_max_share: Percent,
        /// Load of the nearer targets at which calls go further away.
        #[serde(default = "default_spill_enter")]
        pub spill_enter: Percent,
        /// Load of the nearer targets at which calls come back.
        #[serde(default = "default_spill_leave")]
        pub spill_leave: Percent,
    }

    /// Any resource.
    #[serde(tag = "kind", rename_all = "lowercase")]
    pub enum Resource {
        /// A service.
        Service(ServiceSpec),
        /// A route.
        Route(RouteSpec),
        /// A target policy.
        Policy(PolicySpec),
        /// Limits on callers.
        Limits(LimitsSpec),
    }
}

/// The kind of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ResourceKind {
    /// A service.
    Service,
    /// A route.
    Route,
    /// A target policy.
    Policy,
    /// Limits on callers.
    Limits,
}

/// The class under which a call waits at a gate; the first is served first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum CallClass {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// Work that may be shed first.
    Bulk,
}

/// Names one resource.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name within the kind.
    pub name: String,
}

/// A range of IP addresses such as `127.0.0.0/8`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddressRange {
    base: IpAddr,
    prefix: u8,
}

impl Resource {
    /// Returns the key under which the resource is kept.
    pub fn key(&self) -> ResourceKey {
        match self {
            Resource::Service(spec) => ResourceKey::new(ResourceKind::Service, spec.name.as_str()),
            Resource::Route(spec) => ResourceKey::new(ResourceKind::Route, spec.name.as_str()),
            Resource::Policy(spec) => ResourceKey::new(ResourceKind::Policy, spec.service.as_str()),
            Resource::Limits(spec) => ResourceKey::new(ResourceKind::Limits, spec.name.as_str()),
        }
    }
}

impl ResourceKey {
    /// Returns the key of a kind and a name.
    pub fn new(kind: ResourceKind, name: &str) -> Self {
        Self {
            kind,
            name: name.to_owned(),
        }
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResourceKind::Service => "service",
            ResourceKind::Route => "route",
            ResourceKind::Policy => "policy",
            ResourceKind::Limits => "limits",
        })
    }
}

impl FromStr for ResourceKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "service" | "services" => Ok(ResourceKind::Service),
            "route" | "routes" => Ok(ResourceKind::Route),
            "policy" | "policies" => Ok(ResourceKind::Policy),
            "limits" => Ok(ResourceKind::Limits),
            _ => Err(format!(
                "unknown kind {text:?}, allowed are service, route, policy and limits"
            )),
        }
    }
}

impl CallClass {
    /// Returns the name that logs and headers use.
    pub fn name(self) -> &'static str {
        match self {
            CallClass::Interactive => "interactive",
            CallClass::Bulk => "bulk",
        }
    }
}

impl FromStr for CallClass {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "interactive" => Ok(CallClass::Interactive),
            "bulk" => Ok(CallClass::Bulk),
            _ => Err(format!("unknown class {text:?}")),
        }
    }
}

impl RouteSpec {
    /// Returns the time allowed for a call.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the time within which an answer is worth most: the deadline when
    /// the route names none.
    pub fn target_latency(&self) -> Duration {
        self.target_latency_ms
            .map_or(self.deadline(), Duration::from_millis)
    }
}

impl LimitsSpec {
    /// Returns the time that a connection may stay idle.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}

impl ServiceSpec {
    /// Tells whether a target at `address` may serve the service.
    pub fn permits(&self, address: IpAddr) -> bool {
        self.permit.iter().any(|range| range.contains(address))
    }

    /// Returns the most slots that a target may have. Each call that runs has a
    /// connection of its own and takes an idle one first, so a target never has
    /// more connections than slots, and the bound of connections holds as well.
    pub fn effective_max_slots(&self) -> SlotCount {
        self.max_slots.min(SlotCount(self.max_connections))
    }
}

impl PolicySpec {
    /// Returns the policy of a service that has none.
    pub fn default_for(service: ServiceName) -> Self {
        Self {
            service,
            slow_start_ms: default_slow_start(),
            eject_after: default_eject_after(),
            eject_base_ms: default_eject_base(),
            eject_max_share: default_eject_share(),
            spill_enter: default_spill_enter(),
            spill_leave: default_spill_leave(),
        }
    }
}

impl AddressRange {
    /// Tells whether `address` lies in the range.
    pub fn contains(&self, address: IpAddr) -> bool {
        let (base, other, width) = match (self.base, address) {
            (IpAddr::V4(base), IpAddr::V4(other)) => {
                (u128::from(base.to_bits()), u128::from(other.to_bits()), 32)
            }
            (IpAddr::V6(base), IpAddr::V6(other)) => (base.to_bits(), other.to_bits(), 128),
            _ => return false,
        };
        let shift = width - u32::from(self.prefix);
        base.checked_shr(shift).unwrap_or(0) == other.checked_shr(shift).unwrap_or(0)
    }
}

impl FromStr for AddressRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || format!("{text:?} is not an address range such as 10.1.0.0/16");
        let (base, prefix) = match text.split_once('/') {
            Some((base, prefix)) => (base, Some(prefix.parse::<u8>().map_err(|_| bad())?)),
            None => (text, None),
        };
        let base: IpAddr = base.parse().map_err(|_| bad())?;
        let width = if base.is_ipv4() { 32 } else { 128 };
        let prefix = prefix.unwrap_or(width);
        if prefix > width {
            return Err(bad());
        }
        Ok(Self { base, prefix })
    }
}

impl fmt::Display for AddressRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.base, self.prefix)
    }
}

impl Serialize for AddressRange {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for AddressRange {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        String::deserialize(deserializer)?
            .parse()
            .map_err(serde::de::Error::custom)
    }
}

fn default_slots() -> SlotCount {
    SlotCount(64)
}

fn default_connections() -> u16 {
    110
}

fn default_retry() -> Percent {
    Percent(10)
}

fn default_weight() -> u32 {
    1
}

fn default_deadline() -> u64 {
    DEFAULT_DEADLINE_MS
}

fn default_slow_start() -> u64 {
    5_000
}

fn default_eject_after() -> u32 {
    5
}

fn default_eject_base() -> u64 {
    2_000
}

fn default_eject_share() -> Percent {
    Percent(50)
}

fn default_spill_enter() -> Percent {
    Percent(90)
}

fn default_spill_leave() -> Percent {
    Percent(60)
}
