//! Documents: what changed between two, and who reads them for whom.

use std::collections::BTreeMap;
use std::time::Instant;

use proptest::prelude::*;
use wisteriaturn::config::delta::{
    DocumentHistory, MAX_HISTORY_DOCUMENTS, apply_delta, delta_between,
};
use wisteriaturn::config::document::ConfigDocument;
use wisteriaturn::config::fold::ConfigState;
use wisteriaturn::config::resource::{Resource, RouteSpec, ServiceSpec};
use wisteriaturn::ids::{
    ConfigVersion, DataCentre, Incarnation, LinkRate, NodeAddress, Percent, Sequence, SlotCount,
};
use wisteriaturn::member::pull::{PULL_LEASE_TTL, PullLease};
use wisteriaturn::member::reader::{MEMBERS_PER_READER, members_read_by, reader_of, readers};
use wisteriaturn::member::record::{MemberRecord, MemberState};
use wisteriaturn::member::role::{RELAYS_PER_DATA_CENTRE, relays};
use wisteriaturn::member::table::MemberTable;

fn service(name: &str) -> Resource {
    Resource::Service(ServiceSpec {
        name: name.parse().expect("a name"),
        permit: Vec::new(),
        max_slots: SlotCount(6),
        max_connections: 100,
        retry_percent: Percent(10),
    })
}

fn route(number: u8, deadline_ms: u64) -> Resource {
    let text = format!(
        r#"{{"name": "r{number}", "path": "/r{number}/", "deadline_ms": {deadline_ms},
            "services": [{{"service": "portal"}}]}}"#
    );
    let route: RouteSpec = serde_json::from_str(&text).expect("a route");
    Resource::Route(route)
}

fn state(version: u64, routes: &BTreeMap<u8, u64>) -> ConfigState {
    let mut resources = vec![service("portal")];
    resources.extend(routes.iter().map(|(number, time)| route(*number, *time)));
    let document = ConfigDocument {
        version: ConfigVersion(version),
        resources,
    };
    ConfigState::try_from(document).expect("a valid document")
}

fn routes() -> impl Strategy<Value = BTreeMap<u8, u64>> {
    prop::collection::btree_map(0..12_u8, 1..5_u64, 0..12)
}

proptest! {
    #[test]
    fn a_difference_leads_to_the_document_that_it_was_made_of(
        before in routes(),
        after in routes(),
        other in routes(),
    ) {
        let (old, new) = (state(3, &before), state(9, &after));
        let delta = delta_between(&old, &new).expect("encodable");
        let changed = after.iter().filter(|(key, time)| before.get(key) != Some(time)).count();
        prop_assert_eq!(delta.puts.len(), changed, "only what changed travels");
        let led = apply_delta(&old, &delta).expect("it leads there");
        prop_assert_eq!(led.chain(), new.chain());
        prop_assert_eq!(led.version(), new.version());
        // On any other document it is refused whole.
        let wrong = state(3, &other);
        prop_assert_eq!(apply_delta(&wrong, &delta).is_ok(), other == before);
        prop_assert!(apply_delta(&state(4, &before), &delta).is_err());
        let mut forged = delta.clone();
        forged.to_hash[0] ^= 1;
        prop_assert!(apply_delta(&old, &forged).is_err());
    }
}

#[test]
fn the_last_documents_are_remembered() {
    let mut history = DocumentHistory::default();
    for version in 1..=10 {
        history.push(state(version, &BTreeMap::new()));
    }
    let oldest = 10 - MAX_HISTORY_DOCUMENTS as u64;
    assert!(history.get(ConfigVersion(oldest)).is_none());
    assert!(history.get(ConfigVersion(oldest + 1)).is_some());
}

fn address(host: u16) -> NodeAddress {
    NodeAddress::from(([127, 0, (host >> 8) as u8, host as u8], 7083))
}

fn member(host: u16, is_ready: bool) -> MemberRecord {
    MemberRecord {
        address: address(host),
        incarnation: Incarnation(1),
        sequence: Sequence(0),
        state: MemberState::Alive,
        region: "r1".parse().expect("a name"),
        data_centre: "r1-a".parse().expect("a name"),
        hop: address(host),
        link: LinkRate::default(),
        is_ready,
        targets: Vec::new(),
        departures: Vec::new(),
    }
}

fn table(members: u16) -> MemberTable {
    let now = Instant::now();
    let mut table = MemberTable::new(member(1, true), now);
    for host in 2..=members {
        table.merge(member(host, true), now);
    }
    table
}

#[yare::parameterized(
    alone = { 1, 1 }, three = { 3, 1 }, full_cell = { 24, 1 }, two_cells = { 25, 2 },
    data_centre_of_the_letter = { 158, 7 },
)]
fn every_member_has_one_reader_and_no_reader_has_too_many(members: u16, expected: usize) {
    let place: DataCentre = "r1-a".parse().expect("a name");
    let table = table(members);
    let readers = readers(&table, &place);
    assert_eq!(readers.len(), expected);
    let mut read_for = 0;
    for reader in &readers {
        let cell = members_read_by(&table, &place, *reader);
        // Rendezvous spreads members unevenly, within half again of a cell.
        assert!(
            cell.len() <= MEMBERS_PER_READER * 3 / 2,
            "{} members",
            cell.len()
        );
        read_for += cell.len();
    }
    assert_eq!(read_for + readers.len(), usize::from(members));
}

#[test]
fn a_member_that_is_suspect_or_not_ready_reads_for_nobody() {
    let place: DataCentre = "r1-a".parse().expect("a name");
    let now = Instant::now();
    let mut table = MemberTable::new(member(1, false), now);
    assert_eq!(
        reader_of(&table, &place, address(1)),
        None,
        "nobody is ready"
    );
    table.merge(member(2, true), now);
    assert_eq!(reader_of(&table, &place, address(1)), Some(address(2)));
    table.set_state(address(2), MemberState::Suspect, now);
    assert_eq!(reader_of(&table, &place, address(1)), None);
}

#[test]
fn a_pull_that_hangs_keeps_no_other_from_starting() {
    let start = Instant::now();
    let mut mark = PullLease::default();
    let first = mark.try_start(start).expect("nothing is under way");
    assert_eq!(mark.try_start(start + PULL_LEASE_TTL / 2), None);
    let second = mark
        .try_start(start + PULL_LEASE_TTL)
        .expect("the first one hangs");
    // The first ends late, which says nothing about the second.
    mark.finish(first);
    assert_eq!(mark.try_start(start + PULL_LEASE_TTL), None);
    mark.finish(second);
    assert!(mark.try_start(start + PULL_LEASE_TTL).is_some());
}

#[yare::parameterized(
    one_kind_of_vm = { &[1_000, 1_000, 1_000] },
    two_wide_links = { &[7, 140, 7, 140, 7] },
    nobody_says = { &[0, 0, 0] },
)]
fn who_reads_and_relays_has_a_wide_link(links: &[u32]) {
    let now = Instant::now();
    let linked = |host: usize| MemberRecord {
        link: LinkRate(links[host]),
        ..member(host as u16 + 1, true)
    };
    let mut table = MemberTable::new(linked(0), now);
    for host in 1..links.len() {
        table.merge(linked(host), now);
    }
    let place = "r1-a".parse().expect("a name");
    let widest = links.iter().max().copied().unwrap_or_default();
    let link_of = |node: &NodeAddress| table.get(*node).map(|entry| entry.record.link.0);
    let chosen = [readers(&table, &place), relays(&table, &place)].concat();
    assert_eq!(chosen.len(), 3, "one reader and two relays");
    for node in &chosen {
        assert_eq!(link_of(node), Some(widest), "{node}");
    }
}

#[test]
fn a_role_for_two_goes_to_the_one_wide_link_and_a_thin_one() {
    let now = Instant::now();
    let linked = |host: u16, link: u32| MemberRecord {
        link: LinkRate(link),
        ..member(host, true)
    };
    let mut table = MemberTable::new(linked(1, 7), now);
    table.merge(linked(2, 140), now);
    table.merge(linked(3, 7), now);
    let chosen = relays(&table, &"r1-a".parse().expect("a name"));
    assert_eq!(chosen.len(), RELAYS_PER_DATA_CENTRE);
    assert_eq!(chosen[0], address(2));
}
