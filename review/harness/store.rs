//! A stand-in for the platform's store: a log with keyed topics.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message, encode};

/// Idle time after which the store closes a connection.
const IDLE: Duration = Duration::from_secs(60);

#[derive(Default)]
struct State {
    topics: Mutex<BTreeMap<String, Vec<Vec<u8>>>>,
    changed: Condvar,
}

/// The store. It holds all records; nothing expires in the time that a case takes.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Conn::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes a configuration as the operator does.
    pub fn write_config(&self, document: &str) {
        let mut record = vec![6];
        record.extend_from_slice(b"config");
        record.extend_from_slice(document.as_bytes());
        self.append("keyed.op", vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.state.topics.lock().expect("the lock");
        let held = topics.entry(topic.to_owned()).or_default();
        let offset = held.len();
        held.extend(records);
        let end = held.len();
        self.state.changed.notify_all();
        (offset, end)
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read_message(Instant::now() + IDLE) {
            // An answer takes 4 ms at the users' store.
            thread::sleep(Duration::from_millis(4));
            if conn.write(&self.answer(&request)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request.head.word(1).split_once('?').unwrap_or_default();
        let value = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
                .unwrap_or("")
        };
        let topic = value("topic");
        match path {
            "/-/log-append" => {
                let (offset, end) = self.append(topic, split_records(&request.body));
                json(&format!("{{\"offset\":{offset},\"end\":{end}}}"))
            }
            "/-/log-read" => {
                let from: usize = value("from").parse().unwrap_or(0);
                let limit: usize = value("fetch_limit").parse().unwrap_or(1024);
                let wait: u64 = value("wait_ms").parse().unwrap_or(0);
                self.read(topic, from, limit, Duration::from_millis(wait))
            }
            "/-/log-newest" => self.newest(topic),
            _ => encode("HTTP/1.1 404 Not Found", &[], b""),
        }
    }

    fn read(&self, topic: &str, from: usize, limit: usize, wait: Duration) -> Vec<u8> {
        let topics = self.state.topics.lock().expect("the lock");
        let is_empty = |topics: &mut BTreeMap<String, Vec<Vec<u8>>>| {
            topics.get(topic).map_or(0, Vec::len) <= from
        };
        let (topics, _) = self
            .state
            .changed
            .wait_timeout_while(topics, wait, is_empty)
            .expect("the lock");
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for record in records.iter().skip(from).take(limit) {
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        encode("HTTP/1.1 200 OK", &[], &body)
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.state.topics.lock().expect("the lock");
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = &record[length + 1..];
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, base64(value)));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        json(&format!(
            "{{\"items\":[{}],\"more_pages\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        ))
    }
}

fn json(body: &str) -> Vec<u8> {
    let headers = [("Content-Type", "application/json")];
    encode("HTTP/1.1 200 OK", &headers, body.as_bytes())
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let end = (4 + length).min(body.len());
        records.push(body[4..end].to_vec());
        body = &body[end..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = (word >> (18 - 6 * index)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
