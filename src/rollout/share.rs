//! Bounds what a version on trial gets of a service's calls.
//!
//! It is designed for a bad version that is noticed late: until then it must not get more
//! than a share of the calls of all nodes together. Each node lets the version have that
//! share of its own calls, and counts a call before it is sent. The sum over any nodes,
//! whenever they started and whether or not they reach each other, then keeps the bound as
//! well.

use crate::ids::Permille;
use crate::invariant::{Invariant, check};

/// Counts the calls of one node to one service since its share was last changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShareCounter {
    share: Permille,
    /// Calls that reached a target, and calls that were sent to the version on trial.
    reached: u64,
    tried: u64,
}

impl ShareCounter {
    /// Returns the counter of a node that has sent no call yet.
    pub fn new(share: Permille) -> Self {
        Self {
            share,
            ..Self::default()
        }
    }

    /// Returns the share.
    pub fn share(&self) -> Permille {
        self.share
    }

    /// Changes the share and counts anew, if it differs from the current one.
    ///
    /// Of the calls that have reached a target since the order, up to `head_start` count
    /// for the first share. Without them, a node with few calls would take no part in a short
    /// trial; with all of them, every node would try the version at the same moment.
    pub fn set_share(&mut self, share: Permille, head_start: u64) {
        if self.share == share {
            return;
        }
        let is_first = self.share == Permille(0);
        let reached = if is_first {
            self.reached.min(head_start)
        } else {
            0
        };
        *self = Self {
            reached,
            ..Self::new(share)
        };
    }

    /// Counts a call that reached a target of any version.
    pub fn record_reached(&mut self) {
        self.reached += 1;
    }

    /// Takes one call for the version on trial. Returns `false` if it had its share.
    pub fn try_take(&mut self) -> bool {
        let is_within = (self.tried + 1) * 1_000 <= self.reached * u64::from(self.share.0);
        if is_within {
            self.tried += 1;
        }
        check(
            Invariant::TrialBounded,
            self.tried * 1_000 <= self.reached * u64::from(self.share.0),
        );
        is_within
    }

    /// Returns the calls that were sent to the version on trial.
    pub fn tried(&self) -> u64 {
        self.tried
    }

    /// Returns the calls that reached a target of any version.
    pub fn reached(&self) -> u64 {
        self.reached
    }
}
