//! Validation of a whole set of resources.
//!
//! Checking each write on its own is not enough: deleting a service can leave a
//! dangling reference in a route that the change does not write. So validation
//! runs on the set of resources that would result, and the first error rejects
//! the whole change.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::change::Precondition;
use crate::config::fold::VersionedResource;
use crate::config::resource::{
    ACTIVE_LIMITS_NAME, LimitsSpec, MAX_DEADLINE_MS, MAX_SLOTS, PolicySpec, Resource, ResourceKey,
    ResourceKind, RouteSpec, ServiceSpec,
};
use crate::ids::{Revision, ServiceName};

/// The resources of one version by key.
pub type ResourceMap = BTreeMap<ResourceKey, Arc<VersionedResource>>;

/// The reason why a change, a document or a delta was rejected.
///
/// Rejections are stored in snapshots, and two writers must produce the same
/// snapshot. So the variants, fields and texts in them must be the same in all
/// builds that run at the same time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Rejection {
    /// The record, document or delta could not be decoded or applied.
    Undecodable(String),
    /// The change has no writes.
    Empty,
    /// The change or the document writes a resource twice.
    WrittenTwice(ResourceKey),
    /// The precondition of a write is not met.
    Conflict {
        /// The resource to write.
        key: ResourceKey,
        /// Precondition of the write.
        expected: Precondition,
        /// Actual revision, or `None` if the resource does not exist.
        held: Option<Revision>,
    },
    /// The resource to delete does not exist.
    Missing(ResourceKey),
    /// A resource refers to a service that does not exist.
    NoService {
        /// The resource that contains the reference.
        key: ResourceKey,
        /// The missing service.
        service: ServiceName,
    },
    /// Two routes match the same host and path.
    SameMatch {
        /// One route.
        one: ResourceKey,
        /// The other route.
        other: ResourceKey,
    },
    /// The value of a field is out of range.
    OutOfRange {
        /// The resource.
        key: ResourceKey,
        /// Name of the field.
        field: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// Two teams hold the same key.
    SharedKey {
        /// One team.
        one: ResourceKey,
        /// The other team.
        other: ResourceKey,
    },
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Undecodable(why) => write!(f, "undecodable record: {why}"),
            Rejection::Empty => f.write_str("the change has no writes"),
            Rejection::WrittenTwice(key) => write!(f, "{key} is written twice in one change"),
            Rejection::Conflict {
                key,
                expected,
                held,
            } => write_conflict(f, key, expected, *held),
            Rejection::Missing(key) => write!(f, "{key} does not exist"),
            Rejection::NoService { key, service } => {
                write!(f, "{key} names service/{service}, which does not exist")
            }
            Rejection::SharedKey { one, other } => {
                write!(f, "{one} and {other} hold the same key")
            }
            Rejection::SameMatch { one, other } => {
                write!(f, "{one} and {other} match the same host and path")
            }
            Rejection::OutOfRange {
                key,
                field,
                allowed,
            } => write!(f, "{key}: {field} is out of range, allowed: {allowed}"),
        }
    }
}

fn write_conflict(
    f: &mut fmt::Formatter<'_>,
    key: &ResourceKey,
    expected: &Precondition,
    held: Option<Revision>,
) -> fmt::Result {
    match expected {
        Precondition::Any => write!(f, "{key}: expected anything")?,
        Precondition::Absent => write!(f, "{key}: expected absent")?,
        Precondition::At(revision) => write!(f, "{key}: expected revision {revision}")?,
    }
    match held {
        Some(revision) => write!(f, ", held is revision {revision}"),
        None => f.write_str(", held is nothing"),
    }
}

impl std::error::Error for Rejection {}

/// Validates a complete set of resources.
///
/// # Errors
///
/// Returns the first [`Rejection`] found.
pub fn validate(resources: &ResourceMap) -> Result<(), Rejection> {
    let mut route_matches = BTreeMap::new();
    let mut team_keys = BTreeMap::new();
    for (key, entry) in resources {
        match &entry.resource {
            Resource::Service(spec) => check_service(key, spec)?,
            Resource::Policy(spec) => check_policy(key, spec, resources)?,
            Resource::Limits(spec) => check_limits(key, spec)?,
            Resource::Team(spec) => {
                for team_key in &spec.keys {
                    if let Some(other) = team_keys.insert(*team_key, key.clone())
                        && other != *key
                    {
                        return Err(Rejection::SharedKey {
                            one: other,
                            other: key.clone(),
                        });
                    }
                }
            }
            Resource::Route(spec) => {
                check_route(key, spec, resources)?;
                let route_match = (spec.host.clone(), unique_path(spec).to_owned());
                if let Some(other) = route_matches.insert(route_match, key.clone()) {
                    return Err(Rejection::SameMatch {
                        one: other,
                        other: key.clone(),
                    });
                }
            }
        }
    }
    Ok(())
}

/// Returns `path` without a trailing slash, so that the prefixes `/a` and `/a/`
/// match the same paths.
pub fn normalize_path(path: &str) -> &str {
    path.strip_suffix('/').unwrap_or(path)
}

/// Returns the path that must be unique among the routes of a host.
fn unique_path(spec: &RouteSpec) -> &str {
    if spec.only_below {
        spec.path.as_str()
    } else {
        normalize_path(spec.path.as_str())
    }
}

fn check_service(key: &ResourceKey, spec: &ServiceSpec) -> Result<(), Rejection> {
    let slots = spec.max_slots.0;
    require(
        key,
        "max_slots",
        "1 to 4096",
        (1..=MAX_SLOTS).contains(&slots),
    )?;
    require(
        key,
        "max_connections",
        "1 or more",
        spec.max_connections > 0,
    )?;
    require(
        key,
        "retry_percent",
        "0 to 100",
        spec.retry_percent.0 <= 100,
    )
}

fn check_route(
    key: &ResourceKey,
    spec: &RouteSpec,
    resources: &ResourceMap,
) -> Result<(), Rejection> {
    let mut service_names = BTreeSet::new();
    let mut total_weight: u64 = 0;
    for weighted in &spec.services {
        require_service(key, &weighted.service, resources)?;
        let is_new = service_names.insert(&weighted.service);
        require(key, "services", "each service once", is_new)?;
        total_weight += u64::from(weighted.weight);
    }
    require(
        key,
        "services",
        "weights with a sum above 0",
        total_weight > 0,
    )?;
    let is_in_range = (1..=MAX_DEADLINE_MS).contains(&spec.deadline_ms);
    require(key, "deadline_ms", "1 to 3600000", is_in_range)?;
    require(
        key,
        "max_concurrent",
        "1 or more",
        spec.max_concurrent != Some(0),
    )?;
    require(
        key,
        "max_attempts",
        "1 or more",
        spec.max_attempts != Some(0),
    )?;
    let is_in_range = spec
        .target_latency_ms
        .is_none_or(|latency_ms| (1..=spec.deadline_ms).contains(&latency_ms));
    require(key, "target_latency_ms", "1 to deadline_ms", is_in_range)
}

fn check_limits(key: &ResourceKey, spec: &LimitsSpec) -> Result<(), Rejection> {
    require(
        key,
        "name",
        ACTIVE_LIMITS_NAME,
        spec.name.as_str() == ACTIVE_LIMITS_NAME,
    )?;
    require(
        key,
        "max_head_bytes",
        "256 or more",
        spec.max_head_bytes >= 256,
    )?;
    require(key, "max_body_bytes", "1 or more", spec.max_body_bytes > 0)?;
    let is_in_range = (1..=MAX_DEADLINE_MS).contains(&spec.head_timeout_ms);
    require(key, "head_timeout_ms", "1 to 3600000", is_in_range)?;
    let is_in_range = (1..=MAX_DEADLINE_MS).contains(&spec.idle_timeout_ms);
    require(key, "idle_timeout_ms", "1 to 3600000", is_in_range)
}

fn check_policy(
    key: &ResourceKey,
    spec: &PolicySpec,
    resources: &ResourceMap,
) -> Result<(), Rejection> {
    require_service(key, &spec.service, resources)?;
    require(
        key,
        "slow_start_ms",
        "0 to 600000",
        spec.slow_start_ms <= 600_000,
    )?;
    require(key, "eject_after", "1 or more", spec.eject_after > 0)?;
    let is_in_range = (1..=60_000).contains(&spec.eject_base_ms);
    require(key, "eject_base_ms", "1 to 60000", is_in_range)?;
    require(
        key,
        "eject_max_share",
        "0 to 100",
        spec.eject_max_share.0 <= 100,
    )?;
    require(
        key,
        "spill_enter",
        "1 to 100",
        (1..=100).contains(&spec.spill_enter.0),
    )?;
    let is_lower = spec.spill_leave < spec.spill_enter;
    require(key, "spill_leave", "less than spill_enter", is_lower)
}

fn require(key: &ResourceKey, field: &str, allowed: &str, is_valid: bool) -> Result<(), Rejection> {
    if is_valid {
        return Ok(());
    }
    Err(Rejection::OutOfRange {
        key: key.clone(),
        field: field.to_owned(),
        allowed: allowed.to_owned(),
    })
}

fn require_service(
    key: &ResourceKey,
    service: &ServiceName,
    resources: &ResourceMap,
) -> Result<(), Rejection> {
    if resources.contains_key(&ResourceKey::new(ResourceKind::Service, service.as_str())) {
        return Ok(());
    }
    Err(Rejection::NoService {
        key: key.clone(),
        service: service.clone(),
    })
}
