//! All processes are killed while the store is partly down: the operator's topic can't be read.
//! Three of them are stopped in turn before they were ever ready.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[path = "lib.rs"]
mod lib;
use lib::*;

/// Machines that get SIGTERM, one each second.
const STOPPED: usize = 3;

fn run() -> i32 {
    let record = Record::new(std::env::var("RECORD").expect("RECORD").as_ref());
    let has_trouble = has_trouble();
    let services = ["orders", "orders", "orders", "pages", "pages", "pages"];
    let deployment = Deployment::start(&services, &[]);
    let (store, machines) = (&deployment.store, &deployment.machines);
    store.put_config(&format!(
        "{},\"listeners\":[{{\"host\":\"shop.example\",\"rules\":[{{\"name\":\"r-orders\",\
         \"kind\":\"safe\",\"target_latency\":\"500ms\",\"priority\":1,\
         \"match\":{{\"path_prefix\":\"/orders/\"}},\"action\":{{\"service\":\"orders\",\
         \"timeout\":\"1000ms\",\"max_attempts\":2}}}}]}}],\"clusters\":[\
         {{\"name\":\"orders\",\"health_path\":\"/health\",\"max_connections\":120}},\
         {{\"name\":\"pages\",\"health_path\":\"/health\",\"max_connections\":120}}]",
        limits(),
    ));
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
    // Consumers of the machines that are not stopped; the route is in every version.
    let is_over = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = machines[STOPPED..]
        .iter()
        .map(|machine| {
            let (machine, record) = (Arc::clone(machine), Arc::clone(&record));
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                let mut seen = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let request = Ask {
                        method: "GET",
                        host: "shop.example",
                        path: "/orders/1",
                        body: b"",
                        deadline_ms: 2_000,
                    };
                    seen.push(ask(&machine, &record, &request));
                    thread::sleep(Duration::from_millis(60));
                }
                seen
            })
        })
        .collect();
    let start = record.now();
    if has_trouble {
        store.set_operator_topic_down(true);
        record.line("the store is partly down: keyed.op");
        thread::sleep(Duration::from_millis(100));
        for machine in machines {
            machine.kill();
        }
        record.line("all processes were killed");
        thread::sleep(Duration::from_millis(300));
        deployment.start_all();
        record.line("all processes are started");
        for (place, machine) in machines[..STOPPED].iter().enumerate() {
            record.wait_until(start + 0.9 + place as f64);
            machine.signal("TERM");
            record.line(&format!("{} gets SIGTERM", machine.name));
        }
        while record.now() < start + 4.4 {
            for machine in &machines[..STOPPED] {
                if machine.has_ended() {
                    machine.start(&deployment.root);
                    record.line(&format!("{} has ended and is started", machine.name));
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        store.set_operator_topic_down(false);
        record.line("the store is up");
    }
    record.wait_until(start + 6.0);
    is_over.store(true, Ordering::SeqCst);
    let mut denied = 0;
    let mut asked = 0;
    for consumer in consumers {
        let seen = consumer.join().expect("a consumer");
        asked += seen.len();
        denied += seen.iter().filter(|seen| seen.status == Some(404)).count();
    }
    let text = format!(
        "{denied} of {asked} requests that every configuration allows got 404 (more than ten break \
         the rule)"
    );
    verdict(&record, denied > 10, &text)
}

fn main() {
    std::process::exit(run());
}
