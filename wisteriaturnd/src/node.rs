//! The state that all tasks of a node share.
//!
//! [`NodeHandle`] is cheap to clone and every task holds one. Each component has
//! its own lock, which is held briefly and never across an await point. The view
//! in force, which every call reads, takes no lock.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};
use wisteriaturn::buffer::{ByteBudget, MAX_HELD_BODY_BYTES};
use wisteriaturn::clock::{SharedClock, lock};
use wisteriaturn::config::document::DocumentPort;
use wisteriaturn::config::view::{ServingView, ViewCell};
use wisteriaturn::gate::announce::AnnouncementTracker;
use wisteriaturn::gate::ledger::CallLedger;
use wisteriaturn::gate::pace::LinkPacer;
use wisteriaturn::gate::quarantine::SuspectTable;
use wisteriaturn::gate::slots::SlotGate;
use wisteriaturn::gate::transfer::CONCURRENT_TRANSFERS;
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
use wisteriaturn::rollout::port::RolloutPort;
use wisteriaturn::route::choose::NodeLocation;
use wisteriaturn::route::estimate::AnswerEstimator;
use wisteriaturn::route::limit::RouteLimiter;
use wisteriaturn::route::load::LoadTracker;
use wisteriaturn::route::stop::StopSchedule;

use crate::claims::client::ClaimClient;
use crate::claims::keeper::ClaimKeeper;
use crate::control::source::SourceState;
use crate::control::store::ConfigStore;
use crate::gate::targets::LocalTargets;
use crate::http::headers::EdgeHeaders;
use crate::http::pool::ConnectionPool;
use crate::mesh::departures::DepartureRecords;
use crate::metrics::{NodeMetrics, TrafficKind, TrafficReach};
use crate::rollout::NodeRollouts;
use crate::settings::NodeSettings;
use crate::team::NodeTeams;

/// The lifecycle stage of a node. The variants are ordered; a node never goes
/// back to an earlier stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeStage {
    /// The configuration view is not current yet.
    Starting,
    /// The node serves calls.
    Ready,
    /// The node announces that it is about to stop. Its ingress and its gate
    /// still accept calls that can finish before they close.
    LameDuck,
    /// The gate refuses new calls; calls in flight run to their end.
    Draining,
    /// The ingress stops accepting connections as well.
    Stopping,
    /// The drain timeout has expired. The node itself answers the calls that are
    /// still in flight, because a closed connection would tell their callers
    /// less.
    Closing,
}

/// The shared state of a node.
#[derive(Debug)]
pub struct NodeState {
    /// The validated settings.
    pub settings: NodeSettings,
    /// The source of monotonic and wall-clock time.
    pub clock: SharedClock,
    /// Random id of this run of the process.
    pub boot_id: BootId,
    /// The region and the data centre of the node.
    pub location: NodeLocation,
    /// The view in force: the configuration joined with the live targets.
    pub view: ViewCell,
    /// The configuration that this node has applied.
    pub store: Mutex<ConfigStore>,
    /// The members of the mesh that this node knows, including itself.
    pub table: Mutex<MemberTable>,
    /// Updates to piggyback on probe messages.
    pub rumors: Mutex<RumorQueue>,
    /// Requests that are suspected of crashing targets, by fingerprint.
    pub suspects: Mutex<SuspectTable>,
    /// The metrics of the node.
    pub metrics: NodeMetrics,
    /// Observed load and failures of each target.
    pub load: LoadTracker,
    /// Limits the concurrent calls of each route.
    pub route_limiter: RouteLimiter,
    /// Outcomes of the calls that this gate has accepted.
    pub ledger: CallLedger,
    /// The targets on this VM.
    pub targets: LocalTargets,
    /// Admits the large bodies of calls from other nodes to the link of this VM.
    pub transfers: SlotGate,
    /// Paces large answers to other nodes over the link of this VM.
    pub answer_link: Mutex<LinkPacer>,
    /// Sizes of the answers of each route that this node has sent to other nodes.
    pub sent_estimates: AnswerEstimator,
    /// Counts the bytes of request bodies that are held in memory.
    pub held_bytes: ByteBudget,
    /// Connections to the gates of other nodes.
    pub hop_pool: ConnectionPool,
    /// Connections to the local targets.
    pub target_pool: ConnectionPool,
    /// The platform's log, which holds configuration changes and claims.
    pub log: LogPort,
    /// The source of whole configuration documents, or `None` if the
    /// configuration is folded from changes in the log.
    pub documents: Option<DocumentPort>,
    /// A directory for discovering nodes in addition to the configured seeds.
    pub directory: Option<DirectoryPort>,
    /// Names of the headers that are exchanged with callers and targets.
    pub edge_headers: EdgeHeaders,
    /// The departures that are recorded outside of this process.
    pub departures: DepartureRecords,
    /// The latest announcement and departure of each target on this VM.
    pub announcements: Mutex<AnnouncementTracker>,
    /// Size and duration of the answers of each route, as seen by the ingress.
    pub answer_estimates: AnswerEstimator,
    /// Time that the targets on this VM take for a call of each route.
    pub run_estimates: AnswerEstimator,
    /// Requests claims of idempotency keys on behalf of this gate.
    pub claims: ClaimClient,
    /// Writes the claim streams that are assigned to this node.
    pub keeper: ClaimKeeper,
    /// Maps the addresses of other nodes to the addresses to connect to.
    pub addresses: AddressMap,
    /// The socket for gossip datagrams.
    pub udp: UdpSocket,
    /// Senders for the acknowledgements of pings in flight, by nonce.
    pub pending_pings: Mutex<HashMap<u64, oneshot::Sender<NodeStatus>>>,
    /// Publishes the configuration version in force.
    pub version: watch::Sender<ConfigVersion>,
    /// Progress of reading the document source.
    pub source: SourceState,
    /// Publishes the lifecycle stage.
    pub stage: watch::Sender<NodeStage>,
    /// Wakes the task that rebuilds the view when members change.
    pub members_changed: Notify,
    /// Whether the node has ever been ready. Before that it may have no
    /// configuration, so it refuses calls as `not-ready` and not as `no-route`.
    pub was_ready: AtomicBool,
    /// Whether an anti-entropy exchange of member records is in progress.
    pub is_anti_entropy_running: AtomicBool,
    /// Detects that this node is isolated from all others.
    pub link_monitor: Mutex<LinkMonitor>,
    /// The schedule of the node's stop, once it is about to stop.
    pub stop_schedule: OnceLock<StopSchedule>,
    /// The teams on whose behalf callers make calls.
    pub teams: NodeTeams,
    /// The roll-outs that this node knows of.
    pub rollouts: NodeRollouts,
    /// Number of target losses recorded at this gate.
    pub loss_count: AtomicU64,
    retry_budgets: Mutex<BTreeMap<ServiceName, Arc<RetryBudget>>>,
    /// When this node first saw a service of a member's incarnation.
    first_seen: Mutex<HashMap<(NodeAddress, Incarnation, ServiceName), Instant>>,
}

/// A reference-counted handle to the shared state of a node.
#[derive(Debug, Clone)]
pub struct NodeHandle(Arc<NodeState>);

impl Deref for NodeHandle {
    type Target = NodeState;

    fn deref(&self) -> &NodeState {
        &self.0
    }
}

/// Maps the configured address of a node to the address to connect to.
///
/// Nodes identify each other by the addresses in their settings. Tests put a
/// closure in between to cut or delay individual links.
#[derive(Clone)]
pub struct AddressMap(Arc<dyn Fn(SocketAddr) -> SocketAddr + Send + Sync>);

impl AddressMap {
    /// Creates a map from a closure.
    pub fn new<F>(map: F) -> Self
    where
        F: Fn(SocketAddr) -> SocketAddr + Send + Sync + 'static,
    {
        Self(Arc::new(map))
    }

    /// Returns the map that leaves every address unchanged.
    pub fn identity() -> Self {
        Self::new(|address| address)
    }

    /// Returns the address to connect to for a node.
    pub fn map(&self, address: SocketAddr) -> SocketAddr {
        (self.0)(address)
    }
}

impl std::fmt::Debug for AddressMap {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AddressMap").finish_non_exhaustive()
    }
}

/// Configures and creates a node.
#[derive(Debug)]
pub struct NodeBuilder {
    settings: NodeSettings,
    clock: SharedClock,
    log: LogPort,
    documents: Option<DocumentPort>,
    directory: Option<DirectoryPort>,
    edge_headers: EdgeHeaders,
    addresses: AddressMap,
    rollouts: Option<RolloutPort>,
}

impl NodeBuilder {
    /// Returns a builder for a node that follows the changes in `log`.
    pub fn new(settings: NodeSettings, clock: SharedClock, log: LogPort) -> Self {
        Self {
            settings,
            clock,
            log,
            documents: None,
            directory: None,
            edge_headers: EdgeHeaders::standard(),
            addresses: AddressMap::identity(),
            rollouts: None,
        }
    }

    /// Reads whole configuration documents from `documents` instead of folding
    /// changes from the log.
    pub fn documents(mut self, documents: DocumentPort) -> Self {
        self.documents = Some(documents);
        self
    }

    /// Discovers other nodes through `directory` in addition to the seeds.
    pub fn directory(mut self, directory: DirectoryPort) -> Self {
        self.directory = Some(directory);
        self
    }

    /// Serves roll-outs, whose records are kept through `rollouts`.
    pub fn rollouts(mut self, rollouts: RolloutPort) -> Self {
        self.rollouts = Some(rollouts);
        self
    }

    /// Sets the header names to use with callers and targets.
    pub fn edge_headers(mut self, edge_headers: EdgeHeaders) -> Self {
        self.edge_headers = edge_headers;
        self
    }

    /// Sets the mapping from node addresses to the addresses to connect to.
    pub fn addresses(mut self, addresses: AddressMap) -> Self {
        self.addresses = addresses;
        self
    }

    /// Returns the settings.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Creates the node. Only the tasks that handle its claims are started;
    /// [`RunningNode::start`](crate::lifecycle::RunningNode::start) starts the
    /// others.
    pub fn build(self, udp: UdpSocket) -> NodeHandle {
        let (settings, clock) = (self.settings, self.clock);
        let own_record = MemberRecord {
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
            table: Mutex::new(MemberTable::new(own_record, clock.now())),
            rumors: Mutex::new(RumorQueue::new()),
            suspects: Mutex::new(SuspectTable::new()),
            metrics: NodeMetrics::new(),
            load: LoadTracker::new(settings.placement.shared_news > 0),
            route_limiter: RouteLimiter::new(),
            ledger: CallLedger::new(Arc::clone(&clock)),
            targets: LocalTargets::new(),
            transfers: SlotGate::new(CONCURRENT_TRANSFERS, Arc::clone(&clock)),
            answer_link: Mutex::default(),
            sent_estimates: AnswerEstimator::new(),
            held_bytes: ByteBudget::new(MAX_HELD_BODY_BYTES),
            hop_pool: ConnectionPool::for_nodes(
                settings.keys.clone(),
                self.addresses.clone(),
                Arc::clone(&clock),
            ),
            target_pool: ConnectionPool::for_targets(Arc::clone(&clock)),
            log: self.log,
            documents: self.documents,
            directory: self.directory,
            edge_headers: self.edge_headers,
            departures: DepartureRecords::new(),
            announcements: Mutex::new(AnnouncementTracker::new()),
            answer_estimates: AnswerEstimator::new(),
            run_estimates: AnswerEstimator::new(),
            claims,
            keeper,
            udp,
            addresses: self.addresses,
            pending_pings: Mutex::default(),
            version: watch::Sender::new(ConfigVersion(0)),
            source: SourceState::new(),
            stage: watch::Sender::new(NodeStage::Starting),
            members_changed: Notify::new(),
            was_ready: AtomicBool::new(false),
            is_anti_entropy_running: AtomicBool::new(false),
            link_monitor: Mutex::new(LinkMonitor::new(clock.now())),
            stop_schedule: OnceLock::new(),
            // Higher than the number of any question of an earlier run.
            teams: NodeTeams::new(settings.allowance, clock.unix_millis() << 20),
            rollouts: NodeRollouts::new(self.rollouts, rand::random()),
            loss_count: AtomicU64::new(0),
            retry_budgets: Mutex::default(),
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
    /// Returns the address that identifies this node to other nodes.
    pub fn address(&self) -> NodeAddress {
        self.settings.peer
    }

    /// Returns the lifecycle stage of the node.
    pub fn current_stage(&self) -> NodeStage {
        *self.stage.borrow()
    }

    /// Records that a message from another node has arrived.
    pub fn record_contact(&self) {
        lock(&self.link_monitor).record_contact(self.clock.now());
    }

    /// Returns `true` if this node is isolated from all others.
    pub fn is_isolated(&self) -> bool {
        let now = self.clock.now();
        let monitor = *lock(&self.link_monitor);
        // Every call checks this, and counting members scans the whole table.
        if !monitor.is_silent(now) {
            return false;
        }
        let others = self.live_member_count().saturating_sub(1);
        monitor.is_isolated(others, now)
    }

    /// Returns `true` if callers should send calls to this node: it is ready and
    /// not isolated.
    pub fn is_serving(&self) -> bool {
        self.current_stage() == NodeStage::Ready && !self.is_isolated()
    }

    /// Returns the status that this node attaches to its probes.
    pub fn status(&self) -> NodeStatus {
        let view = self.view.load();
        let mut chain_prefix = [0; 8];
        chain_prefix.copy_from_slice(&view.config.chain[..8]);
        NodeStatus {
            version: view.config.version,
            chain: u64::from_le_bytes(chain_prefix),
            digest: lock(&self.table).digest(),
        }
    }

    /// Joins the current configuration with the members and puts the result in
    /// force as the new view.
    pub fn publish_view(&self) {
        // Holding the store's lock until the view is in force keeps two tasks
        // from publishing their views in the wrong order.
        let store = lock(&self.store);
        let config = store.view();
        let view = {
            let table = lock(&self.table);
            let mut first_seen = lock(&self.first_seen);
            let now = self.clock.now();
            let members = table.iter().map(|entry| &entry.record);
            let view = ServingView::build(config, members, |member, service| {
                let key = (member.address, member.incarnation, service.clone());
                *first_seen.entry(key).or_insert(now)
            });
            first_seen.retain(|(address, incarnation, _), _| {
                table
                    .get(*address)
                    .is_some_and(|entry| entry.record.incarnation == *incarnation)
            });
            view
        };
        let version = view.config.version;
        let before = self.view.load();
        if before.config.version != version {
            let teams = &view.config.teams;
            self.teams.record_change(&before.config.teams, teams);
        }
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

    /// Returns `true` if this node is a relay of its data centre, that is, one of
    /// the members that read the log for the others.
    pub fn is_relay(&self) -> bool {
        let table = lock(&self.table);
        relays(&table, &self.settings.data_centre).contains(&self.settings.peer)
    }

    /// Returns the relays of each other data centre that has any.
    pub fn remote_relays(&self) -> BTreeMap<DataCentre, Vec<NodeAddress>> {
        let table = lock(&self.table);
        let data_centres: Vec<DataCentre> = table.digests().keys().cloned().collect();
        data_centres
            .into_iter()
            .filter(|data_centre| *data_centre != self.settings.data_centre)
            .map(|data_centre| {
                let remote_relays = relays(&table, &data_centre);
                (data_centre, remote_relays)
            })
            .filter(|(_, remote_relays)| !remote_relays.is_empty())
            .collect()
    }

    /// Returns how far control traffic to an address travels.
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

    /// Adds control bytes that were sent to an address to the metrics.
    pub fn record_sent(&self, kind: TrafficKind, to: SocketAddr, bytes: usize) {
        self.metrics.record_sent(kind, self.reach_of(to), bytes);
    }

    /// Returns `true` if this node currently reads the document source itself.
    pub fn is_source_reader(&self) -> bool {
        self.source.is_reading.load(Ordering::Acquire)
    }

    /// Returns `true` if this node should pull a newer version that a peer holds.
    ///
    /// A node with a document source normally receives the version from there
    /// within moments, so it puts no load on the peer's link until the version is
    /// overdue.
    pub fn should_pull(&self, version: ConfigVersion) -> bool {
        if self.documents.is_none() {
            return true;
        }
        self.record_missing_version(version);
        self.is_version_overdue()
    }

    /// Records that a peer holds a version that this node does not have yet.
    pub fn record_missing_version(&self, version: ConfigVersion) {
        let held = lock(&self.store).version();
        self.source
            .record_missing_version(version, held, self.clock.now());
    }

    /// Returns `true` if peers have held a newer version for longer than this node
    /// normally takes to receive one.
    pub fn is_version_overdue(&self) -> bool {
        let held = lock(&self.store).version();
        self.source.is_overdue(held, self.clock.now())
    }

    /// Returns the retry budget of a service.
    pub fn retry_budget(&self, service: &ServiceName) -> Arc<RetryBudget> {
        let mut budgets = lock(&self.retry_budgets);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let clock = Arc::clone(&self.clock);
            Arc::new(match self.settings.retry {
                Some(limit) => RetryBudget::shared(clock, limit, self.live_member_count()),
                None => RetryBudget::new(clock),
            })
        });
        Arc::clone(budget)
    }

    /// Updates the number of nodes that share the limits of the retry budgets.
    pub fn update_retry_budgets(&self) {
        let members = self.live_member_count();
        for budget in lock(&self.retry_budgets).values() {
            budget.set_members(members);
        }
    }

    /// Returns the number of live members, including this node.
    pub(crate) fn live_member_count(&self) -> usize {
        let table = lock(&self.table);
        table.iter().filter(|entry| entry.record.is_live()).count()
    }

    /// Returns a new id for the loss of a target.
    pub fn next_loss_id(&self) -> u64 {
        // Starting from the wall-clock time keeps ids distinct across restarts.
        self.clock.unix_millis() + self.loss_count.fetch_add(1, Ordering::Relaxed)
    }
}
