//! Admission of large request bodies to the link of a target's VM.
//!
//! It is designed for uploads that come close to what the links of the targets'
//! VMs carry. If every body were sent at once, all of them would share the link
//! and arrive late together, the small calls to the same VM would wait behind
//! them, and a body that the gate then refuses would have crossed the link for
//! nothing. So the link is admitted to like the slots of a target: a gate sees
//! the head of a call first, admits a few bodies at a time, and refuses a call
//! whose body can't arrive and run in time before any of it is sent. A body is
//! received whole before it takes a slot, so no slot is held by a transfer.
//!
//! The cost is a round trip before a large body. Small bodies are sent with their
//! head, because they take less time than that round trip. See
//! [docs/decisions/0014](../../docs/decisions/0014-bodies-after-admission.md).

use std::time::{Duration, Instant};

use crate::gate::outcome::RefusalReason;
use crate::gate::slots::SlotRequest;
use crate::ids::LinkRate;

/// Size from which a body is sent only after the gate has admitted it, in bytes.
/// On a link of 16 Mbit/s it takes as long as a round trip between regions.
pub const MIN_ADMITTED_BODY_BYTES: u64 = 16 * 1024;

/// Number of bodies that a gate receives at once. With one at a time, a link would
/// idle for the round trips of a connection between regions.
pub const CONCURRENT_TRANSFERS: u16 = 4;

/// The state of a gate that decides whether a body may be sent to it.
#[derive(Debug, Clone, Copy)]
pub struct TransferPlan {
    /// Bandwidth of the link of the gate's VM.
    pub link: LinkRate,
    /// Size of the body in bytes.
    pub body_bytes: u64,
    /// Number of bodies that are being received.
    pub busy: usize,
    /// Expected wait for a slot of the target.
    pub slot_wait: Duration,
}

impl TransferPlan {
    /// Returns the time that the body takes beside those that are being received.
    pub fn transfer_time(&self) -> Duration {
        let share = self.busy.min(usize::from(CONCURRENT_TRANSFERS) - 1) + 1;
        self.link
            .transfer_time(self.body_bytes as f64 * share as f64)
    }

    /// Turns the request for a slot into the request for the link that precedes
    /// it. What follows the wait for the link are the transfer, the wait for a
    /// slot and the run.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::Crowded`] if the wait for a slot alone is longer
    /// than the call may wait here, and [`RefusalReason::Saturated`] if the call
    /// can't finish in time after that wait.
    pub fn link_request(
        &self,
        slot: &SlotRequest,
        now: Instant,
    ) -> Result<SlotRequest, RefusalReason> {
        if self.slot_wait > slot.max_wait {
            return Err(RefusalReason::Crowded);
        }
        let start = now + self.transfer_time() + self.slot_wait;
        if !self.slot_wait.is_zero() && !slot.can_finish(start) {
            return Err(RefusalReason::Saturated);
        }
        Ok(SlotRequest {
            expected_run_time: self.transfer_time() + self.slot_wait + slot.expected_run_time,
            max_wait: slot.max_wait.saturating_sub(self.slot_wait),
            ..*slot
        })
    }
}
