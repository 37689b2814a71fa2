//! Assignment of soft roles to members by rendezvous hashing.
//!
//! Every node computes the assignment from its own member table. Two nodes with
//! different tables may assign a role differently. That costs a few bytes or a
//! little time but breaks no guarantee, so no consensus is needed.

use crate::ids::{DataCentre, NodeAddress};
use crate::member::record::{MemberRecord, MemberState};
use crate::member::table::MemberTable;

/// Number of relays in each data centre.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Returns the `count` members with the lowest hash weights for `role`.
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

/// A link counts as fast if its rate is at least the highest rate among the
/// candidates divided by this. VMs of one kind differ little, and kinds differ
/// by a factor of ten.
const FAST_LINK_DIVISOR: u32 = 2;

/// Number of members that return its departures to a restarted one. Each sends a single
/// datagram, which may be lost.
const KEEPERS_PER_DEPARTURE: usize = 4;

/// Returns `count` members by their hash weights for a role that sends a lot,
/// preferring members with fast links. A role that reads or forwards whole
/// configurations would saturate a slow link and delay the calls on it.
pub fn choose_members_by_link(
    role: &str,
    members: &[&MemberRecord],
    count: usize,
) -> Vec<NodeAddress> {
    let highest_rate = members.iter().map(|member| member.link.0).max();
    let has_fast_link = |member: &&MemberRecord| {
        member.link.0 >= highest_rate.unwrap_or_default() / FAST_LINK_DIVISOR
    };
    let (fast, slow): (Vec<_>, Vec<_>) = members.iter().copied().partition(has_fast_link);
    let mut chosen = choose_members(role, fast.iter().map(|member| member.address), count);
    let missing = count - chosen.len();
    let remaining = choose_members(role, slow.iter().map(|member| member.address), missing);
    chosen.extend(remaining);
    chosen
}

/// Returns the relays of a data centre, which read the log and exchange
/// rumors with other data centres on its behalf. A suspect is skipped immediately, well before it is declared dead,
/// because an extra relay is harmless.
pub fn relays(table: &MemberTable, data_centre: &DataCentre) -> Vec<NodeAddress> {
    let members: Vec<_> = table
        .live_in(data_centre)
        .filter(|record| record.state == MemberState::Alive)
        .collect();
    choose_members_by_link("relay", &members, RELAYS_PER_DATA_CENTRE)
}

/// Returns the members that return its departures to a member that was restarted: some of
/// those that were running before it, since the others know nothing of that time.
pub fn departure_keepers(table: &MemberTable, restarted: NodeAddress) -> Vec<NodeAddress> {
    let Some(incarnation) = table.get(restarted).map(|entry| entry.record.incarnation) else {
        return Vec::new();
    };
    let members = table
        .iter()
        .map(|entry| &entry.record)
        .filter(|record| record.state == MemberState::Alive && record.incarnation < incarnation)
        .map(|record| record.address);
    let role = format!("departures-of-{restarted}");
    choose_members(&role, members, KEEPERS_PER_DEPARTURE)
}

/// Returns up to `count` members that hold a departure on behalf of `member`, as many as
/// possible in other data centres, which are seldom lost together with it.
pub fn departure_witnesses(
    table: &MemberTable,
    member: NodeAddress,
    count: usize,
) -> Vec<NodeAddress> {
    let Some(entry) = table.get(member) else {
        return Vec::new();
    };
    let own_data_centre = &entry.record.data_centre;
    let (near, far): (Vec<_>, Vec<_>) = table
        .iter()
        .map(|entry| &entry.record)
        .filter(|record| record.state == MemberState::Alive && record.address != member)
        .partition(|record| record.data_centre == *own_data_centre);
    let role = format!("departures-of-{member}");
    let addresses = |records: Vec<&MemberRecord>| {
        let addresses: Vec<_> = records.iter().map(|record| record.address).collect();
        choose_members(&role, addresses, count)
    };
    let mut witnesses = addresses(far);
    witnesses.extend(addresses(near));
    witnesses.truncate(count);
    witnesses
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
/// that hosts the log, or any live member if `home` is unknown or has none.
pub fn keeper(table: &MemberTable, stream: u32, home: Option<&DataCentre>) -> Option<NodeAddress> {
    let role = format!("keeper-{stream}");
    let in_home = home.map(|home| {
        let members = table.live_in(home).map(|record| record.address);
        choose_members(&role, members, 1)
    });
    if let Some(member) = in_home.and_then(|in_home| in_home.first().copied()) {
        return Some(member);
    }
    let live_members = table
        .iter()
        .filter(|entry| entry.record.is_live())
        .map(|entry| entry.record.address);
    choose_members(&role, live_members, 1).first().copied()
}

fn weight(role: &str, address: NodeAddress) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(role.as_bytes());
    hasher.update(address.to_string().as_bytes());
    let mut prefix = [0; 8];
    hasher.finalize_xof().fill(&mut prefix);
    u64::from_le_bytes(prefix)
}
