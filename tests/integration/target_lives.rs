//! Which announcements of targets count, and what a document makes of a
//! configuration.

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

fn statement(name: &str, born: u64, sequence: u64, port: u16) -> AnnouncementSummary {
    AnnouncementSummary {
        instance: instance(name),
        incarnation: Incarnation(born),
        sequence: Sequence(sequence),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        is_draining: false,
    }
}

#[yare::parameterized(
    later = { statement("a", 10, 6, 80), true },
    repeated = { statement("a", 10, 5, 80), true },
    late = { statement("a", 10, 4, 80), false },
    born_again_counts_anew = { statement("a", 11, 0, 80), true },
    older_life = { statement("a", 9, 99, 80), false },
    other_target_took_the_address_over = { statement("b", 12, 0, 80), true },
    dead_target_at_the_address = { statement("b", 9, 99, 80), false },
    other_address = { statement("b", 9, 0, 81), true },
)]
fn a_statement_counts_when_nothing_later_was_said(said: AnnouncementSummary, counts: bool) {
    let mut book = AnnouncementTracker::new();
    assert!(book.accept(statement("a", 10, 5, 80)));
    assert_eq!(book.accept(said), counts);
}

#[test]
fn a_life_that_left_stays_gone_and_the_next_one_counts() {
    let mut book = AnnouncementTracker::new();
    let now = Incarnation(100);
    assert!(book.accept(statement("a", 10, 5, 80)));
    assert!(book.record_departure(&instance("a"), Some(Incarnation(10)), now));
    assert!(
        !book.accept(statement("a", 10, 6, 80)),
        "a late announcement"
    );
    assert!(book.accept(statement("a", 11, 0, 80)));
    // The leave of the life before arrives once more.
    assert!(!book.record_departure(&instance("a"), Some(Incarnation(10)), now));
    assert!(book.accept(statement("a", 11, 1, 80)));
}

#[test]
fn a_restarted_node_is_told_who_left() {
    let mut before = AnnouncementTracker::new();
    let draining = AnnouncementSummary {
        is_draining: true,
        ..statement("a", 10, 5, 80)
    };
    assert!(before.accept(draining));
    assert!(before.accept(statement("b", 20, 1, 81)));
    assert!(before.record_departure(&instance("b"), None, Incarnation(100)));
    assert!(before.accept(statement("c", 30, 1, 82)), "c does not leave");

    let mut after = AnnouncementTracker::new();
    assert!(after.restore(&before.departures()));
    assert!(!after.accept(statement("a", 10, 4, 80)), "late words");
    assert!(after.is_departing(&instance("a"), Incarnation(10)));
    assert!(
        !after.accept(statement("b", 20, 2, 81)),
        "the life has ended"
    );
    assert!(
        !after.accept(statement("d", 19, 0, 81)),
        "an earlier life at b's address"
    );
    assert!(after.accept(statement("c", 30, 0, 82)), "c was not told of");
    assert!(!after.restore(&before.departures()), "nothing of it is new");
    assert!(
        after.accept(statement("a", 10, 6, 80)),
        "a returned to work"
    );
    assert!(!after.is_departing(&instance("a"), Incarnation(10)));
    assert!(
        after.accept(statement("b", 21, 0, 81)),
        "b began a new life"
    );
}

#[test]
fn a_member_record_names_the_latest_departures_only() {
    let mut book = AnnouncementTracker::new();
    for born in 1..=9 {
        let name = format!("t-{born}");
        assert!(book.accept(statement(&name, born, 0, 80)));
        assert!(book.record_departure(&instance(&name), None, Incarnation(100)));
    }
    let born: Vec<u64> = book
        .departures()
        .iter()
        .map(|departure| departure.incarnation.0)
        .collect();
    assert_eq!(born.len(), MAX_DEPARTURES);
    assert_eq!(born, [9, 8, 7, 6]);
}

#[test]
fn a_leave_that_comes_before_the_announcements_binds_as_well() {
    // The node was restarted: it hears first that the target leaves, and then
    // what the target said before.
    let mut book = AnnouncementTracker::new();
    let now = Incarnation(100);
    assert!(
        !book.record_departure(&instance("a"), None, now),
        "it is not known"
    );
    assert!(
        !book.accept(statement("a", 10, 5, 80)),
        "a late announcement"
    );
    assert!(
        book.accept(statement("a", 101, 0, 80)),
        "a life that began later"
    );
    assert!(!book.record_departure(&instance("b"), Some(Incarnation(20)), now));
    assert!(
        !book.accept(statement("b", 20, 7, 80)),
        "the life that left"
    );
}

#[test]
fn strangers_cannot_make_the_book_grow() {
    let mut book = AnnouncementTracker::new();
    for number in 0..(MAX_TRACKED_INSTANCES as u64 * 3) {
        let name = format!("t-{number}");
        assert!(book.accept(statement(&name, 100 + number, 0, 80)));
    }
    assert!(
        !book.accept(statement("t-1", 50, 0, 80)),
        "the address is newer"
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
    assert_eq!(state.chain(), again.chain(), "one document, one hash");
    let other = ConfigState::try_from(document(7, vec![service("desk")]));
    assert_ne!(state.chain(), other.expect("a valid document").chain());

    let twice = document(8, vec![service("portal"), service("portal")]);
    let rejected = ConfigState::try_from(twice).expect_err("one name, two services");
    assert!(matches!(rejected, Rejection::WrittenTwice(_)), "{rejected}");
    let policy = PolicySpec::default_for("desk".parse().expect("a name"));
    let dangling = document(8, vec![service("portal"), Resource::Policy(policy)]);
    let rejected = ConfigState::try_from(dangling).expect_err("no such service");
    assert!(
        matches!(rejected, Rejection::NoService { .. }),
        "{rejected}"
    );
}
