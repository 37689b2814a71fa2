//! Tests of target selection, ejection, the retry budget, deadlines and the
//! limit of calls per route.

use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use wisteriaturn::clock::{Clock, ManualClock, SharedClock};
use wisteriaturn::config::resource::PolicySpec;
use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::ids::{Incarnation, LinkRate, NodeAddress, Percent};
use wisteriaturn::retry::budget::RetryBudget;
use wisteriaturn::retry::deadline::CallDeadline;
use wisteriaturn::route::choose::{
    CandidateVerdict, NodeLocation, choose_target, slow_start_factor,
};
use wisteriaturn::route::limit::RouteLimiter;
use wisteriaturn::route::load::{AttemptResult, ServiceLoad};

fn address(host: u8) -> NodeAddress {
    NodeAddress::from(([127, 0, 0, host], 7083))
}

fn location() -> NodeLocation {
    NodeLocation {
        region: "r1".parse().expect("valid name"),
        data_centre: "r1-a".parse().expect("valid name"),
    }
}

fn policy() -> PolicySpec {
    PolicySpec::default_for("portal".parse().expect("valid name"))
}

fn target(host: u8, region: &str, data_centre: &str) -> TargetEntry {
    TargetEntry {
        node: address(host),
        hop: address(host),
        incarnation: Incarnation(1),
        region: region.parse().expect("valid name"),
        data_centre: data_centre.parse().expect("valid name"),
        slots: 4,
        link: LinkRate::default(),
        serving_since: Instant::now(),
        is_suspect: false,
        version: None,
    }
}

/// Returns two targets in the node's own data centre, one in another data centre of
/// its region and one in another region.
fn targets_at_all_distances() -> Vec<TargetEntry> {
    vec![
        target(1, "r1", "r1-a"),
        target(2, "r1", "r1-a"),
        target(3, "r1", "r1-b"),
        target(4, "r2", "r2-a"),
    ]
}

fn choose(targets: &[TargetEntry], load: &mut ServiceLoad, tried: &[NodeAddress]) -> Option<usize> {
    let now = Instant::now();
    let mut rng = rand::rng();
    choose_target(&location(), targets, &policy(), load, tried, now, &mut rng).chosen
}

#[test]
fn near_targets_are_preferred_and_calls_spill_over_with_hysteresis() {
    let targets = targets_at_all_distances();
    let mut load = ServiceLoad::default();
    for _ in 0..50 {
        assert!(choose(&targets, &mut load, &[]) < Some(2));
    }
    for _ in 0..4 {
        load.start_attempt(&targets[0], Instant::now());
        load.start_attempt(&targets[1], Instant::now());
    }
    assert_eq!(
        choose(&targets, &mut load, &[]).map(|_| load.max_distance),
        Some(1)
    );
    // A single free slot does not bring the calls back immediately.
    load.finish_attempt(address(1));
    choose(&targets, &mut load, &[]);
    assert_eq!(load.max_distance, 1);
    for _ in 0..3 {
        load.finish_attempt(address(1));
    }
    choose(&targets, &mut load, &[]);
    assert_eq!(load.max_distance, 0);
}

#[test]
fn without_near_targets_calls_go_to_distant_ones_immediately() {
    let targets = vec![target(4, "r2", "r2-a")];
    let mut load = ServiceLoad::default();
    assert_eq!(choose(&targets, &mut load, &[]), Some(0));
    assert_eq!(choose(&targets, &mut load, &[address(4)]), None);
    assert_eq!(choose(&[], &mut load, &[]), None);
}

#[test]
fn the_less_loaded_of_two_targets_is_chosen_and_a_new_target_gets_less_load() {
    let targets = vec![target(1, "r1", "r1-a"), target(2, "r1", "r1-a")];
    let mut load = ServiceLoad::default();
    load.start_attempt(&targets[0], Instant::now());
    load.start_attempt(&targets[0], Instant::now());
    for _ in 0..20 {
        assert_eq!(choose(&targets, &mut load, &[]), Some(1));
    }
    let policy = policy();
    assert!(slow_start_factor(Duration::ZERO, &policy) < 0.2);
    assert!(slow_start_factor(Duration::from_secs(60), &policy) >= 1.0);
}

#[test]
fn failures_eject_a_limited_share_of_targets_for_increasing_times() {
    let targets = targets_at_all_distances();
    let policy = policy();
    let mut load = ServiceLoad::default();
    let now = Instant::now();
    let fail = |load: &mut ServiceLoad, target: &TargetEntry, now| {
        let elapsed = Duration::from_millis(1);
        load.record_result(target, AttemptResult::Failed, elapsed, &policy, 4, now)
    };
    for target in &targets {
        for _ in 0..4 {
            assert_eq!(fail(&mut load, target, now), None);
        }
    }
    assert_eq!(
        fail(&mut load, &targets[0], now),
        Some(Duration::from_secs(2))
    );
    assert_eq!(
        fail(&mut load, &targets[1], now),
        Some(Duration::from_secs(2))
    );
    assert_eq!(
        fail(&mut load, &targets[2], now),
        None,
        "half of the targets are already ejected"
    );
    assert_eq!(load.ejected_count(now), 2);
    let later = now + Duration::from_secs(2);
    assert_eq!(load.ejected_count(later), 0);
    assert_eq!(
        fail(&mut load, &targets[0], later),
        Some(Duration::from_secs(4))
    );
    // A new incarnation of the node starts with empty statistics.
    let mut restarted = targets[0].clone();
    restarted.incarnation = Incarnation(2);
    assert!(!load.get(&restarted).is_ejected(later));
}

#[test]
fn reported_load_of_other_nodes_counts_until_it_expires() {
    let targets = [target(1, "r1", "r1-a"), target(2, "r1", "r1-a")];
    let mut load = ServiceLoad::default();
    let now = Instant::now();
    load.get(&targets[0]);
    load.record_load(address(1), 4, now);
    assert_eq!(load.get(&targets[0]).busy(now), 4);
    load.start_attempt(&targets[0], now);
    assert_eq!(load.get(&targets[0]).busy(now), 5);
    assert_eq!(load.get(&targets[0]).busy(now + Duration::from_secs(3)), 1);
}

proptest! {
    #[test]
    fn a_tried_target_is_never_chosen(
        tried in prop::collection::vec(1..5_u8, 0..4),
        busy in prop::collection::vec(0..6_u8, 4),
        ejected in prop::collection::vec(any::<bool>(), 4),
    ) {
        let targets = targets_at_all_distances();
        let policy = policy();
        let mut load = ServiceLoad::default();
        let now = Instant::now();
        for (index, target) in targets.iter().enumerate() {
            for _ in 0..busy[index] {
                load.start_attempt(target, now);
            }
            for _ in 0..if ejected[index] { 5 } else { 0 } {
                load.record_result(target, AttemptResult::Failed, Duration::ZERO, &policy, 4, now);
            }
        }
        let tried: Vec<_> = tried.into_iter().map(address).collect();
        let mut rng = rand::rng();
        let choice = choose_target(&location(), &targets, &policy, &mut load, &tried, now, &mut rng);
        match choice.chosen {
            Some(index) => {
                prop_assert!(!tried.contains(&targets[index].node));
                prop_assert_eq!(choice.candidates[index].verdict, CandidateVerdict::Chosen);
            }
            None => prop_assert!(targets.iter().all(|target| tried.contains(&target.node))),
        }
        prop_assert!(load.ejected_count(now) <= 2);
    }

    #[test]
    fn retries_stay_within_the_budget(
        calls in 1..2_000_u32,
        percent in 0..=100_u8,
        step_ms in 0..20_u64,
    ) {
        let clock = ManualClock::new();
        let start = clock.now();
        let budget = RetryBudget::new(Arc::clone(&clock) as SharedClock);
        let mut retries = 0;
        for _ in 0..calls {
            budget.record_call(Percent(percent));
            retries += u32::from(budget.try_take());
            clock.advance(Duration::from_millis(step_ms));
        }
        let seconds = clock.now().duration_since(start).as_secs_f64();
        let max_retries = 10.0 + seconds + f64::from(calls) * f64::from(percent) / 100.0;
        prop_assert!(f64::from(retries) <= max_retries.ceil());
    }
}

#[test]
fn a_deadline_is_never_extended() {
    let clock = ManualClock::new();
    let shared: SharedClock = Arc::clone(&clock) as SharedClock;
    let route_timeout = Duration::from_secs(2);
    let remaining = |requested| {
        CallDeadline::for_call(&shared, route_timeout, requested).remaining(clock.now())
    };
    assert_eq!(remaining(None), route_timeout);
    assert_eq!(remaining(Some(Duration::from_secs(9))), route_timeout);
    assert_eq!(
        remaining(Some(Duration::from_millis(5))),
        Duration::from_millis(5)
    );
    let deadline = CallDeadline::for_call(&shared, route_timeout, None);
    clock.advance(Duration::from_millis(1_999));
    assert!(!deadline.allows_attempt(clock.now()));
}

#[test]
fn a_route_admits_no_more_calls_than_its_limit() {
    let limiter = RouteLimiter::new();
    let route = "portal".parse().expect("valid name");
    let permit = limiter
        .try_acquire(&route, Some(1))
        .expect("no call is in flight");
    assert!(limiter.try_acquire(&route, Some(1)).is_none());
    drop(permit);
    assert!(limiter.try_acquire(&route, Some(1)).is_some());
}
