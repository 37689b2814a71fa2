//! Which of a target's announcements count.
//!
//! Announcements may be late by seconds, and a target that starts again may
//! keep its name and begin to count anew. So a statement is taken only when it
//! is later than what the same life said before, a life only when it began
//! later than the one held, and an address belongs to the life that began last
//! there: the dead send late announcements too. A life that left stays gone.
//!
//! A node has no disk, and a late announcement may meet it after a restart. So
//! the ends of lives go along in the node's member record, and its peers hand
//! them back to it when it joins again.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::ids::{Incarnation, InstanceId, Sequence};
use crate::member::record::{MAX_DEPARTURES, TargetDeparture};

/// Most lives remembered; a VM has one target and replaces it now and then.
pub const MAX_TRACKED_INSTANCES: usize = 256;

/// What orders an announcement among others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncementSummary {
    /// Name of the target.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Number of the announcement in that life.
    pub sequence: Sequence,
    /// Where it serves.
    pub address: SocketAddr,
    /// Whether it says that it leaves.
    pub is_draining: bool,
}

#[derive(Debug, Clone, Copy)]
struct LifeMark {
    incarnation: Incarnation,
    sequence: Sequence,
    address: Option<SocketAddr>,
    is_draining: bool,
    has_left: bool,
}

impl LifeMark {
    /// Tells whether the other mark was made later.
    fn is_before(&self, other: &Self) -> bool {
        (self.incarnation, self.has_left, self.sequence)
            < (other.incarnation, other.has_left, other.sequence)
    }
}

/// What the targets on one VM said of themselves.
#[derive(Debug, Default)]
pub struct AnnouncementTracker {
    lives: HashMap<InstanceId, LifeMark>,
    addresses: HashMap<SocketAddr, Incarnation>,
}

impl AnnouncementTracker {
    /// Returns an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a statement; returns whether it counts.
    pub fn accept(&mut self, statement: AnnouncementSummary) -> bool {
        let at_address = self.addresses.get(&statement.address);
        if at_address.is_some_and(|latest| *latest > statement.incarnation) {
            return false;
        }
        if let Some(mark) = self.lives.get(&statement.instance) {
            let is_older_life = statement.incarnation < mark.incarnation;
            let is_same_life = statement.incarnation == mark.incarnation;
            let is_late = is_same_life && (mark.has_left || statement.sequence < mark.sequence);
            if is_older_life || is_late {
                return false;
            }
        }
        self.make_room(&statement.instance);
        self.addresses
            .insert(statement.address, statement.incarnation);
        self.lives.insert(
            statement.instance,
            LifeMark {
                incarnation: statement.incarnation,
                sequence: statement.sequence,
                address: Some(statement.address),
                is_draining: statement.is_draining,
                has_left: false,
            },
        );
        true
    }

    /// Returns the lives that are ending or have ended, the latest first and at
    /// most [`MAX_DEPARTURES`].
    pub fn departures(&self) -> Vec<TargetDeparture> {
        let mut departures: Vec<_> = self
            .lives
            .iter()
            .filter(|(_, mark)| mark.is_draining || mark.has_left)
            .map(|(instance, mark)| TargetDeparture {
                instance: instance.clone(),
                incarnation: mark.incarnation,
                sequence: mark.sequence,
                address: mark.address,
                has_left: mark.has_left,
            })
            .collect();
        departures.sort_by(|a, b| (b.incarnation, &b.instance).cmp(&(a.incarnation, &a.instance)));
        departures.truncate(MAX_DEPARTURES);
        departures
    }

    /// Takes back what an earlier life of this node knew of the ends of lives.
    /// Returns whether any of it was new.
    pub fn restore(&mut self, departures: &[TargetDeparture]) -> bool {
        let mut is_new = false;
        for departure in departures {
            let mark = LifeMark {
                incarnation: departure.incarnation,
                sequence: departure.sequence,
                address: departure.address,
                is_draining: true,
                has_left: departure.has_left,
            };
            let held = self.lives.get(&departure.instance);
            if held.is_some_and(|held| !held.is_before(&mark)) {
                continue;
            }
            is_new = true;
            self.make_room(&departure.instance);
            if let Some(address) = departure.address {
                let latest = self.addresses.entry(address).or_default();
                *latest = (*latest).max(departure.incarnation);
            }
            self.lives.insert(departure.instance.clone(), mark);
        }
        is_new
    }

    /// Tells whether a life is known to be ending or to have ended.
    pub fn is_departing(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.lives.get(instance).is_some_and(|mark| {
            mark.incarnation > incarnation
                || (mark.incarnation == incarnation && (mark.is_draining || mark.has_left))
        })
    }

    /// Notes that a life has ended: the last one that is known, unless the
    /// target names an earlier one. Returns whether that life is known.
    ///
    /// A node that has just started may hear of the end of a life before it hears
    /// of the life: its announcements come late. That life began before now, so
    /// `now`, the wall time in the unit of incarnations, stands for it.
    pub fn record_departure(
        &mut self,
        instance: &InstanceId,
        incarnation: Option<Incarnation>,
        now: Incarnation,
    ) -> bool {
        let Some(mark) = self.lives.get_mut(instance) else {
            self.make_room(instance);
            let mark = LifeMark {
                incarnation: incarnation.unwrap_or(now),
                sequence: Sequence(u64::MAX),
                address: None,
                is_draining: true,
                has_left: true,
            };
            self.lives.insert(instance.clone(), mark);
            return false;
        };
        if incarnation.is_some_and(|named| named < mark.incarnation) {
            return false;
        }
        mark.has_left = true;
        true
    }

    /// Forgets the life that began first when there are too many.
    fn make_room(&mut self, newcomer: &InstanceId) {
        if self.lives.len() < MAX_TRACKED_INSTANCES || self.lives.contains_key(newcomer) {
            return;
        }
        let oldest = self
            .lives
            .iter()
            .min_by_key(|(_, mark)| mark.incarnation)
            .map(|(instance, _)| instance.clone());
        if let Some(oldest) = oldest {
            self.lives.remove(&oldest);
        }
        if self.addresses.len() >= MAX_TRACKED_INSTANCES {
            self.addresses.clear();
        }
    }
}
