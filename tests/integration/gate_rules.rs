//! Tests of the gate: slots, call ledger, claims and quarantine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use wisteriaturn::clock::{Clock, ManualClock, SharedClock};
use wisteriaturn::config::resource::CallClass;
use wisteriaturn::gate::claim::{ClaimBatch, ClaimHolder, ClaimItem, ClaimOutcome, ClaimTable};
use wisteriaturn::gate::ledger::{CallGuard, CallLedger, CallResult, CallStatus, StoredAnswer};
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::gate::quarantine::{QUARANTINE_DURATION, QuarantineStatus, SuspectTable};
use wisteriaturn::gate::slots::{SlotGate, SlotPermit};
use wisteriaturn::ids::{BootId, CallId, Fingerprint, KeyHash, NodeAddress};
use wisteriaturn::invariant::{INVARIANTS, violations};

fn address(host: u8) -> NodeAddress {
    SocketAddr::from(([127, 0, 0, host], 7083))
}

fn gate(slots: u16) -> (SlotGate, Arc<ManualClock>) {
    let clock = ManualClock::new();
    let shared: SharedClock = Arc::clone(&clock) as SharedClock;
    (SlotGate::new(slots, shared), clock)
}

async fn acquire_slot(gate: &SlotGate, class: CallClass, deadline: Instant) -> SlotPermit {
    gate.acquire(class, deadline).await.expect("a free slot")
}

#[tokio::test]
async fn calls_wait_by_class_and_then_by_deadline() {
    let (gate, clock) = gate(1);
    let deadline_in = |ms| clock.now() + Duration::from_millis(ms);
    let held = acquire_slot(&gate, CallClass::Interactive, deadline_in(1000)).await;
    let mut waiting = Vec::new();
    let (sender, mut order) = tokio::sync::mpsc::unbounded_channel();
    for (name, class, ms) in [
        ("bulk", CallClass::Bulk, 100),
        ("late", CallClass::Interactive, 900),
        ("soon", CallClass::Interactive, 500),
    ] {
        let (shared_gate, sender, deadline) = (gate.clone(), sender.clone(), deadline_in(ms));
        waiting.push(tokio::spawn(async move {
            let permit = shared_gate.acquire(class, deadline).await;
            sender.send((name, permit)).expect("a receiver");
        }));
        while gate.load().waiting < waiting.len() {
            tokio::task::yield_now().await;
        }
    }
    drop(held);
    for expected in ["soon", "late", "bulk"] {
        let (name, permit) = order.recv().await.expect("a call");
        assert_eq!(name, expected);
        assert!(permit.is_ok());
    }
}

#[tokio::test]
async fn a_call_that_cannot_end_in_time_is_refused_at_once() {
    let (gate, clock) = gate(1);
    let deadline_in = |ms| clock.now() + Duration::from_millis(ms);
    let first = acquire_slot(&gate, CallClass::Interactive, deadline_in(1000)).await;
    clock.advance(Duration::from_millis(100));
    drop(first);
    let _held = acquire_slot(&gate, CallClass::Interactive, deadline_in(1000)).await;
    let refused = gate.acquire(CallClass::Interactive, deadline_in(50)).await;
    assert_eq!(refused.err(), Some(RefusalReason::Saturated));
    let late = gate.acquire(CallClass::Interactive, clock.now()).await;
    assert_eq!(late.err(), Some(RefusalReason::Deadline));
}

#[tokio::test]
async fn a_full_queue_sheds_its_last_call_and_a_drain_sheds_all() {
    let (gate, clock) = gate(1);
    let deadline_in = |ms| clock.now() + Duration::from_millis(ms);
    let _held = acquire_slot(&gate, CallClass::Interactive, deadline_in(1000)).await;
    let mut bulk = Vec::new();
    for count in 1..=4 {
        let (shared_gate, deadline) = (gate.clone(), deadline_in(500));
        bulk.push(tokio::spawn(async move {
            shared_gate.acquire(CallClass::Bulk, deadline).await.err()
        }));
        while gate.load().waiting < count {
            tokio::task::yield_now().await;
        }
    }
    let extra = gate.acquire(CallClass::Bulk, deadline_in(600)).await;
    assert_eq!(extra.err(), Some(RefusalReason::Saturated));
    let urgent = {
        let (gate, deadline) = (gate.clone(), deadline_in(900));
        tokio::spawn(async move { gate.acquire(CallClass::Interactive, deadline).await.err() })
    };
    let shed = bulk.pop().expect("a call").await.expect("no panic");
    assert_eq!(shed, Some(RefusalReason::Saturated));
    gate.drain();
    for call in bulk {
        assert_eq!(call.await.expect("no panic"), Some(RefusalReason::Draining));
    }
    assert_eq!(
        urgent.await.expect("no panic"),
        Some(RefusalReason::Draining)
    );
    // Without the timeout, a gate that queues the call after a drain would make
    // the test hang.
    let after = gate.acquire(CallClass::Interactive, deadline_in(900));
    let after = tokio::time::timeout(Duration::from_secs(30), after).await;
    assert_eq!(
        after.expect("an answer").err(),
        Some(RefusalReason::Draining)
    );
}

#[derive(Debug, Clone)]
enum LedgerStep {
    Enter(u8),
    Start(u8),
    End(u8),
    Drop(u8),
    Revoke(u8),
    Wait(u16),
}

fn ledger_steps() -> impl Strategy<Value = Vec<LedgerStep>> {
    let call = 0..4_u8;
    let step = prop_oneof![
        call.clone().prop_map(LedgerStep::Enter),
        call.clone().prop_map(LedgerStep::Start),
        call.clone().prop_map(LedgerStep::End),
        call.clone().prop_map(LedgerStep::Drop),
        call.prop_map(LedgerStep::Revoke),
        (0..90_u16).prop_map(LedgerStep::Wait),
    ];
    prop::collection::vec(step, 0..60)
}

proptest! {
    #[test]
    fn a_call_reported_as_not_run_never_starts(steps in ledger_steps()) {
        let clock = ManualClock::new();
        let ledger = CallLedger::new(Arc::clone(&clock) as SharedClock);
        let mut guards: Vec<Option<CallGuard>> = (0..4).map(|_| None).collect();
        let mut started = [0_u32; 4];
        let mut reported_not_run = [false; 4];
        for step in steps {
            match step {
                LedgerStep::Enter(call) => {
                    if let Ok(guard) = ledger.register(CallId(call.into())) {
                        // A call can be registered again only after its entry expired.
                        guards[usize::from(call)] = Some(guard);
                    }
                }
                LedgerStep::Start(call) => {
                    let index = usize::from(call);
                    if started[index] == 0
                        && let Some(guard) = &mut guards[index]
                        && guard.start().is_ok()
                    {
                        prop_assert!(!reported_not_run[index]);
                        started[index] += 1;
                    }
                }
                LedgerStep::End(call) => {
                    let index = usize::from(call);
                    if let Some(guard) = guards[index].take() {
                        let result = if started[index] > 0 {
                            CallResult::Answered(StoredAnswer {
                                status: 200,
                                headers: Vec::new(),
                                body: bytes::Bytes::new(),
                            })
                        } else {
                            CallResult::Refused(RefusalReason::Saturated)
                        };
                        guard.finish(result);
                    }
                }
                LedgerStep::Drop(call) => guards[usize::from(call)] = None,
                LedgerStep::Revoke(call) => {
                    let index = usize::from(call);
                    if let CallStatus::NotRun(_) = ledger.revoke(CallId(call.into())) {
                        // The result of a call that ran is stored for as long
                        // as a node may inquire about it, which is longer than the
                        // steps of this test take.
                        prop_assert_eq!(started[index], 0);
                        reported_not_run[index] = true;
                    }
                }
                LedgerStep::Wait(ms) => clock.advance(Duration::from_millis(ms.into())),
            }
        }
        for invariant in INVARIANTS {
            prop_assert_eq!(violations(invariant), 0);
        }
    }
}

fn holder(call: u128) -> ClaimHolder {
    ClaimHolder {
        call: CallId(call),
        hop: address(1),
        boot_id: BootId(1),
    }
}

fn batch(id: u128, wall_ms: u64, items: Vec<ClaimItem>) -> Vec<u8> {
    let batch = ClaimBatch {
        id: CallId(id),
        wall_ms,
        lifetime_ms: 1_000,
        items,
    };
    batch.encode().expect("a record").to_vec()
}

fn claim(key: u128, call: u128) -> ClaimItem {
    ClaimItem::Claim {
        key: KeyHash(key),
        holder: holder(call),
    }
}

#[test]
fn the_first_claim_wins_until_it_is_released_or_expires() {
    let mut table = ClaimTable::default();
    assert_eq!(
        table.apply(&batch(1, 0, vec![claim(7, 1)])),
        [ClaimOutcome::Won]
    );
    let lost = ClaimOutcome::Lost(holder(1));
    assert_eq!(table.apply(&batch(2, 10, vec![claim(7, 2)])), [lost]);
    // The same call claims the key again after the answer was lost.
    assert_eq!(
        table.apply(&batch(3, 20, vec![claim(7, 1)])),
        [ClaimOutcome::Won]
    );
    let release = |call| ClaimItem::Release {
        key: KeyHash(7),
        call: CallId(call),
    };
    // Only the holder can release the key.
    table.apply(&batch(4, 30, vec![release(2)]));
    assert_eq!(table.holder(KeyHash(7)), Some(&holder(1)));
    table.apply(&batch(5, 40, vec![release(1)]));
    assert_eq!(
        table.apply(&batch(6, 50, vec![claim(7, 3)])),
        [ClaimOutcome::Won]
    );
    assert_eq!(
        table.apply(&batch(7, 1_050, vec![claim(7, 4)])),
        [ClaimOutcome::Won]
    );
    table.apply(b"noise");
    assert_eq!(table.next_offset().0, 8);
}

#[test]
fn a_key_is_removed_after_its_expiry_plus_clock_skew() {
    let clock_skew = Duration::from_millis(100);
    let mut table = ClaimTable::default();
    table.apply(&batch(1, 0, vec![claim(7, 1)]));
    table.remove_expired(1_099, clock_skew);
    assert_eq!(table.len(), 1);
    table.remove_expired(1_100, clock_skew);
    assert!(table.is_empty());
}

proptest! {
    #[test]
    fn two_keepers_never_assign_a_key_to_different_calls(
        claims in prop::collection::vec((0..3_u128, 0..6_u128, any::<bool>()), 0..40),
    ) {
        // Each keeper answers from its own table of the same stream, in which the
        // records of both keepers are interleaved in any order.
        let mut stream: Vec<Vec<u8>> = Vec::new();
        let mut tables = [ClaimTable::default(), ClaimTable::default()];
        let mut winners: std::collections::HashMap<u128, u128> = Default::default();
        for (index, (key, call, keeper)) in claims.into_iter().enumerate() {
            stream.push(batch(index as u128, index as u64, vec![claim(key, call)]));
            let table = &mut tables[usize::from(keeper)];
            let mut outcomes = Vec::new();
            while (table.next_offset().0 as usize) < stream.len() {
                let next = table.next_offset().0 as usize;
                outcomes = table.apply(&stream[next]);
            }
            if outcomes == [ClaimOutcome::Won] {
                let winner = winners.entry(key).or_insert(call);
                prop_assert_eq!(*winner, call);
            }
        }
    }
}

#[test]
fn two_lost_targets_quarantine_a_request_until_it_expires() {
    let now = Instant::now();
    let mut table = SuspectTable::new();
    let (crashing, page) = (Fingerprint(1), Fingerprint(2));
    assert!(table.record_target_loss(crashing, address(1), 5, now));
    assert!(
        !table.record_target_loss(crashing, address(1), 5, now),
        "the same loss, reported again"
    );
    assert_eq!(table.status(crashing, now), QuarantineStatus::Suspect);
    assert!(
        table.record_target_loss(crashing, address(1), 6, now),
        "another loss of the same target"
    );
    assert_eq!(table.status(crashing, now), QuarantineStatus::Suspect);
    table.record_target_loss(crashing, address(2), 1, now);
    let until = now + QUARANTINE_DURATION;
    assert_eq!(
        table.status(crashing, now),
        QuarantineStatus::Quarantined(until)
    );
    // A later success does not end the quarantine; only its expiry does.
    assert!(!table.record_success(crashing));
    assert_eq!(table.status(crashing, until), QuarantineStatus::Clean);

    table.record_target_loss(page, address(1), 7, now);
    assert!(table.record_success(page), "a success clears a suspect");
    assert_eq!(table.status(page, now), QuarantineStatus::Clean);
    assert!(table.has_recent_success(page));
}

proptest! {
    #[test]
    fn a_loss_and_its_clearing_are_each_new_only_once(
        reports in prop::collection::vec((any::<bool>(), 0..3_u8, 0..2_u64), 0..60),
    ) {
        // Nodes forward what is new to them. If an old loss or clearing could
        // become new again, two nodes would send both to each other forever.
        let now = Instant::now();
        let mut table = SuspectTable::new();
        let mut new_count = 0;
        for (is_loss, host, loss_number) in reports {
            let is_new = if is_loss {
                table.record_target_loss(Fingerprint(1), address(host), loss_number, now)
            } else {
                table.clear(Fingerprint(1))
            };
            new_count += u32::from(is_new);
        }
        // Each of six losses is new once and can be cleared once.
        prop_assert!(new_count <= 12, "{new_count} reports were new");
    }
}
