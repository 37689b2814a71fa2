//! A target that answers with fixed bytes, for answers that no HTTP library sends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eyre::Result;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::client;

/// Size of the writes of bytes without end.
const FILLER_BYTES: usize = 16 * 1024;

/// What a [`RawTarget`] does after the first bytes of an answer.
#[derive(Debug, Clone, Copy)]
pub enum AnswerEnd {
    /// Repeats these bytes until the connection is closed.
    Endless(&'static str),
    /// Closes the connection.
    Closed,
    /// Resets the connection.
    Reset,
}

/// A target that answers the first request of each connection with fixed bytes.
#[derive(Debug)]
pub struct RawTarget {
    address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
}

impl RawTarget {
    /// Starts a target whose answers begin with `start`.
    pub async fn start(start: &'static str, end: AnswerEnd) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = Self {
            address: listener.local_addr()?,
            open_connections: Arc::default(),
        };
        let open = Arc::clone(&target.open_connections);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let open = Arc::clone(&open);
                open.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    // An error means that the node has closed the connection.
                    let _ = answer(stream, start, end).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(target)
    }

    /// Announces the target to a node as one of `service` with one slot.
    pub async fn announce(&self, admin: SocketAddr, service: &str) -> Result<()> {
        let body = json!({
            "service": service,
            "address": self.address,
            "slots": 1,
            "draining": false,
        });
        client::post(admin, "/v1/targets", &body.to_string()).await?;
        Ok(())
    }

    /// Returns the number of connections that are open.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::SeqCst)
    }
}

async fn answer(mut stream: TcpStream, start: &str, end: AnswerEnd) -> std::io::Result<()> {
    let mut request = vec![0; 8192];
    if stream.read(&mut request).await? == 0 {
        return Ok(());
    }
    stream.write_all(start.as_bytes()).await?;
    match end {
        AnswerEnd::Closed => Ok(()),
        AnswerEnd::Reset => {
            // Lets the node read the first bytes, which a reset may discard.
            tokio::time::sleep(Duration::from_millis(100)).await;
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))
        }
        AnswerEnd::Endless(filler) => {
            let chunk = filler.repeat(FILLER_BYTES / filler.len());
            loop {
                stream.write_all(chunk.as_bytes()).await?;
            }
        }
    }
}
