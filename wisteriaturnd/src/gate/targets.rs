//! The targets on this VM.
//!
//! Targets are not configured anywhere. A target announces itself periodically
//! to the node on its VM, and the node withdraws it when the announcements
//! stop. The node publishes its targets to other nodes in its own member
//! record.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::Deserialize;
use wisteriaturn::clock::lock;
use wisteriaturn::gate::announce::AnnouncementSummary;
use wisteriaturn::gate::notice::LimitTracker;
use wisteriaturn::gate::slots::SlotGate;
use wisteriaturn::ids::{Incarnation, InstanceId, Sequence, ServiceName, SlotCount, TargetVersion};
use wisteriaturn::member::record::{MAX_TARGETS, TargetDeparture, TargetRecord, TargetState};

use crate::mesh::{departures, rumors};
use crate::node::{NodeHandle, NodeStage, NodeState};

/// An announcement that a target sends to its node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// Service that the target provides.
    pub service: ServiceName,
    /// Address at which the target serves HTTP.
    pub address: SocketAddr,
    /// Maximum number of calls that the target runs concurrently.
    pub slots: SlotCount,
    /// Whether the target is draining.
    #[serde(default)]
    pub draining: bool,
    /// Instance name of the target. Calls carry it, so that the target can refuse
    /// those meant for another instance.
    #[serde(default)]
    pub instance: Option<InstanceId>,
    /// Start time of the target, in milliseconds since the Unix epoch. It tells
    /// the runs of a restarted target apart and orders them.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Number of the announcement within the incarnation.
    #[serde(default)]
    pub sequence: Sequence,
    /// Version of the target's software.
    #[serde(default)]
    pub version: Option<TargetVersion>,
}

impl TargetAnnouncement {
    /// Returns the parts that decide whether the announcement is outdated, or
    /// `None` if the target has no instance name.
    fn summary(&self) -> Option<AnnouncementSummary> {
        Some(AnnouncementSummary {
            instance: self.instance.clone()?,
            incarnation: self.incarnation,
            sequence: self.sequence,
            address: self.address,
            is_draining: self.draining,
        })
    }
}

/// The reason why an announcement was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum RegistrationError {
    /// The current configuration has no such service.
    NoService(ServiceName),
    /// The service does not permit targets at this address.
    NotPermitted(SocketAddr),
    /// The number of slots is out of range.
    Slots {
        /// Number of slots announced.
        announced: SlotCount,
        /// Maximum number that the service allows.
        allowed: SlotCount,
    },
    /// The node already has [`MAX_TARGETS`] targets.
    Full,
    /// A later announcement was accepted before, or the target has left.
    Stale,
    /// This node has just started and does not know yet which targets left before.
    NotReady,
    /// The first announcement of this target since this node was restarted, which may be
    /// from before the target's departure.
    Unconfirmed,
    /// The departure takes effect but could not be recorded outside of this node.
    Unrecorded,
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
            RegistrationError::Stale => write!(f, "outdated announcement, or the target has left"),
            RegistrationError::NotReady => {
                write!(
                    f,
                    "the targets that left before this node started are not known yet"
                )
            }
            RegistrationError::Unconfirmed => {
                write!(
                    f,
                    "the first announcement since this node was restarted may be outdated"
                )
            }
            RegistrationError::Unrecorded => {
                write!(
                    f,
                    "the departure could not be recorded outside of this node"
                )
            }
            RegistrationError::Full => {
                write!(f, "a node can have at most {MAX_TARGETS} targets")
            }
        }
    }
}

impl std::error::Error for RegistrationError {}

/// A target on this VM.
#[derive(Debug)]
pub struct LocalTarget {
    /// Address at which the target serves HTTP.
    pub address: SocketAddr,
    /// Instance name of the target, if it announced one.
    pub instance: Option<InstanceId>,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Version of the target's software, where roll-outs are served.
    pub version: Option<TargetVersion>,
    /// Gate that limits the concurrent calls.
    pub gate: SlotGate,
    /// The limit that the target names in its answers.
    pub limit: Mutex<LimitTracker>,
    slots: Mutex<SlotCount>,
    is_draining: Mutex<bool>,
    expires_at: Mutex<Instant>,
}

impl LocalTarget {
    /// Returns `true` if the announcement comes from this run of this target.
    fn is_announced_by(&self, announcement: &TargetAnnouncement) -> bool {
        self.address == announcement.address
            && self.instance == announcement.instance
            && self.incarnation == announcement.incarnation
    }
}

/// The targets on this VM by service.
#[derive(Debug, Default)]
pub struct LocalTargets {
    targets: Mutex<BTreeMap<ServiceName, Arc<LocalTarget>>>,
    /// The last withdrawn target of each service. One that announces itself again still
    /// runs the calls that it got, and its limit still holds.
    withdrawn: Mutex<BTreeMap<ServiceName, Arc<LocalTarget>>>,
}

impl LocalTargets {
    /// Returns an empty set of targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the target that provides a service.
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

    /// Returns the number of calls that are running or waiting at the gates of all
    /// targets.
    pub fn in_flight(&self) -> usize {
        self.all()
            .iter()
            .map(|(_, target)| {
                let load = target.gate.load();
                load.busy + load.waiting
            })
            .sum()
    }

    /// Returns the targets as published in the member record. If the node is
    /// draining, all its targets are published as draining.
    fn records(&self, is_node_draining: bool) -> Vec<TargetRecord> {
        self.all()
            .into_iter()
            .map(|(service, target)| TargetRecord {
                service,
                address: target.address,
                slots: *lock(&target.slots),
                state: if is_node_draining || *lock(&target.is_draining) {
                    TargetState::Draining
                } else {
                    TargetState::Serving
                },
                version: target.version.clone(),
            })
            .collect()
    }
}

/// Registers a target on this VM or renews its registration.
///
/// # Errors
///
/// Returns a [`RegistrationError`] if the announcement is not allowed or is
/// outdated.
pub async fn register(
    node: &NodeHandle,
    announcement: &TargetAnnouncement,
) -> Result<(), RegistrationError> {
    let summary = announcement.summary();
    let is_confirmed = summary
        .as_ref()
        .is_none_or(|summary| lock(&node.announcements).note_arrival(summary));
    if !departures::wait_until_restored(node).await {
        return Err(RegistrationError::NotReady);
    }
    let now = node.clock.now();
    check_announcement(node, announcement)?;
    if let Some(summary) = summary {
        let mut announcements = lock(&node.announcements);
        if announcements.is_outdated(&summary) {
            return Err(RegistrationError::Stale);
        }
        // A draining target gets no calls, so believing it does no harm.
        if !is_confirmed && !summary.is_draining && departures::may_be_forgotten(node) {
            return Err(RegistrationError::Unconfirmed);
        }
        announcements.accept(summary);
    }
    let expires_at = now + node.settings.tuning.announce_ttl;
    let target = find_or_insert(node, announcement, expires_at)?;
    *lock(&target.expires_at) = expires_at;
    *lock(&target.slots) = announcement.slots;
    target.gate.set_slots(announcement.slots.0);
    set_draining(&target, announcement.draining);
    publish(node).await;
    match &announcement.instance {
        Some(instance) if announcement.draining => record_departure(node, instance).await,
        Some(_) | None => Ok(()),
    }
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

/// Returns the registered target if the announcement comes from it. Otherwise,
/// registers a new target, which replaces any other target of the service or at
/// the address.
fn find_or_insert(
    node: &NodeState,
    announcement: &TargetAnnouncement,
    expires_at: Instant,
) -> Result<Arc<LocalTarget>, RegistrationError> {
    let mut targets = lock(&node.targets.targets);
    if let Some(current) = targets.get(&announcement.service)
        && current.is_announced_by(announcement)
    {
        return Ok(Arc::clone(current));
    }
    // The target that had this address before is gone. The new target must not
    // inherit its connections and its queue.
    node.target_pool.close_idle(announcement.address);
    targets.retain(|service, other| {
        let is_kept = other.address != announcement.address && *service != announcement.service;
        if !is_kept {
            other.gate.drain();
        }
        is_kept
    });
    if targets.len() >= MAX_TARGETS && !targets.contains_key(&announcement.service) {
        return Err(RegistrationError::Full);
    }
    let withdrawn = lock(&node.targets.withdrawn).remove(&announcement.service);
    if let Some(target) = withdrawn.filter(|target| target.is_announced_by(announcement)) {
        if !*lock(&target.is_draining) {
            target.gate.resume();
        }
        targets.insert(announcement.service.clone(), Arc::clone(&target));
        return Ok(target);
    }
    let target = Arc::new(LocalTarget {
        address: announcement.address,
        instance: announcement.instance.clone(),
        incarnation: announcement.incarnation,
        version: announcement
            .version
            .clone()
            .filter(|_| node.rollouts.is_enabled()),
        gate: SlotGate::new(announcement.slots.0, Arc::clone(&node.clock)),
        limit: Mutex::default(),
        slots: Mutex::new(announcement.slots),
        is_draining: Mutex::new(false),
        expires_at: Mutex::new(expires_at),
    });
    targets.insert(announcement.service.clone(), Arc::clone(&target));
    Ok(target)
}

fn set_draining(target: &LocalTarget, is_draining: bool) {
    let mut state = lock(&target.is_draining);
    if *state == is_draining {
        return;
    }
    *state = is_draining;
    if is_draining {
        target.gate.drain();
    } else {
        target.gate.resume();
    }
}

/// Removes the target of a service and publishes the change. Returns `true` if
/// there was one.
pub async fn withdraw(node: &NodeHandle, service: &ServiceName) -> bool {
    let removed = lock(&node.targets.targets).remove(service);
    let Some(target) = removed else {
        return false;
    };
    target.gate.drain();
    if target.instance.is_some() {
        lock(&node.targets.withdrawn).insert(service.clone(), Arc::clone(&target));
    }
    log::info!(event = "target-withdrawn", service:% = service, address:% = target.address; "place");
    publish(node).await;
    true
}

/// Records a departure that has taken effect outside of this process.
async fn record_departure(
    node: &NodeHandle,
    instance: &InstanceId,
) -> Result<(), RegistrationError> {
    if departures::record(node, instance).await {
        Ok(())
    } else {
        Err(RegistrationError::Unrecorded)
    }
}

/// Deregisters a target that announces its departure. Returns `true` if it was
/// registered.
///
/// `incarnation` is the departing incarnation, if the target names it. A later
/// incarnation of a target that was restarted since then stays registered.
///
/// # Errors
///
/// Returns [`RegistrationError::Unrecorded`] if the departure has taken effect but must
/// not be acknowledged, since a restart of this node could undo it.
pub async fn deregister(
    node: &NodeHandle,
    instance: &InstanceId,
    incarnation: Option<Incarnation>,
) -> Result<bool, RegistrationError> {
    let was_registered = remove(node, instance, incarnation).await;
    record_departure(node, instance).await?;
    Ok(was_registered)
}

/// Removes a target that has left and publishes that. Returns `true` if it was registered.
async fn remove(
    node: &NodeHandle,
    instance: &InstanceId,
    incarnation: Option<Incarnation>,
) -> bool {
    let now = Incarnation(node.clock.unix_millis());
    if !lock(&node.announcements).record_departure(instance, incarnation, now) {
        publish(node).await;
        return false;
    }
    let registered = node
        .targets
        .all()
        .into_iter()
        .find(|(_, target)| target.instance.as_ref() == Some(instance));
    match registered {
        Some((service, _)) => withdraw(node, &service).await,
        None => {
            publish(node).await;
            false
        }
    }
}

/// Restores the departures of targets that were announced to this node before it
/// was restarted and that its peers have kept. Withdraws a target that a late
/// announcement registered again after the restart.
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

/// Drains the gates of all targets and publishes that they are draining.
pub async fn drain_all(node: &NodeHandle) {
    for (_, target) in node.targets.all() {
        target.gate.drain();
    }
    publish(node).await;
}

/// Updates this node's member record if the targets or their departures have
/// changed, and sends the record to the other nodes at once.
pub async fn publish(node: &NodeHandle) {
    let is_node_draining = node.current_stage() >= NodeStage::Draining;
    let targets = node.targets.records(is_node_draining);
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
    node.departures.changed.notify_one();
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
    rumors::spread_own_record(node, record).await;
}

/// Drains the gate of a target that states that it is leaving.
pub(crate) fn start_draining(target: &LocalTarget) {
    set_draining(target, true);
}

/// Publishes the targets and their departures in a task of its own, so that an answer
/// does not wait for the other nodes to learn of a change that it brings.
pub(crate) fn spawn_publish(node: &NodeHandle) {
    let node = node.clone();
    tokio::spawn(async move { publish(&node).await });
}

/// Withdraws targets whose registration has expired.
pub async fn expire_task(node: NodeHandle) {
    let interval = (node.settings.tuning.announce_ttl / 4).max(Duration::from_millis(50));
    loop {
        tokio::time::sleep(interval).await;
        let now = node.clock.now();
        for (service, target) in node.targets.all() {
            if *lock(&target.expires_at) <= now {
                withdraw(&node, &service).await;
            }
        }
    }
}
