//! Selection of the next member to probe.
//!
//! Choosing at random could leave a member unprobed for a long time. Going
//! through the members in shuffled rounds bounds the time between two probes of
//! one member (SWIM, section 4.3).

use rand::Rng;
use rand::seq::SliceRandom;

use crate::ids::NodeAddress;
use crate::member::table::MemberTable;

/// A shuffled round of probes over the members of this node's data centre.
#[derive(Debug, Default)]
pub struct ProbeRound {
    remaining: Vec<NodeAddress>,
}

impl ProbeRound {
    /// Returns an empty round. The first call of [`Self::next`] fills it.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next live member to probe, or `None` if there is no other
    /// live member. Starts a new round when the current one is used up.
    pub fn next<R>(&mut self, table: &MemberTable, rng: &mut R) -> Option<NodeAddress>
    where
        R: Rng,
    {
        loop {
            match self.remaining.pop() {
                Some(address) if is_live(table, address) => return Some(address),
                Some(_) => {}
                None => {
                    self.remaining = live_peers(table);
                    self.remaining.shuffle(rng);
                    if self.remaining.is_empty() {
                        return None;
                    }
                }
            }
        }
    }
}

fn is_live(table: &MemberTable, address: NodeAddress) -> bool {
    table
        .get(address)
        .is_some_and(|entry| entry.record.is_live())
}

fn live_peers(table: &MemberTable) -> Vec<NodeAddress> {
    let own = table.own();
    table
        .live_in(&own.data_centre)
        .map(|record| record.address)
        .filter(|address| *address != own.address)
        .collect()
}

/// Returns up to `count` random live members of this node's data centre,
/// without this node.
pub fn random_peers<R>(table: &MemberTable, count: usize, rng: &mut R) -> Vec<NodeAddress>
where
    R: Rng,
{
    let mut peers = live_peers(table);
    peers.shuffle(rng);
    peers.truncate(count);
    peers
}
