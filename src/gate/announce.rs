//! Which of a target's announcements count.
//!
//! Announcements may be late by seconds, and a target that starts again may
//! keep its name and begin to count anew. So a statement is taken only when it
//! is later than what the same life said before, a life only when it began
//! later than the one held, and an address belongs to the life that began last
//! there: the dead send late announcements too. A life that left stays gone.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::ids::{Incarnation, InstanceId, Sequence};

/// Most lives remembered; a VM has one target and replaces it now and then.
pub const LIFE_LIMIT: usize = 256;

/// What orders an announcement among others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStatement {
    /// Name of the target.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Number of the announcement in that life.
    pub sequence: Sequence,
    /// Where it serves.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct LifeMark {
    incarnation: Incarnation,
    sequence: Sequence,
    has_left: bool,
}

/// What the targets on one VM said of themselves.
#[derive(Debug, Default)]
pub struct AnnounceBook {
    lives: HashMap<InstanceId, LifeMark>,
    addresses: HashMap<SocketAddr, Incarnation>,
}

impl AnnounceBook {
    /// Returns an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a statement; returns whether it counts.
    pub fn note(&mut self, statement: TargetStatement) -> bool {
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
                has_left: false,
            },
        );
        true
    }

    /// Notes that a life has ended: the last one that is known, unless the
    /// target names an earlier one. Returns whether that life is known.
    ///
    /// A node that has just started may hear of the end of a life before it hears
    /// of the life: its announcements come late. That life began before now, so
    /// `now`, the wall time in the unit of incarnations, stands for it.
    pub fn leave(
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
        if self.lives.len() < LIFE_LIMIT || self.lives.contains_key(newcomer) {
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
        if self.addresses.len() >= LIFE_LIMIT {
            self.addresses.clear();
        }
    }
}
