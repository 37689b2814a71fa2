//! A node gets SIGTERM while its own backend has a long run. Until that run ends the node
//! takes further requests, and cuts them at the end of its grace.

use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Reply};
use crate::client::Attempt;
use crate::deploy::SIGTERM;
use crate::{Setup, Verdict};

const CONFIG: &str = r#"{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"hulo84.example","rules":[{"name":"r-publish","kind":"unsafe","target_latency":"600ms","priority":1,"match":{"path_prefix":"/publish/"},"action":{"service":"publisher-desk","timeout":"2500ms","max_attempts":2}}]},{"host":"jepu9.example","rules":[{"name":"r-table","kind":"safe","target_latency":"2000ms","priority":2,"match":{"path_prefix":"/table/"},"action":{"service":"datavault","timeout":"8000ms","max_attempts":2}}]}],"clusters":[{"name":"portal","health_path":"/health","max_connections":120,"protocol":"h1","tls":false},{"name":"publisher-desk","health_path":"/health","max_connections":120,"protocol":"h1","tls":false},{"name":"datavault","health_path":"/health","max_connections":120,"protocol":"h1","tls":false}]}"#;

/// Work of a long table. The longest of the site file is 3,800 ms at speed 1, and the
/// slowest backends have a speed of 0.7.
const TABLE_WORK: Duration = Duration::from_millis(5_200);

/// Work of an order, as long as the time within which it earns its full worth.
const ORDER_WORK: Duration = Duration::from_millis(600);

/// Times from the SIGTERM to the orders.
const ORDERS_AT_MS: [u64; 5] = [4_750, 4_800, 4_850, 4_900, 4_950];

/// The grace of the small sites.
const GRACE: &str = "6s";

pub fn run(setup: &Setup) -> Verdict {
    setup.store.write_config(CONFIG);
    let plans = [
        ("datavault", "hanoi-a"),
        ("portal", "hanoi-b"),
        ("publisher-desk", "danang-a"),
    ];
    let mut nodes = setup.start_nodes(&plans, GRACE)?;
    let start = |index: usize, id: &str, work: Duration| {
        let service = &nodes[index].plan.service;
        Backend::start(
            id,
            service,
            &nodes[index],
            &setup.record,
            move |backend, request| Reply::Answer(backend.run(request, work)),
        )
    };
    let _vault = start(0, "i-vault", TABLE_WORK)?;
    let desk = start(2, "i-desk", ORDER_WORK)?;
    setup.settle();
    let (elsewhere, record) = (nodes[1].ingress, setup.record.clone());
    let table = thread::spawn(move || {
        let mut attempt = Attempt::new("GET", "jepu9.example", "/table/2f", "table");
        attempt.deadline = Duration::from_secs(8);
        attempt.send(elsewhere, &record)
    });
    thread::sleep(Duration::from_millis(100));
    let stopped_at = Instant::now();
    if setup.has_trouble {
        nodes[0].signal(SIGTERM);
    }
    let orders: Vec<_> = ORDERS_AT_MS
        .into_iter()
        .map(|sent_at_ms| {
            let (node, record) = (nodes[0].ingress, setup.record.clone());
            thread::spawn(move || {
                let sent_at = stopped_at + Duration::from_millis(sent_at_ms);
                thread::sleep(sent_at.saturating_duration_since(Instant::now()));
                let id = format!("order-{sent_at_ms}");
                let mut attempt = Attempt::new("POST", "hulo84.example", "/publish/2f", &id);
                attempt.deadline = Duration::from_millis(2_500);
                let answer = attempt.send(node, &record);
                (id, answer, Instant::now())
            })
        })
        .collect();
    let answers: Vec<_> = orders
        .into_iter()
        .filter_map(|order| order.join().ok())
        .collect();
    let _ = table.join();
    if setup.has_trouble {
        nodes[0].wait_for_exit();
    }
    thread::sleep(Duration::from_secs(1));
    let mut cut = Vec::new();
    let runs = desk.runs.lock().expect("the lock").clone();
    for (id, answer, ended_at) in &answers {
        let is_whole = answer
            .as_ref()
            .is_ok_and(|answer| answer.head.get("x-wisteriaturn-server-stamp").is_some());
        let was_at_work = runs.iter().any(|run| {
            run.request_id == *id
                && run.began < *ended_at
                && run.ended.is_none_or(|ended| ended > *ended_at)
        });
        if !is_whole && was_at_work {
            let status = answer.as_ref().map_or(0, |answer| answer.head.status());
            let seconds = ended_at.duration_since(stopped_at).as_secs_f64();
            cut.push(format!("{id}: status {status} at {seconds:.3} s"));
        }
    }
    let summary = format!(
        "{} of {} orders that the node took later than 3 s after its SIGTERM were broken off while \
         their backend was at work (status 0: closed without an answer): {cut:?}",
        cut.len(),
        answers.len()
    );
    setup.record.line(&summary);
    Ok((!cut.is_empty()).then(|| format!("LOST: {summary}")))
}
