//! Tests of accepting target announcements and of building the configuration
//! from a document.

use std::net::SocketAddr;

use wisteriaturn::config::document::ConfigDocument;
use wisteriaturn::config::fold::ConfigState;
use wisteriaturn::config::resource::{PolicySpec, Resource, ServiceSpec};
use wisteriaturn::config::validate::Rejection;
use wisteriaturn::gate::announce::{
    AnnouncementSummary, AnnouncementTracker, MAX_TRACKED_INSTANCES,
};
use wisteriaturn::ids::{ConfigVersion, Incarnation, InstanceId, Percent, Sequence, SlotCount};
use wisteriaturn::member::record::MAX_DEPARTURES;

fn instance(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn announcement(name: &str, incarnation: u64, sequence: u64, port: u16) -> AnnouncementSummary {
    AnnouncementSummary {
        instance: instance(name),
        incarnation: Incarnation(incarnation),
        sequence: Sequence(sequence),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        is_draining: false,
    }
}

#[yare::parameterized(
    later = { announcement("a", 10, 6, 80), true },
    repeated = { announcement("a", 10, 5, 80), true },
    late = { announcement("a", 10, 4, 80), false },
    restarted_target_restarts_its_numbering = { announcement("a", 11, 0, 80), true },
    older_incarnation = { announcement("a", 9, 99, 80), false },
    newer_target_at_the_address = { announcement("b", 12, 0, 80), true },
    older_target_at_the_address = { announcement("b", 9, 99, 80), false },
    older_target_at_another_address = { announcement("b", 9, 0, 81), true },
)]
fn an_announcement_is_accepted_unless_it_is_outdated(
    announced: AnnouncementSummary,
    is_accepted: bool,
) {
    let mut tracker = AnnouncementTracker::new();
    assert!(tracker.accept(announcement("a", 10, 5, 80)));
    assert_eq!(tracker.accept(announced), is_accepted);
}

#[test]
fn an_incarnation_that_left_is_rejected_and_the_next_one_accepted() {
    let mut tracker = AnnouncementTracker::new();
    let now = Incarnation(100);
    assert!(tracker.accept(announcement("a", 10, 5, 80)));
    assert!(tracker.record_departure(&instance("a"), Some(Incarnation(10)), now));
    assert!(
        !tracker.accept(announcement("a", 10, 6, 80)),
        "a late announcement"
    );
    assert!(tracker.accept(announcement("a", 11, 0, 80)));
    // The departure of the previous incarnation arrives a second time.
    assert!(!tracker.record_departure(&instance("a"), Some(Incarnation(10)), now));
    assert!(tracker.accept(announcement("a", 11, 1, 80)));
}

#[test]
fn an_incarnation_that_answered_that_it_is_leaving_is_not_undone_by_its_announcements() {
    let (a, mut tracker) = (instance("a"), AnnouncementTracker::new());
    assert!(tracker.accept(announcement("a", 10, 5, 80)));
    assert!(tracker.record_leaving(&a, Incarnation(10)));
    assert!(!tracker.record_leaving(&a, Incarnation(10)), "said again");
    assert!(!tracker.accept(announcement("a", 10, 6, 80)));
    assert!(tracker.is_departing(&a, Incarnation(10)));
    let mut restarted = AnnouncementTracker::new();
    assert!(restarted.accept(announcement("a", 10, 6, 80)));
    assert!(restarted.restore(&tracker.departures()));
    assert!(!restarted.accept(announcement("a", 10, 7, 80)));
    for tracker in [&mut tracker, &mut restarted] {
        assert!(tracker.accept(announcement("a", 11, 0, 80)), "the next one");
        assert!(
            !tracker.record_leaving(&a, Incarnation(10)),
            "a late answer"
        );
        assert!(!tracker.is_departing(&a, Incarnation(11)));
    }
}

/// Guards against late announcements that bring back a target of which a restarted node
/// knows nothing.
#[yare::parameterized(
    only_one = { &[(10, 5)], false },
    delivered_twice = { &[(10, 5), (10, 5)], false },
    out_of_order = { &[(10, 5), (10, 4)], false },
    of_an_earlier_incarnation = { &[(10, 5), (9, 6)], false },
    of_a_later_incarnation = { &[(10, 5), (11, 6)], false },
    next_one = { &[(10, 5), (10, 6)], true },
    next_one_after_a_late_one = { &[(10, 5), (10, 4), (10, 6)], true },
    next_one_of_a_restarted_target = { &[(10, 5), (11, 0), (11, 1)], true },
)]
fn an_announcement_is_confirmed_by_an_earlier_one(arrivals: &[(u64, u64)], is_confirmed: bool) {
    let mut tracker = AnnouncementTracker::new();
    let confirmations: Vec<_> = arrivals
        .iter()
        .map(|(incarnation, sequence)| {
            tracker.note_arrival(&announcement("a", *incarnation, *sequence, 80))
        })
        .collect();
    let (last, earlier) = confirmations.split_last().expect("an arrival");
    assert_eq!(*last, is_confirmed);
    assert!(earlier.iter().all(|is_confirmed| !is_confirmed));
}

#[test]
fn an_accepted_announcement_that_is_repeated_stays_confirmed() {
    let mut tracker = AnnouncementTracker::new();
    assert!(!tracker.note_arrival(&announcement("a", 10, 5, 80)));
    assert!(tracker.accept(announcement("a", 10, 5, 80)));
    assert!(tracker.note_arrival(&announcement("a", 10, 5, 80)));
    for number in 0..2 * MAX_TRACKED_INSTANCES as u64 {
        tracker.note_arrival(&announcement(&format!("t-{number}"), number, 0, 80));
    }
    assert!(tracker.note_arrival(&announcement("a", 10, 5, 80)));
}

#[test]
fn departures_are_restored_after_a_node_restart() {
    let mut before = AnnouncementTracker::new();
    let draining = AnnouncementSummary {
        is_draining: true,
        ..announcement("a", 10, 5, 80)
    };
    assert!(before.accept(draining));
    assert!(before.accept(announcement("b", 20, 1, 81)));
    assert!(before.record_departure(&instance("b"), None, Incarnation(100)));
    assert!(
        before.accept(announcement("c", 30, 1, 82)),
        "c is not draining"
    );

    let mut after = AnnouncementTracker::new();
    assert!(after.restore(&before.departures()));
    assert!(
        !after.accept(announcement("a", 10, 4, 80)),
        "a late announcement of a"
    );
    assert!(after.is_departing(&instance("a"), Incarnation(10)));
    assert!(!after.accept(announcement("b", 20, 2, 81)), "b has left");
    assert!(
        !after.accept(announcement("d", 19, 0, 81)),
        "an older incarnation at b's address"
    );
    assert!(
        after.accept(announcement("c", 30, 0, 82)),
        "c has not departed"
    );
    assert!(
        !after.restore(&before.departures()),
        "all departures are known"
    );
    assert!(
        after.accept(announcement("a", 10, 6, 80)),
        "a stopped draining"
    );
    assert!(!after.is_departing(&instance("a"), Incarnation(10)));
    assert!(
        after.accept(announcement("b", 21, 0, 81)),
        "a new incarnation of b"
    );
}

#[test]
fn only_the_latest_departures_are_published() {
    let mut tracker = AnnouncementTracker::new();
    for incarnation in 1..=9 {
        let name = format!("t-{incarnation}");
        assert!(tracker.accept(announcement(&name, incarnation, 0, 80)));
        assert!(tracker.record_departure(&instance(&name), None, Incarnation(100)));
    }
    let incarnations: Vec<u64> = tracker
        .departures()
        .iter()
        .map(|departure| departure.incarnation.0)
        .collect();
    assert_eq!(incarnations.len(), MAX_DEPARTURES);
    assert_eq!(incarnations, [9, 8, 7, 6]);
}

#[test]
fn a_departure_that_precedes_late_announcements_rejects_them() {
    // After a restart, a node first receives the departure of a target and then
    // late announcements that the target sent before.
    let mut tracker = AnnouncementTracker::new();
    let now = Incarnation(100);
    assert!(
        !tracker.record_departure(&instance("a"), None, now),
        "a is unknown"
    );
    assert!(
        !tracker.accept(announcement("a", 10, 5, 80)),
        "a late announcement"
    );
    assert!(
        tracker.accept(announcement("a", 101, 0, 80)),
        "a later incarnation"
    );
    assert!(!tracker.record_departure(&instance("b"), Some(Incarnation(20)), now));
    assert!(
        !tracker.accept(announcement("b", 20, 7, 80)),
        "the incarnation that left"
    );
}

/// Guards against a departure that overtakes all announcements of a restarted target and
/// is recorded for the incarnation before it.
#[test]
fn a_departure_of_a_later_incarnation_rejects_its_late_announcements() {
    let mut tracker = AnnouncementTracker::new();
    let (a, now) = (instance("a"), Incarnation(100));
    assert!(tracker.accept(announcement("a", 10, 5, 80)));
    assert!(tracker.record_departure(&a, Some(Incarnation(11)), now));
    assert!(tracker.is_departing(&a, Incarnation(10)));
    for incarnation in [10, 11] {
        assert!(!tracker.accept(announcement("a", incarnation, 6, 80)));
    }
    let mut restarted = AnnouncementTracker::new();
    assert!(restarted.restore(&tracker.departures()));
    assert!(!restarted.accept(announcement("a", 11, 6, 80)));
    assert!(tracker.accept(announcement("a", 12, 0, 80)), "the next one");
}

#[test]
fn the_tracker_stays_bounded_when_many_instances_announce() {
    let mut tracker = AnnouncementTracker::new();
    for number in 0..(MAX_TRACKED_INSTANCES as u64 * 3) {
        let name = format!("t-{number}");
        assert!(tracker.accept(announcement(&name, 100 + number, 0, 80)));
    }
    assert!(
        !tracker.accept(announcement("t-1", 50, 0, 80)),
        "a later incarnation holds the address"
    );
}

fn service(name: &str) -> Resource {
    Resource::Service(ServiceSpec {
        name: name.parse().expect("a name"),
        permit: vec!["127.0.0.0/8".parse().expect("a range")],
        max_slots: SlotCount(6),
        max_connections: 100,
        retry_percent: Percent(10),
    })
}

fn document(version: u64, resources: Vec<Resource>) -> ConfigDocument {
    ConfigDocument {
        version: ConfigVersion(version),
        resources,
    }
}

#[test]
fn a_document_is_accepted_whole_or_rejected_whole() {
    let good = document(7, vec![service("portal")]);
    let state = ConfigState::try_from(good.clone()).expect("a valid document");
    assert_eq!(state.version(), ConfigVersion(7));
    let again = ConfigState::try_from(good).expect("a valid document");
    assert_eq!(
        state.chain(),
        again.chain(),
        "equal documents have equal hashes"
    );
    let other = ConfigState::try_from(document(7, vec![service("desk")]));
    assert_ne!(state.chain(), other.expect("a valid document").chain());

    let twice = document(8, vec![service("portal"), service("portal")]);
    let rejected = ConfigState::try_from(twice).expect_err("a duplicate service name");
    assert!(matches!(rejected, Rejection::WrittenTwice(_)), "{rejected}");
    let policy = PolicySpec::default_for("desk".parse().expect("a name"));
    let dangling = document(8, vec![service("portal"), Resource::Policy(policy)]);
    let rejected = ConfigState::try_from(dangling).expect_err("no such service");
    assert!(
        matches!(rejected, Rejection::NoService { .. }),
        "{rejected}"
    );
}
