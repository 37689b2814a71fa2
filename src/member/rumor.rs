//! Rumors: small updates that are spread by gossip and piggybacked on probes.
//!
//! A node passes a rumor on if it was new to that node, by piggybacking it on a
//! bounded number of probes. The bound grows with the logarithm of the number
//! of members, as in SWIM. What a node still misses is found by comparing
//! digests.

use std::collections::VecDeque;

use crate::ids::{Fingerprint, NodeAddress};
use crate::member::record::MemberRecord;
use crate::rollout::state::RolloutState;

/// Maximum number of queued rumors.
pub const MAX_QUEUED_RUMORS: usize = 512;

record! {
    /// An update that is spread by gossip.
    pub enum Rumor {
        /// The record of a member.
        Member(MemberRecord),
        /// A request was running when the process of its target was lost, so it
        /// may be what crashed the target.
        Suspect {
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
            /// The node that the target is attached to.
            node: NodeAddress,
            /// Number of the loss at that node, which identifies repeated
            /// rumors about it.
            loss: u64,
        },
        /// A suspected request ran to completion.
        Cleared {
            /// Fingerprint of the request.
            fingerprint: Fingerprint,
        },
        /// How far the roll-out of a service is.
        Rollout(RolloutState),
    }
}

#[derive(Debug)]
struct QueuedRumor {
    rumor: Rumor,
    sends_left: u32,
}

/// Rumors that are waiting to be piggybacked on probes.
#[derive(Debug, Default)]
pub struct RumorQueue {
    queue: VecDeque<QueuedRumor>,
}

impl RumorQueue {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues a rumor, replacing an older one about the same member or roll-out. `members`
    /// is the number of members, which determines how often the rumor is sent.
    pub fn push(&mut self, rumor: Rumor, members: usize) {
        self.queue.retain(|queued| match (&queued.rumor, &rumor) {
            (Rumor::Member(old), Rumor::Member(new)) => old.address != new.address,
            (Rumor::Rollout(old), Rumor::Rollout(new)) => old.order.service != new.order.service,
            _ => true,
        });
        if self.queue.len() >= MAX_QUEUED_RUMORS {
            self.queue.pop_back();
        }
        let sends_left = 3 * (usize::BITS - members.leading_zeros()).max(1);
        self.queue.push_front(QueuedRumor { rumor, sends_left });
    }

    /// Returns rumors for one probe, up to `max_bytes` bytes when encoded.
    pub fn take(&mut self, max_bytes: usize) -> Vec<Rumor> {
        let mut taken = Vec::new();
        let mut encoded_bytes = 0;
        for _ in 0..self.queue.len() {
            let Some(mut queued) = self.queue.pop_front() else {
                break;
            };
            let size = postcard::experimental::serialized_size(&queued.rumor).unwrap_or(max_bytes);
            if encoded_bytes + size > max_bytes {
                self.queue.push_front(queued);
                break;
            }
            encoded_bytes += size;
            taken.push(queued.rumor.clone());
            queued.sends_left -= 1;
            if queued.sends_left > 0 {
                // Rumors with the fewest sends stay in front.
                self.queue.push_back(queued);
            }
        }
        taken
    }
}
