//! Rules of roll-outs: what a version on trial may get, when it is found bad, and what
//! stands when news is late, lost or told twice.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::ids::{
    Incarnation, LinkRate, NodeAddress, Offset, Permille, RouteName, ServiceName, TargetVersion,
};
use wisteriaturn::rollout::board::{HOLD_TIME, LEASE, RolloutBoard};
use wisteriaturn::rollout::evidence::{
    BUCKETS, EvidenceTable, GateCounter, GateEvidence, RouteEvidence, Shortcoming, bucket_of,
};
use wisteriaturn::rollout::plan::{PlanInputs, PlanStep, TRIAL_STEPS, next_step, trial_targets};
use wisteriaturn::rollout::share::ShareCounter;
use wisteriaturn::rollout::state::{
    RolloutOrder, RolloutPhase, RolloutRecord, RolloutState, RolloutVerdict,
};

fn node(index: u8) -> NodeAddress {
    SocketAddr::from(([127, 0, 1, index], 7000))
}

fn service() -> ServiceName {
    "portal".parse().expect("a name")
}

fn version(name: &str) -> TargetVersion {
    name.parse().expect("a version")
}

fn order(offset: u64) -> RolloutOrder {
    RolloutOrder {
        service: service(),
        version: version("v2"),
        offset: Offset(offset),
        duration_ms: 12_000,
    }
}

fn state(offset: u64, phase: RolloutPhase, share: u16, beat: u64) -> RolloutState {
    RolloutState {
        order: order(offset),
        phase,
        share: Permille(share),
        beat,
        leader: node(1),
        remaining_ms: 12_000,
    }
}

fn target(index: u8, name: &str, serving_since: Instant) -> TargetEntry {
    TargetEntry {
        node: node(index),
        hop: node(index),
        incarnation: Incarnation(1),
        region: "north".parse().expect("a region"),
        data_centre: "n1".parse().expect("a data centre"),
        slots: 6,
        link: LinkRate::default(),
        serving_since,
        is_suspect: false,
        version: Some(version(name)),
    }
}

/// Ten old targets and ten new ones.
fn targets(now: Instant) -> Vec<TargetEntry> {
    let old = (0..10).map(|index| target(index, "v1", now));
    let new = (10..20).map(|index| target(index, "v2", now));
    old.chain(new).collect()
}

fn old_targets(now: Instant) -> Vec<TargetEntry> {
    targets(now)[..10].to_vec()
}

/// Returns a board that has known the old version for a while.
fn settled_board(now: Instant) -> RolloutBoard {
    let mut board = RolloutBoard::new(0);
    board.note_versions(&service(), &old_targets(now), now);
    board
}

fn count_version(targets: &[TargetEntry], name: &str) -> usize {
    let version = Some(version(name));
    targets
        .iter()
        .filter(|target| target.version == version)
        .count()
}

proptest! {
    /// The share holds for any nodes together, however many are restarted, and whatever
    /// shares they were told in between.
    #[test]
    fn the_share_of_a_trial_holds_over_all_nodes(
        steps in prop::collection::vec((0..8_usize, 0..4_u8), 1..2_000),
        share in 0..200_u16,
    ) {
        let mut counters = [ShareCounter::new(Permille(share)); 8];
        let (mut reached, mut tried) = (0_u64, 0_u64);
        for (index, action) in steps {
            let counter = &mut counters[index];
            match action {
                0 | 1 => {
                    counter.record_reached();
                    reached += 1;
                }
                2 => tried += u64::from(counter.try_take()),
                _ => *counter = ShareCounter::new(Permille(share)),
            }
        }
        prop_assert!(tried * 1_000 <= reached * u64::from(share));
    }

    /// The order in which states arrive, and how often, does not matter.
    #[test]
    fn states_are_merged_in_any_order(
        mut told in prop::collection::vec((1..4_u64, 0..6_usize, 0..3_u16, 0..5_u64), 1..20),
        seed in any::<u64>(),
    ) {
        let phases = wisteriaturn::rollout::state::ROLLOUT_PHASES;
        let now = Instant::now();
        let merged = |told: &[(u64, usize, u16, u64)]| {
            let mut board = RolloutBoard::new(0);
            for (offset, phase, share, beat) in told {
                board.merge(state(*offset, phases[*phase], *share, *beat), now);
            }
            board.get(&service()).map(|rollout| rollout.state.rank())
        };
        let expected = merged(&told);
        let mut rng = StdRng::seed_from_u64(seed);
        let doubled = told.clone();
        told.extend(doubled);
        for index in (1..told.len()).rev() {
            told.swap(index, rng.random_range(0..=index));
        }
        prop_assert_eq!(merged(&told), expected);
    }
}

#[test]
fn an_unordered_version_is_held_back_until_its_order_would_have_arrived() {
    let start = Instant::now();
    let mut board = settled_board(start);
    let later = start + HOLD_TIME * 2;
    let both = targets(later);
    let allowed = board
        .filter(&service(), &both, false, later)
        .expect("a limit");
    assert_eq!(count_version(&allowed, "v2"), 0);
    let settled = later + HOLD_TIME;
    assert!(board.filter(&service(), &both, false, settled).is_none());
}

#[test]
fn a_service_without_versions_is_not_limited() {
    let now = Instant::now();
    let mut plain = targets(now);
    for target in &mut plain {
        target.version = None;
    }
    let mut board = RolloutBoard::new(0);
    assert!(board.filter(&service(), &plain, false, now).is_none());
}

#[test]
fn a_trial_uses_few_targets_and_only_first_attempts() {
    let now = Instant::now();
    let mut board = settled_board(now);
    board.merge(state(1, RolloutPhase::Trial, 100, 1), now);
    let both = targets(now);
    for _ in 0..100 {
        board.record_reached(&service());
    }
    let retry = board.filter(&service(), &both, true, now).expect("a limit");
    assert_eq!(count_version(&retry, "v2"), 0);
    let mut tried = 0;
    for _ in 0..100 {
        let allowed = board
            .filter(&service(), &both, false, now)
            .expect("a limit");
        if count_version(&allowed, "v2") > 0 {
            tried += 1;
            assert_eq!(allowed.len(), 2, "a tenth of the targets, and two at least");
        }
    }
    assert_eq!(tried, 10);
}

#[test]
fn a_node_out_of_touch_lets_a_version_on_trial_rest() {
    let now = Instant::now();
    let mut board = settled_board(now);
    board.merge(state(1, RolloutPhase::Trial, 500, 1), now);
    for _ in 0..100 {
        board.record_reached(&service());
    }
    let later = now + LEASE;
    let allowed = board
        .filter(&service(), &targets(now), false, later)
        .expect("a limit");
    assert_eq!(count_version(&allowed, "v2"), 0);
}

#[yare::parameterized(
    trial_without_share = { RolloutPhase::Trial, "v1" },
    shifted = { RolloutPhase::Shifted, "v2" },
    closing = { RolloutPhase::Closing, "v2" },
    halted = { RolloutPhase::Halted, "v1" },
    completed = { RolloutPhase::Completed, "v2" },
    rolled_back = { RolloutPhase::RolledBack, "v1" },
)]
fn each_phase_allows_one_version(phase: RolloutPhase, allowed_version: &str) {
    let now = Instant::now();
    let mut board = settled_board(now);
    board.merge(state(1, phase, 0, 1), now);
    for is_retry in [false, true] {
        let allowed = board
            .filter(&service(), &targets(now), is_retry, now)
            .expect("a limit");
        assert_eq!(count_version(&allowed, allowed_version), 10);
        assert_eq!(allowed.len(), 10);
    }
}

#[test]
fn no_call_goes_to_a_version_that_was_given_up_even_if_nothing_else_serves() {
    let now = Instant::now();
    let mut board = settled_board(now);
    board.merge(state(1, RolloutPhase::RolledBack, 0, 1), now);
    let only_new = targets(now)[10..].to_vec();
    let allowed = board.filter(&service(), &only_new, false, now);
    assert_eq!(allowed.map(|allowed| allowed.len()), Some(0));
}

/// An operator who orders another version, or the one that serves, has given the first one
/// up: it gets no call, however long its targets stay.
#[yare::parameterized(
    the_one_that_serves = { "v1", 10 },
    a_third_one = { "v3", 10 },
)]
fn a_version_whose_order_was_replaced_gets_no_call(next: &str, allowed_targets: usize) {
    let now = Instant::now();
    for phase in [
        RolloutPhase::Trial,
        RolloutPhase::Halted,
        RolloutPhase::RolledBack,
    ] {
        let mut board = settled_board(now);
        board.merge(state(1, phase, 40, 1), now);
        let mut later_order = order(2);
        later_order.version = version(next);
        board.merge_order(later_order, node(1), now);
        for seconds in [0, 10] {
            let later = now + Duration::from_secs(seconds);
            let allowed = board
                .filter(&service(), &targets(later), false, later)
                .expect("a limit");
            assert_eq!(
                count_version(&allowed, "v2"),
                0,
                "{phase} after {seconds} s"
            );
            assert_eq!(allowed.len(), allowed_targets);
        }
    }
}

#[test]
fn old_gates_close_only_when_the_new_version_has_all_calls() {
    let now = Instant::now();
    for (phase, is_closed) in [
        (RolloutPhase::Trial, false),
        (RolloutPhase::Shifted, false),
        (RolloutPhase::Closing, true),
        (RolloutPhase::Halted, false),
        (RolloutPhase::Completed, true),
        (RolloutPhase::RolledBack, false),
    ] {
        let mut board = settled_board(now);
        board.merge(state(1, phase, 0, 1), now);
        let old = version("v1");
        assert_eq!(
            board.is_closed(&service(), Some(&old)),
            is_closed,
            "{phase}"
        );
        let new = version("v2");
        assert!(!board.is_closed(&service(), Some(&new)), "{phase}");
    }
}

/// A restored or trimmed store shows an order again that has ended: it stays ended.
#[test]
fn an_order_that_is_read_again_does_not_begin_again() {
    let now = Instant::now();
    let mut board = settled_board(now);
    board.merge(state(7, RolloutPhase::RolledBack, 0, 3), now);
    assert!(!board.merge_order(order(7), node(1), now));
    assert!(!board.merge_order(order(5), node(1), now));
    assert!(
        board.merge_order(order(9), node(1), now),
        "a later order is a new roll-out"
    );
}

#[test]
fn a_record_restores_the_end_and_the_time_that_has_passed() {
    let now = Instant::now();
    let record = |verdict| RolloutRecord {
        order: order(7),
        started_unix_ms: 1_000_000,
        verdict,
    };
    let mut board = RolloutBoard::new(0);
    board.merge_record(&record(None), node(1), 1_004_000, now);
    let rollout = board.get(&service()).expect("a roll-out");
    assert_eq!(rollout.elapsed(now), Duration::from_secs(4));
    assert_eq!(
        rollout.state.share,
        Permille(0),
        "no call before a node leads again"
    );
    board.merge_record(
        &record(Some(RolloutVerdict::RolledBack)),
        node(1),
        1_004_000,
        now,
    );
    let rollout = board.get(&service()).expect("a roll-out");
    assert_eq!(rollout.state.phase, RolloutPhase::RolledBack);
}

fn inputs(phase: RolloutPhase, share: u16, elapsed_ms: u64) -> PlanInputs {
    PlanInputs {
        phase,
        share: Permille(share),
        elapsed: Duration::from_millis(elapsed_ms),
        limit: Duration::from_secs(10),
        in_phase: Duration::from_secs(1),
        answers: 100,
        finding: None,
        new_slots: 60,
        old_slots: 60,
        is_old_empty: false,
    }
}

/// Plays a roll-out with a decision every 200 ms, and returns the phase, the share and the
/// time at its end, and the calls that the new version got, in thousandths of all calls
/// within the time limit.
fn play(mut change: impl FnMut(&mut PlanInputs)) -> (PlanStep, u64, u64) {
    let (mut phase, mut share, mut since) = (RolloutPhase::Trial, Permille(0), 0);
    let mut exposed = 0;
    for elapsed_ms in (0..10_000).step_by(200) {
        let mut inputs = inputs(phase, share.0, elapsed_ms);
        inputs.in_phase = Duration::from_millis(elapsed_ms - since);
        change(&mut inputs);
        let step = next_step(&inputs);
        match step {
            PlanStep::Share(next) => share = next,
            PlanStep::Enter(next) => (phase, since) = (next, elapsed_ms),
            PlanStep::Complete | PlanStep::RollBack => return (step, elapsed_ms, exposed / 10_000),
            PlanStep::Hold => {}
        }
        exposed += 200
            * match phase {
                RolloutPhase::Trial => u64::from(share.0),
                RolloutPhase::Shifted | RolloutPhase::Closing => 1_000,
                _ => 0,
            };
    }
    (PlanStep::Hold, 10_000, exposed / 10_000)
}

#[test]
fn a_good_version_is_completed_within_its_time() {
    let (step, elapsed_ms, _) = play(|inputs| inputs.is_old_empty = true);
    assert_eq!(step, PlanStep::Complete);
    assert!(elapsed_ms <= 9_000, "{elapsed_ms}");
}

#[yare::parameterized(
    first_step = { 1_000 },
    long_trial = { 4_800 },
    second_step = { 5_400 },
    third_step = { 6_400 },
)]
fn a_version_that_turns_bad_is_halted_before_it_has_a_tenth(bad_at_ms: u64) {
    let finding = wisteriaturn::rollout::evidence::Finding {
        shortcoming: Shortcoming::Failures,
        route: None,
        bad: 20,
        answers: 40,
        usual_permille: 10,
    };
    // It takes two decisions until the evidence of all gates is in.
    let (step, _, exposed) = play(|inputs| {
        if inputs.elapsed >= Duration::from_millis(bad_at_ms + 400) {
            inputs.finding = Some(finding.clone());
        }
    });
    assert_eq!(step, PlanStep::RollBack);
    assert!(exposed <= 100, "{exposed} thousandths");
}

#[yare::parameterized(
    no_target = { 0, 0 },
    too_few_answers = { 60, 10 },
    too_few_slots = { 40, 100 },
)]
fn a_version_that_cannot_be_judged_is_given_up_in_time(new_slots: u64, answers: u32) {
    let (step, elapsed_ms, exposed) = play(|inputs| {
        inputs.new_slots = new_slots;
        inputs.answers = answers;
    });
    assert_eq!(step, PlanStep::RollBack);
    assert!(elapsed_ms < 10_000);
    assert!(exposed <= 200, "{exposed} thousandths");
}

#[test]
fn old_targets_that_are_not_empty_hold_up_the_end() {
    let (step, _, _) = play(|inputs| inputs.is_old_empty = false);
    assert_eq!(step, PlanStep::Hold);
}

#[test]
fn the_share_rises_one_step_after_the_other() {
    let late = inputs(RolloutPhase::Trial, 0, 9_000);
    assert_eq!(next_step(&late), PlanStep::Share(TRIAL_STEPS[0].1));
}

#[yare::parameterized(
    few = { 40, 10, 2 },
    one = { 40, 1, 1 },
    none = { 40, 0, 0 },
    many = { 40, 100, 4 },
    all = { 1_000, 10, 10 },
)]
fn targets_on_trial_get_the_load_of_an_old_one(share: u16, targets: usize, expected: usize) {
    assert_eq!(trial_targets(Permille(share), targets), expected);
}

#[yare::parameterized(
    below = { 0, 0 },
    one = { 1, 0 },
    two = { 2, 2 },
    hundred = { 100, 13 },
    beyond = { 100_000, BUCKETS - 1 },
)]
fn run_times_have_buckets(millis: u64, bucket: usize) {
    assert_eq!(bucket_of(Duration::from_millis(millis)), bucket);
}

/// A kind of version and of service.
#[derive(Debug, Clone, Copy)]
struct Kind {
    /// Part of the answers that fail.
    failing: f64,
    /// Part of the answers that are slow, and by which factor.
    slow: (f64, f64),
    /// Part of the answers of both versions that fail.
    usual: f64,
}

/// Answers of ten old and `new` new targets on two routes, of which one has two calls a
/// second and shows the flaw if `on_one_route`.
fn simulate(kind: Kind, new: u8, answers: u32, seed: u64) -> EvidenceTable {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut table = EvidenceTable::default();
    let route: RouteName = "r".parse().expect("a name");
    for (name, indexes) in [("v1", 0..10_u8), ("v2", 10..10 + new)] {
        let is_new = name == "v2";
        for index in indexes {
            let mut counter = GateCounter::default();
            // Targets differ in speed, and a few runs take far longer.
            let speed = [0.7, 0.7, 1.6][usize::from(index) % 3];
            for _ in 0..answers {
                let mut millis = 90.0 / speed * rng.random_range(0.5..1.8);
                if rng.random_bool(0.03) {
                    millis *= 7.0;
                }
                let mut is_failure = rng.random_bool(kind.usual);
                if is_new {
                    is_failure |= rng.random_bool(kind.failing);
                    if rng.random_bool(kind.slow.0) {
                        millis *= kind.slow.1;
                    }
                }
                let run_time = Duration::from_secs_f64(millis / 1_000.0);
                counter.record(&route, is_failure, run_time);
            }
            let evidence = GateEvidence {
                incarnation: Incarnation(1),
                version: version(name),
                routes: counter.report(),
                in_flight: 0,
                is_closed: false,
            };
            table.record(node(index), evidence);
        }
    }
    table
}

fn found(kind: Kind, new: u8, answers: u32) -> usize {
    (0..400)
        .filter(|seed| {
            let table = simulate(kind, new, answers, *seed);
            table.find_worse(&version("v2")).is_some()
        })
        .count()
}

/// Sound versions are found worse in less than one of a hundred comparisons, also beside a
/// service that fails or a target that is cold.
#[yare::parameterized(
    sound = { Kind { failing: 0.0, slow: (0.0, 1.0), usual: 0.0 } },
    service_fails = { Kind { failing: 0.0, slow: (0.0, 1.0), usual: 0.3 } },
    cold = { Kind { failing: 0.0, slow: (1.0, 1.6), usual: 0.01 } },
)]
fn a_sound_version_is_seldom_found_worse(kind: Kind) {
    for answers in [5, 20, 100] {
        let found = found(kind, 3, answers);
        assert!(found <= 4, "{found} of 400 with {answers} answers a target");
    }
}

/// A bad version is found in 95 of 100 comparisons with 60 answers in all.
#[yare::parameterized(
    half_fails = { Kind { failing: 0.5, slow: (0.0, 1.0), usual: 0.0 } },
    quarter_fails = { Kind { failing: 0.3, slow: (0.0, 1.0), usual: 0.0 } },
    beside_failures = { Kind { failing: 0.5, slow: (0.0, 1.0), usual: 0.1 } },
    half_slow = { Kind { failing: 0.0, slow: (0.5, 8.0), usual: 0.0 } },
)]
fn a_bad_version_is_found_with_few_answers(kind: Kind) {
    let found = found(kind, 3, 20);
    assert!(found >= 380, "{found} of 400");
}

/// A target that is bad by itself says nothing about its version.
#[test]
fn one_bad_target_does_not_condemn_its_version() {
    let sound = Kind {
        failing: 0.0,
        slow: (0.0, 1.0),
        usual: 0.0,
    };
    let mut table = simulate(sound, 3, 40, 1);
    let mut counter = GateCounter::default();
    let route: RouteName = "r".parse().expect("a name");
    for index in 0..40 {
        counter.record(&route, index % 2 == 0, Duration::from_millis(90));
    }
    let evidence = GateEvidence {
        incarnation: Incarnation(1),
        version: version("v2"),
        routes: counter.report(),
        in_flight: 0,
        is_closed: false,
    };
    table.record(node(10), evidence);
    assert_eq!(table.find_worse(&version("v2")), None);
}

/// A version that turns bad late is found by its newest answers.
#[test]
fn new_answers_are_compared_on_their_own() {
    let sound = Kind {
        failing: 0.0,
        slow: (0.0, 1.0),
        usual: 0.0,
    };
    let earlier = simulate(sound, 3, 400, 1);
    let mut table = earlier.clone();
    for index in 10..13 {
        let gate = earlier.get(node(index)).expect("evidence");
        let mut routes = gate.routes.clone();
        routes[0].answers += 20;
        routes[0].failures += 10;
        let gate = GateEvidence {
            routes,
            ..gate.clone()
        };
        table.record(node(index), gate);
    }
    assert_eq!(table.find_worse(&version("v2")), None);
    let finding = table.since(&earlier).find_worse(&version("v2"));
    assert_eq!(finding.map(|finding| finding.bad), Some(30));
}

/// Lost, late and doubled reports change nothing, and a restarted gate counts anew.
#[test]
fn the_newest_report_of_a_gate_counts() {
    let report = |incarnation, answers| GateEvidence {
        incarnation: Incarnation(incarnation),
        version: version("v2"),
        routes: vec![RouteEvidence {
            route: "r".parse().expect("a name"),
            answers,
            failures: 0,
            run_times: Vec::new(),
        }],
        in_flight: 0,
        is_closed: false,
    };
    let mut table = EvidenceTable::default();
    for (incarnation, answers, expected) in
        [(1, 10, 10), (1, 20, 20), (1, 10, 20), (2, 3, 3), (1, 30, 3)]
    {
        table.record(node(1), report(incarnation, answers));
        assert_eq!(table.answers(&version("v2")), expected);
    }
}
