//! Assignment of the members that read the document source on behalf of others.
//!
//! The store bills every read, and links between regions are billed by volume.
//! So one member of a data centre reads for a group of others and tells them
//! what changed. This is a soft role that each node computes from its own
//! member table. A member that has not heard from its reader for a short time
//! reads for itself, so the role needs no handover and no change waits for an
//! election.

use std::time::Duration;

use crate::ids::{DataCentre, NodeAddress};
use crate::member::record::MemberState;
use crate::member::role::{choose_members, choose_members_by_link};
use crate::member::table::MemberTable;

/// Maximum average number of members for each reader. A reader sends 2.5
/// heartbeats of about 70 bytes a second to each of them, which is 4 KB/s for a
/// group of this size.
pub const MEMBERS_PER_READER: usize = 24;

/// Interval between two heartbeats of a reader.
pub const READER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a heartbeat after which a member reads for itself. It is three
/// heartbeat intervals, because a datagram may be lost, and well within the
/// time in which a change must be in force.
pub const READER_TIMEOUT: Duration = Duration::from_millis(1_200);

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
