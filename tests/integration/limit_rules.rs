//! Tests of the limits that targets name: the bucket, the queue under a limit, and which
//! answer begins or ends a limit.

use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use wisteriaturn::clock::{Clock, ManualClock, SharedClock};
use wisteriaturn::config::resource::CallClass;
use wisteriaturn::gate::notice::{AnswerNotice, LimitTracker, TargetNotice};
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::gate::rate::TokenBucket;
use wisteriaturn::gate::slots::{QueueRank, SlotGate, SlotRequest};
use wisteriaturn::ids::{CallPriority, Incarnation, RequestRate};
use wisteriaturn_testing::statement::{LIMIT_WINDOW, allowed_requests};

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("a rate")
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

proptest! {
    /// Calls that arrive in any pattern never exceed one and a half times the limit, and 5,
    /// within 4 s, also when the limit changes.
    #[test]
    fn no_window_exceeds_the_limit(
        limits in prop::collection::vec(0.0..60.0_f64, 1..4),
        pauses in prop::collection::vec(0..120_u64, 1..600),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut bucket = TokenBucket::new(rate(limits[0]), now);
        let phase = pauses.len().div_ceil(limits.len());
        let most = limits.iter().copied().fold(0.0, f64::max);
        let mut sent = Vec::new();
        for (index, pause) in pauses.iter().enumerate() {
            now += millis(*pause);
            if index % phase == 0 {
                bucket.set_limit(rate(limits[index / phase]), now);
            }
            if bucket.try_take(now) {
                sent.push(now);
            }
        }
        for first in &sent {
            let within = sent.iter().filter(|at| **at >= *first && **at < *first + LIMIT_WINDOW).count();
            prop_assert!(within as f64 <= allowed_requests(most));
        }
    }

    /// A target is not starved: with calls always waiting, it gets what its limit allows.
    #[test]
    fn a_limit_is_used(limit in 1.0..200.0_f64) {
        let start = Instant::now();
        let mut bucket = TokenBucket::new(rate(limit), start);
        let sent = (0..10_000).filter(|ms| bucket.try_take(start + millis(*ms))).count();
        prop_assert!(sent as f64 >= limit * 9.9 - 2.0, "{sent} at {limit} a second");
    }
}

#[test]
fn a_limit_of_nothing_still_lets_a_call_pass_now_and_then() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(rate(0.0), start);
    let sent = (0..20_000)
        .filter(|ms| bucket.try_take(start + millis(*ms)))
        .count();
    assert!((5..=10).contains(&sent), "{sent} in 20 s");
}

fn gate(slots: u16) -> (SlotGate, Arc<ManualClock>) {
    let clock = ManualClock::new();
    let shared: SharedClock = Arc::clone(&clock) as SharedClock;
    (SlotGate::new(slots, shared), clock)
}

fn request(clock: &ManualClock, priority: u8, deadline_ms: u64) -> SlotRequest {
    let deadline = clock.now() + millis(deadline_ms);
    SlotRequest {
        rank: QueueRank::new(CallClass::Interactive, CallPriority(priority)),
        soft_deadline: deadline,
        deadline,
        expected_run_time: millis(10),
        max_wait: Duration::MAX,
    }
}

#[tokio::test]
async fn free_slots_do_not_lift_a_limit() {
    let (gate, clock) = gate(6);
    gate.set_limit(Some(rate(2.0)));
    clock.advance(millis(500));
    let first = gate.acquire_for(request(&clock, 0, 1_000)).await;
    assert!(
        first.is_ok(),
        "the limit allows one call after half a second"
    );
    assert_eq!(gate.load().expected_wait(), millis(500));
    let late = gate.acquire_for(request(&clock, 0, 300)).await;
    assert_eq!(late.err(), Some(RefusalReason::Saturated));
    let impatient = SlotRequest {
        max_wait: millis(400),
        ..request(&clock, 0, 1_000)
    };
    let sent_on = gate.acquire_for(impatient).await;
    assert_eq!(sent_on.err(), Some(RefusalReason::Crowded));
}

#[tokio::test]
async fn calls_wait_for_a_limit_by_rank() {
    let (gate, clock) = gate(6);
    gate.set_limit(Some(rate(2.0)));
    let (sender, mut order) = tokio::sync::mpsc::unbounded_channel();
    for (count, priority) in [2, 0, 1].into_iter().enumerate() {
        let (shared_gate, sender) = (gate.clone(), sender.clone());
        let request = request(&clock, priority, 4_000);
        tokio::spawn(async move {
            let permit = shared_gate.acquire_for(request).await;
            sender.send((priority, permit)).expect("a receiver");
        });
        while gate.load().waiting <= count {
            tokio::task::yield_now().await;
        }
    }
    for expected in [0, 1, 2] {
        assert!(order.try_recv().is_err(), "started before the limit allows");
        let next_start = gate.next_start().expect("a limit");
        clock.advance(next_start.saturating_duration_since(clock.now()));
        gate.start_waiting();
        let (priority, permit) = order.recv().await.expect("a call");
        assert_eq!(priority, expected);
        assert!(permit.is_ok());
    }
}

#[tokio::test]
async fn calls_that_wait_start_when_the_limit_ends() {
    let (gate, clock) = gate(6);
    gate.set_limit(Some(rate(0.5)));
    let waiting = {
        let (gate, request) = (gate.clone(), request(&clock, 0, 4_000));
        tokio::spawn(async move { gate.acquire_for(request).await.is_ok() })
    };
    while gate.load().waiting == 0 {
        tokio::task::yield_now().await;
    }
    gate.set_limit(None);
    assert!(waiting.await.expect("no panic"));
    assert_eq!(gate.load().expected_wait(), Duration::ZERO);
}

/// What happens at a gate, with times in milliseconds.
#[derive(Debug, Clone, Copy)]
enum LimitEvent {
    /// An answer at the second time to a request sent at the first one.
    Answer(u64, u64, Option<f64>),
    /// Another node reports what it remembers.
    Peer(u64, Option<f64>),
}

use LimitEvent::{Answer, Peer};

#[yare::parameterized(
    named = { &[Answer(0, 10, Some(5.0))], Some(5.0) },
    ended_by_a_later_call = { &[Answer(0, 10, Some(5.0)), Answer(11, 20, None)], None },
    not_ended_by_a_slow_answer = { &[Answer(5, 10, Some(5.0)), Answer(0, 20, None)], Some(5.0) },
    not_ended_by_a_call_sent_before_it_was_named_again = {
        &[Answer(0, 10, Some(5.0)), Answer(11, 30, Some(5.0)), Answer(12, 40, None)], Some(5.0)
    },
    named_in_a_slow_answer = { &[Answer(5, 10, None), Answer(0, 20, Some(5.0))], Some(5.0) },
    changed = { &[Answer(0, 10, Some(5.0)), Answer(11, 20, Some(2.0))], Some(2.0) },
    remembered_by_a_peer = { &[Peer(1, Some(5.0))], Some(5.0) },
    own_answers_before_those_of_peers = { &[Answer(0, 10, None), Peer(11, Some(5.0))], None },
    own_limit_before_that_of_a_peer = { &[Answer(0, 10, Some(2.0)), Peer(11, Some(5.0))], Some(2.0) },
    remembered_limit_ends_as_well = { &[Peer(1, Some(5.0)), Answer(2, 10, None)], None },
)]
fn a_limit_holds_until_a_later_call_is_answered_without_it(
    events: &[LimitEvent],
    expected: Option<f64>,
) {
    let start = Instant::now();
    let mut tracker = LimitTracker::default();
    for event in events {
        match *event {
            Answer(sent, arrived, limit) => {
                tracker.record_answer(
                    limit.map(rate),
                    start + millis(sent),
                    start + millis(arrived),
                );
            }
            Peer(arrived, limit) => {
                tracker.adopt(limit.map(rate), start + millis(arrived));
            }
        }
    }
    assert_eq!(tracker.limit(), expected.map(rate));
}

fn notice(limit: Option<f64>, is_leaving: bool) -> TargetNotice {
    TargetNotice {
        instance: "i-7f.3_a".parse().expect("a name"),
        incarnation: Incarnation(1_700_000_000_000),
        stated: AnswerNotice {
            limit: limit.map(rate),
            is_leaving,
        },
    }
}

#[yare::parameterized(
    limit = { notice(Some(13.625), false) },
    leaving = { notice(None, true) },
    both = { notice(Some(0.0), true) },
    nothing = { notice(None, false) },
)]
fn a_notice_is_parsed_from_its_own_text(notice: TargetNotice) {
    assert_eq!(notice.to_string().parse(), Ok(notice));
}

#[yare::parameterized(
    empty = { "" },
    no_incarnation = { "i-1" },
    bad_incarnation = { "i-1;x;leaving" },
    bad_name = { "i 1;7;leaving" },
    bad_limit = { "i-1;7;limit=fast" },
    negative_limit = { "i-1;7;limit=-1" },
    endless_limit = { "i-1;7;limit=inf" },
    limit_that_is_no_number = { "i-1;7;limit=NaN" },
)]
fn a_malformed_notice_is_refused(text: &str) {
    assert!(text.parse::<TargetNotice>().is_err());
}
