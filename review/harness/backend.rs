//! A stand-in for a backend: it announces itself to the node beside it and answers
//! requests one after the other on each connection.

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deploy::{APP_PORT, HEARTBEAT, Node};
use crate::http::{Conn, Message, encode, exchange};
use crate::record::Record;

/// The idle timeout of the site files.
const IDLE: Duration = Duration::from_secs(10);

/// What a backend writes for one request.
pub enum Reply {
    /// An answer; the connection is kept.
    Answer(Vec<u8>),
    /// Bytes that are written after the request of the next exchange was read and before
    /// it is run, beside the answer to this one.
    AnswerAndLate(Vec<u8>, Vec<u8>),
}

type Behaviour = dyn Fn(&Backend, &Message) -> Reply + Send + Sync;

/// When a request was run.
#[derive(Debug, Clone)]
pub struct Run {
    pub request_id: String,
    pub began: Instant,
    pub ended: Option<Instant>,
}

pub struct State {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub born: u128,
    sequence: AtomicU64,
    beats: AtomicBool,
    has_ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    pub runs: Mutex<Vec<Run>>,
    pub answers: AtomicU64,
    record: Record,
}

#[derive(Clone)]
pub struct Backend(Arc<State>);

impl std::ops::Deref for Backend {
    type Target = State;

    fn deref(&self) -> &State {
        &self.0
    }
}

impl Backend {
    pub fn start<F>(
        id: &str,
        service: &str,
        node: &Node,
        record: &Record,
        behaviour: F,
    ) -> io::Result<Self>
    where
        F: Fn(&Backend, &Message) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((node.ip, APP_PORT))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let backend = Self(Arc::new(State {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: node.plan.zone.clone(),
            address: listener.local_addr()?,
            control: node.control,
            born: born.map_or(0, |age| age.as_millis()),
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            has_ended: AtomicBool::new(false),
            streams: Mutex::default(),
            runs: Mutex::default(),
            answers: AtomicU64::new(0),
            record: record.clone(),
        }));
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let server = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(stream) = stream.try_clone() {
                    server.streams.lock().expect("the lock").push(stream);
                }
                let (server, behaviour) = (server.clone(), Arc::clone(&behaviour));
                thread::spawn(move || server.serve(Conn::new(stream), &behaviour));
            }
        });
        let sender = backend.clone();
        thread::spawn(move || {
            loop {
                if sender.beats.load(Ordering::SeqCst) {
                    let _ = sender.send_beat(&sender.next_beat("ready"));
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(backend)
    }

    /// Stops or resumes the heartbeats.
    pub fn set_beats(&self, on: bool) {
        self.beats.store(on, Ordering::SeqCst);
    }

    /// Ends the backend: it accepts nothing more and breaks off what it has.
    pub fn end(&self) {
        self.set_beats(false);
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().expect("the lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("{} ends", self.id));
    }

    /// Returns the bytes of the next heartbeat.
    pub fn next_beat(&self, state: &str) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"cold_left\":\"0ms\",\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        let line = format!("PUT /-/instances/{} HTTP/1.1", self.id);
        let headers = [("Host", "node"), ("Content-Type", "application/json")];
        encode(&line, &headers, body.as_bytes())
    }

    /// Sends a heartbeat or a departure. Returns the status of the answer.
    pub fn send_beat(&self, bytes: &[u8]) -> io::Result<u16> {
        let answer = exchange(self.control, bytes, Duration::from_secs(1))?;
        Ok(answer.head.status())
    }

    /// Returns the bytes of the call by which a backend says that it is gone.
    pub fn departure(&self) -> Vec<u8> {
        let line = format!("DELETE /-/instances/{} HTTP/1.1", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let headers = [("Host", "node"), ("Content-Type", "application/json")];
        encode(&line, &headers, body.as_bytes())
    }

    fn serve(&self, mut conn: Conn, behaviour: &Arc<Behaviour>) {
        let mut late: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = conn.read_message(Instant::now() + IDLE) {
            if let Some(bytes) = late.take() {
                self.line(&request, "writes the late extra answer first");
                if conn.write(&bytes).is_err() {
                    return;
                }
            }
            let expected = request.head.get("x-wisteriaturn-expect-instance");
            let reply = if expected.is_some_and(|id| id != self.id) {
                let headers = [("X-Wisteriaturn-Instance-Id", self.id.as_str())];
                Reply::Answer(encode("HTTP/1.1 421 Misdirected Request", &headers, b""))
            } else if request.head.request_id().is_empty() {
                let headers = [("X-Wisteriaturn-Not-Executed", "1")];
                Reply::Answer(encode("HTTP/1.1 400 Bad Request", &headers, b""))
            } else {
                behaviour(self, &request)
            };
            self.answers.fetch_add(1, Ordering::SeqCst);
            let bytes = match reply {
                Reply::Answer(bytes) => bytes,
                Reply::AnswerAndLate(bytes, extra) => {
                    late = Some(extra);
                    bytes
                }
            };
            if conn.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn line(&self, request: &Message, what: &str) {
        let id = request.head.request_id();
        self.record.line(&format!("{} {what}: {id}", self.id));
    }

    /// Runs a request for `work` and returns its answer, with the request's own body.
    pub fn run(&self, request: &Message, work: Duration) -> Vec<u8> {
        let request_id = request.head.request_id().to_owned();
        self.line(request, "runs");
        let index = {
            let mut runs = self.runs.lock().expect("the lock");
            runs.push(Run {
                request_id: request_id.clone(),
                began: Instant::now(),
                ended: None,
            });
            runs.len() - 1
        };
        thread::sleep(work);
        self.runs.lock().expect("the lock")[index].ended = Some(Instant::now());
        self.line(request, "has run");
        let stamp = format!("stamp.{}.{request_id}", self.id);
        let headers = [
            ("X-Wisteriaturn-Request-Id", request_id.as_str()),
            ("X-Wisteriaturn-Server-Stamp", stamp.as_str()),
        ];
        let mut body = format!("done by {} for ", self.id).into_bytes();
        body.extend_from_slice(request_id.as_bytes());
        encode("HTTP/1.1 200 OK", &headers, &body)
    }

    /// Returns the answer of a backend that has no room, as `fleetbench wire` shows it.
    pub fn shed(&self, request: &Message) -> Vec<u8> {
        self.line(request, "is full and rejects");
        let headers = [("X-Wisteriaturn-Not-Executed", "1")];
        encode("HTTP/1.1 503 Service Unavailable", &headers, b"")
    }
}

/// Returns how often each request was run, over all backends.
pub fn count_runs(backends: &[&Backend]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for backend in backends {
        for run in backend.runs.lock().expect("the lock").iter() {
            *counts.entry(run.request_id.clone()).or_default() += 1;
        }
    }
    counts
}
