//! A backend leaves while the store is down, then all processes are killed at once.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[path = "lib.rs"]
mod lib;
use lib::*;

/// `drain` and `contact` of the deployment, in seconds.
const DRAIN: f64 = 2.0;
const CONTACT: f64 = 3.0;

fn run() -> i32 {
    let record = Record::new(std::env::var("RECORD").expect("RECORD").as_ref());
    let has_trouble = has_trouble();
    let deployment = Deployment::start(&["orders", "orders", "orders", "pages", "pages", "pages"], &[]);
    let (store, machines) = (&deployment.store, &deployment.machines);
    let rule = |name: &str, path: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"safe\",\"target_latency\":\"500ms\",\"priority\":1,\
             \"match\":{{\"path_prefix\":\"{path}\"}},\"action\":{{\"service\":\"{service}\",\
             \"timeout\":\"1000ms\",\"max_attempts\":2}}}}"
        )
    };
    store.put_config(&format!(
        "{},\"listeners\":[{{\"host\":\"shop.example\",\"rules\":[{},{}]}}],\"clusters\":[\
         {{\"name\":\"orders\",\"health_path\":\"/health\",\"max_connections\":120}},\
         {{\"name\":\"pages\",\"health_path\":\"/health\",\"max_connections\":120}}]",
        limits(),
        rule("r-orders", "/orders/", "orders"),
        rule("r-pages", "/pages/", "pages"),
    ));
    deployment.start_all();
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return cannot_run(&record, "the nodes did not become ready");
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let backends: Vec<_> = machines
        .iter()
        .map(|machine| {
            let id = format!("i-{}", machine.name);
            let act = |_: &Message| Act::Run(Duration::from_millis(20), b"whole body\n".to_vec());
            Backend::start(&id, machine, &record, &runs, Arc::new(act))
        })
        .collect();
    thread::sleep(Duration::from_millis(3_500));
    let leaver = &backends[0];
    let start = record.now();
    // A report of the leaving backend that the network delays: it is sent now, and arrives
    // seconds later. The backend sends nothing after its DELETE.
    let late = leaver.report("ready", leaver.next_sequence());
    record.line(&format!("backend {} sends a report that is delayed", leaver.id));
    if has_trouble {
        record.line("the store is down");
        store.set_down(true);
    }
    let Some(acknowledged) = leaver.leave(Duration::from_secs(6)) else {
        return cannot_run(&record, "the DELETE was not acknowledged");
    };
    if has_trouble {
        record.wait_until(acknowledged + 0.5);
        for machine in machines {
            machine.kill();
        }
        record.line("all processes were killed");
        thread::sleep(Duration::from_millis(400));
        deployment.start_all();
        record.line("all processes are started");
        thread::sleep(Duration::from_millis(500));
        store.set_down(false);
        record.line("the store is up");
        if !deployment.wait_ready(Duration::from_secs(10)) {
            return cannot_run(&record, "the nodes did not become ready again");
        }
    }
    let calm = record.line("all nodes are ready") + CONTACT;
    // The delayed report arrives.
    record.wait_until(start + 5.0);
    let answer = call(leaver.control, &late, Duration::from_secs(1));
    let status = answer.ok().flatten().map(|answer| answer.status());
    record.line(&format!("the delayed report of {} arrives: {status:?}", leaver.id));
    let from = calm.max(acknowledged + DRAIN) + 0.3;
    let mut callers = Vec::new();
    record.wait_until(from);
    for machine in machines {
        let (machine, record) = (Arc::clone(machine), Arc::clone(&record));
        callers.push(thread::spawn(move || {
            for _ in 0..12 {
                let request = Ask {
                    method: "GET",
                    host: "shop.example",
                    path: "/orders/1",
                    body: b"",
                    deadline_ms: 2_000,
                };
                ask(&machine, &record, &request);
                thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let late_runs: Vec<_> = runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.instance == leaver.id && run.at > from)
        .cloned()
        .collect();
    if let Some(first) = late_runs.first() {
        let text = format!(
            "{} requests ran at {} after its departure was acknowledged at {acknowledged:.3}; the \
             first, {}, at {:.3}, {:.3} s later (drain: {DRAIN} s)",
            late_runs.len(),
            leaver.id,
            first.id,
            first.at,
            first.at - acknowledged
        );
        return verdict(&record, true, &text);
    }
    verdict(&record, false, "no request reached the backend that had left")
}

fn main() {
    std::process::exit(run());
}
