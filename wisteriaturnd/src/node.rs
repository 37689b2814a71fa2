//! The state that the tasks of a node share.
//!
//! [`NodeHandle`] is cheap to clone and every task holds one. Each part has a
//! lock of its own, held for a few steps and never across an await, and what a
//! call needs most, the view in force, needs no lock at all.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};
use wisteriaturn::clock::{SharedClock, lock};
use wisteriaturn::config::document::DocumentPort;
use wisteriaturn::config::view::{ServingView, ViewCell};
use wisteriaturn::gate::announce::AnnouncementTracker;
use wisteriaturn::gate::ledger::CallLedger;
use wisteriaturn::gate::quarantine::SuspectTable;
use wisteriaturn::ids::{
    BootId, ConfigVersion, DataCentre, Incarnation, NodeAddress, Sequence, ServiceName,
};
use wisteriaturn::log_port::LogPort;
use wisteriaturn::member::directory::DirectoryPort;
use wisteriaturn::member::isolation::LinkMonitor;
use wisteriaturn::member::record::{MemberRecord, MemberState};
use wisteriaturn::member::role::relays;
use wisteriaturn::member::rumor::RumorQueue;
use wisteriaturn::member::table::MemberTable;
use wisteriaturn::peer::message::NodeStatus;
use wisteriaturn::retry::budget::RetryBudget;
use wisteriaturn::route::choose::NodeLocation;
use wisteriaturn::route::estimate::AnswerEstimator;
use wisteriaturn::route::limit::RouteLimiter;
use wisteriaturn::route::load::LoadTracker;

use crate::claims::client::ClaimClient;
use crate::claims::keeper::ClaimKeeper;
use crate::control::source::SourceState;
use crate::control::store::ConfigStore;
use crate::gate::targets::LocalTargets;
use crate::http::headers::EdgeHeaders;
use crate::http::pool::ConnectionPool;
use crate::metrics::{NodeMetrics, TrafficKind, TrafficReach};
use crate::settings::NodeSettings;

/// The stage of a node's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeStage {
    /// The view is not current yet.
    Starting,
    /// The node serves.
    Ready,
    /// Callers hear that the node is about to stop; its ingress and its gate
    /// still take what can end before they close.
    LameDuck,
    /// The gate refuses new calls; calls in flight end.
    Draining,
    /// The ingress closes as well.
    Stopping,
    /// The time is over: calls under way are answered by the node itself, since
    /// a closed connection would tell their callers less.
    Closing,
}

/// What the tasks share.
#[derive(Debug)]
pub struct NodeState {
    /// Checked settings.
    pub settings: NodeSettings,
    /// The clock.
    pub clock: SharedClock,
    /// This run of the process.
    pub boot_id: BootId,
    /// Where the node stands.
    pub location: NodeLocation,
    /// The view in force.
    pub view: ViewCell,
    /// The folded configuration.
    pub store: Mutex<ConfigStore>,
    /// The members.
    pub table: Mutex<MemberTable>,
    /// News that rides along on probes.
    pub rumors: Mutex<RumorQueue>,
    /// Requests that crash targets.
    pub suspects: Mutex<SuspectTable>,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// What was seen of each target.
    pub load: LoadTracker,
    /// Calls under way on each route.
    pub route_limiter: RouteLimiter,
    /// Calls given to this gate.
    pub ledger: CallLedger,
    /// Targets beside this node.
    pub targets: LocalTargets,
    /// Connections to other nodes' gates.
    pub hop_pool: ConnectionPool,
    /// Connections to the local targets.
    pub target_pool: ConnectionPool,
    /// The platform's log.
    pub log: LogPort,
    /// Where whole configurations come from, if not from changes in the log.
    pub documents: Option<DocumentPort>,
    /// Where nodes find each other besides the seeds in the settings.
    pub directory: Option<DirectoryPort>,
    /// Names of the headers that callers and targets know.
    pub edge: EdgeHeaders,
    /// What the targets on this VM said of themselves.
    pub announcements: Mutex<AnnouncementTracker>,
    /// Size of the answers of each route.
    pub answer_estimates: AnswerEstimator,
    /// Time that the targets on this VM take for calls of each route.
    pub run_estimates: AnswerEstimator,
    /// Claims that this gate asks for.
    pub claims: ClaimClient,
    /// Claim streams that this node writes.
    pub keeper: ClaimKeeper,
    /// How other nodes are connected to.
    pub addresses: AddressMap,
    /// The socket for datagrams.
    pub udp: UdpSocket,
    /// Probes that wait for their answer.
    pub pending_probes: Mutex<HashMap<u64, oneshot::Sender<NodeStatus>>>,
    /// Tells the version in force to those who wait for one.
    pub version: watch::Sender<ConfigVersion>,
    /// Where this node stands in the source of documents.
    pub source: SourceState,
    /// Tells the stage to those who wait for one.
    pub stage: watch::Sender<NodeStage>,
    /// Wakes the task that joins members into the view.
    pub members_changed: Notify,
    /// Whether the node was ready once in its life: before that it knows no
    /// configuration that it could refuse a route by.
    pub was_ready: AtomicBool,
    /// Whether a comparison of members is under way.
    pub is_anti_entropy_running: AtomicBool,
    /// When this node last heard another.
    pub link_monitor: Mutex<LinkMonitor>,
    /// When the gate closes, once the node is about to stop.
    pub gate_closes_at: Mutex<Option<Instant>>,
    /// Number of losses of a target at this gate.
    pub loss_count: AtomicU64,
    budgets: Mutex<BTreeMap<ServiceName, Arc<RetryBudget>>>,
    first_seen: Mutex<HashMap<(NodeAddress, Incarnation, ServiceName), Instant>>,
}

/// A cheap handle to the state.
#[derive(Debug, Clone)]
pub struct NodeHandle(Arc<NodeState>);

impl Deref for NodeHandle {
    type Target = NodeState;

    fn deref(&self) -> &NodeState {
        &self.0
    }
}

/// Maps the address of another node to the one that is connected to.
///
/// Nodes know each other by the addresses in their settings. A closure here
/// stands between the two, so that a test can cut or delay one link of many.
#[derive(Clone)]
pub struct AddressMap(Arc<dyn Fn(SocketAddr) -> SocketAddr + Send + Sync>);

impl AddressMap {
    /// Returns the map that `map` is.
    pub fn new<F>(map: F) -> Self
    where
        F: Fn(SocketAddr) -> SocketAddr + Send + Sync + 'static,
    {
        Self(Arc::new(map))
    }

    /// Returns the map that changes nothing.
    pub fn identity() -> Self {
        Self::new(|address| address)
    }

    /// Returns the address to connect to.
    pub fn map(&self, address: SocketAddr) -> SocketAddr {
        (self.0)(address)
    }
}

impl std::fmt::Debug for AddressMap {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AddressMap").finish_non_exhaustive()
    }
}

/// Collects what a node is made of.
#[derive(Debug)]
pub struct NodeBuilder {
    settings: NodeSettings,
    clock: SharedClock,
    log: LogPort,
    documents: Option<DocumentPort>,
    directory: Option<DirectoryPort>,
    edge: EdgeHeaders,
    addresses: AddressMap,
}

impl NodeBuilder {
    /// Returns a builder.
    pub fn new(settings: NodeSettings, clock: SharedClock, log: LogPort) -> Self {
        Self {
            settings,
            clock,
            log,
            documents: None,
            directory: None,
            edge: EdgeHeaders::standard(),
            addresses: AddressMap::identity(),
        }
    }

    /// Takes whole configurations from `documents` in place of changes from
    /// the log.
    pub fn documents(mut self, documents: DocumentPort) -> Self {
        self.documents = Some(documents);
        self
    }

    /// Finds other nodes in `directory` besides the seeds.
    pub fn directory(mut self, directory: DirectoryPort) -> Self {
        self.directory = Some(directory);
        self
    }

    /// Speaks to callers and targets by the names in `edge`.
    pub fn edge(mut self, edge: EdgeHeaders) -> Self {
        self.edge = edge;
        self
    }

    /// Connects to other nodes by way of `addresses`.
    pub fn addresses(mut self, addresses: AddressMap) -> Self {
        self.addresses = addresses;
        self
    }

    /// Returns the settings.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Returns the node, which runs only the tasks of its claims.
    pub fn build(self, udp: UdpSocket) -> NodeHandle {
        let (settings, clock) = (self.settings, self.clock);
        let own = MemberRecord {
            address: settings.peer,
            incarnation: Incarnation(clock.unix_millis()),
            sequence: Sequence(0),
            state: MemberState::Alive,
            region: settings.region.clone(),
            data_centre: settings.data_centre.clone(),
            hop: settings.hop,
            link: settings.link,
            is_ready: false,
            targets: Vec::new(),
            departures: Vec::new(),
        };
        let location = NodeLocation {
            region: settings.region.clone(),
            data_centre: settings.data_centre.clone(),
        };
        let (claims, claim_queues) = ClaimClient::new();
        let (keeper, keeper_queues) = ClaimKeeper::new();
        let node = NodeHandle(Arc::new(NodeState {
            boot_id: BootId(rand::random()),
            location,
            view: ViewCell::new(),
            store: Mutex::new(ConfigStore::new()),
            table: Mutex::new(MemberTable::new(own, clock.now())),
            rumors: Mutex::new(RumorQueue::new()),
            suspects: Mutex::new(SuspectTable::new()),
            metrics: NodeMetrics::new(),
            load: LoadTracker::new(),
            route_limiter: RouteLimiter::new(),
            ledger: CallLedger::new(Arc::clone(&clock)),
            targets: LocalTargets::new(),
            hop_pool: ConnectionPool::for_nodes(
                settings.keys.clone(),
                self.addresses.clone(),
                Arc::clone(&clock),
            ),
            target_pool: ConnectionPool::for_targets(Arc::clone(&clock)),
            log: self.log,
            documents: self.documents,
            directory: self.directory,
            edge: self.edge,
            announcements: Mutex::new(AnnouncementTracker::new()),
            answer_estimates: AnswerEstimator::new(),
            run_estimates: AnswerEstimator::new(),
            claims,
            keeper,
            udp,
            addresses: self.addresses,
            pending_probes: Mutex::default(),
            version: watch::Sender::new(ConfigVersion(0)),
            source: SourceState::new(),
            stage: watch::Sender::new(NodeStage::Starting),
            members_changed: Notify::new(),
            was_ready: AtomicBool::new(false),
            is_anti_entropy_running: AtomicBool::new(false),
            link_monitor: Mutex::new(LinkMonitor::new(clock.now())),
            gate_closes_at: Mutex::default(),
            loss_count: AtomicU64::new(0),
            budgets: Mutex::default(),
            first_seen: Mutex::default(),
            settings,
            clock,
        }));
        claim_queues.start(&node);
        keeper_queues.start(&node);
        node
    }
}

impl NodeState {
    /// Returns the address by which other nodes know this one.
    pub fn address(&self) -> NodeAddress {
        self.settings.peer
    }

    /// Returns the stage of the node.
    pub fn current_stage(&self) -> NodeStage {
        *self.stage.borrow()
    }

    /// Notes a sign of life of another node.
    pub fn record_contact(&self) {
        lock(&self.link_monitor).record_contact(self.clock.now());
    }

    /// Tells whether this node is cut off from all others.
    pub fn is_isolated(&self) -> bool {
        let now = self.clock.now();
        let link = *lock(&self.link_monitor);
        // Each call asks this, and counting the members looks at all of them.
        if !link.is_silent(now) {
            return false;
        }
        let others = self.live_members().saturating_sub(1);
        link.is_isolated(others, now)
    }

    /// Tells whether callers should come to this node.
    pub fn is_serving(&self) -> bool {
        self.current_stage() == NodeStage::Ready && !self.is_isolated()
    }

    /// Returns what every probe says of this node.
    pub fn status(&self) -> NodeStatus {
        let view = self.view.load();
        let mut head = [0; 8];
        head.copy_from_slice(&view.config.chain[..8]);
        NodeStatus {
            version: view.config.version,
            chain: u64::from_le_bytes(head),
            digest: lock(&self.table).digest(),
        }
    }

    /// Puts the folded configuration, joined with the members, in force.
    pub fn publish_view(&self) {
        // The store's lock is held to the end, so that two tasks cannot put
        // their views in force in the wrong order.
        let store = lock(&self.store);
        let config = store.view();
        let view = {
            let table = lock(&self.table);
            let mut seen = lock(&self.first_seen);
            let now = self.clock.now();
            let members = table.iter().map(|entry| &entry.record);
            let view = ServingView::build(config, members, |member, service| {
                let key = (member.address, member.incarnation, service.clone());
                *seen.entry(key).or_insert(now)
            });
            seen.retain(|(address, incarnation, _), _| {
                table
                    .get(*address)
                    .is_some_and(|entry| entry.record.incarnation == *incarnation)
            });
            view
        };
        let version = view.config.version;
        if let Err(error) = self.view.advance(view) {
            log::error!(event = "view-refused", error:% = error; "config");
            return;
        }
        drop(store);
        self.metrics.config_version.set(version.0);
        self.version.send_if_modified(|held| {
            let is_newer = version > *held;
            *held = version.max(*held);
            is_newer
        });
    }

    /// Tells whether this node is a relay of its data centre.
    pub fn is_relay(&self) -> bool {
        let table = lock(&self.table);
        relays(&table, &self.settings.data_centre).contains(&self.settings.peer)
    }

    /// Returns the relays of the other data centres, each with its place.
    pub fn remote_relays(&self) -> BTreeMap<DataCentre, Vec<NodeAddress>> {
        let table = lock(&self.table);
        let places: Vec<DataCentre> = table.digests().keys().cloned().collect();
        places
            .into_iter()
            .filter(|place| *place != self.settings.data_centre)
            .map(|place| {
                let found = relays(&table, &place);
                (place, found)
            })
            .filter(|(_, found)| !found.is_empty())
            .collect()
    }

    /// Returns how far traffic to a member goes.
    pub fn reach_of(&self, address: SocketAddr) -> TrafficReach {
        let table = lock(&self.table);
        match table.get(address) {
            Some(entry) if entry.record.data_centre == self.settings.data_centre => {
                TrafficReach::DataCentre
            }
            Some(entry) if entry.record.region == self.settings.region => TrafficReach::Region,
            Some(_) => TrafficReach::World,
            None => TrafficReach::Unknown,
        }
    }

    /// Counts control bytes sent to a member.
    pub fn count_sent(&self, kind: TrafficKind, to: SocketAddr, bytes: usize) {
        self.metrics.count_sent(kind, self.reach_of(to), bytes);
    }

    /// Tells whether this node reads the source of documents at the moment.
    pub fn is_source_reader(&self) -> bool {
        self.source.is_reading.load(Ordering::Acquire)
    }

    /// Tells whether to pull a version that a peer holds. A node that follows a
    /// source of documents reads it there in a moment, so it leaves the peer's
    /// link alone until it is overdue.
    pub fn should_pull(&self, version: ConfigVersion) -> bool {
        if self.documents.is_none() {
            return true;
        }
        self.record_missing_version(version);
        self.is_version_overdue()
    }

    /// Notes that a peer holds a version that this node does not.
    pub fn record_missing_version(&self, version: ConfigVersion) {
        let held = lock(&self.store).version();
        self.source
            .record_missing_version(version, held, self.clock.now());
    }

    /// Tells whether this node has heard of a version for longer than getting it
    /// takes, and still does not hold it.
    pub fn is_version_overdue(&self) -> bool {
        let held = lock(&self.store).version();
        self.source.is_overdue(held, self.clock.now())
    }

    /// Returns the retry budget of a service.
    pub fn retry_budget(&self, service: &ServiceName) -> Arc<RetryBudget> {
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let clock = Arc::clone(&self.clock);
            Arc::new(match self.settings.retry {
                Some(limit) => RetryBudget::shared(clock, limit, self.live_members()),
                None => RetryBudget::new(clock),
            })
        });
        Arc::clone(budget)
    }

    /// Tells the retry budgets how many nodes share their limits.
    pub fn update_retry_budgets(&self) {
        let members = self.live_members();
        for budget in lock(&self.budgets).values() {
            budget.set_members(members);
        }
    }

    fn live_members(&self) -> usize {
        let table = lock(&self.table);
        table.iter().filter(|entry| entry.record.is_live()).count()
    }

    /// Returns the next number for a loss of a target.
    pub fn next_loss_id(&self) -> u64 {
        // Losses are told apart across restarts by the wall time.
        self.clock.unix_millis() + self.loss_count.fetch_add(1, Ordering::Relaxed)
    }
}
