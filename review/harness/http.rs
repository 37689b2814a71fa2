//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The first line and the headers of a message.
#[derive(Debug, Clone)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns word `index` of the first line: method, target or status.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn request_id(&self) -> &str {
        self.get("x-wisteriaturn-request-id").unwrap_or("")
    }
}

/// A complete message.
#[derive(Debug, Clone)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
}

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a message. Returns `None` if the connection ended before its first byte.
    pub fn read_message(&mut self, until: Instant) -> io::Result<Option<Message>> {
        let Some(head) = self.read_head(until)? else {
            return Ok(None);
        };
        let is_chunked = head
            .get("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let body = if is_chunked {
            self.read_chunks(until)?
        } else {
            let length = head
                .get("content-length")
                .and_then(|text| text.parse().ok());
            self.read_exact(length.unwrap_or(0), until)?
        };
        Ok(Some(Message { head, body }))
    }

    fn read_head(&mut self, until: Instant) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if self.fill(until)? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exact(&mut self, length: usize, until: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill(until)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_chunks(&mut self, until: Instant) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match find(&self.buffer, b"\r\n") {
                    Some(end) => break end,
                    None if self.fill(until)? == 0 => {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    None => {}
                }
            };
            let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end + 2);
            let length = usize::from_str_radix(text.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.read_exact(length, until)?);
            self.read_exact(2, until)?;
            if length == 0 {
                return Ok(body);
            }
        }
    }

    fn fill(&mut self, until: Instant) -> io::Result<usize> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    Head {
        first_line,
        headers,
    }
}

/// Returns the bytes of a request or a response with a length.
pub fn encode(first_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !first_line.starts_with("GET") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and returns the answer.
pub fn exchange(address: SocketAddr, request: &[u8], wait: Duration) -> io::Result<Message> {
    let mut conn = Conn::open(address)?;
    conn.write(request)?;
    conn.read_message(Instant::now() + wait)?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
