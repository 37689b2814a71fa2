//! Rumors: small news that spreads by push and rides along on probes.
//!
//! A rumor is sent on when it told a node something new, and then rides along
//! on a bounded number of probes. The bound grows with the logarithm of the
//! members, as in SWIM; what still misses a node is found by digest.

use std::collections::VecDeque;

use crate::ids::{Fingerprint, NodeAddress};
use crate::member::record::MemberRecord;

/// Most rumors that wait to ride along.
pub const MAX_QUEUED_RUMORS: usize = 512;

record! {
    /// A piece of news.
    pub enum Rumor {
        /// A member's record.
        Member(MemberRecord),
        /// A request was running when its target's process was lost.
        Suspect {
            /// The request.
            fingerprint: Fingerprint,
            /// The node beside the target.
            node: NodeAddress,
            /// Number of the loss at that node, so that a repeat is known.
            loss: u64,
        },
        /// A request that was suspect ran to its end.
        Cleared {
            /// The request.
            fingerprint: Fingerprint,
        },
    }
}

#[derive(Debug)]
struct QueuedRumor {
    rumor: Rumor,
    left: u32,
}

/// Rumors that wait to ride along on probes.
#[derive(Debug, Default)]
pub struct RumorQueue {
    queue: VecDeque<QueuedRumor>,
}

impl RumorQueue {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a rumor; an older one about the same member is dropped.
    pub fn push(&mut self, rumor: Rumor, members: usize) {
        if let Rumor::Member(record) = &rumor {
            self.queue.retain(|queued| match &queued.rumor {
                Rumor::Member(old) => old.address != record.address,
                Rumor::Suspect { .. } | Rumor::Cleared { .. } => true,
            });
        }
        if self.queue.len() >= MAX_QUEUED_RUMORS {
            self.queue.pop_back();
        }
        let left = 3 * (usize::BITS - members.leading_zeros()).max(1);
        self.queue.push_front(QueuedRumor { rumor, left });
    }

    /// Returns rumors for one probe, up to `budget` bytes when encoded.
    pub fn take(&mut self, budget: usize) -> Vec<Rumor> {
        let mut taken = Vec::new();
        let mut used = 0;
        for _ in 0..self.queue.len() {
            let Some(mut queued) = self.queue.pop_front() else {
                break;
            };
            let size = postcard::experimental::serialized_size(&queued.rumor).unwrap_or(budget);
            if used + size > budget {
                self.queue.push_front(queued);
                break;
            }
            used += size;
            taken.push(queued.rumor.clone());
            queued.left -= 1;
            if queued.left > 0 {
                // The least often sent rumor stays in front.
                self.queue.push_back(queued);
            }
        }
        taken
    }
}
