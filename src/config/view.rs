//! Views: immutable sets of routes, services and targets.
//!
//! A request loads the current view when it starts and uses it until it ends,
//! so a concurrent change cannot make it see a mix of two versions. All
//! cross-references are resolved when a view is built. That costs some time for
//! each change, but resolving names for each call would cost more, and could
//! fail there.

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
    TargetVersion,
};
use crate::invariant::{Invariant, check};
use crate::member::record::{MemberRecord, MemberState, TargetRecord, TargetState};
use crate::team::key::TeamTable;

/// A service and the policy that applies to it.
#[derive(Debug)]
pub struct ServiceEntry {
    /// The service as configured.
    pub spec: ServiceSpec,
    /// The configured policy, or the default one.
    pub policy: PolicySpec,
}

/// A route whose references to services are resolved.
#[derive(Debug)]
pub struct RouteEntry {
    /// The route as configured.
    pub spec: RouteSpec,
    /// The services of the route and their weights.
    pub services: Vec<(Arc<ServiceEntry>, u32)>,
}

/// The routes and services of one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Hash of the records or the document behind the version.
    pub chain: ChainHash,
    /// Resources that the view was built from.
    pub resources: ResourceMap,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceEntry>>,
    /// Limits on callers, if the configuration sets them.
    pub limits: Option<LimitsSpec>,
    /// Teams. If there are none, calls need no key.
    pub teams: Arc<TeamTable>,
    routes_by_host: HashMap<String, Vec<Arc<RouteEntry>>>,
    routes_for_any_host: Vec<Arc<RouteEntry>>,
}

impl TryFrom<&ConfigState> for ConfigView {
    type Error = ViewError;

    fn try_from(state: &ConfigState) -> Result<Self, ViewError> {
        let mut policies = BTreeMap::new();
        for entry in state.resources().values() {
            if let Resource::Policy(policy) = &entry.resource {
                policies.insert(policy.service.clone(), policy.clone());
            }
        }
        let key = ResourceKey::new(ResourceKind::Limits, ACTIVE_LIMITS_NAME);
        let limits = match state.resources().get(&key).map(|entry| &entry.resource) {
            Some(Resource::Limits(limits)) => Some(limits.clone()),
            _ => None,
        };
        let mut view = Self {
            version: state.version(),
            chain: state.chain(),
            resources: state.resources().clone(),
            limits,
            teams: Arc::new(teams(state)),
            ..Self::default()
        };
        for entry in state.resources().values() {
            if let Resource::Service(spec) = &entry.resource {
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
            return Err(dangling_reference(format!("service/{name}")));
        }
        for entry in state.resources().values() {
            if let Resource::Route(spec) = &entry.resource {
                view.add_route(spec)?;
            }
        }
        view.sort_routes();
        Ok(view)
    }
}

fn teams(state: &ConfigState) -> TeamTable {
    let mut teams = TeamTable::default();
    for entry in state.resources().values() {
        if let Resource::Team(spec) = &entry.resource {
            teams.insert(spec);
        }
    }
    teams
}

fn dangling_reference(key: String) -> ViewError {
    check(Invariant::ViewComplete, false);
    ViewError::DanglingReference(key)
}

impl ConfigView {
    fn add_route(&mut self, spec: &RouteSpec) -> Result<(), ViewError> {
        let mut services = Vec::with_capacity(spec.services.len());
        for weighted in &spec.services {
            let service = self
                .services
                .get(&weighted.service)
                .ok_or_else(|| dangling_reference(format!("service/{}", weighted.service)))?;
            services.push((Arc::clone(service), weighted.weight));
        }
        let route = Arc::new(RouteEntry {
            spec: spec.clone(),
            services,
        });
        match &spec.host {
            Some(host) => self
                .routes_by_host
                .entry(host.as_str().to_owned())
                .or_default()
                .push(route),
            None => self.routes_for_any_host.push(route),
        }
        Ok(())
    }

    /// Sorts routes by descending prefix length, so that the first match is the
    /// most specific one.
    fn sort_routes(&mut self) {
        let longest_first = |route: &Arc<RouteEntry>| {
            std::cmp::Reverse(normalize_path(route.spec.path.as_str()).len())
        };
        self.routes_for_any_host.sort_by_key(longest_first);
        for routes in self.routes_by_host.values_mut() {
            routes.sort_by_key(longest_first);
        }
    }

    /// Returns the route that matches `host` and `path`, if there is one.
    ///
    /// Any port in `host` is ignored. A route for this host is preferred to one
    /// for any host, and among these the route with the longest prefix is
    /// returned.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let host = host
            .split(':')
            .next()
            .unwrap_or_default()
            .to_ascii_lowercase();
        let host_routes = self
            .routes_by_host
            .get(&host)
            .map(Vec::as_slice)
            .unwrap_or_default();
        host_routes
            .iter()
            .chain(&self.routes_for_any_host)
            .find(|route| matches_path(&route.spec, path))
    }

    /// Returns this view at a later version. A rejected record changes only the
    /// version and the hash.
    pub fn with_version(&self, version: ConfigVersion, chain: ChainHash) -> Self {
        Self {
            version,
            chain,
            ..self.clone()
        }
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes_for_any_host.len() + self.routes_by_host.values().map(Vec::len).sum::<usize>()
    }
}

fn matches_path(spec: &RouteSpec, path: &str) -> bool {
    if spec.only_below {
        return path.starts_with(spec.path.as_str());
    }
    match path.strip_prefix(normalize_path(spec.path.as_str())) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// A target and the node through which calls reach it.
#[derive(Debug, Clone)]
pub struct TargetEntry {
    /// Identity of the node on the target's VM.
    pub node: NodeAddress,
    /// Address at which that node accepts calls from other nodes.
    pub hop: NodeAddress,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Region of the target.
    pub region: RegionName,
    /// Data centre of the target.
    pub data_centre: DataCentre,
    /// Number of calls that the target can run concurrently.
    pub slots: u16,
    /// Bandwidth of the network link of the target's VM.
    pub link: LinkRate,
    /// Time at which this node first saw the target serving.
    pub serving_since: Instant,
    /// Whether the failure detector suspects the target's node of being dead.
    pub is_suspect: bool,
    /// Version of the target's software, where roll-outs are served.
    pub version: Option<TargetVersion>,
}

/// Returns `true` if a target is serving and its service permits its address.
fn is_routable(spec: &ServiceSpec, target: &TargetRecord) -> bool {
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
        version: target.version.clone(),
    }
}

/// The routes, the services and the targets that serve them.
#[derive(Debug, Default)]
pub struct ServingView {
    /// Routes and services.
    pub config: Arc<ConfigView>,
    targets: BTreeMap<ServiceName, Arc<Vec<TargetEntry>>>,
}

impl ServingView {
    /// Combines a configuration with the live members whose targets serve it.
    ///
    /// Targets are left out if the configuration does not contain their service
    /// or the service does not permit them. `first_seen` returns the time at
    /// which a target was first seen serving.
    pub fn build<'a, I, F>(config: Arc<ConfigView>, members: I, mut first_seen: F) -> Self
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
                if is_routable(&service.spec, target) {
                    let serving_since = first_seen(member, &target.service);
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

    /// Returns the targets of a service, or `None` if this view does not contain
    /// the service, for example because a newer version removed it.
    pub fn find_targets(&self, service: &ServiceName) -> Option<Arc<Vec<TargetEntry>>> {
        self.targets.get(service).cloned()
    }

    /// Returns the targets of a service that this view is known to contain.
    ///
    /// If it does not contain the service, that counts as a violation of
    /// [`Invariant::ViewComplete`] and the result is empty.
    pub fn targets(&self, service: &ServiceName) -> Arc<Vec<TargetEntry>> {
        let targets = self.targets.get(service);
        check(Invariant::ViewComplete, targets.is_some());
        targets.cloned().unwrap_or_default()
    }
}

/// The current view, shared by all tasks; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct ViewCell {
    current: Arc<ArcSwap<ServingView>>,
}

impl ViewCell {
    /// Returns a cell that contains the empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current view.
    pub fn load(&self) -> Arc<ServingView> {
        self.current.load_full()
    }

    /// Replaces the current view unless `view` has a lower version.
    ///
    /// # Errors
    ///
    /// Returns [`ViewError::Older`] if the version would decrease; the current
    /// view is then unchanged.
    pub fn advance(&self, view: ServingView) -> Result<(), ViewError> {
        let view = Arc::new(view);
        let previous = self.current.rcu(|current| {
            if current.config.version > view.config.version {
                Arc::clone(current)
            } else {
                Arc::clone(&view)
            }
        });
        if previous.config.version > view.config.version {
            return Err(ViewError::Older {
                current: previous.config.version,
                offered: view.config.version,
            });
        }
        let is_same_fold = previous.config.version != view.config.version
            || previous.config.chain == view.config.chain;
        check(Invariant::SameFold, is_same_fold);
        let current_version = self.current.load().config.version;
        check(
            Invariant::VersionRises,
            current_version >= view.config.version,
        );
        Ok(())
    }
}
