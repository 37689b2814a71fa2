//! Tests of membership: the order of rumors does not matter, a suspect can
//! refute the suspicion, and a node whose own link is cut does not take the
//! other members for lost.

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
        region: "r1".parse().expect("valid name"),
        data_centre: "r1-a".parse().expect("valid name"),
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
        .prop_map(|(host, incarnation, sequence, state)| record(host, incarnation, sequence, state))
}

proptest! {
    #[test]
    fn the_order_of_rumors_does_not_matter(
        (records, shuffled) in prop::collection::vec(any_record(), 0..40)
            .prop_flat_map(|records| (Just(records.clone()), Just(records).prop_shuffle())),
    ) {
        let now = Instant::now();
        let mut first = table_of(2..=2, now);
        let mut second = table_of(2..=2, now);
        for record in records {
            first.merge(record, now);
        }
        for record in shuffled {
            second.merge(record, now);
        }
        prop_assert_eq!(first.digest(), second.digest());
        let records_of = |table: &MemberTable| -> Vec<MemberRecord> {
            table.iter().map(|entry| entry.record.clone()).collect()
        };
        prop_assert_eq!(records_of(&first), records_of(&second));
    }

    #[test]
    fn a_node_outranks_every_received_record_of_itself(
        incarnation in 0..5_u64,
        sequence in 0..9_u64,
    ) {
        let now = Instant::now();
        let mut table = MemberTable::new(record(1, 3, 4, MemberState::Alive), now);
        let received = record(1, incarnation, sequence, MemberState::Dead);
        table.merge(received.clone(), now);
        let own = table.own();
        prop_assert_eq!(own.state, MemberState::Alive);
        prop_assert!(own.rank() > received.rank());
    }
}

#[test]
fn a_suspect_can_refute_and_a_silent_one_becomes_overdue() {
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
    let data_centre = "r1-a".parse().expect("valid name");
    let timeout = Duration::from_secs(4);
    assert!(
        table
            .overdue_suspects(&data_centre, timeout, now)
            .is_empty()
    );
    let later = now + timeout;
    assert_eq!(
        table.overdue_suspects(&data_centre, timeout, later),
        [address(3)]
    );
}

#[test]
fn a_node_with_many_suspects_is_likely_cut_off() {
    let now = Instant::now();
    let mut table = table_of(2..=9, now);
    let data_centre = "r1-a".parse().expect("valid name");
    for host in 2..=6 {
        table.set_state(address(host), MemberState::Suspect, now);
        assert!(!table.is_likely_cut_off(&data_centre), "{host}");
    }
    table.set_state(address(7), MemberState::Suspect, now);
    assert!(table.is_likely_cut_off(&data_centre));
}

#[test]
fn a_tombstone_keeps_the_held_version_until_it_expires() {
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
    let restarted = record(2, 2, 0, MemberState::Alive);
    assert_eq!(table.merge(restarted, now), MergeOutcome::Applied);
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
fn every_member_is_probed_once_per_round() {
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
fn relays_exclude_a_suspect_and_every_stream_has_a_keeper() {
    let now = Instant::now();
    let mut table = table_of(2..=20, now);
    let data_centre = "r1-a".parse().expect("valid name");
    let chosen_relays = relays(&table, &data_centre);
    assert_eq!(chosen_relays.len(), 2);
    let stream_keeper = keeper(&table, 0, Some(&data_centre)).expect("a keeper");
    let unknown_data_centre = "elsewhere".parse().expect("valid name");
    assert!(keeper(&table, 0, Some(&unknown_data_centre)).is_some());
    let suspected_relay = chosen_relays
        .iter()
        .find(|relay| **relay != address(1))
        .expect("a relay other than this node");
    table.set_state(*suspected_relay, MemberState::Suspect, now);
    assert!(!relays(&table, &data_centre).contains(suspected_relay));
    assert!(table.get(stream_keeper).is_some());
}

#[test]
fn a_rumor_is_piggybacked_a_bounded_number_of_times() {
    let mut queue = RumorQueue::new();
    queue.push(Rumor::Member(alive(2)), 100);
    // A newer record of the same member replaces the older one.
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
    one_lost_probe = { 8, ISOLATION_TIMEOUT / 2, false },
    cut_off = { 8, ISOLATION_TIMEOUT, true },
    smallest_conclusive_mesh = { MIN_OTHER_MEMBERS, ISOLATION_TIMEOUT, true },
    too_small_mesh = { MIN_OTHER_MEMBERS - 1, ISOLATION_TIMEOUT * 10, false },
)]
fn silence_of_enough_members_means_isolation(others: usize, silence: Duration, is_isolated: bool) {
    let start = Instant::now();
    let mut monitor = LinkMonitor::new(start);
    let last_contact = start + Duration::from_secs(5);
    monitor.record_contact(last_contact);
    monitor.record_contact(start);
    assert_eq!(
        monitor.is_isolated(others, last_contact + silence),
        is_isolated
    );
}
