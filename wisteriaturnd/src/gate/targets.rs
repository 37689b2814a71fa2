//! The targets beside this node: announced, kept alive and left.
//!
//! There is no list of targets. A target announces itself to the node on its
//! own VM, again and again; when it stops, the node withdraws it. The node
//! vouches for it towards the others through its own member record.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::Deserialize;
use wisteriaturn::clock::lock;
use wisteriaturn::gate::announce::AnnouncementSummary;
use wisteriaturn::gate::slots::SlotGate;
use wisteriaturn::ids::{Incarnation, InstanceId, Sequence, ServiceName, SlotCount};
use wisteriaturn::member::record::{MAX_TARGETS, TargetDeparture, TargetRecord, TargetState};

use crate::mesh::news;
use crate::node::{NodeHandle, NodeStage, NodeState};

/// What a target says when it announces itself.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// Service that it serves.
    pub service: ServiceName,
    /// Address on which it takes HTTP.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: SlotCount,
    /// Whether it leaves.
    #[serde(default)]
    pub draining: bool,
    /// Name of the target, by which it knows the calls that are for it.
    #[serde(default)]
    pub instance: Option<InstanceId>,
    /// Start of the target, in milliseconds since the Unix epoch: orders its
    /// lives.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Number of the announcement within the life.
    #[serde(default)]
    pub sequence: Sequence,
}

impl TargetAnnouncement {
    /// Returns what orders this announcement among others, if the target names
    /// itself.
    fn statement(&self) -> Option<AnnouncementSummary> {
        Some(AnnouncementSummary {
            instance: self.instance.clone()?,
            incarnation: self.incarnation,
            sequence: self.sequence,
            address: self.address,
            is_draining: self.draining,
        })
    }
}

/// Why an announcement was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum RegistrationError {
    /// The configuration in force has no such service.
    NoService(ServiceName),
    /// The service does not permit the address.
    NotPermitted(SocketAddr),
    /// The number of slots is out of range.
    Slots {
        /// Slots announced.
        announced: SlotCount,
        /// Most that the service allows.
        allowed: SlotCount,
    },
    /// The node vouches for as many targets as it may.
    Full,
    /// A later announcement was taken before, or the target has left.
    Stale,
}

impl std::fmt::Display for RegistrationError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RegistrationError::NoService(service) => write!(f, "service/{service} does not exist"),
            RegistrationError::NotPermitted(address) => {
                write!(f, "the service does not permit a target at {address}")
            }
            RegistrationError::Slots { announced, allowed } => {
                write!(
                    f,
                    "slots = {announced} is not allowed; allowed: 1 to {allowed}"
                )
            }
            RegistrationError::Stale => write!(f, "a later announcement was taken before"),
            RegistrationError::Full => {
                write!(f, "a node vouches for at most {MAX_TARGETS} targets")
            }
        }
    }
}

impl std::error::Error for RegistrationError {}

/// A target beside this node.
#[derive(Debug)]
pub struct LocalTarget {
    /// Address on which it takes HTTP.
    pub address: SocketAddr,
    /// Its name, if it gave one.
    pub instance: Option<InstanceId>,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its slots.
    pub gate: SlotGate,
    slots: Mutex<SlotCount>,
    is_draining: Mutex<bool>,
    expires: Mutex<Instant>,
}

/// The targets beside this node by service.
#[derive(Debug, Default)]
pub struct LocalTargets {
    targets: Mutex<BTreeMap<ServiceName, Arc<LocalTarget>>>,
}

impl LocalTargets {
    /// Returns no targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the target of a service.
    pub fn get(&self, service: &ServiceName) -> Option<Arc<LocalTarget>> {
        lock(&self.targets).get(service).cloned()
    }

    /// Returns all targets.
    pub fn all(&self) -> Vec<(ServiceName, Arc<LocalTarget>)> {
        lock(&self.targets)
            .iter()
            .map(|(service, target)| (service.clone(), Arc::clone(target)))
            .collect()
    }

    /// Returns the number of calls that run or wait at this node's gates.
    pub fn in_flight(&self) -> usize {
        self.all()
            .iter()
            .map(|(_, target)| {
                let load = target.gate.load();
                load.busy + load.waiting
            })
            .sum()
    }

    fn records(&self, is_leaving: bool) -> Vec<TargetRecord> {
        self.all()
            .into_iter()
            .map(|(service, target)| TargetRecord {
                service,
                address: target.address,
                slots: *lock(&target.slots),
                state: if is_leaving || *lock(&target.is_draining) {
                    TargetState::Draining
                } else {
                    TargetState::Serving
                },
            })
            .collect()
    }
}

/// Takes an announcement of a target on this VM.
///
/// # Errors
///
/// [`RegistrationError`] says what is not allowed.
pub async fn register(
    node: &NodeHandle,
    announcement: &TargetAnnouncement,
) -> Result<(), RegistrationError> {
    let now = node.clock.now();
    check_announcement(node, announcement)?;
    if let Some(statement) = announcement.statement()
        && !lock(&node.announcements).accept(statement)
    {
        return Err(RegistrationError::Stale);
    }
    let expires = now + node.settings.tuning.announce_ttl;
    let target = enter_target(node, announcement, expires)?;
    *lock(&target.expires) = expires;
    *lock(&target.slots) = announcement.slots;
    target.gate.set_slots(announcement.slots.0);
    set_draining(&target, announcement.draining);
    publish(node).await;
    Ok(())
}

fn check_announcement(
    node: &NodeState,
    announcement: &TargetAnnouncement,
) -> Result<(), RegistrationError> {
    let view = node.view.load();
    let Some(service) = view.config.services.get(&announcement.service) else {
        return Err(RegistrationError::NoService(announcement.service.clone()));
    };
    let address = announcement.address;
    if !service.spec.permits(address.ip()) {
        return Err(RegistrationError::NotPermitted(address));
    }
    let allowed = service.spec.effective_max_slots();
    if !(SlotCount(1)..=allowed).contains(&announcement.slots) {
        return Err(RegistrationError::Slots {
            announced: announcement.slots,
            allowed,
        });
    }
    Ok(())
}

fn enter_target(
    node: &NodeState,
    announcement: &TargetAnnouncement,
    expires: Instant,
) -> Result<Arc<LocalTarget>, RegistrationError> {
    let mut targets = lock(&node.targets.targets);
    if let Some(held) = targets.get(&announcement.service)
        && held.address == announcement.address
        && held.instance == announcement.instance
        && held.incarnation == announcement.incarnation
    {
        return Ok(Arc::clone(held));
    }
    // What served at this address before is gone: its connections and its
    // queue must not be taken for those of the newcomer.
    node.target_pool.close_idle(announcement.address);
    targets.retain(|service, held| {
        let is_kept = held.address != announcement.address && *service != announcement.service;
        if !is_kept {
            held.gate.drain();
        }
        is_kept
    });
    if targets.len() >= MAX_TARGETS && !targets.contains_key(&announcement.service) {
        return Err(RegistrationError::Full);
    }
    let target = Arc::new(LocalTarget {
        address: announcement.address,
        instance: announcement.instance.clone(),
        incarnation: announcement.incarnation,
        gate: SlotGate::new(announcement.slots.0, Arc::clone(&node.clock)),
        slots: Mutex::new(announcement.slots),
        is_draining: Mutex::new(false),
        expires: Mutex::new(expires),
    });
    targets.insert(announcement.service.clone(), Arc::clone(&target));
    Ok(target)
}

fn set_draining(target: &LocalTarget, is_draining: bool) {
    let mut held = lock(&target.is_draining);
    if *held == is_draining {
        return;
    }
    *held = is_draining;
    if is_draining {
        target.gate.drain();
    } else {
        target.gate.resume();
    }
}

/// Withdraws a target.
pub async fn withdraw(node: &NodeHandle, service: &ServiceName) -> bool {
    let removed = lock(&node.targets.targets).remove(service);
    let Some(target) = removed else {
        return false;
    };
    target.gate.drain();
    log::info!(event = "target-withdrawn", service:% = service, address:% = target.address; "place");
    publish(node).await;
    true
}

/// Ends the life of a target that says that it leaves. Returns whether it was
/// known; a target that this node never held has nothing to withdraw.
/// `incarnation` names the life that ends, where the target says so: one that
/// has started again since is not meant.
pub async fn deregister(
    node: &NodeHandle,
    instance: &InstanceId,
    incarnation: Option<Incarnation>,
) -> bool {
    let now = Incarnation(node.clock.unix_millis());
    if !lock(&node.announcements).record_departure(instance, incarnation, now) {
        publish(node).await;
        return false;
    }
    let held = node
        .targets
        .all()
        .into_iter()
        .find(|(_, target)| target.instance.as_ref() == Some(instance));
    match held {
        Some((service, _)) => withdraw(node, &service).await,
        None => {
            publish(node).await;
            false
        }
    }
}

/// Takes back what peers remember of targets that said to an earlier life of
/// this node that they leave. One that was announced again since, by a late
/// message, is withdrawn.
pub async fn restore_departures(node: &NodeHandle, departures: &[TargetDeparture]) {
    if !lock(&node.announcements).restore(departures) {
        return;
    }
    log::info!(event = "departures-restored", known = departures.len(); "place");
    for (service, target) in node.targets.all() {
        let is_departing = target.instance.as_ref().is_some_and(|instance| {
            lock(&node.announcements).is_departing(instance, target.incarnation)
        });
        if is_departing {
            withdraw(node, &service).await;
        }
    }
    publish(node).await;
}

/// Makes every gate refuse new calls and tells the others.
pub async fn drain_all(node: &NodeHandle) {
    for (_, target) in node.targets.all() {
        target.gate.drain();
    }
    publish(node).await;
}

/// Puts the targets and the ends of their lives into this node's member record
/// when they changed, and spreads it as urgent news.
pub async fn publish(node: &NodeHandle) {
    let is_leaving = node.current_stage() >= NodeStage::Draining;
    let targets = node.targets.records(is_leaving);
    let departures = lock(&node.announcements).departures();
    let record = {
        let mut table = lock(&node.table);
        if table.own().targets == targets && table.own().departures == departures {
            return;
        }
        table.update_own(node.clock.now(), |own| {
            own.targets = targets;
            own.departures = departures;
        })
    };
    for target in &record.targets {
        log::info!(
            event = "target-placed",
            service:% = target.service,
            address:% = target.address,
            slots:% = target.slots,
            state:? = target.state;
            "place"
        );
    }
    node.publish_view();
    news::spread_own(node, record).await;
}

/// Withdraws targets whose announcement was not renewed.
pub async fn expire_task(node: NodeHandle) {
    let step = (node.settings.tuning.announce_ttl / 4).max(Duration::from_millis(50));
    loop {
        tokio::time::sleep(step).await;
        let now = node.clock.now();
        for (service, target) in node.targets.all() {
            if *lock(&target.expires) <= now {
                withdraw(&node, &service).await;
            }
        }
    }
}
