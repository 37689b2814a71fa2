//! Stand-ins of the second review: a store, backends, consumers, and the programs of the
//! deploy file as separate processes. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

/// The record of a run: one line for each event, with the seconds since its start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt")),
        })
    }
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) -> f64 {
        let at = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
        at
    }
    /// Sleeps until `at` seconds after the start.
    pub fn wait_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|w| w.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message. Returns `None` at the end of the connection.
pub fn read_head<R: BufRead>(reader: &mut R) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Ok(Some(Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    }))
}

/// Reads the body of a message. A body without a length ends with its connection if
/// `until_end`.
pub fn read_body<R: BufRead>(
    reader: &mut R,
    message: &mut Message,
    until_end: bool,
) -> std::io::Result<()> {
    if message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if until_end {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

pub fn read_message<R: BufRead>(
    reader: &mut R,
    until_end: bool,
) -> std::io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, until_end)?;
    Ok(Some(message))
}

/// Sends one request over a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    request: &[u8],
    time: Duration,
) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(time))?;
    stream.write_all(request)?;
    read_message(&mut BufReader::new(stream), true)
}

fn query(path: &str) -> (String, HashMap<String, String>) {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let pairs = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(k, v)| (k.to_owned(), v.replace("%3A", ":").replace("%3a", ":")))
        .collect();
    (path.to_owned(), pairs)
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(SET[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- store

const UP: u8 = 0;
const BUSY: u8 = 1;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Of each producer: its epoch, its last sequence number, and the last offset.
    producers: HashMap<String, (u64, Option<u64>, u64)>,
}

/// The platform's metadata store, as PROTOCOL.md has it, with one partition a topic.
pub struct Store {
    pub address: SocketAddr,
    topics: Mutex<BTreeMap<String, Topic>>,
    grown: Condvar,
    mode: AtomicU8,
    /// Whether the topic of the operator's records is down, and the rest is up.
    is_operator_topic_down: AtomicBool,
    version: AtomicU64,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self {
            address,
            topics: Mutex::default(),
            grown: Condvar::new(),
            mode: AtomicU8::new(UP),
            is_operator_topic_down: AtomicBool::new(false),
            version: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(address).expect("store port");
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    /// While the store is down, every call is answered 503: nothing is done.
    pub fn set_down(&self, is_down: bool) {
        self.mode.store(if is_down { BUSY } else { UP }, Ordering::SeqCst);
        self.grown.notify_all();
    }

    /// While the store is partly down, each call on the operator's topic is answered 503.
    pub fn set_operator_topic_down(&self, is_down: bool) {
        self.is_operator_topic_down.store(is_down, Ordering::SeqCst);
        self.grown.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader, false)? {
            let is_down = || {
                self.is_operator_topic_down.load(Ordering::SeqCst)
                    && request.first.contains("topic=keyed.op")
            };
            let (status, body) = if is_down() {
                (503, Vec::new())
            } else if self.mode.load(Ordering::SeqCst) == BUSY {
                (503, Vec::new())
            } else {
                let answer = self.answer(&request);
                let is_busy = self.mode.load(Ordering::SeqCst) == BUSY || is_down();
                if is_busy && request.first.starts_with("GET") {
                    (503, Vec::new())
                } else {
                    answer
                }
            };
            let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len())
                .into_bytes();
            out.extend(body);
            writer.write_all(&out)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let mut words = request.first.split(' ');
        let (_, target) = (words.next(), words.next().unwrap_or(""));
        let (path, q) = query(target);
        let topic = q.get("topic").cloned().unwrap_or_default();
        match path.as_str() {
            "/-/log-append" => self.append(&topic, &q, &request.body),
            "/-/log-read" => self.read(&topic, &q),
            "/-/log-newest" => self.newest(&topic, &q),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, q: &HashMap<String, String>, body: &[u8]) -> (u16, Vec<u8>) {
        thread::sleep(Duration::from_millis(4));
        let number = |name: &str| q.get(name).and_then(|v| v.parse::<u64>().ok());
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        if number("at").is_some_and(|at| at != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        if let (Some(producer), Some(epoch)) = (q.get("producer"), number("epoch")) {
            let sequence = number("sequence");
            match topic.producers.get(producer) {
                Some((known, _, _)) if epoch < *known => {
                    return (409, b"{\"why\":\"fenced\"}".to_vec());
                }
                Some((known, Some(last), at)) if epoch == *known => {
                    if sequence == Some(*last) {
                        return (200, format!("{{\"offset\":{at},\"end\":{offset}}}").into_bytes());
                    }
                    if sequence != Some(*last + 1) {
                        let expected = last + 1;
                        let text = format!("{{\"why\":\"seq\",\"sequence\":{expected}}}");
                        return (409, text.into_bytes());
                    }
                }
                _ => {}
            }
            let state = (epoch, sequence, offset);
            topic.producers.insert(producer.clone(), state);
        }
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            topic.records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let end = topic.records.len();
        self.grown.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, topic: &str, q: &HashMap<String, String>) -> (u16, Vec<u8>) {
        let number = |name: &str| q.get(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let limit = number("fetch_limit").unwrap_or(1024) as usize;
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        thread::sleep(Duration::from_millis(4));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, |topic| topic.records.len());
            let left = deadline.saturating_duration_since(Instant::now());
            let is_up = self.mode.load(Ordering::SeqCst) == UP
                && !self.is_operator_topic_down.load(Ordering::SeqCst);
            if from < end || left.is_zero() || !is_up {
                let mut out = (end as u64).to_be_bytes().to_vec();
                out.extend(0_u64.to_be_bytes());
                if let Some(topic) = topics.get(topic) {
                    for record in topic.records.iter().skip(from).take(limit) {
                        out.extend((record.len() as u32).to_be_bytes());
                        out.extend(record);
                    }
                }
                return (200, out);
            }
            topics = self.grown.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, q: &HashMap<String, String>) -> (u16, Vec<u8>) {
        thread::sleep(Duration::from_millis(4));
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], |topic| &topic.records);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
            let value = &record[1 + length..];
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value.to_vec()));
            }
        }
        let after = q.get("after").cloned().unwrap_or_default();
        let rest: Vec<_> = newest.into_iter().filter(|(key, _)| *key > after).collect();
        let more = rest.len() > 500;
        let items: Vec<_> = rest
            .into_iter()
            .take(500)
            .map(|(key, (offset, value))| {
                let value = base64(&value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        let text = format!("{{\"items\":[{items}],\"more_pages\":{more},\"end\":{end}}}");
        (200, text.into_bytes())
    }

    /// The operator writes a configuration: `rest` is the document after its version.
    pub fn put_config(&self, rest: &str) -> u64 {
        let version = self.version.fetch_add(3, Ordering::SeqCst) + 3;
        let mut record = vec![6];
        record.extend(b"config");
        record.extend(format!("{{\"version\":{version},{rest}}}").into_bytes());
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry("keyed.op".to_owned()).or_default();
        topic.records.push(record);
        self.grown.notify_all();
        version
    }
}

// ---------------------------------------------------------------- the system's nodes

/// A machine of the small deployment: its addresses and its node.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub region: String,
    pub service: String,
    pub base: u16,
    config: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Machine {
    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{}", self.ip, self.base + port).parse().unwrap()
    }
    pub fn inbound(&self) -> SocketAddr {
        self.address(0)
    }
    pub fn app(&self) -> SocketAddr {
        self.address(1)
    }
    pub fn ready(&self) -> SocketAddr {
        self.address(2)
    }
    pub fn outbound(&self) -> SocketAddr {
        self.address(4)
    }
    pub fn control(&self) -> SocketAddr {
        self.address(6)
    }

    /// Fills in the template of the deploy file.
    fn write_settings(&self, template: &str, store: SocketAddr, bounds: &[(&str, &str)]) {
        let mut fields: HashMap<String, String> = HashMap::new();
        let mut set = |name: &str, value: String| fields.insert(name.to_owned(), value);
        set("region", self.region.clone());
        set("zone", self.zone.clone());
        set("service", self.service.clone());
        set("ip", self.ip.clone());
        set("limits.link_mbps", "1000.0".to_owned());
        set("listen.inbound", self.inbound().to_string());
        set("listen.outbound", self.outbound().to_string());
        set("listen.ready", self.ready().to_string());
        set("listen.control", self.control().to_string());
        set("port_range.0", (self.base + 20).to_string());
        set("port_range.1", (self.base + 35).to_string());
        set("platform.address", store.to_string());
        set("heartbeat", "1500ms".to_owned());
        for (name, value) in bounds {
            set(&format!("bounds.{name}"), (*value).to_owned());
        }
        let mut text = template.to_owned();
        while let Some(start) = text.find("{{#") {
            let name_end = text[start..].find("}}").unwrap() + start;
            let name = text[start + 3..name_end].to_owned();
            let close = format!("{{{{/{name}}}}}");
            let end = text.find(&close).unwrap();
            let inner = text[name_end + 2..end].to_owned();
            let kept = if fields.contains_key(&name) { inner } else { String::new() };
            text = format!("{}{}{}", &text[..start], kept, &text[end + close.len()..]);
        }
        for (name, value) in &fields {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        std::fs::write(&self.config, text).unwrap();
    }

    /// Starts the program of the deploy file.
    pub fn start(&self, root: &Path) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(root.join("target/release/wisteriaturn-platform"))
            .current_dir(root)
            .env_clear()
            .env("WISTERIATURN_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        // run.sh ends what is left, should this program end early.
        let pids = self.log.with_file_name("pids");
        if let Ok(mut pids) = File::options().create(true).append(true).open(pids) {
            let _ = writeln!(pids, "{}", child.id());
        }
        *self.child.lock().unwrap() = Some(child);
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &*self.child.lock().unwrap() {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Returns `true` if the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        match child.as_mut() {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /-/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
        matches!(
            call(self.ready(), request, Duration::from_millis(500)),
            Ok(Some(answer)) if answer.status() == 200
        )
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment: a store and some machines on loopback addresses of their own.
pub struct Deployment {
    pub root: PathBuf,
    pub store: Arc<Store>,
    pub machines: Vec<Arc<Machine>>,
    pub folder: PathBuf,
}

pub const BOUNDS: &[(&str, &str)] = &[
    ("grace", "6s"),
    ("drain", "2000ms"),
    ("contact", "3000ms"),
    ("retry_budget_ratio", "0.2"),
    ("retry_window", "10s"),
    ("retry_slack", "60"),
];

impl Deployment {
    /// `services` names the service of each machine.
    pub fn start(services: &[&str], extra_bounds: &[(&str, &str)]) -> Self {
        let root = PathBuf::from(std::env::var("REPO_ROOT").expect("REPO_ROOT"));
        let folder = PathBuf::from(std::env::var("WORK_DIR").expect("WORK_DIR"));
        let template = std::fs::read_to_string(root.join("deploy/node.toml")).unwrap();
        let pid = std::process::id();
        let net = format!("127.{}.{}", 20 + pid % 200, pid / 200 % 250);
        let base = free_base(&net);
        let store = Store::start(format!("{net}.1:{base}").parse().unwrap());
        let zones = ["hanoi-a", "danang-a", "saigon-a"];
        let regions = ["hanoi", "danang", "saigon"];
        let mut bounds = BOUNDS.to_vec();
        bounds.extend(extra_bounds);
        let mut machines = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let name = format!("m{}", index + 1);
            let machine = Machine {
                ip: format!("{net}.{}", 10 + index),
                zone: zones[index % zones.len()].to_owned(),
                region: regions[index % regions.len()].to_owned(),
                service: (*service).to_owned(),
                base,
                config: folder.join(format!("{name}.toml")),
                log: folder.join(format!("{name}.log")),
                child: Mutex::new(None),
                name,
            };
            machine.write_settings(&template, store.address, &bounds);
            machines.push(Arc::new(machine));
        }
        Self { root, store, machines, folder }
    }

    pub fn start_all(&self) {
        for machine in &self.machines {
            machine.start(&self.root);
        }
    }

    /// Waits until all machines are ready.
    pub fn wait_ready(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.machines.iter().all(|machine| machine.is_ready()) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Finds a port from which on the ports that a machine needs are free.
fn free_base(net: &str) -> u16 {
    for base in (21_000..32_000).step_by(97) {
        let is_free = |host: u8, port: u16| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok();
        if is_free(1, base) && is_free(10, base) && is_free(10, base + 4) && is_free(10, base + 20) {
            return base;
        }
    }
    std::process::exit(2);
}

// ---------------------------------------------------------------- backends

/// What a backend does with a request.
pub enum Act {
    /// Runs it for this time and answers 200 with this body.
    Run(Duration, Vec<u8>),
    /// Runs it for this time and answers with these bytes, as they are. The connection is
    /// closed after that if `true`.
    Raw(Duration, Vec<u8>, bool),
    /// Runs it for this time and answers 200 with a body of this size, in this many pieces
    /// with a pause between each two.
    Pieces(Duration, usize, usize, Duration),
    /// Reads only the head and answers with these bytes, then goes on with the body after
    /// this time, on the same connection.
    Early(Vec<u8>, Duration),
}

pub type Behaviour = dyn Fn(&Message) -> Act + Send + Sync;

/// A run that a backend began.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub instance: String,
    pub first: String,
    pub body: Vec<u8>,
}

pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub born: u64,
    pub sequence: AtomicU64,
    beating: AtomicBool,
    record: Arc<Record>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

pub fn stamp_headers(request: &Message) -> String {
    let id = request.header("x-wisteriaturn-request-id").unwrap_or("-");
    format!("X-Wisteriaturn-Request-Id: {id}\r\nX-Wisteriaturn-Server-Stamp: stamp.{id}\r\n")
}

impl Backend {
    pub fn start(
        id: &str,
        machine: &Machine,
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
        behaviour: Arc<Behaviour>,
    ) -> Arc<Self> {
        let backend = Arc::new(Self {
            id: id.to_owned(),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            address: machine.app(),
            control: machine.control(),
            born: unix_millis(),
            sequence: AtomicU64::new(0),
            beating: AtomicBool::new(true),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
        });
        let listener = TcpListener::bind(backend.address).expect("backend port");
        let serving = Arc::clone(&backend);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (backend, behaviour) = (Arc::clone(&serving), Arc::clone(&behaviour));
                thread::spawn(move || {
                    let _ = backend.serve(stream, &*behaviour);
                });
            }
        });
        let beating = Arc::clone(&backend);
        thread::spawn(move || {
            while beating.beating.load(Ordering::SeqCst) {
                beating.beat();
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        backend
    }

    fn serve(&self, stream: TcpStream, behaviour: &Behaviour) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(mut request) = read_head(&mut reader)? {
            let id = request
                .header("x-wisteriaturn-request-id")
                .unwrap_or("-")
                .to_owned();
            let expected = request.header("x-wisteriaturn-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                read_body(&mut reader, &mut request, false)?;
                self.record.line(&format!("backend {} 421 {id}", self.id));
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Wisteriaturn-Request-Id: {id}\r\n\
                     X-Wisteriaturn-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(text.as_bytes())?;
                continue;
            }
            let act = behaviour(&request);
            if !matches!(act, Act::Early(..)) {
                read_body(&mut reader, &mut request, false)?;
            }
            if !matches!(act, Act::Early(..)) {
                let at = self
                    .record
                    .line(&format!("backend {} runs {id} {}", self.id, request.first));
                self.runs.lock().unwrap().push(Run {
                    at,
                    id: id.clone(),
                    instance: self.id.clone(),
                    first: request.first.clone(),
                    body: request.body.clone(),
                });
            }
            match act {
                Act::Run(time, body) => {
                    thread::sleep(time);
                    let head = format!(
                        "HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n",
                        stamp_headers(&request),
                        body.len()
                    );
                    let mut out = head.into_bytes();
                    out.extend(body);
                    writer.write_all(&out)?;
                }
                Act::Pieces(time, size, pieces, pause) => {
                    thread::sleep(time);
                    let head = format!(
                        "HTTP/1.1 200 OK\r\n{}Content-Length: {size}\r\n\r\n",
                        stamp_headers(&request)
                    );
                    writer.write_all(head.as_bytes())?;
                    for piece in 0..pieces {
                        let length = size * (piece + 1) / pieces - size * piece / pieces;
                        writer.write_all(&vec![b'x'; length])?;
                        if piece + 1 < pieces {
                            thread::sleep(pause);
                        }
                    }
                }
                Act::Raw(time, bytes, closes) => {
                    thread::sleep(time);
                    writer.write_all(&bytes)?;
                    if closes {
                        return Ok(());
                    }
                }
                Act::Early(bytes, pause) => {
                    writer.write_all(&bytes)?;
                    thread::sleep(pause);
                    read_body(&mut reader, &mut request, false)?;
                }
            }
        }
        Ok(())
    }

    /// The text of a liveness report with this sequence number.
    pub fn report(&self, state: &str, sequence: u64) -> Vec<u8> {
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"cold_left\":\"0ms\",\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        format!(
            "PUT /-/instances/{} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .into_bytes()
    }

    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    fn beat(&self) {
        let report = self.report("ready", self.next_sequence());
        let _ = call(self.control, &report, Duration::from_secs(1));
    }

    pub fn stop_beating(&self) {
        self.beating.store(false, Ordering::SeqCst);
    }

    /// Sends `DELETE` until it is acknowledged, and returns when that was.
    pub fn leave(&self, time: Duration) -> Option<f64> {
        self.stop_beating();
        let body = format!("{{\"born\":{}}}", self.born);
        let request = format!(
            "DELETE /-/instances/{} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.id,
            body.len()
        );
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.record.line(&format!("backend {} sends DELETE", self.id));
            let answer = call(self.control, request.as_bytes(), Duration::from_secs(1));
            if let Ok(Some(answer)) = answer {
                let status = answer.status();
                let at = self
                    .record
                    .line(&format!("backend {} DELETE answered {status}", self.id));
                if (200..300).contains(&status) {
                    return Some(at);
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }
}

// ---------------------------------------------------------------- consumers

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!("c{:015x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// What a consumer saw.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub machine: String,
    pub sent_at: f64,
    pub ended_at: f64,
    /// The status, or `None` if the connection ended or the time was over.
    pub status: Option<u16>,
    pub stamp: Option<String>,
    pub echoed: Option<String>,
    pub body: Vec<u8>,
}

pub struct Ask<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub body: &'a [u8],
    pub deadline_ms: u64,
}

/// Sends one request to the node of a machine, over a new connection.
pub fn ask(machine: &Machine, record: &Record, ask: &Ask) -> Seen {
    let id = next_id();
    let sent_at = record.line(&format!(
        "consumer at {} sends {id} {} {}",
        machine.name, ask.method, ask.path
    ));
    let length = if ask.body.is_empty() && ask.method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", ask.body.len())
    };
    let mut request = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Wisteriaturn-Request-Id: {id}\r\n\
         X-Wisteriaturn-Deadline-Ms: {}\r\n{length}\r\n",
        ask.method, ask.path, ask.host, ask.deadline_ms
    )
    .into_bytes();
    request.extend_from_slice(ask.body);
    let exchange = || -> std::io::Result<Option<Message>> {
        let mut stream = TcpStream::connect_timeout(&machine.outbound(), Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(ask.deadline_ms)))?;
        stream.write_all(&request)?;
        read_message(&mut BufReader::new(stream), true)
    };
    let answer = exchange();
    let status = match &answer {
        Ok(Some(answer)) => Some(answer.status()),
        _ => None,
    };
    let text = status.map_or_else(|| "no answer".to_owned(), |status| status.to_string());
    let ended_at = record.line(&format!("consumer at {} gets {id} {text}", machine.name));
    let answer = answer.ok().flatten();
    let header = |name: &str| {
        let answer = answer.as_ref()?;
        answer.header(name).map(str::to_owned)
    };
    Seen {
        machine: machine.name.clone(),
        sent_at,
        ended_at,
        status,
        stamp: header("x-wisteriaturn-server-stamp"),
        echoed: header("x-wisteriaturn-request-id"),
        body: answer.map(|answer| answer.body).unwrap_or_default(),
        id,
    }
}

/// Notes the verdict of the case, and returns the exit status.
pub fn verdict(record: &Record, is_broken: bool, text: &str) -> i32 {
    record.line(&format!(
        "{}: {text}",
        if is_broken { "BROKEN" } else { "HELD" }
    ));
    println!("{}: {text}", if is_broken { "BROKEN" } else { "HELD" });
    i32::from(is_broken)
}

pub fn cannot_run(record: &Record, text: &str) -> i32 {
    record.line(&format!("CANNOT RUN: {text}"));
    println!("CANNOT RUN: {text}");
    2
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn limits() -> &'static str {
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
     \"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}"
}
