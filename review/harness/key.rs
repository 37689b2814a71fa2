//! Two consumers on two machines send different orders, on different paths, that bear the
//! same `Idempotency-Key`, since each of them numbers its own orders.

use std::thread;
use std::time::Duration;

use crate::backend::{Backend, Reply, count_runs};
use crate::client::Attempt;
use crate::{Setup, Verdict};

const CONFIG: &str = r#"{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"hulo84.example","rules":[{"name":"r-book","kind":"unsafe","target_latency":"500ms","priority":1,"match":{"path_prefix":"/book/"},"action":{"service":"dispatch","timeout":"1200ms","max_attempts":2}}]}],"clusters":[{"name":"tracker","health_path":"/health","max_connections":110,"protocol":"h1","tls":false},{"name":"dispatch","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}]}"#;

const ORDERS: usize = 5;

pub fn run(setup: &Setup) -> Verdict {
    setup.store.write_config(CONFIG);
    let plans = [
        ("tracker", "ne-a"),
        ("dispatch", "ne-a"),
        ("dispatch", "mid-a"),
    ];
    let nodes = setup.start_nodes(&plans, "6s")?;
    let start = |index: usize, id: &str| {
        Backend::start(
            id,
            "dispatch",
            &nodes[index],
            &setup.record,
            |backend, request| Reply::Answer(backend.run(request, Duration::from_millis(40))),
        )
    };
    let backends = [start(1, "i-one")?, start(2, "i-two")?];
    setup.settle();
    let mut foreign = Vec::new();
    let mut answered = Vec::new();
    for order in 0..ORDERS {
        for (consumer, path, node) in [
            ("tablet-a", "/book/kitchen", 0),
            ("tablet-b", "/book/cellar", 1),
        ] {
            let id = format!("{consumer}-{order}");
            let mut attempt = Attempt::new("POST", "hulo84.example", path, &id);
            if setup.has_trouble {
                attempt
                    .headers
                    .push(("Idempotency-Key", format!("{order}")));
            }
            let Ok(answer) = attempt.send(nodes[node].ingress, &setup.record) else {
                continue;
            };
            if answer.head.status() == 200 {
                answered.push(id.clone());
                if answer.head.request_id() != id {
                    foreign.push((id, answer.head.request_id().to_owned()));
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    thread::sleep(Duration::from_secs(1));
    let counts = count_runs(&[&backends[0], &backends[1]]);
    let unrun: Vec<_> = answered
        .iter()
        .filter(|id| !counts.contains_key(*id))
        .collect();
    let summary = format!(
        "{} orders answered 200; answers of another request (asked, got): {foreign:?}; \
         answered 200 and never run: {unrun:?}",
        answered.len()
    );
    setup.record.line(&summary);
    Ok((!foreign.is_empty()).then(|| format!("MIXED: {summary}")))
}
