//! Tests of the decision which calls a stopping node still takes.

use std::time::{Duration, Instant};

use wisteriaturn::clock::{Clock, ManualClock, SharedClock};
use wisteriaturn::retry::deadline::CallDeadline;
use wisteriaturn::route::stop::StopSchedule;
use yare::parameterized;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the schedule of a stop that begins at `began`.
fn schedule(began: Instant, told_after: Duration, cut_after: Duration) -> StopSchedule {
    StopSchedule {
        gates_close_at: began + told_after.saturating_sub(ms(500)),
        callers_told_at: began + told_after,
        calls_cut_at: began + cut_after,
    }
}

fn deadline_after(clock: &SharedClock, time: Duration) -> CallDeadline {
    CallDeadline::for_call(clock, time, None)
}

// Calls are cut 5.3 s after the stop began, and callers have been told after 2.9 s.
#[parameterized(
    at_the_start = { 0, 2_500, 200, true },
    long_deadline_while_callers_do_not_know = { 1_000, 8_000, 600, true },
    expected_to_last_too_long = { 1_000, 8_000, 3_200, false },
    deadline_in_time_although_expected_late = { 1_000, 2_500, 5_000, true },
    long_deadline_after_callers_were_told = { 2_900, 8_000, 20, false },
    deadline_in_time_late_in_the_stop = { 4_000, 1_000, 900, true },
    deadline_after_the_cut = { 4_750, 2_500, 200, false },
    no_time_for_the_answer = { 4_200, 1_000, 20, false },
    after_the_cut = { 5_400, 100, 1, false },
)]
fn a_stopping_node_takes_a_call_only_if_it_can_answer_it(
    sent_at_ms: u64,
    deadline_ms: u64,
    expected_ms: u64,
    is_taken: bool,
) {
    let clock = ManualClock::new();
    let schedule = schedule(clock.now(), ms(2_900), ms(5_300));
    clock.advance(ms(sent_at_ms));
    let shared: SharedClock = clock.clone();
    let deadline = deadline_after(&shared, ms(deadline_ms));
    let now = clock.now();
    assert_eq!(
        schedule.ingress_takes(deadline, ms(expected_ms), now),
        is_taken
    );
}

/// A kind of call: its deadline and mean run time, and how often it arrives.
struct CallKind {
    deadline_ms: u64,
    mean_run_ms: u64,
    every_ms: u64,
}

const KINDS: [CallKind; 3] = [
    CallKind {
        deadline_ms: 2_000,
        mean_run_ms: 160,
        every_ms: 20,
    },
    CallKind {
        deadline_ms: 2_500,
        mean_run_ms: 210,
        every_ms: 50,
    },
    CallKind {
        deadline_ms: 8_000,
        mean_run_ms: 640,
        every_ms: 70,
    },
];

/// The calls that callers sent to a stopping node.
#[derive(Debug, Default, PartialEq, Eq)]
struct StopReport {
    served: u32,
    refused: u32,
    /// Interrupted although they were sent when callers had been told of the stop.
    cut_late: u32,
}

/// How a node decides which calls to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// All until its own gate is empty, then none.
    UntilGateEmpty,
    /// All until callers have been told, then none.
    UntilCallersTold,
    /// Each as its deadline and the time left allow.
    ForEachCall,
}

/// Plays callers that keep sending until the ports of a stopping node close, which is
/// when its own target is idle, but not before callers have been told. Run times are
/// exponentially distributed up to six times their mean.
fn play_stop(policy: Policy, told_after_ms: u64, cut_after_ms: u64, own_run_ms: u64) -> StopReport {
    let clock = ManualClock::new();
    let began = clock.now();
    let shared: SharedClock = clock.clone();
    let schedule = schedule(began, ms(told_after_ms), ms(cut_after_ms));
    let ports_close_ms = own_run_ms.clamp(told_after_ms, cut_after_ms);
    let mut report = StopReport::default();
    let mut point = 0.5;
    for sent_at_ms in 0..ports_close_ms {
        for kind in &KINDS {
            if sent_at_ms % kind.every_ms != 0 {
                continue;
            }
            // A low-discrepancy sequence, so that every play has the same run times.
            point = (point + 0.618_033_988_749_895_f64).fract();
            let factor = (-(1.0 - point).ln()).min(6.0);
            let run = ms(kind.mean_run_ms).mul_f64(factor);
            let is_taken = match policy {
                Policy::UntilGateEmpty => true,
                Policy::UntilCallersTold => sent_at_ms < told_after_ms,
                Policy::ForEachCall => schedule.ingress_takes(
                    deadline_after(&shared, ms(kind.deadline_ms)),
                    ms(kind.mean_run_ms),
                    clock.now(),
                ),
            };
            let ends_after = ms(sent_at_ms) + run.min(ms(kind.deadline_ms));
            match (is_taken, ends_after <= ms(cut_after_ms)) {
                (false, _) => report.refused += 1,
                (true, true) => report.served += 1,
                (true, false) => report.cut_late += u32::from(sent_at_ms >= told_after_ms),
            }
        }
        clock.advance(ms(1));
    }
    report
}

// A stop with 6 s and with 10 s until the node is killed, with and without a long run at
// its own target.
#[parameterized(
    short = { 2_880, 5_300, 0 },
    short_with_a_long_run = { 2_880, 5_300, 5_200 },
    long = { 2_900, 9_300, 0 },
    long_with_a_long_run = { 2_900, 9_300, 9_000 },
)]
fn a_decision_for_each_call_cuts_none_and_serves_most(told: u64, cut: u64, own_run: u64) {
    let [until_empty, until_told, for_each] = [
        Policy::UntilGateEmpty,
        Policy::UntilCallersTold,
        Policy::ForEachCall,
    ]
    .map(|policy| play_stop(policy, told, cut, own_run));
    println!("until the gate is empty: {until_empty:?}");
    println!("until callers were told: {until_told:?}");
    println!("for each call: {for_each:?}");
    assert_eq!(for_each.cut_late, 0);
    assert!(for_each.served >= until_told.served, "{for_each:?}");
    if own_run > told {
        assert!(until_empty.cut_late > 0, "{until_empty:?}");
        assert!(for_each.served > until_told.served, "{for_each:?}");
    }
}
