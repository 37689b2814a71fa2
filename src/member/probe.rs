//! Whom to probe next.
//!
//! Random choice would leave some member unprobed for long; a shuffled round
//! bounds the time between two probes of one member (SWIM, section 4.3).

use rand::Rng;
use rand::seq::SliceRandom;

use crate::ids::NodeAddress;
use crate::member::table::MemberTable;

/// A shuffled round over the members of the own data centre.
#[derive(Debug, Default)]
pub struct ProbeRound {
    order: Vec<NodeAddress>,
}

impl ProbeRound {
    /// Returns a round that starts anew at the first call of [`Self::next`].
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next member to probe.
    pub fn next<R>(&mut self, table: &MemberTable, rng: &mut R) -> Option<NodeAddress>
    where
        R: Rng,
    {
        loop {
            match self.order.pop() {
                Some(address) if is_probed(table, address) => return Some(address),
                Some(_) => {}
                None => {
                    self.order = candidates(table);
                    self.order.shuffle(rng);
                    if self.order.is_empty() {
                        return None;
                    }
                }
            }
        }
    }
}

fn is_probed(table: &MemberTable, address: NodeAddress) -> bool {
    table
        .get(address)
        .is_some_and(|entry| entry.record.is_live())
}

fn candidates(table: &MemberTable) -> Vec<NodeAddress> {
    let own = table.own();
    table
        .live_in(&own.data_centre)
        .map(|record| record.address)
        .filter(|address| *address != own.address)
        .collect()
}

/// Returns up to `count` random live members of the own data centre.
pub fn random_peers<R>(table: &MemberTable, count: usize, rng: &mut R) -> Vec<NodeAddress>
where
    R: Rng,
{
    let mut peers = candidates(table);
    peers.shuffle(rng);
    peers.truncate(count);
    peers
}
