//! Tests of the decisions that keep an overload from outlasting its cause: the
//! throttle of the ingress, the attempts after refusals, the admission of large
//! bodies and the bound on what is held of them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wisteriaturn::buffer::ByteBudget;
use wisteriaturn::clock::{Clock, ManualClock};
use wisteriaturn::config::resource::CallClass;
use wisteriaturn::gate::outcome::RefusalReason;
use wisteriaturn::gate::slots::{QueueRank, SlotRequest};
use wisteriaturn::gate::transfer::TransferPlan;
use wisteriaturn::ids::{CallPriority, LinkRate};
use wisteriaturn::retry::refused::RefusalBudget;
use wisteriaturn::retry::throttle::CallThrottle;
use yare::parameterized;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Plays calls at an even rate against gates that admit `capacity` of them in each
/// second, and returns the calls that reached the gates in the last second.
fn play_throttle(
    throttle: &mut CallThrottle,
    clock: &Arc<ManualClock>,
    calls: u32,
    capacity: u32,
    seconds: u32,
) -> u32 {
    let mut reached = 0;
    for _ in 0..seconds {
        let mut admitted = 0;
        reached = 0;
        for number in 0..calls {
            clock.advance(Duration::from_secs(1) / calls);
            // Each of the points from 0 to 1 comes up equally often.
            let point = f64::from(number * 7 % calls) / f64::from(calls);
            if throttle.should_refuse(point, clock.now()) {
                throttle.record_refusal(clock.now());
                continue;
            }
            reached += 1;
            let is_admitted = admitted < capacity;
            admitted += u32::from(is_admitted);
            throttle.record_end(is_admitted, clock.now());
        }
    }
    reached
}

#[parameterized(
    within_the_capacity = { 50, 100, 50, 50 },
    just_full = { 100, 100, 95, 100 },
    twice_the_capacity = { 200, 100, 100, 175 },
    ten_times_the_capacity = { 1000, 100, 100, 175 },
)]
fn a_throttle_passes_little_more_than_gates_admit(
    calls: u32,
    capacity: u32,
    at_least: u32,
    at_most: u32,
) {
    let clock = ManualClock::new();
    let mut throttle = CallThrottle::default();
    let reached = play_throttle(&mut throttle, &clock, calls, capacity, 10);
    assert!(
        (at_least..=at_most).contains(&reached),
        "{reached} of {calls} calls"
    );
}

#[test]
fn a_throttle_opens_within_seconds_of_the_recovery() {
    let clock = ManualClock::new();
    let mut throttle = CallThrottle::default();
    play_throttle(&mut throttle, &clock, 200, 20, 20);
    let reached = play_throttle(&mut throttle, &clock, 200, 200, 4);
    assert!(
        reached >= 180,
        "{reached} of 200 calls in the fourth second"
    );
}

#[test]
fn a_few_refused_calls_are_no_overload() {
    let now = Instant::now();
    let mut throttle = CallThrottle::default();
    for _ in 0..4 {
        throttle.record_end(false, now);
        assert!(!throttle.should_refuse(0.0, now));
    }
    throttle.record_end(false, now);
    assert!(throttle.should_refuse(0.0, now), "a fifth one is");
}

#[test]
fn a_call_that_is_made_after_all_counts_once() {
    // A call is made in spite of the throttle if the target beside it has a free slot.
    let now = Instant::now();
    let mut throttle = CallThrottle::default();
    for _ in 0..10 {
        throttle.record_end(false, now);
    }
    for _ in 0..10 {
        assert!(throttle.should_refuse(0.0, now));
    }
    assert_eq!(throttle.calls().round(), 10.0);
}

#[test]
fn calls_in_flight_are_no_overload() {
    let now = Instant::now();
    let mut throttle = CallThrottle::default();
    assert!((0..100).all(|_| !throttle.should_refuse(0.0, now)));
}

#[test]
fn attempts_after_refusals_are_earned_by_calls() {
    let mut budget = RefusalBudget::default();
    let saved = (0..100).filter(|_| budget.try_take()).count();
    assert_eq!(saved, 10);
    assert!(!budget.has_attempt());
    for _ in 0..3 {
        budget.record_call();
    }
    assert_eq!((0..100).filter(|_| budget.try_take()).count(), 3);
    // Calls that are sent on are placed in any case, and are paid for later.
    budget.take_owed();
    budget.record_call();
    assert!(!budget.has_attempt());
}

fn slot_request(deadline: u64, max_wait: u64) -> SlotRequest {
    let now = Instant::now();
    SlotRequest {
        rank: QueueRank::new(CallClass::Interactive, CallPriority(0)),
        soft_deadline: now + ms(deadline),
        deadline: now + ms(deadline),
        expected_run_time: ms(100),
        max_wait: ms(max_wait),
    }
}

// A body of 60 kB takes 30 ms on a link of 16 Mbit/s.
#[parameterized(
    idle = { 0, 0, 30 },
    beside_two_others = { 2, 0, 90 },
    not_more_at_once_than_are_received = { 9, 0, 120 },
    with_a_wait_for_a_slot = { 0, 50, 30 },
)]
fn a_transfer_is_followed_by_the_wait_for_a_slot_and_the_run(
    busy: usize,
    slot_wait: u64,
    transfer: u64,
) {
    let plan = TransferPlan {
        link: LinkRate(16_000),
        body_bytes: 60_000,
        busy,
        slot_wait: ms(slot_wait),
    };
    assert_eq!(plan.transfer_time(), ms(transfer));
    let request = plan.link_request(&slot_request(1_000, 200), Instant::now());
    let request = request.expect("the wait for a slot is short enough");
    assert_eq!(request.expected_run_time, ms(transfer + slot_wait + 100));
    assert_eq!(request.max_wait, ms(200 - slot_wait));
}

#[test]
fn a_body_is_not_sent_to_a_gate_whose_slots_are_crowded() {
    let plan = TransferPlan {
        link: LinkRate(16_000),
        body_bytes: 60_000,
        busy: 0,
        slot_wait: ms(201),
    };
    let refused = plan.link_request(&slot_request(1_000, 200), Instant::now());
    assert_eq!(refused.err(), Some(RefusalReason::Crowded));
}

#[test]
fn a_body_is_not_sent_if_the_call_would_miss_its_deadline() {
    let plan = TransferPlan {
        link: LinkRate(16_000),
        body_bytes: 60_000,
        busy: 0,
        slot_wait: ms(150),
    };
    let refused = plan.link_request(&slot_request(200, 1_000), Instant::now());
    assert_eq!(refused.err(), Some(RefusalReason::Saturated));
}

#[test]
fn held_bodies_are_bounded_and_their_room_comes_back() {
    let budget = ByteBudget::new(100);
    let first = budget.try_reserve(60).expect("there is room");
    assert!(budget.try_reserve(41).is_none());
    assert!(budget.try_reserve(usize::MAX).is_none());
    let second = budget.try_reserve(40).expect("there is room");
    drop(first);
    assert_eq!(budget.used(), 40);
    drop(second);
    assert_eq!(budget.used(), 0);
}
