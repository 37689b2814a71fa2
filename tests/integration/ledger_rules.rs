//! Tests of the ledger over long times and at its limits.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use wisteriaturn::clock::{ManualClock, SharedClock};
use wisteriaturn::gate::ledger::{
    CallGuard, CallLedger, CallResult, CallStatus, ID_RETENTION, LedgerLimits, LedgerLosses,
    StoredAnswer, can_tell_outcome,
};
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::ids::CallId;

fn answer() -> CallResult {
    CallResult::Answered(StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"page"),
    })
}

fn ledger(limits: LedgerLimits) -> (CallLedger, Arc<ManualClock>) {
    let clock = ManualClock::new();
    let shared = Arc::clone(&clock) as SharedClock;
    (CallLedger::with_limits(shared, limits), clock)
}

fn run_call(ledger: &CallLedger, call: u128) -> Result<(), RefusalReason> {
    let mut guard = ledger.register(CallId(call))?;
    guard.start()?;
    guard.finish(answer());
    Ok(())
}

fn is_not_run(status: &CallStatus) -> bool {
    matches!(status, CallStatus::NotRun(_))
}

/// Lets time pass in which the process runs.
fn pass(ledger: &CallLedger, clock: &ManualClock, time: Duration) {
    let step = Duration::from_millis(500);
    let mut rest = time;
    while !rest.is_zero() {
        clock.advance(step.min(rest));
        rest = rest.saturating_sub(step);
        // Any use of the ledger.
        let _ = ledger.register(CallId(u128::MAX)).map(drop);
    }
}

/// Guards against a revocation that holds back the expiry of all later calls until the
/// ledger is full and refuses every call.
#[test]
fn a_revocation_does_not_fill_the_ledger() {
    let (ledger, clock) = ledger(LedgerLimits::default());
    assert!(is_not_run(&ledger.revoke(CallId(u128::MAX))));
    let rate = 150;
    for call in 0..(rate * 1_200) {
        clock.advance(Duration::from_secs(1) / rate);
        let ran = run_call(&ledger, call.into());
        assert_eq!(ran, Ok(()), "call {call}, second {}", call / rate);
    }
    // Ids of that many calls are not kept for the whole time.
    assert!(ledger.take_losses().ended > 0);
}

/// Guards against a call that is reported as not run because the ledger has forgotten that
/// it ran.
#[test]
fn a_call_whose_result_is_gone_is_not_reported_as_not_run() {
    let limits = LedgerLimits {
        results: 2,
        ended: 2,
        ..LedgerLimits::default()
    };
    let (small, clock) = ledger(limits);
    for call in 0..10 {
        assert_eq!(run_call(&small, call), Ok(()));
    }
    for call in 0..10 {
        assert!(!is_not_run(&small.revoke(CallId(call))), "call {call}");
    }
    // As long as a call that is not known may have run, no such call is revoked.
    assert!(!is_not_run(&small.revoke(CallId(99))));
    let losses = small.take_losses();
    assert!(losses.results > 0 && losses.ended > 0 && losses.revocations > 0);
    pass(&small, &clock, ID_RETENTION + Duration::from_secs(60));
    assert!(is_not_run(&small.revoke(CallId(99))));

    let (large, clock) = ledger(LedgerLimits::default());
    assert_eq!(run_call(&large, 1), Ok(()));
    let age = Duration::from_secs(299);
    assert!(can_tell_outcome(age));
    pass(&large, &clock, age);
    assert!(matches!(large.revoke(CallId(1)), CallStatus::Unknown));
    assert_eq!(large.take_losses(), LedgerLosses::default());
}

#[test]
fn revocations_beyond_their_limit_are_refused_and_calls_are_not() {
    let limits = LedgerLimits {
        revoked: 3,
        ..LedgerLimits::default()
    };
    let (ledger, clock) = ledger(limits);
    for call in 0..3 {
        assert!(is_not_run(&ledger.revoke(CallId(call))));
    }
    assert!(matches!(ledger.revoke(CallId(3)), CallStatus::Unknown));
    assert_eq!(ledger.take_losses().revocations, 1);
    let waiting = ledger.register(CallId(4)).expect("a new call");
    assert!(
        is_not_run(&ledger.revoke(CallId(4))),
        "a waiting call is known"
    );
    drop(waiting);
    assert_eq!(run_call(&ledger, 3), Ok(()));
    for call in 0..3 {
        let refused = ledger.register(CallId(call)).err();
        assert_eq!(refused, Some(RefusalReason::Revoked));
    }
    pass(&ledger, &clock, ID_RETENTION + Duration::from_secs(1));
    assert!(is_not_run(&ledger.revoke(CallId(5))));
}

/// Guards against a revocation that expires while the process is paused, although the
/// request is in a socket buffer until it continues.
#[test]
fn a_revocation_outlasts_a_pause_of_the_process() {
    let (ledger, clock) = ledger(LedgerLimits::default());
    assert!(is_not_run(&ledger.revoke(CallId(1))));
    clock.advance(ID_RETENTION * 2);
    let refused = ledger.register(CallId(1)).err();
    assert_eq!(refused, Some(RefusalReason::Revoked));
}

#[derive(Debug, Clone)]
enum Step {
    Enter(u8),
    Start(u8),
    End(u8),
    Drop(u8),
    Revoke(u8),
    Pass(u8),
    Pause(u16),
}

const CALLS: u8 = 8;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let call = 0..CALLS;
    let step = prop_oneof![
        3 => call.clone().prop_map(Step::Enter),
        3 => call.clone().prop_map(Step::Start),
        2 => call.clone().prop_map(Step::End),
        1 => call.clone().prop_map(Step::Drop),
        2 => call.prop_map(Step::Revoke),
        // All steps together take less time than ids are kept.
        1 => (1..9_u8).prop_map(Step::Pass),
        1 => (1..7_200_u16).prop_map(Step::Pause),
    ];
    prop::collection::vec(step, 0..60)
}

fn limits() -> impl Strategy<Value = LedgerLimits> {
    (1..5_usize, 0..4_usize, 0..4_usize, 0..4_usize).prop_map(|(open, results, ended, revoked)| {
        LedgerLimits {
            open,
            results,
            ended,
            revoked,
        }
    })
}

proptest! {
    #[test]
    fn a_full_ledger_reports_only_calls_as_not_run_that_never_start(
        steps in steps(),
        limits in limits(),
    ) {
        let (ledger, clock) = ledger(limits);
        let mut guards: Vec<Option<CallGuard>> = (0..CALLS).map(|_| None).collect();
        let mut has_entered = [false; CALLS as usize];
        let mut has_started = [false; CALLS as usize];
        let mut is_reported = [false; CALLS as usize];
        for step in steps {
            match step {
                Step::Enter(call) => {
                    let index = usize::from(call);
                    // The request of a call arrives once.
                    if has_entered[index] {
                        continue;
                    }
                    has_entered[index] = true;
                    let open = guards.iter().flatten().count();
                    match ledger.register(CallId(call.into())) {
                        Ok(guard) => guards[index] = Some(guard),
                        Err(RefusalReason::Saturated) => prop_assert!(open >= limits.open),
                        Err(_) => prop_assert!(is_reported[index]),
                    }
                }
                Step::Start(call) => {
                    let index = usize::from(call);
                    if let Some(guard) = &mut guards[index]
                        && !has_started[index]
                        && guard.start().is_ok()
                    {
                        prop_assert!(!is_reported[index]);
                        has_started[index] = true;
                    }
                }
                Step::End(call) => {
                    let index = usize::from(call);
                    if let Some(guard) = guards[index].take() {
                        guard.finish(if has_started[index] {
                            answer()
                        } else {
                            CallResult::Refused(RefusalReason::Saturated)
                        });
                    }
                }
                Step::Drop(call) => guards[usize::from(call)] = None,
                Step::Revoke(call) => {
                    let index = usize::from(call);
                    if is_not_run(&ledger.revoke(CallId(call.into()))) {
                        prop_assert!(!has_started[index]);
                        is_reported[index] = true;
                    }
                }
                Step::Pass(seconds) => {
                    pass(&ledger, &clock, Duration::from_secs(seconds.into()));
                }
                Step::Pause(seconds) => clock.advance(Duration::from_secs(seconds.into())),
            }
        }
    }
}
