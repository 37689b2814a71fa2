//! The node of one machine is killed while it passes on a large answer. Consumers of the
//! other machines wait behind that answer, on kept connections, for those to further safe
//! requests, which other backends run.

use std::collections::HashMap;
use std::io::{BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[path = "lib.rs"]
mod lib;
use lib::*;

/// The machine whose node is killed, and the pause until it is started again.
const KILLED: usize = 0;
const DOWN: Duration = Duration::from_millis(3_000);

/// Sizes of the answers to the requests of one pipeline. A backend hands out a large one in
/// pieces, in about a second.
const LARGE: usize = 1_000_000;
const SIZES: [usize; 4] = [LARGE, 1_500, 1_500, 1_500];
const PIECES: usize = 40;
const PAUSE: Duration = Duration::from_millis(25);

/// Time that a backend takes for a request.
const WORK: Duration = Duration::from_millis(20);

/// Consumers of each machine.
const CONSUMERS: usize = 3;

/// A request whose connection ended without an answer to it.
struct Lost {
    id: String,
    /// The place in its pipeline.
    place: usize,
    is_kept: bool,
    how: String,
}

struct Consumer {
    record: Arc<Record>,
    machine: Arc<Machine>,
    reader: Option<BufReader<TcpStream>>,
    answers: usize,
}

impl Consumer {
    fn connect(&mut self) -> std::io::Result<()> {
        let stream = TcpStream::connect_timeout(&self.machine.outbound(), Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(3_000)))?;
        self.reader = Some(BufReader::with_capacity(65_536, stream));
        self.answers = 0;
        Ok(())
    }

    /// Sends the requests of a pipeline in one go and reads their answers. Returns those
    /// that got none since the connection ended.
    fn pipeline(&mut self) -> Vec<Lost> {
        if self.reader.is_none() && self.connect().is_err() {
            return Vec::new();
        }
        let ids: Vec<String> = SIZES.iter().map(|_| next_id()).collect();
        let mut bytes = Vec::new();
        for (size, id) in SIZES.iter().zip(&ids) {
            let request = format!(
                "GET /{}/{size} HTTP/1.1\r\nHost: shop.example\r\nX-Wisteriaturn-Request-Id: {id}\
                 \r\nX-Wisteriaturn-Deadline-Ms: 3000\r\n\r\n",
                if *size < LARGE { "pages" } else { "archive" }
            );
            bytes.extend_from_slice(request.as_bytes());
        }
        let reader = self.reader.as_mut().expect("a connection");
        if reader.get_mut().write_all(&bytes).is_err() {
            self.reader = None;
            return Vec::new();
        }
        let is_kept = self.answers > 0;
        let mut lost = Vec::new();
        let mut ended: Option<String> = None;
        for (place, id) in ids.into_iter().enumerate() {
            if ended.is_none() {
                match read_message(reader, false) {
                    Ok(Some(answer)) => {
                        self.answers += 1;
                        if answer.header("connection") == Some("close") {
                            // What is behind counts as not read.
                            self.reader = None;
                            return lost;
                        }
                        continue;
                    }
                    Ok(None) => ended = Some("the node closed the connection".to_owned()),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        self.reader = None;
                        return lost;
                    }
                    Err(error) => ended = Some(format!("the connection ended: {:?}", error.kind())),
                }
            }
            let how = ended.clone().unwrap_or_default();
            self.record
                .line(&format!("consumer at {} {id} place {place}: {how}", self.machine.name));
            lost.push(Lost { id, place, is_kept, how });
        }
        if ended.is_some() {
            self.reader = None;
        }
        lost
    }
}

fn run() -> i32 {
    let record = Record::new(std::env::var("RECORD").expect("RECORD").as_ref());
    let has_trouble = has_trouble();
    let deployment = Deployment::start(&["archive", "archive", "archive", "pages", "pages", "pages"], &[]);
    let (store, machines) = (&deployment.store, &deployment.machines);
    let rule = |name: &str, kind: &str, path: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"target_latency\":\"1500ms\",\"priority\":1,\
             \"match\":{{\"path_prefix\":\"{path}\"}},\"action\":{{\"service\":\"{service}\",\
             \"timeout\":\"3000ms\",\"max_attempts\":2}}}}"
        )
    };
    store.put_config(&format!(
        "{},\"listeners\":[{{\"host\":\"shop.example\",\"rules\":[{},{}]}}],\"clusters\":[\
         {{\"name\":\"archive\",\"health_path\":\"/health\",\"max_connections\":120}},\
         {{\"name\":\"pages\",\"health_path\":\"/health\",\"max_connections\":120}}]",
        limits(),
        rule("r-archive", "download", "/archive/", "archive"),
        rule("r-pages", "safe", "/pages/", "pages"),
    ));
    deployment.start_all();
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return cannot_run(&record, "the nodes did not become ready");
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    for machine in machines {
        let act = |request: &Message| {
            let size = request
                .first
                .split(['/', ' '])
                .find_map(|word| word.parse::<usize>().ok())
                .unwrap_or(1_500);
            if size < LARGE {
                Act::Run(WORK, vec![b'x'; size])
            } else {
                Act::Pieces(WORK, size, PIECES, PAUSE)
            }
        };
        Backend::start(&format!("i-{}", machine.name), machine, &record, &runs, Arc::new(act));
    }
    thread::sleep(Duration::from_millis(4_000));
    let end = Instant::now() + Duration::from_secs(10);
    let killed = &machines[KILLED];
    let consumers: Vec<_> = machines
        .iter()
        .filter(|machine| machine.name != killed.name)
        .flat_map(|machine| (0..CONSUMERS).map(|_| Arc::clone(machine)))
        .enumerate()
        .map(|(index, machine)| {
            let record = Arc::clone(&record);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(37 * index as u64));
                let mut consumer = Consumer { record, machine, reader: None, answers: 0 };
                let (mut lost, mut sent) = (Vec::new(), 0);
                while Instant::now() < end {
                    lost.extend(consumer.pipeline());
                    sent += SIZES.len();
                    thread::sleep(Duration::from_millis(40));
                }
                (lost, sent)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(4_000));
    let killed_at = record.now();
    if has_trouble {
        killed.kill();
        record.line(&format!("the node of {} was killed", killed.name));
        thread::sleep(DOWN);
        killed.start(&deployment.root);
        record.line(&format!("the node of {} is started", killed.name));
    }
    let (mut lost, mut sent) = (Vec::new(), 0);
    for consumer in consumers {
        let (more, count) = consumer.join().expect("a consumer");
        lost.extend(more);
        sent += count;
    }
    let ran: HashMap<String, f64> = runs
        .lock()
        .unwrap()
        .iter()
        .map(|run| (run.id.clone(), run.at))
        .collect();
    // Passed on, on a kept connection, and ended without an answer, though the backend, which
    // nothing befell, had handed out its whole answer 50 ms or more before the kill.
    let had_answered = |id: &String| {
        let began = ran.get(id);
        began.is_some_and(|began| began + WORK.as_secs_f64() + 0.05 < killed_at)
    };
    let counted: Vec<_> = lost
        .iter()
        .filter(|lost| lost.is_kept && lost.place > 0 && had_answered(&lost.id))
        .collect();
    for lost in &counted {
        record.line(&format!("counted: {} ran at {:.3}, {}", lost.id, ran[&lost.id], lost.how));
    }
    let text = format!(
        "{} of {sent} requests came on a kept connection of another machine, were passed on and \
         answered by their backend before the kill, and had their connection closed without an \
         answer (more than three break the rule)",
        counted.len()
    );
    verdict(&record, counted.len() > 3, &text)
}

fn main() {
    std::process::exit(run());
}
