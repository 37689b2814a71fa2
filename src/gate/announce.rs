//! Rejects outdated announcements of targets.
//!
//! Announcements can arrive seconds late, and a restarted target may keep its
//! instance name and number its announcements from the start again. The
//! tracker therefore orders them by incarnation first and by sequence second:
//! within one incarnation an announcement is rejected if a later one was
//! accepted, and an incarnation is rejected if a later one of the same
//! instance is known. An address belongs to the latest incarnation announced
//! there, since late announcements of a terminated target can arrive after
//! another target has taken over its address. An incarnation that has left is
//! never accepted again, nor is one that stated in an answer that it is leaving.
//!
//! A node stores nothing on disk, so a late announcement may arrive after the
//! node was restarted and has lost this state. Departures are therefore
//! published in the node's member record and recorded in its entry of the
//! directory. A node that starts gets them back from its entry or from its peers.
//! A departure that could not be recorded there may be lost with all nodes that held
//! it. After a restart, an incarnation therefore counts as running only from its second
//! announcement on: a target that has left does not announce itself again.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::ids::{Incarnation, InstanceId, Sequence};
use crate::member::record::{MAX_DEPARTURES, TargetDeparture};

/// Maximum number of instances to track. A VM has one target and replaces it
/// occasionally.
pub const MAX_TRACKED_INSTANCES: usize = 256;

/// The parts of an announcement that decide whether it is accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncementSummary {
    /// Instance name of the target.
    pub instance: InstanceId,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Number of the announcement within the incarnation.
    pub sequence: Sequence,
    /// Address at which the target serves calls.
    pub address: SocketAddr,
    /// Whether the target announces that it is draining.
    pub is_draining: bool,
}

#[derive(Debug, Clone, Copy)]
struct InstanceState {
    incarnation: Incarnation,
    sequence: Sequence,
    address: Option<SocketAddr>,
    is_draining: bool,
    has_left: bool,
}

impl InstanceState {
    /// Returns `true` if `other` supersedes this state.
    fn is_older_than(&self, other: &Self) -> bool {
        (self.incarnation, self.has_left, self.sequence)
            < (other.incarnation, other.has_left, other.sequence)
    }
}

/// Tracks the latest accepted announcement of each target on one VM.
#[derive(Debug, Default)]
pub struct AnnouncementTracker {
    instances: HashMap<InstanceId, InstanceState>,
    addresses: HashMap<SocketAddr, Incarnation>,
    /// The last announcement of each instance that has arrived, accepted or not.
    arrived: HashMap<InstanceId, (Incarnation, Sequence)>,
}

impl AnnouncementTracker {
    /// Returns a tracker that has seen no announcements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement unless it is outdated. Returns `true` if it was
    /// accepted.
    pub fn accept(&mut self, announcement: AnnouncementSummary) -> bool {
        if self.is_outdated(&announcement) {
            return false;
        }
        self.evict_oldest(&announcement.instance);
        self.addresses
            .insert(announcement.address, announcement.incarnation);
        self.instances.insert(
            announcement.instance,
            InstanceState {
                incarnation: announcement.incarnation,
                sequence: announcement.sequence,
                address: Some(announcement.address),
                is_draining: announcement.is_draining,
                has_left: false,
            },
        );
        true
    }

    /// Returns `true` if a later announcement or a departure outranks this one.
    pub fn is_outdated(&self, announcement: &AnnouncementSummary) -> bool {
        let at_address = self.addresses.get(&announcement.address);
        if at_address.is_some_and(|latest| *latest > announcement.incarnation) {
            return true;
        }
        self.instances
            .get(&announcement.instance)
            .is_some_and(|state| {
                let is_older_incarnation = announcement.incarnation < state.incarnation;
                let is_same_incarnation = announcement.incarnation == state.incarnation;
                let is_late = is_same_incarnation
                    && (state.has_left || announcement.sequence < state.sequence);
                is_older_incarnation || is_late
            })
    }

    /// Notes that an announcement has arrived, whether or not it is accepted. Returns
    /// `true` if it is not the only sign of its incarnation since this node started: an
    /// earlier one has arrived, or one was accepted.
    ///
    /// An announcement that is repeated in transit has the same sequence number and
    /// confirms nothing.
    pub fn note_arrival(&mut self, announcement: &AnnouncementSummary) -> bool {
        let arrival = (announcement.incarnation, announcement.sequence);
        if self.arrived.len() >= MAX_TRACKED_INSTANCES
            && !self.arrived.contains_key(&announcement.instance)
        {
            self.arrived.clear();
        }
        let last = self
            .arrived
            .entry(announcement.instance.clone())
            .or_insert(arrival);
        let is_confirmed = last.0 == arrival.0 && last.1 < arrival.1;
        *last = (*last).max(arrival);
        let is_known = self
            .instances
            .get(&announcement.instance)
            .is_some_and(|state| state.incarnation == announcement.incarnation);
        is_confirmed || is_known
    }

    /// Returns the targets that are draining or have left, latest incarnation
    /// first, limited to [`MAX_DEPARTURES`].
    pub fn departures(&self) -> Vec<TargetDeparture> {
        let mut departures: Vec<_> = self
            .instances
            .iter()
            .filter(|(_, state)| state.is_draining || state.has_left)
            .map(|(instance, state)| TargetDeparture {
                instance: instance.clone(),
                incarnation: state.incarnation,
                sequence: state.sequence,
                address: state.address,
                has_left: state.has_left,
            })
            .collect();
        departures.sort_by(|a, b| (b.incarnation, &b.instance).cmp(&(a.incarnation, &a.instance)));
        departures.truncate(MAX_DEPARTURES);
        departures
    }

    /// Restores departures that were recorded before this node was restarted.
    /// Returns `true` if any of them was new.
    pub fn restore(&mut self, departures: &[TargetDeparture]) -> bool {
        let mut is_new = false;
        for departure in departures {
            let state = InstanceState {
                incarnation: departure.incarnation,
                sequence: departure.sequence,
                address: departure.address,
                is_draining: true,
                has_left: departure.has_left,
            };
            let held = self.instances.get(&departure.instance);
            if held.is_some_and(|held| !held.is_older_than(&state)) {
                continue;
            }
            is_new = true;
            self.evict_oldest(&departure.instance);
            if let Some(address) = departure.address {
                let latest = self.addresses.entry(address).or_default();
                *latest = (*latest).max(departure.incarnation);
            }
            self.instances.insert(departure.instance.clone(), state);
        }
        is_new
    }

    /// Returns `true` if the incarnation is draining, has left, or was replaced
    /// by a later incarnation of the same instance.
    pub fn is_departing(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.instances.get(instance).is_some_and(|state| {
            state.incarnation > incarnation
                || (state.incarnation == incarnation && (state.is_draining || state.has_left))
        })
    }

    /// Marks an incarnation as draining for good, because it stated that it is leaving.
    /// Returns `true` if it was not known to be departing.
    ///
    /// The statement and the announcements of a target overtake each other, so no later
    /// announcement of this incarnation is accepted.
    pub fn record_leaving(&mut self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        let is_later = self
            .instances
            .get(instance)
            .is_some_and(|state| state.incarnation > incarnation);
        if is_later {
            return false;
        }
        let is_new = !self.is_departing(instance, incarnation);
        self.evict_oldest(instance);
        let state = self
            .instances
            .entry(instance.clone())
            .or_insert(InstanceState {
                incarnation,
                sequence: Sequence(u64::MAX),
                address: None,
                is_draining: true,
                has_left: false,
            });
        if state.incarnation < incarnation {
            state.has_left = false;
        }
        state.incarnation = incarnation;
        state.sequence = Sequence(u64::MAX);
        state.is_draining = true;
        is_new
    }

    /// Marks `incarnation` or, if that is not given, the latest known incarnation of an
    /// instance as left, unless a later one is known. Returns `true` if the instance was
    /// known and has been marked.
    ///
    /// On a node that has just started, the departure of a target can arrive
    /// before the target's late announcements. The departure of an unknown
    /// instance is recorded for `incarnation` or, if that is not given, for
    /// `now`, the wall time in the unit of incarnations: the target started
    /// before now, so its late announcements are rejected.
    pub fn record_departure(
        &mut self,
        instance: &InstanceId,
        incarnation: Option<Incarnation>,
        now: Incarnation,
    ) -> bool {
        let Some(state) = self.instances.get_mut(instance) else {
            self.evict_oldest(instance);
            let state = InstanceState {
                incarnation: incarnation.unwrap_or(now),
                sequence: Sequence(u64::MAX),
                address: None,
                is_draining: true,
                has_left: true,
            };
            self.instances.insert(instance.clone(), state);
            return false;
        };
        let incarnation = incarnation.unwrap_or(state.incarnation);
        if incarnation < state.incarnation {
            return false;
        }
        if incarnation > state.incarnation {
            state.incarnation = incarnation;
            state.sequence = Sequence(u64::MAX);
        }
        state.has_left = true;
        true
    }

    /// Removes the instance with the earliest incarnation if adding `instance`
    /// would exceed [`MAX_TRACKED_INSTANCES`]. If there are as many addresses,
    /// removes all of them.
    fn evict_oldest(&mut self, instance: &InstanceId) {
        if self.instances.len() < MAX_TRACKED_INSTANCES || self.instances.contains_key(instance) {
            return;
        }
        let oldest = self
            .instances
            .iter()
            .min_by_key(|(_, state)| state.incarnation)
            .map(|(instance, _)| instance.clone());
        if let Some(oldest) = oldest {
            self.instances.remove(&oldest);
        }
        if self.addresses.len() >= MAX_TRACKED_INSTANCES {
            self.addresses.clear();
        }
    }
}
