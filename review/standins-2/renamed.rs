//! The operator writes a version in which the rules of two hosts bear the same name.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[path = "lib.rs"]
mod lib;
use lib::*;

/// `config_apply` and `contact` of the deployment, in seconds.
const CONFIG_APPLY: f64 = 2.0;

fn rule(name: &str, path: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"kind\":\"safe\",\"target_latency\":\"500ms\",\"priority\":1,\
         \"match\":{{\"path_prefix\":\"{path}\"}},\"action\":{{\"service\":\"{service}\",\
         \"timeout\":\"1000ms\",\"max_attempts\":2}}}}"
    )
}

fn document(listeners: &[(&str, Vec<String>)]) -> String {
    let listeners: Vec<_> = listeners
        .iter()
        .map(|(host, rules)| format!("{{\"host\":\"{host}\",\"rules\":[{}]}}", rules.join(",")))
        .collect();
    format!(
        "{},\"listeners\":[{}],\"clusters\":[\
         {{\"name\":\"orders\",\"health_path\":\"/health\",\"max_connections\":120}},\
         {{\"name\":\"pages\",\"health_path\":\"/health\",\"max_connections\":120}}]",
        limits(),
        listeners.join(",")
    )
}

fn run() -> i32 {
    let record = Record::new(std::env::var("RECORD").expect("RECORD").as_ref());
    let has_trouble = has_trouble();
    let services = ["orders", "orders", "orders", "pages", "pages", "pages"];
    let deployment = Deployment::start(&services, &[]);
    let (store, machines) = (&deployment.store, &deployment.machines);
    store.put_config(&document(&[(
        "shop.example",
        vec![rule("orders", "/orders/", "orders"), rule("main", "/items/", "pages")],
    )]));
    deployment.start_all();
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return cannot_run(&record, "the nodes did not become ready");
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    for machine in machines {
        let act = |_: &Message| Act::Run(Duration::from_millis(20), b"whole body\n".to_vec());
        Backend::start(&format!("i-{}", machine.name), machine, &record, &runs, Arc::new(act));
    }
    thread::sleep(Duration::from_millis(4_000));
    // A second host is added; the first one's `/items/` goes to the other service, and its
    // `/orders/` is dropped.
    let name = if has_trouble { "main" } else { "main-of-desk" };
    let version = store.put_config(&document(&[
        ("shop.example", vec![rule("main", "/items/", "orders")]),
        ("desk.example", vec![rule(name, "/items/", "pages")]),
    ]));
    let acknowledged = record.line(&format!(
        "the store acknowledges version {version}: desk.example is added with the rule {name}, \
         shop.example/items/ goes to orders, shop.example/orders/ is dropped"
    ));
    record.wait_until(acknowledged + CONFIG_APPLY + 0.5);
    let from = record.now();
    let mut as_older = 0;
    let mut asked = 0;
    for _ in 0..4 {
        for machine in machines {
            let get = |host: &str, path: &str| {
                let request = Ask { method: "GET", host, path, body: b"", deadline_ms: 2_000 };
                ask(machine, &record, &request)
            };
            let (added, dropped, moved) = (
                get("desk.example", "/items/1"),
                get("shop.example", "/orders/1"),
                get("shop.example", "/items/1"),
            );
            asked += 3;
            as_older += usize::from(added.status == Some(404));
            as_older += usize::from(dropped.status == Some(200));
            let runs = runs.lock().unwrap();
            let by_pages = runs
                .iter()
                .any(|run| run.id == moved.id && ["i-m4", "i-m5", "i-m6"].contains(&run.instance.as_str()));
            as_older += usize::from(by_pages);
        }
    }
    let text = format!(
        "{as_older} of {asked} requests, sent from {:.3} s after the acknowledgement on (config_apply: \
         {CONFIG_APPLY} s), were handled as only the older version allows",
        from - acknowledged
    );
    if std::env::var("RESTART").is_ok_and(|value| value == "1") {
        ask_after_restart(&deployment, &record);
    }
    verdict(&record, as_older > 0, &text)
}

/// Starts all processes again and notes what becomes of requests that each version allows.
fn ask_after_restart(deployment: &Deployment, record: &Record) {
    for machine in &deployment.machines {
        machine.kill();
    }
    deployment.start_all();
    let is_ready = deployment.wait_ready(Duration::from_secs(10));
    record.line(&format!("all processes were killed and started again; ready: {is_ready}"));
    thread::sleep(Duration::from_millis(3_500));
    let mut denied = 0;
    for machine in &deployment.machines {
        let request = Ask {
            method: "GET",
            host: "shop.example",
            path: "/items/1",
            body: b"",
            deadline_ms: 2_000,
        };
        denied += usize::from(ask(machine, record, &request).status == Some(404));
    }
    let text = format!("after that, {denied} of {} requests got 404", deployment.machines.len());
    record.line(&text);
    println!("{text}");
}

fn main() {
    std::process::exit(run());
}
