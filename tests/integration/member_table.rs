//! Members: the order of rumors does not matter, a suspect can refute, and a
//! cut link is not taken for a hundred dead nodes.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use wisteriaturn::ids::{ConfigVersion, Incarnation, LinkRate, NodeAddress, Sequence};
use wisteriaturn::member::isolation::{ISOLATION_TIMEOUT, LinkMonitor, MIN_OTHER_MEMBERS};
use wisteriaturn::member::probe::ProbeRound;
use wisteriaturn::member::record::{MemberRecord, MemberState};
use wisteriaturn::member::role::{keeper, relays};
use wisteriaturn::member::rumor::{Rumor, RumorQueue};
use wisteriaturn::member::table::{MemberTable, MergeOutcome};

fn address(host: u8) -> NodeAddress {
    NodeAddress::from(([127, 0, 0, host], 7083))
}

fn record(host: u8, incarnation: u64, sequence: u64, state: MemberState) -> MemberRecord {
    MemberRecord {
        address: address(host),
        incarnation: Incarnation(incarnation),
        sequence: Sequence(sequence),
        state,
        region: "r1".parse().expect("a name"),
        data_centre: "r1-a".parse().expect("a name"),
        hop: address(host),
        link: LinkRate::default(),
        is_ready: true,
        targets: Vec::new(),
        departures: Vec::new(),
    }
}

fn alive(host: u8) -> MemberRecord {
    record(host, 1, 1, MemberState::Alive)
}

fn table_of(hosts: std::ops::RangeInclusive<u8>, now: Instant) -> MemberTable {
    let mut table = MemberTable::new(alive(1), now);
    for host in hosts {
        table.merge(alive(host), now);
    }
    table
}

fn any_record() -> impl Strategy<Value = MemberRecord> {
    let state = prop::sample::select(vec![
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ]);
    (2..6_u8, 1..4_u64, 0..4_u64, state)
        .prop_map(|(host, life, sequence, state)| record(host, life, sequence, state))
}

proptest! {
    #[test]
    fn the_order_of_rumors_does_not_matter(
        (records, shuffled) in prop::collection::vec(any_record(), 0..40)
            .prop_flat_map(|records| (Just(records.clone()), Just(records).prop_shuffle())),
    ) {
        let now = Instant::now();
        let mut one = table_of(2..=2, now);
        let mut other = table_of(2..=2, now);
        for record in records {
            one.merge(record, now);
        }
        for record in shuffled {
            other.merge(record, now);
        }
        prop_assert_eq!(one.digest(), other.digest());
        let all = |table: &MemberTable| -> Vec<MemberRecord> {
            table.iter().map(|entry| entry.record.clone()).collect()
        };
        prop_assert_eq!(all(&one), all(&other));
    }

    #[test]
    fn a_node_always_outranks_what_is_said_of_it(
        life in 0..5_u64,
        sequence in 0..9_u64,
    ) {
        let now = Instant::now();
        let mut table = MemberTable::new(record(1, 3, 4, MemberState::Alive), now);
        let said = record(1, life, sequence, MemberState::Dead);
        table.merge(said.clone(), now);
        let own = table.own();
        prop_assert_eq!(own.state, MemberState::Alive);
        prop_assert!(own.rank() > said.rank());
    }
}

#[test]
fn a_suspect_refutes_and_a_silent_one_dies() {
    let now = Instant::now();
    let mut table = table_of(2..=9, now);
    let suspect = table.set_state(address(2), MemberState::Suspect, now);
    let mut suspected = MemberTable::new(alive(2), now);
    let outcome = suspected.merge(suspect.expect("a record"), now);
    assert_eq!(outcome, MergeOutcome::Refuted);
    assert_eq!(
        table.merge(suspected.own().clone(), now),
        MergeOutcome::Applied
    );
    assert_eq!(
        table.get(address(2)).expect("a member").record.state,
        MemberState::Alive
    );

    table.set_state(address(3), MemberState::Suspect, now);
    let place = "r1-a".parse().expect("a name");
    let timeout = Duration::from_secs(4);
    assert!(table.overdue_suspects(&place, timeout, now).is_empty());
    let later = now + timeout;
    assert_eq!(table.overdue_suspects(&place, timeout, later), [address(3)]);
}

#[test]
fn many_suspects_look_like_a_cut_link() {
    let now = Instant::now();
    let mut table = table_of(2..=9, now);
    let place = "r1-a".parse().expect("a name");
    for host in 2..=6 {
        table.set_state(address(host), MemberState::Suspect, now);
        assert!(!table.is_likely_cut_off(&place), "{host}");
    }
    table.set_state(address(7), MemberState::Suspect, now);
    assert!(table.is_likely_cut_off(&place));
}

#[test]
fn a_dead_member_is_remembered_for_a_time_and_its_version_for_longer() {
    let now = Instant::now();
    let mut table = table_of(2..=4, now);
    let before = table_of(3..=4, now).digest();
    table.record_held_version(address(2), ConfigVersion(7));
    table.record_held_version(address(2), ConfigVersion(5));
    table.set_state(address(2), MemberState::Dead, now);
    assert_eq!(
        table.get(address(2)).expect("a tombstone").held_version,
        ConfigVersion(7)
    );
    assert_eq!(table.merge(alive(2), now), MergeOutcome::Unchanged);
    let back = record(2, 2, 0, MemberState::Alive);
    assert_eq!(table.merge(back, now), MergeOutcome::Applied);
    assert_eq!(
        table.get(address(2)).expect("a member").held_version,
        ConfigVersion(7)
    );
    table.set_state(address(2), MemberState::Dead, now);
    table.remove_expired_tombstones(now + Duration::from_secs(601));
    assert!(table.get(address(2)).is_none());
    assert_eq!(table.digest(), before);
}

#[test]
fn every_member_is_probed_once_a_round() {
    let table = table_of(2..=20, Instant::now());
    let mut round = ProbeRound::new();
    let mut rng = rand::rng();
    let mut seen: Vec<_> = (0..19)
        .filter_map(|_| round.next(&table, &mut rng))
        .collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 19);
}

#[test]
fn roles_move_from_a_suspect_and_need_no_agreement() {
    let now = Instant::now();
    let mut table = table_of(2..=20, now);
    let place = "r1-a".parse().expect("a name");
    let chosen = relays(&table, &place);
    assert_eq!(chosen.len(), 2);
    let stream_keeper = keeper(&table, 0, Some(&place)).expect("a keeper");
    let far = "elsewhere".parse().expect("a name");
    assert!(keeper(&table, 0, Some(&far)).is_some());
    let lost = chosen
        .iter()
        .find(|relay| **relay != address(1))
        .expect("another");
    table.set_state(*lost, MemberState::Suspect, now);
    assert!(!relays(&table, &place).contains(lost));
    assert!(table.get(stream_keeper).is_some());
}

#[test]
fn rumors_ride_along_a_bounded_number_of_times() {
    let mut queue = RumorQueue::new();
    queue.push(Rumor::Member(alive(2)), 100);
    // A newer record of the same member takes the place of the older one.
    let newer = record(2, 1, 2, MemberState::Alive);
    queue.push(Rumor::Member(newer.clone()), 100);
    let mut sent = 0;
    while !queue.take(700).is_empty() {
        sent += 1;
        assert!(sent < 100);
    }
    assert_eq!(sent, 21);
    queue.push(Rumor::Member(newer.clone()), 100);
    assert_eq!(queue.take(700), [Rumor::Member(newer)]);
    assert!(queue.take(1).is_empty());
}

#[yare::parameterized(
    just_heard = { 8, Duration::ZERO, false },
    a_lost_probe = { 8, ISOLATION_TIMEOUT / 2, false },
    cut_off = { 8, ISOLATION_TIMEOUT, true },
    the_least_that_says_something = { MIN_OTHER_MEMBERS, ISOLATION_TIMEOUT, true },
    a_mesh_of_three = { MIN_OTHER_MEMBERS - 1, ISOLATION_TIMEOUT * 10, false },
)]
fn silence_of_many_is_the_own_link(others: usize, silence: Duration, is_isolated: bool) {
    let start = Instant::now();
    let mut standing = LinkMonitor::new(start);
    let heard = start + Duration::from_secs(5);
    standing.record_contact(heard);
    standing.record_contact(start);
    assert_eq!(standing.is_isolated(others, heard + silence), is_isolated);
}
