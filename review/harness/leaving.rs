//! A backend says that it leaves; then all nodes are killed and start again, and a
//! heartbeat from before arrives late.

use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Reply};
use crate::client::Attempt;
use crate::deploy::SIGKILL;
use crate::{Setup, Verdict};

const CONFIG: &str = r#"{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"hulo84.example","rules":[{"name":"r-book","kind":"unsafe","target_latency":"500ms","priority":1,"match":{"path_prefix":"/book/"},"action":{"service":"dispatch","timeout":"1200ms","max_attempts":2}}]}],"clusters":[{"name":"tracker","health_path":"/health","max_connections":110,"protocol":"h1","tls":false},{"name":"dispatch","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}]}"#;

/// A killed process is started again after a short delay.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// The `contact` of the site files: after it, restarted machines are in touch.
const CONTACT: Duration = Duration::from_secs(3);

/// The `drain` of the site files.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for which consumers send orders.
const ORDERS_FOR: Duration = Duration::from_secs(2);

/// Time after the first order at which the backend ends, over 4 s after the acknowledgement.
const ENDS_AFTER: Duration = Duration::from_millis(1_000);

pub fn run(setup: &Setup) -> Verdict {
    setup.store.write_config(CONFIG);
    let plans = [
        ("tracker", "ne-a"),
        ("dispatch", "ne-a"),
        ("dispatch", "ne-a"),
    ];
    let mut nodes = setup.start_nodes(&plans, "6s")?;
    let start = |index: usize, id: &str| {
        Backend::start(
            id,
            "dispatch",
            &nodes[index],
            &setup.record,
            |backend, request| Reply::Answer(backend.run(request, Duration::from_millis(300))),
        )
    };
    let backends = [start(1, "i-one")?, start(2, "i-two")?];
    setup.settle();
    // This heartbeat is under way when the backend begins to leave.
    let late_beat = backends[0].next_beat("ready");
    let begun_at = Instant::now();
    backends[0].set_beats(false);
    thread::sleep(Duration::from_millis(200));
    let status = backends[0].send_beat(&backends[0].departure())?;
    let acknowledged_at = Instant::now();
    setup.record.line(&format!(
        "i-one says that it is gone; its node answers {status}"
    ));
    thread::sleep(Duration::from_millis(500));
    if setup.has_trouble {
        for node in &nodes {
            node.signal(SIGKILL);
        }
        for node in &mut nodes {
            node.wait_for_exit();
        }
        thread::sleep(DOWN_TIME);
        for node in &mut nodes {
            node.spawn()?;
        }
        for node in &nodes {
            node.wait_ready(Duration::from_secs(10))?;
        }
    } else {
        thread::sleep(DOWN_TIME);
    }
    let restarted_at = Instant::now();
    let status = backends[0].send_beat(&late_beat)?;
    setup.record.line(&format!(
        "the heartbeat of i-one arrives {:.1} s late; its node answers {status}",
        begun_at.elapsed().as_secs_f64()
    ));
    // From here on all machines are in touch again.
    let in_touch_at = restarted_at + CONTACT + Duration::from_millis(200);
    thread::sleep(in_touch_at.saturating_duration_since(Instant::now()));
    setup.record.line("all machines are in touch");
    let ingress = nodes[0].ingress;
    let first_at = Instant::now();
    let mut has_ended = false;
    let mut senders = Vec::new();
    let mut number = 0;
    while first_at.elapsed() < ORDERS_FOR {
        if !has_ended && first_at.elapsed() > ENDS_AFTER {
            backends[0].end();
            has_ended = true;
        }
        let id = format!("order-{number}");
        number += 1;
        let record = setup.record.clone();
        senders.push(thread::spawn(move || {
            let attempt = Attempt::new("POST", "hulo84.example", "/book/2f", &id);
            let answer = attempt.send(ingress, &record);
            (id, answer.map_or(0, |answer| answer.head.status()))
        }));
        thread::sleep(Duration::from_millis(50));
    }
    let answers: Vec<_> = senders
        .into_iter()
        .filter_map(|sender| sender.join().ok())
        .collect();
    let late_runs: Vec<String> = {
        let runs = backends[0].runs.lock().expect("the lock");
        let bound = (acknowledged_at + DRAIN).max(in_touch_at);
        let late = runs.iter().filter(|run| run.began > bound);
        late.map(|run| run.request_id.clone()).collect()
    };
    let lost: Vec<_> = answers
        .iter()
        .filter(|(id, status)| *status != 200 && late_runs.contains(id))
        .collect();
    let summary = format!(
        "{} of {number} orders reached i-one later than {DRAIN:?} after its departure was acknowledged; \
         of these, i-one was at work when it ended on {lost:?} (order, status)",
        late_runs.len()
    );
    setup.record.line(&summary);
    Ok((!late_runs.is_empty()).then(|| format!("DRAIN: {summary}")))
}
