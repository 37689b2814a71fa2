//! Who reads the source of documents for whom.
//!
//! The store bills every read, and links between regions are billed by volume.
//! So one member of a data centre reads for a cell of others and tells them
//! what changed. It is a soft role, worked out by each node from its own table:
//! a member that does not hear of its reader for a moment reads for itself, so
//! nothing has to be handed over and no change waits for an election.

use std::time::Duration;

use crate::ids::{DataCentre, NodeAddress};
use crate::member::record::MemberState;
use crate::member::role::{choose_members, choose_members_by_link};
use crate::member::table::MemberTable;

/// Most members that one reader reads for. A reader says that it lives 2.5 times
/// a second with some 70 bytes, which is 4 KB/s for a full cell.
pub const MEMBERS_PER_READER: usize = 24;

/// Time between two signs of life of a reader.
pub const READER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a sign after which a member reads for itself: three signs, since
/// a datagram may be lost, and well within the time in which a change must be in
/// force.
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

/// Returns the member that reads for `member`, if any is ready.
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

/// Returns the members that a reader reads for, without itself.
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
