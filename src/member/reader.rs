//! Assignment of the members that read the document source on behalf of others.
//!
//! The store bills every read, and links between regions are billed by volume.
//! So one member of a data centre reads for a group of others and tells them
//! what changed. This is a soft role that each node computes from its own
//! member table. A member reads for itself when the source has not answered its reader
//! for a short time, or when the reader says nothing, so the role needs no handover and
//! no change waits for an election.
//!
//! It is designed for a reader whose read is never answered while the store serves all
//! others. Such a reader is alive and goes on sending heartbeats. So each heartbeat says
//! how old the last answer is, and members count from that answer.

use std::time::{Duration, Instant};

use crate::ids::{DataCentre, NodeAddress};
use crate::member::record::MemberState;
use crate::member::role::{choose_members, choose_members_by_link};
use crate::member::table::MemberTable;

/// Maximum average number of members for each reader. A reader sends two heartbeats of
/// about 75 bytes a second to each of them, which is 4 KB/s for a group of this size.
pub const MEMBERS_PER_READER: usize = 24;

/// Maximum time between two answers of the source to a reader that waits for changes.
pub const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time between two heartbeats of a reader, which also sends one with each answer
/// of the source.
pub const READER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the source's last answer from which a member reads for itself. It leaves the
/// source half a second for an answer after [`READ_INTERVAL`], and the member half a
/// second for its own read before a change must be in force, two seconds after it was
/// acknowledged.
pub const MAX_ANSWER_AGE: Duration = Duration::from_millis(1_500);

/// When the source last answered the reader of a member, as far as the member knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReaderContact {
    answered_at: Option<Instant>,
}

impl ReaderContact {
    /// Records a heartbeat, which says that the source's last answer is `answer_age` old.
    pub fn record_heartbeat(&mut self, answer_age: Duration, now: Instant) {
        // Without an earlier instant to name, the answer counts as old as can be said.
        let answered_at = now.checked_sub(answer_age);
        self.answered_at = self.answered_at.max(answered_at);
    }

    /// Returns `true` if the reader can be relied on: the source's last answer is younger
    /// than [`MAX_ANSWER_AGE`].
    pub fn is_recent(&self, now: Instant) -> bool {
        self.answered_at
            .is_some_and(|answered_at| now.saturating_duration_since(answered_at) < MAX_ANSWER_AGE)
    }
}

/// Returns the readers of a data centre.
pub fn readers(table: &MemberTable, data_centre: &DataCentre) -> Vec<NodeAddress> {
    let members: Vec<_> = table
        .live_in(data_centre)
        .filter(|record| record.state == MemberState::Alive && record.is_ready)
        .collect();
    let count = members.len().div_ceil(MEMBERS_PER_READER);
    choose_members_by_link("source", &members, count)
}

/// Returns the reader of `member`, which may be `member` itself, or `None` if
/// no member is ready.
pub fn reader_of(
    table: &MemberTable,
    data_centre: &DataCentre,
    member: NodeAddress,
) -> Option<NodeAddress> {
    let readers = readers(table, data_centre);
    if readers.contains(&member) {
        return Some(member);
    }
    let role = format!("source-of-{member}");
    choose_members(&role, readers, 1).first().copied()
}

/// Returns the members that `reader` reads for, without itself.
pub fn members_read_by(
    table: &MemberTable,
    data_centre: &DataCentre,
    reader: NodeAddress,
) -> Vec<NodeAddress> {
    let members: Vec<NodeAddress> = table
        .live_in(data_centre)
        .map(|record| record.address)
        .collect();
    members
        .into_iter()
        .filter(|member| *member != reader)
        .filter(|member| reader_of(table, data_centre, *member) == Some(reader))
        .collect()
}
