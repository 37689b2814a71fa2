//! The configuration resources that operators write.
//!
//! Durations are whole milliseconds in these types, as in the API; accessors
//! return them as [`Duration`].

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{
    CallPriority, HostName, PathPrefix, Percent, RequestRate, RouteName, ServiceName, SlotCount,
    TeamName,
};
use crate::team::keeper::AllowanceLimit;
use crate::team::key::TeamKey;

/// Default deadline of a route, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Maximum deadline of a route and maximum timeout in the limits, in
/// milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Name of the limits that apply; limits with another name are rejected.
pub const ACTIVE_LIMITS_NAME: &str = "callers";

/// Maximum value of [`ServiceSpec::max_slots`].
pub const MAX_SLOTS: u16 = 4096;

record! {
    /// A service and the targets that are permitted to serve it.
    #[serde(deny_unknown_fields)]
    pub struct ServiceSpec {
        /// Name of the service.
        pub name: ServiceName,
        /// Address ranges whose targets may serve the service.
        pub permit: Vec<AddressRange>,
        /// Maximum number of slots of a target.
        #[serde(default = "default_slots")]
        pub max_slots: SlotCount,
        /// Maximum number of connections that a gate opens to its target.
        #[serde(default = "default_connections")]
        pub max_connections: u16,
        /// Retry budget of a node, as a percentage of recent calls.
        #[serde(default = "default_retry")]
        pub retry_percent: Percent,
    }

    /// A route that maps a host and a path prefix to services.
    #[serde(deny_unknown_fields)]
    pub struct RouteSpec {
        /// Name of the route.
        pub name: RouteName,
        /// Host that the route matches; any host when absent.
        #[serde(default)]
        pub host: Option<HostName>,
        /// Path prefix that the route matches.
        pub path: PathPrefix,
        /// Services among which calls are split by weight.
        pub services: Vec<WeightedService>,
        /// Class of the route's calls in the queue of a gate.
        #[serde(default)]
        pub class: CallClass,
        /// Deadline of a call, in milliseconds after its start.
        #[serde(default = "default_deadline")]
        pub deadline_ms: u64,
        /// Whether calls are idempotent; decided by the method (RFC 9110, 9.2.2)
        /// when absent.
        #[serde(default)]
        pub idempotent: Option<bool>,
        /// Maximum number of calls in flight on this route at one node;
        /// unlimited when absent.
        #[serde(default)]
        pub max_concurrent: Option<u32>,
        /// Whether a path must start with the prefix as written, including its
        /// trailing slash: `/a/` then matches `/a/b` but not `/a`.
        #[serde(default)]
        pub only_below: bool,
        /// Maximum number of targets that one call is sent to; the node's
        /// default when absent.
        #[serde(default)]
        pub max_attempts: Option<u32>,
        /// Latency that the route aims for, in milliseconds: later answers
        /// are worth less.
        #[serde(default)]
        pub target_latency_ms: Option<u64>,
        /// Priority among the calls of the same class; 0 is served first.
        #[serde(default)]
        pub priority: CallPriority,
        /// Whether calls need no key of a team.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub public: bool,
    }

    /// A team, on whose behalf callers make calls.
    #[serde(deny_unknown_fields)]
    pub struct TeamSpec {
        /// Name of the team. Targets are told it.
        pub name: TeamName,
        /// Keys by which callers show that they belong to the team.
        #[serde(default)]
        pub keys: Vec<TeamKey>,
        /// Priority of the team's calls, which goes before that of their route.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub priority: Option<CallPriority>,
        /// Calls per second that the team may make through all nodes together; no limit
        /// if 0.
        #[serde(default, with = "rate_number")]
        pub rate_per_s: RequestRate,
        /// Calls beyond the rate that may come at once.
        #[serde(default)]
        pub burst: u32,
    }

    /// Limits on the requests and connections of callers.
    #[serde(deny_unknown_fields)]
    pub struct LimitsSpec {
        /// Name of the limits; must be [`ACTIVE_LIMITS_NAME`].
        pub name: ServiceName,
        /// Maximum size of a request's head in bytes.
        pub max_head_bytes: u64,
        /// Maximum size of a request's body in bytes.
        pub max_body_bytes: u64,
        /// Time within which the head of a request must arrive, in
        /// milliseconds.
        pub head_timeout_ms: u64,
        /// Time after which an idle connection is closed, in milliseconds.
        pub idle_timeout_ms: u64,
    }

    /// A service and its share of a route's calls.
    #[serde(deny_unknown_fields)]
    pub struct WeightedService {
        /// Name of the service.
        pub service: ServiceName,
        /// Weight of the service relative to the others of the route.
        #[serde(default = "default_weight")]
        pub weight: u32,
    }

    /// How nodes balance calls among the targets of a service.
    #[serde(deny_unknown_fields)]
    pub struct PolicySpec {
        /// Service that the policy applies to.
        pub service: ServiceName,
        /// Time during which the share of a new target grows to a full share, in
        /// milliseconds.
        #[serde(default = "default_slow_start")]
        pub slow_start_ms: u64,
        /// Number of consecutive failures after which a node ejects a target.
        #[serde(default = "default_eject_after")]
        pub eject_after: u32,
        /// Duration of the first ejection in milliseconds; doubled for each
        /// further one.
        #[serde(default = "default_eject_base")]
        pub eject_base_ms: u64,
        /// Maximum share of the targets that a node ejects at the same time.
        #[serde(default = "default_eject_share")]
        pub eject_max_share: Percent,
        /// Load of the nearer targets at which calls spill over to targets that
        /// are farther away.
        #[serde(default = "default_spill_enter")]
        pub spill_enter: Percent,
        /// Load of the nearer targets below which spillover ends.
        #[serde(default = "default_spill_leave")]
        pub spill_leave: Percent,
    }

    /// A resource of any kind.
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
        /// A team.
        Team(TeamSpec),
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
    /// A team.
    Team,
}

/// The class of a call in the queue of a gate; interactive calls are served
/// first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum CallClass {
    /// A user is waiting for the answer.
    #[default]
    Interactive,
    /// Background work, which is shed first under overload.
    Bulk,
}

/// Identifies a resource.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name of the resource, unique within its kind.
    pub name: String,
}

/// A range of IP addresses such as `127.0.0.0/8`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddressRange {
    base: IpAddr,
    prefix_length: u8,
}

impl Resource {
    /// Returns the key that identifies the resource.
    pub fn key(&self) -> ResourceKey {
        match self {
            Resource::Service(spec) => ResourceKey::new(ResourceKind::Service, spec.name.as_str()),
            Resource::Route(spec) => ResourceKey::new(ResourceKind::Route, spec.name.as_str()),
            Resource::Policy(spec) => ResourceKey::new(ResourceKind::Policy, spec.service.as_str()),
            Resource::Limits(spec) => ResourceKey::new(ResourceKind::Limits, spec.name.as_str()),
            Resource::Team(spec) => ResourceKey::new(ResourceKind::Team, spec.name.as_str()),
        }
    }
}

impl ResourceKey {
    /// Returns the key for a kind and a name.
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
            ResourceKind::Team => "team",
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
            "team" | "teams" => Ok(ResourceKind::Team),
            _ => Err(format!(
                "unknown kind {text:?}, allowed are service, route, policy, limits and team"
            )),
        }
    }
}

impl CallClass {
    /// Returns the name that is used in logs and headers.
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
            _ => Err(format!(
                "unknown class {text:?}, allowed are interactive and bulk"
            )),
        }
    }
}

impl RouteSpec {
    /// Returns the time within which a call must end.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the latency that the route aims for, or the deadline if it sets
    /// none.
    pub fn target_latency(&self) -> Duration {
        self.target_latency_ms
            .map_or(self.deadline(), Duration::from_millis)
    }
}

impl TeamSpec {
    /// Returns what the team may ask of all nodes together, or `None` if it has no limit.
    pub fn limit(&self) -> Option<AllowanceLimit> {
        (self.rate_per_s > RequestRate::default()).then_some(AllowanceLimit {
            rate: self.rate_per_s,
            burst: self.burst,
        })
    }
}

impl LimitsSpec {
    /// Returns the time after which an idle connection is closed.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}

impl ServiceSpec {
    /// Returns `true` if a target at `address` may serve the service.
    pub fn permits(&self, address: IpAddr) -> bool {
        self.permit.iter().any(|range| range.contains(address))
    }

    /// Returns the maximum number of slots of a target, bounded also by
    /// [`max_connections`](Self::max_connections).
    ///
    /// Each running call has its own connection and reuses an idle one first, so
    /// a target never has more connections than slots, and bounding the slots
    /// also bounds the connections.
    pub fn effective_max_slots(&self) -> SlotCount {
        self.max_slots.min(SlotCount(self.max_connections))
    }
}

impl PolicySpec {
    /// Returns the policy of a service for which none is configured.
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
    /// Returns `true` if `address` is in the range.
    pub fn contains(&self, address: IpAddr) -> bool {
        let (base, other, bit_width) = match (self.base, address) {
            (IpAddr::V4(base), IpAddr::V4(other)) => {
                (u128::from(base.to_bits()), u128::from(other.to_bits()), 32)
            }
            (IpAddr::V6(base), IpAddr::V6(other)) => (base.to_bits(), other.to_bits(), 128),
            _ => return false,
        };
        let shift = bit_width - u32::from(self.prefix_length);
        base.checked_shr(shift).unwrap_or(0) == other.checked_shr(shift).unwrap_or(0)
    }
}

impl FromStr for AddressRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || format!("{text:?} is not an address range such as 10.1.0.0/16");
        let (base, length) = match text.split_once('/') {
            Some((base, length)) => (base, Some(length.parse::<u8>().map_err(|_| error())?)),
            None => (text, None),
        };
        let base: IpAddr = base.parse().map_err(|_| error())?;
        let bit_width = if base.is_ipv4() { 32 } else { 128 };
        let prefix_length = length.unwrap_or(bit_width);
        if prefix_length > bit_width {
            return Err(error());
        }
        Ok(Self {
            base,
            prefix_length,
        })
    }
}

impl fmt::Display for AddressRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.base, self.prefix_length)
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

/// A rate as the number of requests per second.
mod rate_number {
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::ids::RequestRate;

    pub(super) fn serialize<S>(rate: &RequestRate, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_f64(rate.per_second())
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<RequestRate, D::Error>
    where
        D: Deserializer<'de>,
    {
        let per_second = f64::deserialize(deserializer)?;
        RequestRate::try_from(per_second).map_err(serde::de::Error::custom)
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
