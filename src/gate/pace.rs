//! Paces large answers over the link of a target's VM.
//!
//! It is designed for downloads that come close to what the links of a few VMs carry, or
//! exceed it for some seconds. If all answers were sent as they come, those of six slots
//! would share the link, and everything else that the VM sends would wait behind what they
//! have under way: the answers to small calls, on which runs elsewhere depend, and the
//! messages between nodes. So a large answer is read from the target at once, which frees
//! its slot, and sent when the link has about finished the one before it. What the link
//! will need is known when a call arrives, and one whose answer would come too late is
//! refused before it runs.
//!
//! The trade-off: the answer is held in memory meanwhile, within the bound of all held
//! bodies; beyond it, answers are sent as they come. A fifth of the link is left for what is
//! not paced.

use std::time::{Duration, Instant};

use crate::ids::LinkRate;

/// Size in bytes from which answers are paced.
pub const MIN_PACED_BYTES: u64 = 16 * 1024;

/// Time for which an answer keeps the next one waiting, as a multiple of its time on the
/// link. The rest of the link is for small answers and for what the VM sends besides; with
/// nothing left for these, they would queue for as long as the overload lasts.
const TURN_FACTOR: f64 = 1.25;

/// When the link of a VM is free for another large answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkPacer {
    free_at: Option<Instant>,
}

impl LinkPacer {
    /// Takes the link for an answer of `bytes` that is ready, and returns the time until it
    /// should be sent.
    pub fn take(&mut self, link: LinkRate, bytes: u64, now: Instant) -> Duration {
        let wait = self.wait(now);
        let time = link.transfer_time(bytes as f64).mul_f64(TURN_FACTOR);
        self.free_at = Some(now + wait + time);
        wait
    }

    /// Returns the time until the link is free.
    pub fn wait(&self, now: Instant) -> Duration {
        self.free_at.map_or(Duration::ZERO, |free_at| {
            free_at.saturating_duration_since(now)
        })
    }
}

/// What is expected of the answer to a call.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedAnswer {
    /// Bandwidth of the link.
    pub link: LinkRate,
    /// Size of the answer in bytes.
    pub bytes: f64,
    /// Time until the link is free.
    pub link_wait: Duration,
    /// Time that the call runs.
    pub run_time: Duration,
}

impl ExpectedAnswer {
    /// Returns `true` if the answer would reach its caller by the soft deadline, or is too
    /// small to have to wait for the link.
    pub fn is_in_time(&self, soft_deadline: Duration) -> bool {
        if self.bytes < MIN_PACED_BYTES as f64 || self.link_wait.is_zero() {
            return true;
        }
        // The link becomes free while the call runs.
        let sent_after = self.run_time.max(self.link_wait);
        sent_after + self.link.transfer_time(self.bytes) <= soft_deadline
    }
}
