//! Deltas between documents, and the selection of the members that read and
//! relay documents for their data centre.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

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
use wisteriaturn::member::reader::{
    MAX_ANSWER_AGE, MEMBERS_PER_READER, READ_INTERVAL, READER_HEARTBEAT_INTERVAL, ReaderContact,
    members_read_by, reader_of, readers,
};
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
    resources.extend(
        routes
            .iter()
            .map(|(number, deadline_ms)| route(*number, *deadline_ms)),
    );
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
    fn a_delta_turns_only_its_old_document_into_the_new_one(
        before in routes(),
        after in routes(),
        other in routes(),
    ) {
        let (old, new) = (state(3, &before), state(9, &after));
        let delta = delta_between(&old, &new).expect("encodable");
        let changed_count = after
            .iter()
            .filter(|(number, deadline_ms)| before.get(number) != Some(deadline_ms))
            .count();
        prop_assert_eq!(delta.puts.len(), changed_count, "only changed resources are sent");
        let result = apply_delta(&old, &delta).expect("the delta applies");
        prop_assert_eq!(result.chain(), new.chain());
        prop_assert_eq!(result.version(), new.version());
        // The delta is rejected for any other document.
        let other_document = state(3, &other);
        prop_assert_eq!(apply_delta(&other_document, &delta).is_ok(), other == before);
        prop_assert!(apply_delta(&state(4, &before), &delta).is_err());
        let mut altered = delta.clone();
        altered.to_hash[0] ^= 1;
        prop_assert!(apply_delta(&old, &altered).is_err());
    }
}

#[test]
fn the_history_keeps_only_the_newest_documents() {
    let mut history = DocumentHistory::default();
    for version in 1..=10 {
        history.push(state(version, &BTreeMap::new()));
    }
    let newest_dropped = 10 - MAX_HISTORY_DOCUMENTS as u64;
    assert!(history.get(ConfigVersion(newest_dropped)).is_none());
    assert!(history.get(ConfigVersion(newest_dropped + 1)).is_some());
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

fn table(member_count: u16) -> MemberTable {
    let now = Instant::now();
    let mut table = MemberTable::new(member(1, true), now);
    for host in 2..=member_count {
        table.merge(member(host, true), now);
    }
    table
}

#[yare::parameterized(
    single_member = { 1, 1 }, three_members = { 3, 1 }, one_full_reader = { 24, 1 },
    two_readers = { 25, 2 }, large_data_centre = { 158, 7 },
)]
fn every_member_has_one_reader_and_no_reader_has_too_many(
    member_count: u16,
    expected_readers: usize,
) {
    let data_centre: DataCentre = "r1-a".parse().expect("a name");
    let table = table(member_count);
    let readers = readers(&table, &data_centre);
    assert_eq!(readers.len(), expected_readers);
    let mut assigned_count = 0;
    for reader in &readers {
        let assigned = members_read_by(&table, &data_centre, *reader);
        // Rendezvous hashing assigns members unevenly: a reader may have up to
        // half more than `MEMBERS_PER_READER`.
        assert!(
            assigned.len() <= MEMBERS_PER_READER * 3 / 2,
            "{} members",
            assigned.len()
        );
        assigned_count += assigned.len();
    }
    assert_eq!(assigned_count + readers.len(), usize::from(member_count));
}

#[test]
fn a_member_that_is_suspect_or_not_ready_is_not_a_reader() {
    let data_centre: DataCentre = "r1-a".parse().expect("a name");
    let now = Instant::now();
    let mut table = MemberTable::new(member(1, false), now);
    assert_eq!(
        reader_of(&table, &data_centre, address(1)),
        None,
        "no member is ready"
    );
    table.merge(member(2, true), now);
    assert_eq!(
        reader_of(&table, &data_centre, address(1)),
        Some(address(2))
    );
    table.set_state(address(2), MemberState::Suspect, now);
    assert_eq!(reader_of(&table, &data_centre, address(1)), None);
}

#[test]
fn a_hanging_pull_does_not_block_others_after_its_lease() {
    let start = Instant::now();
    let mut lease = PullLease::default();
    let first = lease.try_start(start).expect("no pull is in progress");
    assert_eq!(lease.try_start(start + PULL_LEASE_TTL / 2), None);
    let second = lease
        .try_start(start + PULL_LEASE_TTL)
        .expect("the lease of the first pull has expired");
    // The late end of the first pull must not release the lease of the second.
    lease.finish(first);
    assert_eq!(lease.try_start(start + PULL_LEASE_TTL), None);
    lease.finish(second);
    assert!(lease.try_start(start + PULL_LEASE_TTL).is_some());
}

#[yare::parameterized(
    equal_links = { &[1_000, 1_000, 1_000] },
    two_fast_links = { &[7, 140, 7, 140, 7] },
    unknown_links = { &[0, 0, 0] },
)]
fn readers_and_relays_are_the_members_with_the_fastest_links(link_rates: &[u32]) {
    let now = Instant::now();
    let member_at = |index: usize| MemberRecord {
        link: LinkRate(link_rates[index]),
        ..member(index as u16 + 1, true)
    };
    let mut table = MemberTable::new(member_at(0), now);
    for index in 1..link_rates.len() {
        table.merge(member_at(index), now);
    }
    let data_centre = "r1-a".parse().expect("a name");
    let fastest = link_rates.iter().max().copied().unwrap_or_default();
    let link_rate_of = |node: &NodeAddress| table.get(*node).map(|entry| entry.record.link.0);
    let selected = [readers(&table, &data_centre), relays(&table, &data_centre)].concat();
    assert_eq!(selected.len(), 3, "one reader and two relays");
    for node in &selected {
        assert_eq!(link_rate_of(node), Some(fastest), "{node}");
    }
}

#[test]
fn a_single_fast_link_is_the_first_relay_and_a_slow_one_the_second() {
    let now = Instant::now();
    let member_with_link = |host: u16, link_rate: u32| MemberRecord {
        link: LinkRate(link_rate),
        ..member(host, true)
    };
    let mut table = MemberTable::new(member_with_link(1, 7), now);
    table.merge(member_with_link(2, 140), now);
    table.merge(member_with_link(3, 7), now);
    let relays = relays(&table, &"r1-a".parse().expect("a name"));
    assert_eq!(relays.len(), RELAYS_PER_DATA_CENTRE);
    assert_eq!(relays[0], address(2));
}

/// The source answers the reader `answers` times, once a [`READ_INTERVAL`] and
/// `answer_delay` later than it should, and never again. The reader sends heartbeats with
/// each answer and between them, of which each `lost` one is lost.
#[yare::parameterized(
    prompt = { 1, 0, usize::MAX },
    slow = { 4, 320, usize::MAX },
    lossy = { 4, 0, 3 },
)]
fn a_member_reads_for_itself_in_time_if_its_reader_gets_no_answer(
    answers: u64,
    answer_delay: u64,
    lost: usize,
) {
    // A change must be in force 2 s after it was acknowledged, in the worst case right after
    // the last answer, and the member's own look and read take up to 300 ms.
    let limit = Duration::from_millis(2_000 - 300);
    let start = Instant::now();
    let period = READ_INTERVAL + Duration::from_millis(answer_delay);
    let last_answer = start + period * u32::try_from(answers - 1).expect("a small number");
    let mut contact = ReaderContact::default();
    let (mut answered_at, mut sent_at, mut sent) = (start, None::<Instant>, 0);
    for ms in 0..20_000 {
        let now = start + Duration::from_millis(ms);
        let is_answer = now <= last_answer && now == answered_at + period;
        if is_answer {
            answered_at = now;
        }
        let is_due = sent_at.is_none_or(|sent_at| now >= sent_at + READER_HEARTBEAT_INTERVAL);
        let answer_age = now - answered_at;
        if (is_answer || is_due) && answer_age < MAX_ANSWER_AGE {
            sent_at = Some(now);
            sent += 1;
            if sent % lost != 0 {
                contact.record_heartbeat(answer_age, now);
            }
        }
        let is_relied_on = contact.is_recent(now);
        assert!(
            is_relied_on || now > last_answer,
            "no reason to read at {ms} ms"
        );
        assert!(
            !is_relied_on || now < last_answer + limit,
            "still waits at {ms} ms"
        );
    }
}
