//! Rules of teams: whose key it is, what a team may ask of all nodes together, and who gets
//! what when it asks for more.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wisteriaturn::config::document::ConfigDocument;
use wisteriaturn::config::fold::ConfigState;
use wisteriaturn::config::resource::{Resource, TeamSpec};
use wisteriaturn::config::validate::Rejection;
use wisteriaturn::config::view::ConfigView;
use wisteriaturn::ids::{CallPriority, ConfigVersion, NodeAddress, RequestRate};
use wisteriaturn::team::keeper::{
    AllowanceGrant, AllowanceLimit, AllowanceMargin, KeeperBucket, OVERLAP_TIME,
};
use wisteriaturn::team::key::TeamKey;
use wisteriaturn::team::wallet::{TeamWallet, WalletDecision};

const MARGIN: AllowanceMargin = AllowanceMargin {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

fn node(index: u16) -> NodeAddress {
    SocketAddr::from(([127, 0, (index >> 8) as u8, index as u8], 7000))
}

fn limit(rate: f64, burst: u32) -> AllowanceLimit {
    AllowanceLimit {
        rate: RequestRate::try_from(rate).expect("a rate"),
        burst,
    }
}

fn team(name: &str, keys: &[&str]) -> TeamSpec {
    TeamSpec {
        name: name.parse().expect("a name"),
        keys: keys.iter().map(|key| key.parse().expect("a key")).collect(),
        priority: None,
        rate_per_s: RequestRate::default(),
        burst: 0,
    }
}

fn state_of(teams: Vec<TeamSpec>) -> Result<ConfigState, Rejection> {
    let document = ConfigDocument {
        version: ConfigVersion(1),
        resources: teams.into_iter().map(Resource::Team).collect(),
    };
    ConfigState::try_from(document)
}

#[test]
fn a_key_belongs_to_one_team_and_is_kept_as_its_hash() {
    let state = state_of(vec![team("red", &["k1", "k2"]), team("blue", &["k3"])]);
    let view = ConfigView::try_from(&state.expect("valid teams")).expect("a view");
    for (key, name) in [
        ("k1", Some("red")),
        ("k2", Some("red")),
        ("k3", Some("blue")),
        ("k4", None),
    ] {
        let key: TeamKey = key.parse().expect("a key");
        let found = view.teams.find(key).map(|spec| spec.name.as_str());
        assert_eq!(found, name);
    }
    let text = serde_json::to_string(&team("red", &["secret"])).expect("JSON");
    assert!(!text.contains("secret"), "{text}");
    let read: TeamSpec = serde_json::from_str(&text).expect("a team");
    assert_eq!(read, team("red", &["secret"]));
}

#[test]
fn two_teams_with_one_key_are_rejected() {
    let rejected = state_of(vec![team("red", &["k1"]), team("blue", &["k1"])]);
    assert!(
        matches!(rejected, Err(Rejection::SharedKey { .. })),
        "{rejected:?}"
    );
}

#[yare::parameterized(
    empty_key = { r#"{"name":"red","keys":[""]}"# },
    odd_key = { r#"{"name":"red","keys":["a b"]}"# },
    not_ascii = { r#"{"name":"red","keys":["käse"]}"# },
    bad_hash = { r#"{"name":"red","keys":["hashed:12"]}"# },
    negative_rate = { r#"{"name":"red","rate_per_s":-1.0}"# },
    rate_of_text = { r#"{"name":"red","rate_per_s":"many"}"# },
    negative_burst = { r#"{"name":"red","burst":-1}"# },
    unknown_field = { r#"{"name":"red","quota":1}"# },
    no_name = { r#"{"keys":["k"]}"# },
)]
fn a_team_that_cannot_be_used_is_an_error(text: &str) {
    let read: Result<TeamSpec, _> = serde_json::from_str(text);
    let error = read.expect_err("an error").to_string();
    assert!(!error.contains("käse") && !error.contains("a b"), "{error}");
}

#[test]
fn a_rate_of_zero_is_no_limit() {
    let spec: TeamSpec = serde_json::from_str(r#"{"name":"red","burst":5}"#).expect("a team");
    assert_eq!(spec.limit(), None);
    let spec: TeamSpec =
        serde_json::from_str(r#"{"name":"red","rate_per_s":2.5,"burst":5,"priority":1}"#)
            .expect("a team");
    assert_eq!(spec.limit(), Some(limit(2.5, 5)));
    assert_eq!(spec.priority, Some(CallPriority(1)));
}

#[test]
fn a_question_that_is_repeated_gets_no_calls_twice() {
    let now = Instant::now();
    let limit = limit(100.0, 100);
    let mut bucket = KeeperBucket::filled(limit, MARGIN, Duration::from_secs(10), now);
    let first = bucket.grant(node(1), 7, 5, now);
    assert_eq!(first.calls, 5);
    let later = now + Duration::from_millis(100);
    let again = bucket.grant(node(1), 7, 5, later);
    assert_eq!(again.calls, 5);
    assert_eq!(again.validity_ms, first.validity_ms - 100);
    assert_eq!(
        bucket.grant(node(1), 6, 5, later).calls,
        0,
        "an old question"
    );
    let much_later = now + Duration::from_secs(1);
    assert_eq!(
        bucket.grant(node(1), 7, 5, much_later).calls,
        0,
        "no longer valid"
    );
}

#[test]
fn a_keeper_that_follows_another_one_begins_with_nothing() {
    let now = Instant::now();
    let mut bucket = KeeperBucket::new(limit(100.0, 100), MARGIN, true, now);
    assert_eq!(bucket.grant(node(1), 1, 5, now).calls, 0);
    let tokens = bucket.tokens(now + OVERLAP_TIME);
    let expected = 100.0 * 0.2 * OVERLAP_TIME.as_secs_f64();
    assert!((tokens - expected).abs() < 0.01, "{tokens}");
}

#[test]
fn a_lower_limit_holds_at_once() {
    let now = Instant::now();
    let mut bucket = KeeperBucket::filled(limit(100.0, 100), MARGIN, Duration::from_secs(10), now);
    bucket.set_limit(limit(1.0, 2), now);
    let most = 2.0 + MARGIN.slack / 2.0;
    assert!(bucket.tokens(now) <= most);
    assert!(bucket.tokens(now + Duration::from_secs(60)) <= most);
}

/// A node of the mesh as the property test plays it.
#[derive(Debug)]
struct Player {
    wallet: TeamWallet,
    waiting: u32,
    is_cut: bool,
}

/// A message under way.
#[derive(Debug, Clone, Copy)]
struct Message {
    arrives_at: Instant,
    asker: usize,
    keeper: usize,
    number: u64,
    wanted: u16,
    grant: Option<AllowanceGrant>,
}

/// Plays a team that sends `demand` calls a second through `nodes` nodes for 30 s, with
/// messages that are lost, late and doubled, with nodes that are cut off, and with a keeper
/// that dies and is followed by another one. Returns the times at which calls were made, and
/// the number of calls that arrived.
fn play(
    limit: AllowanceLimit,
    nodes: usize,
    demand: f64,
    loss: f64,
    follows_at: Option<u64>,
    seed: u64,
) -> (Vec<Duration>, u32) {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut players: Vec<Player> = (0..nodes)
        .map(|_| Player {
            wallet: TeamWallet::new(1, start),
            waiting: 0,
            is_cut: false,
        })
        .collect();
    let mut keepers = vec![KeeperBucket::filled(
        limit,
        MARGIN,
        Duration::from_secs(10),
        start,
    )];
    let mut messages: VecDeque<Message> = VecDeque::new();
    let mut made = Vec::new();
    let mut arrived = 0;
    let step = Duration::from_millis(5);
    for tick in 0..6_000_u32 {
        let now = start + step * tick;
        let elapsed_ms = u64::from(tick) * 5;
        if follows_at == Some(elapsed_ms) {
            // Both are asked until every node has heard of the new one.
            keepers.push(KeeperBucket::new(limit, MARGIN, true, now));
        }
        let is_overlapping = follows_at.is_some_and(|at| elapsed_ms < at + 1_000);
        let arrivals = demand * step.as_secs_f64();
        let mut count = arrivals.floor() as u32;
        count += u32::from(rng.random_bool(arrivals.fract()));
        arrived += count;
        for _ in 0..count {
            let index = rng.random_range(0..nodes);
            match players[index].wallet.arrive(now) {
                WalletDecision::Take(_) => made.push(now - start),
                WalletDecision::Wait => players[index].waiting += 1,
                WalletDecision::Refuse(_) => {}
            }
        }
        if loss > 0.0 && rng.random_bool(0.002) {
            let index = rng.random_range(0..nodes);
            players[index].is_cut = !players[index].is_cut;
        }
        for (index, player) in players.iter_mut().enumerate() {
            let Some(question) = player.wallet.question(now) else {
                continue;
            };
            if question.repeats >= 4 {
                // The calls have given up.
                for _ in 0..player.waiting {
                    player.wallet.leave();
                }
                player.waiting = 0;
            }
            let newest = keepers.len() - 1;
            let keeper = if is_overlapping && newest > 0 {
                rng.random_range(0..=newest)
            } else {
                newest
            };
            let copies = if rng.random_bool(0.05) { 2 } else { 1 };
            for _ in 0..copies {
                if !player.is_cut && !rng.random_bool(loss) {
                    messages.push_back(Message {
                        arrives_at: now + Duration::from_millis(rng.random_range(1..60)),
                        asker: index,
                        keeper,
                        number: question.number,
                        wanted: question.wanted,
                        grant: None,
                    });
                }
            }
        }
        for _ in 0..messages.len() {
            let Some(message) = messages.pop_front() else {
                break;
            };
            if message.arrives_at > now {
                messages.push_back(message);
                continue;
            }
            let player = &mut players[message.asker];
            if let Some(grant) = message.grant {
                player.wallet.answer(message.number, grant, now);
                while player.waiting > 0 {
                    match player.wallet.retry(now) {
                        WalletDecision::Take(_) => made.push(now - start),
                        WalletDecision::Wait => break,
                        WalletDecision::Refuse(_) => {}
                    }
                    player.waiting -= 1;
                }
            } else {
                let bucket = &mut keepers[message.keeper];
                let asker = node(message.asker as u16);
                let grant = bucket.grant(asker, message.number, message.wanted, now);
                if !player.is_cut && !rng.random_bool(loss) {
                    messages.push_back(Message {
                        arrives_at: now + Duration::from_millis(rng.random_range(1..60)),
                        grant: Some(grant),
                        ..message
                    });
                }
            }
        }
    }
    (made, arrived)
}

/// Returns the most calls in any window.
fn most_in_window(made: &[Duration]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (index, at) in made.iter().enumerate() {
        while *at - made[first] >= MARGIN.window {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

fn allowed(limit: AllowanceLimit) -> f64 {
    let window = limit.rate.per_second() * 5.0 + f64::from(limit.burst);
    window * (1.0 + MARGIN.overage) + MARGIN.slack
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// In any window, all nodes together make no more calls than the allowance with its
    /// margin, whatever happens to messages, nodes and keepers.
    #[test]
    fn an_allowance_holds_in_any_window(
        rate in 1.0..300.0_f64,
        factor in 0.3..8.0_f64,
        loss in 0.0..0.4_f64,
        follows_at in prop::option::of((0..6_000_u64).prop_map(|at| at * 5)),
        seed in any::<u64>(),
    ) {
        let limit = limit(rate, rate as u32);
        let (made, _) = play(limit, 40, rate * factor, loss, follows_at, seed);
        let most = most_in_window(&made);
        prop_assert!(most as f64 <= allowed(limit), "{most} of {}", allowed(limit));
    }
}

/// Below its allowance a team gets what it asks for, whether each node makes a call a
/// minute or some a second.
#[yare::parameterized(
    small = { 1.4, 2.3 },
    middle = { 20.0, 32.0 },
    large = { 280.0, 450.0 },
)]
fn a_team_within_its_allowance_is_not_refused(demand: f64, rate: f64) {
    let (made, arrived) = play(limit(rate, rate as u32), 82, demand, 0.0, None, 1);
    let share = made.len() as f64 / f64::from(arrived);
    assert!(share > 0.97, "{share}");
}

/// A team that sends several times its allowance still gets what it is allowed.
#[yare::parameterized(
    small = { 3.0 },
    large = { 300.0 },
)]
fn a_hot_team_gets_its_allowance(rate: f64) {
    let (made, _) = play(limit(rate, rate as u32), 82, rate * 6.0, 0.0, None, 1);
    let share = made.len() as f64 / (rate * 30.0);
    assert!(share > 0.85, "{share}");
}

/// Nodes that are cut off use a quarter of the rate together, if all of them are.
#[test]
fn nodes_that_are_cut_off_use_a_part_of_the_rate() {
    let start = Instant::now();
    let rate = RequestRate::try_from(100.0).expect("a rate");
    let mut wallets = vec![TeamWallet::new(1, start); 20];
    let mut taken = 0;
    for tick in 0..1_000 {
        let now = start + Duration::from_millis(tick * 10);
        for wallet in &mut wallets {
            taken += u32::from(wallet.try_take_alone(rate, 20, true, now));
        }
    }
    assert!((200..=250).contains(&taken), "{taken}");
}

/// A refused call costs no message until there may be room again.
#[test]
fn a_team_without_room_is_refused_without_a_question() {
    let now = Instant::now();
    let mut wallet = TeamWallet::new(1, now);
    assert_eq!(wallet.arrive(now), WalletDecision::Wait);
    let question = wallet.question(now).expect("a question");
    let grant = AllowanceGrant {
        calls: 0,
        validity_ms: 500,
        room_in_ms: 300,
    };
    assert!(wallet.answer(question.number, grant, now));
    assert!(matches!(wallet.retry(now), WalletDecision::Refuse(_)));
    let soon = now + Duration::from_millis(200);
    for _ in 0..100 {
        assert!(matches!(wallet.arrive(soon), WalletDecision::Refuse(_)));
    }
    assert_eq!(wallet.question(soon), None);
    let later = now + Duration::from_millis(400);
    assert_eq!(wallet.arrive(later), WalletDecision::Wait);
    assert!(wallet.question(later).is_some());
}

/// A call that a gate refused can be made by another one, as long as it is valid.
#[test]
fn a_call_that_was_not_made_is_given_back() {
    let now = Instant::now();
    let mut wallet = TeamWallet::new(1, now);
    wallet.arrive(now);
    let question = wallet.question(now).expect("a question");
    let grant = AllowanceGrant {
        calls: 1,
        validity_ms: 300,
        room_in_ms: 0,
    };
    wallet.answer(question.number, grant, now);
    let WalletDecision::Take(valid_until) = wallet.retry(now) else {
        panic!("no call");
    };
    assert_eq!(wallet.held(now), 0);
    wallet.give_back(valid_until);
    assert_eq!(wallet.held(now + Duration::from_millis(299)), 1);
    assert_eq!(wallet.held(now + Duration::from_millis(300)), 0);
}

/// Calls that were handed out are not made after their validity.
#[test]
fn handed_out_calls_lapse() {
    let now = Instant::now();
    let mut wallet = TeamWallet::new(1, now);
    wallet.arrive(now);
    let question = wallet.question(now).expect("a question");
    let grant = AllowanceGrant {
        calls: 10,
        validity_ms: 300,
        room_in_ms: 0,
    };
    wallet.answer(question.number, grant, now + Duration::from_millis(50));
    assert_eq!(wallet.held(now + Duration::from_millis(299)), 10);
    assert_eq!(wallet.held(now + Duration::from_millis(300)), 0);
}
