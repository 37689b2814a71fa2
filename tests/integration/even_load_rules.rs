//! Rules of even load on old news, of calls that runs make, and of answers that share a link.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use wisteriaturn::clock::{Clock, ManualClock};
use wisteriaturn::config::resource::CallClass;
use wisteriaturn::config::view::TargetEntry;
use wisteriaturn::gate::pace::{ExpectedAnswer, LinkPacer};
use wisteriaturn::gate::slots::{QueueRank, SlotGate, SlotRequest};
use wisteriaturn::ids::{CallPriority, Incarnation, LinkRate, NodeAddress};
use wisteriaturn::route::load::ServiceLoad;
use wisteriaturn::route::news::{MAX_NEWS, MAX_NEWS_AGE, NewsList, TargetNews};

fn node(index: u8) -> NodeAddress {
    SocketAddr::from(([10, 0, 0, index], 7335))
}

fn target(index: u8, now: Instant) -> TargetEntry {
    TargetEntry {
        node: node(index),
        hop: node(index),
        incarnation: Incarnation(1),
        region: "north".parse().expect("a region"),
        data_centre: "n1".parse().expect("a data centre"),
        slots: 6,
        link: LinkRate::default(),
        serving_since: now,
        is_suspect: false,
        version: None,
    }
}

fn news(index: u8, busy: u32, age_ms: u64) -> TargetNews {
    TargetNews {
        node: node(index),
        busy,
        age: Duration::from_millis(age_ms),
    }
}

proptest! {
    #[test]
    fn news_survives_its_text_form(
        items in prop::collection::vec((any::<u8>(), 0..256_u32, 0..256_u64), 0..=MAX_NEWS),
    ) {
        let list = NewsList(items.iter().map(|(index, busy, age)| news(*index, *busy, age * 8)).collect());
        prop_assert_eq!(list.to_string().parse(), Ok(list));
    }

    #[test]
    fn odd_text_is_no_news(text in "\\PC{0,100}") {
        let _ = text.parse::<NewsList>();
    }
}

#[test]
fn the_newest_report_of_a_target_counts_wherever_it_comes_from() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut load = ServiceLoad::with_shared_news();
    let target = target(1, now);
    assert_eq!(load.believed(&target, now).age, None);
    load.record_news(news(1, 4, 300), now);
    assert_eq!(load.believed(&target, now).busy, 4);
    load.record_news(news(1, 2, 500), now);
    assert_eq!(load.believed(&target, now).busy, 4, "older news");
    load.record_load(target.node, 5, now);
    load.record_news(news(1, 1, 100), now);
    assert_eq!(
        load.believed(&target, now).busy,
        5,
        "older than the own report"
    );
    load.record_news(news(9, 1, 100), now);
    assert_eq!(
        load.newest_news(node(1), 8, now),
        [],
        "a target that is not considered"
    );
}

#[test]
fn calls_begun_since_the_news_are_added() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut load = ServiceLoad::with_shared_news();
    let target = target(1, now);
    load.start_attempt(&target, now - Duration::from_millis(500));
    load.start_attempt(&target, now - Duration::from_millis(100));
    load.record_news(news(1, 3, 300), now);
    assert_eq!(load.believed(&target, now).busy, 4);
}

#[test]
fn news_fades() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut load = ServiceLoad::with_shared_news();
    let target = target(1, now);
    load.believed(&target, now);
    load.record_news(news(1, 6, 0), now);
    let weights: Vec<f64> = [0, 200, 1_000]
        .into_iter()
        .map(|age| {
            load.believed(&target, now + Duration::from_millis(age))
                .weight
        })
        .collect();
    assert!(weights[0] > 0.99 && weights[0] > weights[1] && weights[1] > weights[2]);
    assert!(weights[2] < 0.1, "{weights:?}");
    let later = now + MAX_NEWS_AGE + Duration::from_millis(1);
    assert_eq!(load.newest_news(node(2), 8, later), []);
}

/// Unless the settings call for it, nothing is taken from others and a report counts in full.
#[test]
fn without_shared_news_a_report_counts_as_before() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut load = ServiceLoad::default();
    let target = target(1, now);
    load.believed(&target, now);
    load.record_news(news(1, 6, 0), now);
    let believed = load.believed(&target, now);
    assert_eq!((believed.busy, believed.weight), (0, 1.0));
    assert_eq!(believed.usual_wait(6), 0.0);
    load.record_load(target.node, 3, now);
    assert_eq!(load.newest_news(node(2), 8, now), []);
}

#[test]
fn more_load_is_a_longer_usual_wait() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut load = ServiceLoad::with_shared_news();
    let target = target(1, now);
    let mut last = 0.0;
    for busy in [1, 2, 4, 5] {
        for _ in 0..200 {
            load.believed(&target, now);
            load.record_load(target.node, busy, now);
        }
        let wait = load.believed(&target, now).usual_wait(6);
        assert!(wait > last && wait.is_finite(), "{busy}: {last} -> {wait}");
        last = wait;
    }
}

/// A run at work holds a slot that is lost if one of its calls fails, so these go first: also
/// before the calls of more urgent teams.
#[tokio::test]
async fn the_calls_of_runs_go_before_first_hand_calls() {
    let clock = ManualClock::new();
    let gate = SlotGate::new(1, clock.clone());
    let now = clock.now();
    let request = |rank| SlotRequest {
        rank,
        soft_deadline: now + Duration::from_secs(1),
        deadline: now + Duration::from_secs(2),
        expected_run_time: Duration::from_millis(50),
        max_wait: Duration::MAX,
    };
    let first_hand = QueueRank::new(CallClass::Interactive, CallPriority(0));
    let of_run = QueueRank::of_run(CallClass::Interactive);
    let running = gate.acquire_for(request(first_hand)).await.expect("a slot");
    let mut waiting_first = Box::pin(gate.acquire_for(request(first_hand)));
    let mut waiting_of_run = Box::pin(gate.acquire_for(request(of_run)));
    assert!(futures_pending(&mut waiting_first) && futures_pending(&mut waiting_of_run));
    drop(running);
    assert!(waiting_of_run.await.is_ok());
    drop(waiting_first);
}

fn futures_pending<F>(future: &mut std::pin::Pin<Box<F>>) -> bool
where
    F: Future,
{
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    future.as_mut().poll(&mut context).is_pending()
}

/// A target that is full of long calls, and lookups with a short soft deadline that come in
/// between: how many of them are served, with and without the decision, and how many of
/// the long ones.
#[test]
fn short_calls_keep_their_place_in_a_burst_of_long_ones() {
    let play = |keeps_place: bool| {
        let clock = ManualClock::new();
        let gate = SlotGate::new(2, clock.clone());
        let start = clock.now();
        let millis = Duration::from_millis;
        let (mut waiting, mut running) = (Vec::new(), Vec::new());
        let mut served = [0, 0];
        for tick in 0..400_u32 {
            let now = start + millis(5) * tick;
            clock.advance(now - clock.now());
            running.retain(|(ends_at, _)| *ends_at > now);
            // The long calls alone ask for a fifth more than there is.
            let arrivals = [(tick % 9 == 0, 0), (tick % 8 == 0, 1)];
            for (_, kind) in arrivals.into_iter().filter(|(arrives, _)| *arrives) {
                let (run, soft, deadline) = [(110, 600, 1_200), (22, 80, 250)][kind];
                let request = SlotRequest {
                    rank: QueueRank::new(CallClass::Interactive, CallPriority(1)),
                    soft_deadline: now + millis(soft),
                    deadline: now + millis(deadline),
                    expected_run_time: millis(run),
                    max_wait: Duration::MAX,
                };
                let request = if keeps_place {
                    request.if_short(gate.load().mean_run_time)
                } else {
                    request
                };
                let gate = gate.clone();
                let slot = Box::pin(async move { gate.acquire_for(request).await });
                waiting.push((kind, run, slot));
            }
            let mut index = 0;
            while index < waiting.len() {
                let mut context = std::task::Context::from_waker(std::task::Waker::noop());
                match waiting[index].2.as_mut().poll(&mut context) {
                    std::task::Poll::Ready(outcome) => {
                        let (kind, run, _) = waiting.remove(index);
                        if let Ok(permit) = outcome {
                            served[kind] += 1;
                            running.push((now + millis(run), permit));
                        }
                    }
                    std::task::Poll::Pending => index += 1,
                }
            }
        }
        served
    };
    let (with, without) = (play(true), play(false));
    println!("long and short calls served: {without:?} -> {with:?}");
    assert!(with[1] * 10 > without[1] * 12, "{without:?} -> {with:?}");
    assert!(with[0] * 10 >= without[0] * 7, "{without:?} -> {with:?}");
}

const LINK: LinkRate = LinkRate(10_000);

/// Large answers are sent one after the other, with room on the link for small ones.
#[test]
fn answers_share_a_link_one_after_the_other() {
    let now = Instant::now();
    let mut pacer = LinkPacer::default();
    // 90 kB take 72 ms on a link of 10 Mbit/s.
    let waits: Vec<u128> = (0..3)
        .map(|_| pacer.take(LINK, 90_000, now).as_millis())
        .collect();
    assert_eq!(waits, [0, 90, 180]);
    assert_eq!(pacer.wait(now + Duration::from_secs(1)), Duration::ZERO);
    assert_eq!(
        pacer.take(LinkRate::default(), 90_000, now + Duration::from_secs(1)),
        Duration::ZERO
    );
}

#[yare::parameterized(
    small_answer = { 2_000.0, 5_000, true },
    free_link = { 90_000.0, 0, true },
    short_queue = { 90_000.0, 1_000, true },
    long_queue = { 90_000.0, 2_500, false },
)]
fn a_download_that_would_come_late_does_not_run(bytes: f64, link_wait_ms: u64, is_in_time: bool) {
    let expected = ExpectedAnswer {
        link: LINK,
        bytes,
        link_wait: Duration::from_millis(link_wait_ms),
        run_time: Duration::from_millis(180),
    };
    assert_eq!(
        expected.is_in_time(Duration::from_millis(2_500)),
        is_in_time
    );
}

/// Three times what a link carries, for six seconds: the answers that come in time, with and
/// without the decision, if every one takes its turn.
#[test]
fn an_overloaded_link_serves_what_it_can_in_time() {
    let start = Instant::now();
    let play = |refuses: bool| {
        let mut pacer = LinkPacer::default();
        let mut in_time = 0;
        for call in 0..250 {
            let now = start + Duration::from_millis(call * 24);
            let run_time = Duration::from_millis(180);
            let expected = ExpectedAnswer {
                link: LINK,
                bytes: 90_000.0,
                link_wait: pacer.wait(now),
                run_time,
            };
            if refuses && !expected.is_in_time(Duration::from_millis(2_500)) {
                continue;
            }
            let wait = pacer.take(LINK, 90_000, now + run_time);
            let took = run_time + wait + LINK.transfer_time(90_000.0);
            in_time += usize::from(took <= Duration::from_millis(2_500));
        }
        in_time
    };
    let (with, without) = (play(true), play(false));
    assert!(with > without + 10, "{without} -> {with}");
}
