//! The view in force: one immutable set of routes, services and targets.
//!
//! A request takes one view when it starts and keeps it to the end, so a
//! change that arrives meanwhile cannot leave it between two versions. All
//! cross-references are resolved when a view is built. Building costs some
//! time on each change; looking names up on each call would cost more and
//! could fail there.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;

use crate::config::fold::{ChainHash, ConfigState};
use crate::config::resource::{
    ACTIVE_LIMITS_NAME, LimitsSpec, PolicySpec, Resource, ResourceKey, ResourceKind, RouteSpec,
    ServiceSpec,
};
use crate::config::validate::{ResourceMap, normalize_path};
use crate::error::ViewError;
use crate::ids::{
    ConfigVersion, DataCentre, Incarnation, LinkRate, NodeAddress, RegionName, ServiceName,
};
use crate::invariant::{Invariant, check};
use crate::member::record::{MemberRecord, MemberState, TargetRecord, TargetState};

/// A service with the policy that applies to it.
#[derive(Debug)]
pub struct ServiceEntry {
    /// The service.
    pub spec: ServiceSpec,
    /// Its policy.
    pub policy: PolicySpec,
}

/// A route with its services resolved.
#[derive(Debug)]
pub struct RouteEntry {
    /// The route.
    pub spec: RouteSpec,
    /// Its services with their weights.
    pub services: Vec<(Arc<ServiceEntry>, u32)>,
}

/// The routes and services of one version.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Hash over the records up to the version.
    pub chain: ChainHash,
    /// Resources from which the view was built.
    pub resources: ResourceMap,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceEntry>>,
    /// Limits on callers, if the configuration sets them.
    pub limits: Option<LimitsSpec>,
    by_host: HashMap<String, Vec<Arc<RouteEntry>>>,
    any_host: Vec<Arc<RouteEntry>>,
}

impl TryFrom<&ConfigState> for ConfigView {
    type Error = ViewError;

    fn try_from(state: &ConfigState) -> Result<Self, ViewError> {
        let mut policies = BTreeMap::new();
        for held in state.resources().values() {
            if let Resource::Policy(policy) = &held.resource {
                policies.insert(policy.service.clone(), policy.clone());
            }
        }
        let key = ResourceKey::new(ResourceKind::Limits, ACTIVE_LIMITS_NAME);
        let limits = match state.resources().get(&key).map(|held| &held.resource) {
            Some(Resource::Limits(limits)) => Some(limits.clone()),
            _ => None,
        };
        let mut view = Self {
            version: state.version(),
            chain: state.chain(),
            resources: state.resources().clone(),
            limits,
            ..Self::default()
        };
        for held in state.resources().values() {
            if let Resource::Service(spec) = &held.resource {
                let policy = policies
                    .remove(&spec.name)
                    .unwrap_or_else(|| PolicySpec::default_for(spec.name.clone()));
                let spec = spec.clone();
                let name = spec.name.clone();
                view.services
                    .insert(name, Arc::new(ServiceEntry { spec, policy }));
            }
        }
        if let Some(name) = policies.into_keys().next() {
            return Err(dangling(format!("service/{name}")));
        }
        for held in state.resources().values() {
            if let Resource::Route(spec) = &held.resource {
                view.add_route(spec)?;
            }
        }
        view.sort_routes();
        Ok(view)
    }
}

fn dangling(what: String) -> ViewError {
    check(Invariant::ViewComplete, false);
    ViewError::DanglingReference(what)
}

impl ConfigView {
    fn add_route(&mut self, spec: &RouteSpec) -> Result<(), ViewError> {
        let mut services = Vec::with_capacity(spec.services.len());
        for weighted in &spec.services {
            let service = self
                .services
                .get(&weighted.service)
                .ok_or_else(|| dangling(format!("service/{}", weighted.service)))?;
            services.push((Arc::clone(service), weighted.weight));
        }
        let route = Arc::new(RouteEntry {
            spec: spec.clone(),
            services,
        });
        match &spec.host {
            Some(host) => self
                .by_host
                .entry(host.as_str().to_owned())
                .or_default()
                .push(route),
            None => self.any_host.push(route),
        }
        Ok(())
    }

    /// Puts the longest prefix first, so that the first match is the best one.
    fn sort_routes(&mut self) {
        let longest_first = |route: &Arc<RouteEntry>| {
            std::cmp::Reverse(normalize_path(route.spec.path.as_str()).len())
        };
        self.any_host.sort_by_key(longest_first);
        for routes in self.by_host.values_mut() {
            routes.sort_by_key(longest_first);
        }
    }

    /// Returns the route with the longest prefix; a route for the host goes
    /// before one for any host.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let host = host
            .split(':')
            .next()
            .unwrap_or_default()
            .to_ascii_lowercase();
        let own = self
            .by_host
            .get(&host)
            .map(Vec::as_slice)
            .unwrap_or_default();
        own.iter()
            .chain(&self.any_host)
            .find(|route| covers(&route.spec, path))
    }

    /// Returns the same routes and services at a later version, for a record
    /// that was rejected.
    pub fn with_version(&self, version: ConfigVersion, chain: ChainHash) -> Self {
        Self {
            version,
            chain,
            ..self.clone()
        }
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.any_host.len() + self.by_host.values().map(Vec::len).sum::<usize>()
    }
}

fn covers(spec: &RouteSpec, path: &str) -> bool {
    if spec.only_below {
        return path.starts_with(spec.path.as_str());
    }
    match path.strip_prefix(normalize_path(spec.path.as_str())) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// A target as a node sees it.
#[derive(Debug, Clone)]
pub struct TargetEntry {
    /// The node beside the target.
    pub node: NodeAddress,
    /// Where that node takes calls from other nodes.
    pub hop: NodeAddress,
    /// The life of that node.
    pub incarnation: Incarnation,
    /// Region of the target.
    pub region: RegionName,
    /// Data centre of the target.
    pub data_centre: DataCentre,
    /// Calls that the target runs at once.
    pub slots: u16,
    /// What the link of its VM carries.
    pub link: LinkRate,
    /// When this node first saw the target serve.
    pub serving_since: Instant,
    /// Whether peers suspect the node of being dead.
    pub is_suspect: bool,
}

/// Tells whether a target serves and its service permits it.
fn is_admitted(spec: &ServiceSpec, target: &TargetRecord) -> bool {
    target.state == TargetState::Serving && spec.permits(target.address.ip())
}

fn target_entry(
    spec: &ServiceSpec,
    member: &MemberRecord,
    target: &TargetRecord,
    serving_since: Instant,
) -> TargetEntry {
    TargetEntry {
        node: member.address,
        hop: member.hop,
        incarnation: member.incarnation,
        region: member.region.clone(),
        data_centre: member.data_centre.clone(),
        slots: target.slots.min(spec.effective_max_slots()).0,
        link: member.link,
        serving_since,
        is_suspect: member.state == MemberState::Suspect,
    }
}

/// Routes, services and the targets that serve them.
#[derive(Debug, Default)]
pub struct ServingView {
    /// Routes and services.
    pub config: Arc<ConfigView>,
    targets: BTreeMap<ServiceName, Arc<Vec<TargetEntry>>>,
}

impl ServingView {
    /// Joins a configuration with the members that serve its services.
    ///
    /// A target whose service the configuration does not hold, or does not
    /// permit, is left out; `seen` gives the time at which a target was first
    /// seen to serve.
    pub fn build<'a, I, F>(config: Arc<ConfigView>, members: I, mut seen: F) -> Self
    where
        I: IntoIterator<Item = &'a MemberRecord>,
        F: FnMut(&MemberRecord, &ServiceName) -> Instant,
    {
        let mut targets: BTreeMap<ServiceName, Vec<TargetEntry>> = BTreeMap::new();
        for name in config.services.keys() {
            targets.insert(name.clone(), Vec::new());
        }
        for member in members.into_iter().filter(|member| member.is_live()) {
            for target in &member.targets {
                let Some(service) = config.services.get(&target.service) else {
                    continue;
                };
                if is_admitted(&service.spec, target) {
                    let serving_since = seen(member, &target.service);
                    let entry = target_entry(&service.spec, member, target, serving_since);
                    targets
                        .entry(target.service.clone())
                        .or_default()
                        .push(entry);
                }
            }
        }
        let targets = targets
            .into_iter()
            .map(|(name, entries)| (name, Arc::new(entries)))
            .collect();
        Self { config, targets }
    }

    /// Returns the targets of a service that a later view may no longer have.
    pub fn find_targets(&self, service: &ServiceName) -> Option<Arc<Vec<TargetEntry>>> {
        self.targets.get(service).cloned()
    }

    /// Returns the targets of a service of this view.
    pub fn targets(&self, service: &ServiceName) -> Arc<Vec<TargetEntry>> {
        let found = self.targets.get(service);
        check(Invariant::ViewComplete, found.is_some());
        found.cloned().unwrap_or_default()
    }
}

/// Holds the view in force; a cheap handle that all tasks share.
#[derive(Debug, Clone, Default)]
pub struct ViewCell {
    current: Arc<ArcSwap<ServingView>>,
}

impl ViewCell {
    /// Returns a cell with the empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the view in force.
    pub fn load(&self) -> Arc<ServingView> {
        self.current.load_full()
    }

    /// Puts a view in force unless it is older than the one that is.
    ///
    /// # Errors
    ///
    /// [`ViewError::Older`] when the version would fall; the cell is unchanged.
    pub fn advance(&self, view: ServingView) -> Result<(), ViewError> {
        let view = Arc::new(view);
        let held = self.current.rcu(|held| {
            if held.config.version > view.config.version {
                Arc::clone(held)
            } else {
                Arc::clone(&view)
            }
        });
        if held.config.version > view.config.version {
            return Err(ViewError::Older {
                current: held.config.version,
                offered: view.config.version,
            });
        }
        let is_same_fold =
            held.config.version != view.config.version || held.config.chain == view.config.chain;
        check(Invariant::SameFold, is_same_fold);
        let current = self.current.load().config.version;
        check(Invariant::VersionRises, current >= view.config.version);
        Ok(())
    }
}
