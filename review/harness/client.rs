//! A stand-in for a consumer.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message, encode};
use crate::record::Record;

/// Time beyond its limit for which a consumer here still listens, to see what comes.
const PATIENCE: Duration = Duration::from_secs(3);

/// One consumer attempt.
#[derive(Clone)]
pub struct Attempt {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub id: String,
    pub deadline: Duration,
    pub headers: Vec<(&'static str, String)>,
}

impl Attempt {
    pub fn new(method: &'static str, host: &'static str, path: &str, id: &str) -> Self {
        Self {
            method,
            host,
            path: path.to_owned(),
            id: id.to_owned(),
            deadline: Duration::from_millis(1200),
            headers: Vec::new(),
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let line = format!("{} {} HTTP/1.1", self.method, self.path);
        let deadline = self.deadline.as_millis().to_string();
        let mut headers = vec![
            ("Host", self.host),
            ("X-Wisteriaturn-Request-Id", self.id.as_str()),
            ("X-Wisteriaturn-Deadline-Ms", deadline.as_str()),
        ];
        for (name, value) in &self.headers {
            headers.push((name, value.as_str()));
        }
        let body = format!("order {}", self.id);
        let body = if self.method == "GET" { "" } else { &body };
        encode(&line, &headers, body.as_bytes())
    }

    /// Sends the attempt on a new connection and returns its answer.
    pub fn send(&self, node: SocketAddr, record: &Record) -> io::Result<Message> {
        record.line(&format!(
            "consumer sends {} {} {}",
            self.method, self.path, self.id
        ));
        let exchanged = (|| {
            let mut conn = Conn::open(node)?;
            conn.write(&self.bytes())?;
            conn.read_message(Instant::now() + self.deadline + PATIENCE)?
                .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
        })();
        record.line(&format!(
            "consumer gets for {}: {}",
            self.id,
            describe(&exchanged)
        ));
        exchanged
    }
}

/// Returns a line about an answer.
pub fn describe(answer: &io::Result<Message>) -> String {
    match answer {
        Ok(message) => format!(
            "{}, id {:?}, stamp {:?}, body {:?}",
            message.head.status(),
            message.head.request_id(),
            message
                .head
                .get("x-wisteriaturn-server-stamp")
                .unwrap_or(""),
            String::from_utf8_lossy(&message.body).trim_end()
        ),
        Err(error) => format!("no answer ({error})"),
    }
}
