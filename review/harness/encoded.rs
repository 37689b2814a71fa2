//! A backend hands out some answers with a `Content-Encoding` that nobody asked for.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Reply};
use crate::client::Attempt;
use crate::http::{Message, encode};
use crate::{Setup, Verdict};

const CONFIG: &str = r#"{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"jepu9.example","rules":[{"name":"r-page","kind":"safe","target_latency":"500ms","priority":2,"match":{"path_prefix":"/page/"},"action":{"service":"portal","timeout":"2000ms","max_attempts":2}}]}],"clusters":[{"name":"portal","health_path":"/health","max_connections":110,"protocol":"h1","tls":false},{"name":"datavault","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}]}"#;

const FAULT_TIME: Duration = Duration::from_secs(5);

/// One answer in so many is spoiled: 2 %, the default of `x`.
const SPOILED: u64 = 50;

pub fn run(setup: &Setup) -> Verdict {
    setup.store.write_config(CONFIG);
    let plans = [
        ("datavault", "hanoi-a"),
        ("portal", "hanoi-a"),
        ("portal", "hanoi-b"),
    ];
    let nodes = setup.start_nodes(&plans, "6s")?;
    let is_faulty = Arc::new(AtomicBool::new(false));
    let start = |index: usize, id: &str, can_be_faulty: bool| {
        let (is_faulty, count) = (Arc::clone(&is_faulty), AtomicU64::new(0));
        let behaviour = move |backend: &Backend, request: &Message| {
            let number = count.fetch_add(1, Ordering::SeqCst);
            let answer = backend.run(request, Duration::from_millis(20));
            let is_spoiled = can_be_faulty && number % SPOILED == SPOILED - 1;
            if !is_spoiled || !is_faulty.load(Ordering::SeqCst) {
                return Reply::Answer(answer);
            }
            let id = request.head.request_id();
            let stamp = format!("stamp.{}.{id}", backend.id);
            let headers = [
                ("X-Wisteriaturn-Request-Id", id),
                ("X-Wisteriaturn-Server-Stamp", stamp.as_str()),
                ("Content-Encoding", "gzip"),
            ];
            Reply::Answer(encode(
                "HTTP/1.1 200 OK",
                &headers,
                b"\x1f\x8b bytes of no page",
            ))
        };
        Backend::start(id, "portal", &nodes[index], &setup.record, behaviour)
    };
    let _backends = [start(1, "i-one", true)?, start(2, "i-two", false)?];
    setup.settle();
    is_faulty.store(setup.has_trouble, Ordering::SeqCst);
    let until = Instant::now() + FAULT_TIME;
    let consumers: Vec<_> = (0..8)
        .map(|consumer| {
            let (node, record) = (nodes[0].ingress, setup.record.clone());
            thread::spawn(move || {
                let (mut wrong, mut sent) = (Vec::new(), 0);
                while Instant::now() < until {
                    let id = format!("c{consumer}-{sent}");
                    sent += 1;
                    let mut attempt = Attempt::new("GET", "jepu9.example", "/page/2f", &id);
                    attempt
                        .headers
                        .push(("Accept-Encoding", "identity".to_owned()));
                    let answer = attempt.send(node, &record);
                    if answer.is_ok_and(|answer| {
                        answer.head.status() == 200 && answer.head.get("content-encoding").is_some()
                    }) {
                        wrong.push(id);
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                (wrong, sent)
            })
        })
        .collect();
    let (mut wrong, mut sent) = (Vec::new(), 0);
    for consumer in consumers {
        let (ids, count) = consumer.join().unwrap_or_default();
        wrong.extend(ids);
        sent += count;
    }
    let summary = format!(
        "{} of {sent} requests got a success with a body that isn't the backend's: {wrong:?}",
        wrong.len()
    );
    setup.record.line(&summary);
    Ok((!wrong.is_empty()).then(|| format!("MIXED: {summary}")))
}
