//! Which members take a soft role, by rendezvous hashing.
//!
//! Every node works the choice out from its own table. Two nodes with
//! different tables may choose differently; that costs some bytes or a little
//! time and breaks no promise, so nothing has to be agreed on.

use crate::ids::{DataCentre, NodeAddress};
use crate::member::record::{MemberRecord, MemberState};
use crate::member::table::MemberTable;

/// Relays in each data centre.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Returns the first `count` of `members` by their weight for `role`.
pub fn choose_members<I>(role: &str, members: I, count: usize) -> Vec<NodeAddress>
where
    I: IntoIterator<Item = NodeAddress>,
{
    let mut weighted: Vec<_> = members
        .into_iter()
        .map(|address| (weight(role, address), address))
        .collect();
    weighted.sort_unstable();
    weighted
        .into_iter()
        .take(count)
        .map(|(_, address)| address)
        .collect()
}

/// Part of the widest link in a data centre that a member's link needs to count
/// as wide: VMs of one kind differ little, and kinds differ by a factor of ten.
const WIDE_PART: u32 = 2;

/// Returns the first `count` of `members` by their weight for a role that sends
/// much, those with wide links first. A role that reads or hands on whole
/// configurations would fill a thin link and hold up the calls on it.
pub fn choose_members_by_link(
    role: &str,
    members: &[&MemberRecord],
    count: usize,
) -> Vec<NodeAddress> {
    let widest = members.iter().map(|member| member.link.0).max();
    let is_wide = |member: &&MemberRecord| member.link.0 >= widest.unwrap_or_default() / WIDE_PART;
    let (wide, thin): (Vec<_>, Vec<_>) = members.iter().copied().partition(is_wide);
    let mut chosen = choose_members(role, wide.iter().map(|member| member.address), count);
    let missing = count - chosen.len();
    let rest = choose_members(role, thin.iter().map(|member| member.address), missing);
    chosen.extend(rest);
    chosen
}

/// Returns the relays of a data centre. A suspect is passed over at once, well
/// before it is declared dead, since an extra relay does no harm.
pub fn relays(table: &MemberTable, data_centre: &DataCentre) -> Vec<NodeAddress> {
    let members: Vec<_> = table
        .live_in(data_centre)
        .filter(|record| record.state == MemberState::Alive)
        .collect();
    choose_members_by_link("relay", &members, RELAYS_PER_DATA_CENTRE)
}

/// Returns the one member of the whole mesh that writes snapshots.
pub fn snapshot_writer(table: &MemberTable) -> Option<NodeAddress> {
    let members = table
        .iter()
        .filter(|entry| entry.record.state == MemberState::Alive && entry.record.is_ready)
        .map(|entry| entry.record.address);
    choose_members("snapshot", members, 1).first().copied()
}

/// Returns the keeper of a claim stream: a member of `home`, the data centre
/// in which the log stands, or any member when `home` has none.
pub fn keeper(table: &MemberTable, stream: u32, home: Option<&DataCentre>) -> Option<NodeAddress> {
    let role = format!("keeper-{stream}");
    let near = home.map(|home| {
        let members = table.live_in(home).map(|record| record.address);
        choose_members(&role, members, 1)
    });
    if let Some(found) = near.and_then(|near| near.first().copied()) {
        return Some(found);
    }
    let all = table
        .iter()
        .filter(|entry| entry.record.is_live())
        .map(|entry| entry.record.address);
    choose_members(&role, all, 1).first().copied()
}

fn weight(role: &str, address: NodeAddress) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(role.as_bytes());
    hasher.update(address.to_string().as_bytes());
    let mut head = [0; 8];
    hasher.finalize_xof().fill(&mut head);
    u64::from_le_bytes(head)
}
