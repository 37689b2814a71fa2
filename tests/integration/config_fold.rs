//! The configuration fold: changes are atomic, the result is the same on every
//! node, and no record causes a panic.

use proptest::prelude::*;
use serde_json::json;
use wisteriaturn::config::change::{Change, Operation, Precondition};
use wisteriaturn::config::fold::{ConfigState, FoldVerdict};
use wisteriaturn::config::resource::{Resource, ResourceKey, ResourceKind};
use wisteriaturn::config::snapshot::{
    SnapshotAssembler, decode_snapshot, encode_snapshot, split_snapshot,
};
use wisteriaturn::config::tail::RecordTail;
use wisteriaturn::config::validate::validate;
use wisteriaturn::config::view::{ConfigView, ServingView, ViewCell};
use wisteriaturn::error::ViewError;
use wisteriaturn::ids::{ChangeId, ConfigVersion, Revision};
use yare::parameterized;

fn resource(value: serde_json::Value) -> Resource {
    serde_json::from_value(value).expect("a resource")
}

fn service(name: &str) -> Resource {
    resource(json!({ "kind": "service", "name": name, "permit": ["127.0.0.0/8"] }))
}

fn route(name: &str, path: &str, service: &str) -> Resource {
    resource(json!({ "kind": "route", "name": name, "path": path,
        "services": [{ "service": service }] }))
}

fn change(id: u128, operations: Vec<Operation>) -> Change {
    Change {
        id: ChangeId(id),
        author: "test".parse().expect("a name"),
        operations,
    }
}

fn put(resource: Resource) -> Operation {
    Operation::put(resource, Precondition::Any)
}

fn delete(kind: ResourceKind, name: &str) -> Operation {
    Operation::delete(ResourceKey::new(kind, name), Precondition::Any)
}

fn fold(state: &mut ConfigState, change: &Change) -> FoldVerdict {
    state.fold(&change.encode().expect("a record"))
}

/// Returns version 1, which holds one service and one route to it.
fn initial_state() -> ConfigState {
    let mut state = ConfigState::new();
    let operations = vec![
        put(service("portal")),
        put(route("portal", "/portal", "portal")),
    ];
    assert_eq!(
        fold(&mut state, &change(1, operations)),
        FoldVerdict::Accepted
    );
    state
}

#[parameterized(
    missing_service = { vec![put(route("x", "/x", "nowhere"))], "names service/nowhere" },
    service_still_in_use = { vec![delete(ResourceKind::Service, "portal")], "names service/portal" },
    same_match = { vec![put(route("x", "/portal/", "portal"))], "match the same host and path" },
    written_twice = { vec![put(service("a")), put(service("a"))], "written twice" },
    delete_of_missing = { vec![delete(ResourceKind::Route, "x")], "does not exist" },
    empty = { vec![], "no writes" },
    stale_revision = { vec![Operation::put(service("portal"), Precondition::At(Revision(9)))],
        "expected revision 9, held is revision 1" },
    exists_but_expected_absent = { vec![Operation::put(service("portal"), Precondition::Absent)],
        "expected absent" },
    zero_weights = { vec![put(resource(json!({ "kind": "route", "name": "x", "path": "/x",
        "services": [{ "service": "portal", "weight": 0 }] })))], "sum above 0" },
    zero_deadline = { vec![put(resource(json!({ "kind": "route", "name": "x", "path": "/x",
        "services": [{ "service": "portal" }], "deadline_ms": 0 })))], "deadline_ms" },
    zero_slots = { vec![put(resource(json!({ "kind": "service", "name": "x", "permit": [],
        "max_slots": 0 })))], "max_slots" },
    spill_without_hysteresis = { vec![put(resource(json!({ "kind": "policy", "service": "portal",
        "spill_enter": 50, "spill_leave": 50 })))], "spill_leave" },
)]
fn an_invalid_change_is_rejected_as_a_whole(operations: Vec<Operation>, reason: &str) {
    let mut state = initial_state();
    let before = state.resources().clone();
    // A valid write in the same change must not be applied either.
    let mut operations = operations;
    if !operations.is_empty() {
        operations.push(put(service("extra")));
    }
    match fold(&mut state, &change(2, operations)) {
        FoldVerdict::Rejected(rejection) => {
            assert!(rejection.to_string().contains(reason), "{rejection}");
        }
        verdict => panic!("{verdict:?}"),
    }
    assert_eq!(state.resources(), &before);
    assert_eq!(state.version(), ConfigVersion(2));
}

#[test]
fn a_change_that_is_appended_twice_is_applied_once() {
    let mut state = initial_state();
    let repeated = change(7, vec![put(service("a"))]);
    assert_eq!(fold(&mut state, &repeated), FoldVerdict::Accepted);
    let resources = state.resources().clone();
    assert_eq!(
        fold(&mut state, &repeated),
        FoldVerdict::Repeated(ConfigVersion(2))
    );
    assert_eq!(state.resources(), &resources);
}

#[test]
fn the_tail_returns_later_records_or_none_if_it_starts_too_late() {
    let mut tail = RecordTail::starting_at(ConfigVersion(5));
    for number in 0..4_u8 {
        tail.push(bytes::Bytes::from(vec![number]));
    }
    assert_eq!(tail.records_after(ConfigVersion(4), 100), None);
    let all = tail.records_after(ConfigVersion(5), 100).expect("records");
    assert_eq!(all.len(), 4);
    assert_eq!(
        tail.records_after(ConfigVersion(8), 100).expect("records"),
        [vec![3]]
    );
    assert!(
        tail.records_after(ConfigVersion(9), 100)
            .expect("records")
            .is_empty()
    );
}

#[test]
fn routes_match_by_host_first_and_then_by_longest_prefix() {
    let mut state = initial_state();
    let hosted = resource(json!({ "kind": "route", "name": "hosted", "path": "/",
        "host": "portal.example", "services": [{ "service": "portal" }] }));
    let operations = vec![put(route("deep", "/portal/deep", "portal")), put(hosted)];
    assert_eq!(
        fold(&mut state, &change(2, operations)),
        FoldVerdict::Accepted
    );
    let view = ConfigView::try_from(&state).expect("a view");
    let find = |host: &str, path: &str| {
        view.find_route(host, path)
            .map(|route| route.spec.name.to_string())
    };
    assert_eq!(find("x", "/portal/deep/a").as_deref(), Some("deep"));
    assert_eq!(find("x", "/portal/deeper").as_deref(), Some("portal"));
    assert_eq!(find("x", "/portal").as_deref(), Some("portal"));
    assert_eq!(find("x", "/portals"), None);
    assert_eq!(
        find("PORTAL.example:80", "/portal").as_deref(),
        Some("hosted")
    );
}

/// Generates writes that use only a few names, so that they conflict often.
fn operation() -> impl Strategy<Value = Operation> {
    let names = prop::sample::select(vec!["a", "b", "c"]);
    let expect = prop_oneof![
        3 => Just(Precondition::Any),
        1 => Just(Precondition::Absent),
        1 => (0_u64..6).prop_map(|revision| Precondition::At(Revision(revision))),
    ];
    // `Ok` is a resource to write, `Err` the key of a resource to delete.
    let value =
        (names.clone(), names, 0..5_u8).prop_map(|(name, service_name, action)| match action {
            0 => Ok(service(name)),
            1 | 2 => Ok(route(name, &format!("/{service_name}"), service_name)),
            3 => Err(ResourceKey::new(ResourceKind::Service, name)),
            _ => Err(ResourceKey::new(ResourceKind::Route, name)),
        });
    (value, expect).prop_map(|(value, expect)| match value {
        Ok(resource) => Operation::put(resource, expect),
        Err(key) => Operation::delete(key, expect),
    })
}

/// Generates encoded changes and, less often, arbitrary bytes.
fn records() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let batch = (0..40_u128, prop::collection::vec(operation(), 0..4));
    let record = prop_oneof![
        8 => batch.prop_map(|(id, operations)| {
            change(id, operations).encode().expect("a record").to_vec()
        }),
        1 => prop::collection::vec(any::<u8>(), 0..64),
    ];
    prop::collection::vec(record, 0..24)
}

proptest! {
    #[test]
    fn every_version_is_valid_and_all_nodes_agree(
        records in records(),
        restart_index in 0..24_usize,
    ) {
        let mut state = ConfigState::new();
        let mut restarted = None;
        let cell = ViewCell::new();
        for (index, record) in records.iter().enumerate() {
            let before = state.clone();
            let verdict = state.fold(record);
            prop_assert_eq!(state.version().0, before.version().0 + 1);
            if verdict != FoldVerdict::Accepted {
                prop_assert_eq!(state.resources(), before.resources());
            }
            prop_assert!(validate(state.resources()).is_ok());
            let view = ConfigView::try_from(&state).expect("no dangling reference");
            let serving = ServingView::build(view.into(), [], |_, _| unreachable!());
            prop_assert!(cell.advance(serving).is_ok());
            if index == restart_index {
                let bytes = encode_snapshot(&state).expect("a snapshot");
                restarted = Some(decode_snapshot(&bytes).expect("the same snapshot"));
            } else if let Some(restarted) = &mut restarted {
                restarted.fold(record);
            }
        }
        if let Some(restarted) = restarted {
            prop_assert_eq!(restarted, state);
        }
    }

    #[test]
    fn the_version_of_the_current_view_never_decreases(versions in prop::collection::vec(0..8_u64, 1..32)) {
        let cell = ViewCell::new();
        let mut highest = 0;
        for version in versions {
            let config = ConfigView::default().with_version(ConfigVersion(version), [0; 32]);
            let view = ServingView::build(config.into(), [], |_, _| unreachable!());
            match cell.advance(view) {
                Ok(()) => prop_assert!(version >= highest),
                Err(ViewError::Older { .. }) => prop_assert!(version < highest),
                Err(error) => prop_assert!(false, "{error}"),
            }
            highest = highest.max(version);
            prop_assert_eq!(cell.load().config.version.0, highest);
        }
    }

    #[test]
    fn a_snapshot_is_assembled_only_if_it_is_complete(
        size in 1..6_usize,
        dropped_index in prop::option::of(0..3_usize),
        invalid_record in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let mut state = ConfigState::new();
        for number in 0..size {
            // Long paths make the snapshot span several chunks.
            let path = format!("/{}{number}", "x".repeat(400));
            let name = format!("s{number}");
            let mut operations = vec![put(service(&name)), put(route(&name, &path, &name))];
            for extra in 0..60 {
                let path = format!("/{}{number}/{extra}", "y".repeat(400));
                operations.push(put(route(&format!("{name}-{extra}"), &path, &name)));
            }
            assert_eq!(
                fold(&mut state, &change(number as u128, operations)),
                FoldVerdict::Accepted
            );
        }
        let bytes = encode_snapshot(&state).expect("a snapshot");
        let chunks = split_snapshot(state.version(), &bytes);
        let mut assembler = SnapshotAssembler::new();
        assembler.add_record(&invalid_record);
        let mut is_complete = true;
        for (index, chunk) in chunks.iter().enumerate() {
            if dropped_index == Some(index) {
                is_complete = false;
                continue;
            }
            assembler.add_record(&chunk.encode().expect("a record"));
        }
        prop_assert_eq!(assembler.into_newest(), is_complete.then_some(state));
    }
}
