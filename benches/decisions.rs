//! Benchmarks of a node's decisions with 170 services and 1,100 nodes: how long it takes to
//! fold changes, build views, choose targets and merge member tables, and how large messages,
//! snapshots and claim tables are.

use std::ops::Range;
use std::sync::Arc;
use std::time::Instant;

use criterion::{Criterion, criterion_group, criterion_main};
use serde_json::json;
use wisteriaturn::clock::ManualClock;
use wisteriaturn::config::change::{Change, Operation, Precondition};
use wisteriaturn::config::fold::ConfigState;
use wisteriaturn::config::resource::{PolicySpec, Resource};
use wisteriaturn::config::snapshot::{decode_snapshot, encode_snapshot};
use wisteriaturn::config::view::{ConfigView, ServingView};
use wisteriaturn::gate::claim::{
    ClaimBatch, ClaimHolder, ClaimItem, ClaimTable, MAX_KEYS_PER_STREAM,
};
use wisteriaturn::gate::ledger::{CallLedger, CallResult};
use wisteriaturn::ids::{
    BootId, CallId, ChangeId, Incarnation, KeyHash, LinkRate, NodeAddress, Sequence, ServiceName,
    SlotCount,
};
use wisteriaturn::member::record::{MemberRecord, MemberState, TargetRecord, TargetState};
use wisteriaturn::member::role::relays;
use wisteriaturn::member::table::MemberTable;
use wisteriaturn::peer::message::encode;
use wisteriaturn::route::choose::{NodeLocation, choose_target};
use wisteriaturn::route::load::ServiceLoad;

const NODES: u16 = 1_100;
const SERVICES: u16 = 170;
const DATA_CENTRES: u16 = 7;

fn service_name(number: u16) -> ServiceName {
    format!("service-{number}").parse().expect("a name")
}

fn resource(value: serde_json::Value) -> Resource {
    serde_json::from_value(value).expect("a resource")
}

/// Returns the encoded record of a change that puts a service and a route to it.
fn change_record(id: u128, number: u16) -> Vec<u8> {
    let name = service_name(number);
    let service = json!({ "kind": "service", "name": name, "permit": ["127.0.0.0/8"] });
    let route = json!({ "kind": "route", "name": name, "path": format!("/{name}"),
        "services": [{ "service": name }] });
    let change = Change {
        id: ChangeId(id),
        author: "bench".parse().expect("a name"),
        operations: vec![
            Operation::put(resource(service), Precondition::Any),
            Operation::put(resource(route), Precondition::Any),
        ],
    };
    change.encode().expect("a record").to_vec()
}

/// Returns a configuration with [`SERVICES`] services and their routes.
fn config_with_all_services() -> ConfigState {
    let mut state = ConfigState::new();
    for number in 0..SERVICES {
        state.fold(&change_record(number.into(), number));
    }
    state
}

/// Returns the record of a live member with one target.
fn member_record(number: u16) -> MemberRecord {
    let [high, low] = number.to_be_bytes();
    let address = NodeAddress::from(([127, 1, high, low], 7083));
    MemberRecord {
        address,
        incarnation: Incarnation(1_700_000_000_000),
        sequence: Sequence(3),
        state: MemberState::Alive,
        region: format!("region-{}", number % 3).parse().expect("a name"),
        data_centre: format!("place-{}", number % DATA_CENTRES)
            .parse()
            .expect("a name"),
        hop: address,
        link: LinkRate::default(),
        is_ready: true,
        targets: vec![TargetRecord {
            service: service_name(number % SERVICES),
            address,
            slots: SlotCount(6),
            state: TargetState::Serving,
            version: None,
        }],
        departures: Vec::new(),
    }
}

/// Returns a claim table that is full: it has as many live keys as a keeper accepts per
/// stream.
fn full_claim_table() -> ClaimTable {
    let mut claims = ClaimTable::default();
    for first in (0..MAX_KEYS_PER_STREAM as u128).step_by(1_000) {
        let claim = |key| ClaimItem::Claim {
            key: KeyHash(key),
            holder: ClaimHolder {
                call: CallId(key),
                hop: NodeAddress::from(([127, 0, 0, 1], 7082)),
                boot_id: BootId(1),
            },
        };
        let batch = ClaimBatch {
            id: CallId(first),
            wall_ms: 0,
            lifetime_ms: 900_000,
            items: (first..first + 1_000).map(claim).collect(),
        };
        let record = batch.encode().expect("a record");
        if first == 0 {
            println!("a batch of 1000 claims takes {} bytes", record.len());
        }
        claims.apply(&record);
    }
    claims
}

/// Returns a ledger that holds calls which have ended.
fn ledger_with(calls: Range<u128>) -> CallLedger {
    let ledger = CallLedger::new(ManualClock::new());
    run_calls(&ledger, calls);
    ledger
}

fn run_calls(ledger: &CallLedger, calls: Range<u128>) {
    for call in calls {
        let mut guard = ledger.register(CallId(call)).expect("a new call");
        guard.start().expect("a call that nobody revoked");
        guard.finish(CallResult::Lost);
    }
}

/// Returns the resident set size of this process in kB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|text| text.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or_default()
}

fn decisions(criterion: &mut Criterion) {
    let now = Instant::now();
    let state = config_with_all_services();
    let members: Vec<MemberRecord> = (0..NODES).map(member_record).collect();
    let mut table = MemberTable::new(members[0].clone(), now);
    for member in &members {
        table.merge(member.clone(), now);
    }
    let exchange_bytes = encode(&members).expect("a message").len();
    println!("a full exchange of {NODES} members takes {exchange_bytes} bytes");
    let snapshot = encode_snapshot(&state).expect("a snapshot");
    println!(
        "a snapshot of {SERVICES} services takes {} bytes",
        snapshot.len()
    );

    let resident_kb_before = resident_kb();
    let claims = full_claim_table();
    println!(
        "{} live keys take {} kB",
        claims.len(),
        resident_kb() - resident_kb_before
    );
    drop(claims);

    let record = change_record(1 << 64, 7);
    criterion.bench_function("fold a change", |bench| {
        bench.iter_batched(
            || state.clone(),
            |mut state| state.fold(&record),
            criterion::BatchSize::SmallInput,
        );
    });
    criterion.bench_function("build the routes", |bench| {
        bench.iter(|| ConfigView::try_from(&state).expect("a view"));
    });
    let config = Arc::new(ConfigView::try_from(&state).expect("a view"));
    criterion.bench_function("join the members", |bench| {
        bench.iter(|| ServingView::build(Arc::clone(&config), &members, |_, _| now));
    });
    criterion.bench_function("find a route", |bench| {
        bench.iter(|| config.find_route("any", "/service-99/tables").is_some());
    });
    let view = ServingView::build(Arc::clone(&config), &members, |_, _| now);
    let service = service_name(7);
    let (targets, policy) = (view.targets(&service), PolicySpec::default_for(service));
    let location = NodeLocation {
        region: members[0].region.clone(),
        data_centre: members[0].data_centre.clone(),
    };
    let (mut load, mut rng) = (ServiceLoad::default(), rand::rng());
    criterion.bench_function("choose a target", |bench| {
        bench.iter(|| choose_target(&location, &targets, &policy, &mut load, &[], now, &mut rng));
    });
    criterion.bench_function("merge a full exchange", |bench| {
        bench.iter_batched(
            || (MemberTable::new(members[0].clone(), now), members.clone()),
            |(mut table, members)| {
                for member in members {
                    table.merge(member, now);
                }
                table
            },
            criterion::BatchSize::SmallInput,
        );
    });
    criterion.bench_function("choose the relays of a data centre", |bench| {
        bench.iter(|| relays(&table, &members[0].data_centre));
    });
    for count in [1, 1_000, 65_536] {
        criterion.bench_function(&format!("run 100 calls beside {count}"), |bench| {
            bench.iter_batched(
                || ledger_with(0..count),
                |ledger| {
                    run_calls(&ledger, count..count + 100);
                    ledger
                },
                criterion::BatchSize::PerIteration,
            );
        });
    }
    criterion.bench_function("decode a snapshot", |bench| {
        bench.iter(|| decode_snapshot(&snapshot).expect("a state"));
    });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
