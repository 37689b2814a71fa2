//! A backend rejects some requests and sends a rejection a second time, late.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Reply, count_runs};
use crate::client::Attempt;
use crate::{Setup, Verdict};

const CONFIG: &str = r#"{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"hulo84.example","rules":[{"name":"r-book","kind":"unsafe","target_latency":"500ms","priority":1,"match":{"path_prefix":"/book/"},"action":{"service":"dispatch","timeout":"1200ms","max_attempts":2}}]}],"clusters":[{"name":"tracker","health_path":"/health","max_connections":110,"protocol":"h1","tls":false},{"name":"dispatch","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}]}"#;

/// The longest `for_s` of an `extra late` in the site files.
const FAULT_TIME: Duration = Duration::from_secs(5);

/// One answer in so many is a rejection: 2.9 %, below the 3 % (`x = 0.03`) of answers that
/// the site files let a faulty backend send twice.
const REJECTED: u64 = 35;

const WORK: Duration = Duration::from_millis(20);

/// Consumers that send one request after the other.
const CONSUMERS: usize = 10;

pub fn run(setup: &Setup) -> Verdict {
    setup.store.write_config(CONFIG);
    let plans = [
        ("tracker", "ne-a"),
        ("dispatch", "ne-a"),
        ("dispatch", "ne-a"),
    ];
    let nodes = setup.start_nodes(&plans, "6s")?;
    let is_faulty = Arc::new(AtomicBool::new(false));
    let start = |index: usize, id: &str, can_be_faulty: bool| {
        let (is_faulty, count) = (Arc::clone(&is_faulty), AtomicU64::new(0));
        let behaviour = move |backend: &Backend, request: &crate::http::Message| {
            let number = count.fetch_add(1, Ordering::SeqCst);
            if !can_be_faulty || number % REJECTED != REJECTED - 1 {
                return Reply::Answer(backend.run(request, WORK));
            }
            let rejection = backend.shed(request);
            if is_faulty.load(Ordering::SeqCst) {
                Reply::AnswerAndLate(rejection.clone(), rejection)
            } else {
                Reply::Answer(rejection)
            }
        };
        Backend::start(id, "dispatch", &nodes[index], &setup.record, behaviour)
    };
    // One of two backends is faulty; the site files name a share of up to 0.6.
    let backends = [start(1, "i-one", true)?, start(2, "i-two", false)?];
    setup.settle();
    is_faulty.store(setup.has_trouble, Ordering::SeqCst);
    let until = Instant::now() + FAULT_TIME;
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let (node, record) = (nodes[0].ingress, setup.record.clone());
            thread::spawn(move || {
                let mut refused = Vec::new();
                let mut number = 0;
                while Instant::now() < until {
                    let id = format!("c{consumer}-{number}");
                    let attempt = Attempt::new("POST", "hulo84.example", "/book/2f", &id);
                    let answer = attempt.send(node, &record);
                    if answer.is_ok_and(|answer| answer.head.status() == 503) {
                        refused.push(id);
                    }
                    number += 1;
                    thread::sleep(Duration::from_millis(5));
                }
                refused
            })
        })
        .collect();
    let mut refused = Vec::new();
    for consumer in consumers {
        refused.extend(consumer.join().unwrap_or_default());
    }
    thread::sleep(Duration::from_secs(2));
    let counts = count_runs(&[&backends[0], &backends[1]]);
    let twice: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    let refused_and_run: Vec<_> = refused
        .iter()
        .filter(|id| counts.contains_key(*id))
        .collect();
    let summary = format!(
        "{} unsafe requests ran; {} ran twice {:?}; {} were answered 503 though they ran {:?}",
        counts.len(),
        twice.len(),
        twice,
        refused_and_run.len(),
        refused_and_run
    );
    setup.record.line(&summary);
    let is_broken = !twice.is_empty() || !refused_and_run.is_empty();
    Ok(is_broken.then(|| format!("TWICE: {summary}")))
}
