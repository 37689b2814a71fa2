//! Connections for calls, kept open between calls.
//!
//! A connection goes back to the pool only after a whole exchange; one with an
//! abandoned exchange is closed, so an answer that comes late has no
//! connection on which it could be taken for another one. The connections of a
//! pool come from a closure, since those to other nodes begin with a
//! handshake and those to a target do not.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::HeaderMap;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HeaderName;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use wisteriaturn::clock::{SharedClock, lock};
use wisteriaturn::ids::BootId;
use wisteriaturn::peer::auth::MeshKeys;

use crate::error::LinkError;
use crate::http::body::NodeBody;
use crate::http::headers;
use crate::http::tcp_timeout;
use crate::mesh::handshake::{self, PortUse};
use crate::node::AddressMap;

/// Time for a connection to open. A node in another region is 8 ms away; what
/// takes longer than this is overloaded or cut off.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an idle connection is kept.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How much sooner than the other side an idle connection is given up.
const KEEP_MARGIN: Duration = Duration::from_secs(1);

/// Names how long the other side keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Idle connections kept to one address.
pub const MAX_IDLE_CONNECTIONS: usize = 64;

/// Largest head of an answer that a connection reads, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;

/// A connection that is ready for one exchange.
#[derive(Debug)]
pub struct PooledConnection {
    /// Sends the request.
    pub sender: SendRequest<NodeBody>,
    /// Life of the node on the other side; 0 for a target.
    pub boot_id: BootId,
    /// Whether the connection served an exchange before.
    pub is_reused: bool,
    address: SocketAddr,
    keep: Duration,
}

impl PooledConnection {
    /// Takes note of how long the other side keeps the connection open while
    /// it is idle (`Keep-Alive: timeout=N`).
    pub fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        let named = headers::text(headers, &KEEP_ALIVE).and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
                .and_then(|seconds| seconds.parse().ok())
        });
        if let Some(seconds) = named {
            // A request must arrive before the other side closes.
            let keep = Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN);
            self.keep = keep.min(IDLE_TIMEOUT);
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<NodeBody>,
    boot_id: BootId,
    keep: Duration,
    since: Instant,
}

impl IdleConnection {
    fn is_fresh(&self, now: Instant) -> bool {
        now.duration_since(self.since) < self.keep
    }
}

/// Connections by address; a cheap handle.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    keys: Option<MeshKeys>,
    addresses: AddressMap,
    is_probed: bool,
    clock: SharedClock,
}

impl ConnectionPool {
    /// Returns a pool of connections to the hop ports of nodes.
    pub fn for_nodes(keys: MeshKeys, addresses: AddressMap, clock: SharedClock) -> Self {
        Self {
            idle: Arc::default(),
            keys: Some(keys),
            addresses,
            is_probed: false,
            clock,
        }
    }

    /// Returns a pool of connections to targets.
    pub fn for_targets(clock: SharedClock) -> Self {
        Self {
            idle: Arc::default(),
            keys: None,
            addresses: AddressMap::identity(),
            is_probed: false,
            clock,
        }
    }

    /// Returns a pool of connections to a store that may hold an answer back
    /// until there is something to tell.
    pub fn for_store(clock: SharedClock) -> Self {
        Self {
            is_probed: true,
            ..Self::for_targets(clock)
        }
    }

    /// Returns an idle connection or opens one.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when none can be opened; nothing of a call was sent.
    pub async fn acquire(&self, address: SocketAddr) -> Result<PooledConnection, LinkError> {
        if let Some(link) = self.take_idle(address) {
            return Ok(link);
        }
        self.open(address).await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// As [`Self::acquire`].
    pub async fn open(&self, address: SocketAddr) -> Result<PooledConnection, LinkError> {
        timeout(CONNECT_TIMEOUT, self.open_now(address)).await?
    }

    async fn open_now(&self, address: SocketAddr) -> Result<PooledConnection, LinkError> {
        let mut stream = TcpStream::connect(self.addresses.map(address))
            .await
            .map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        tcp_timeout::set_user_timeout(&stream).map_err(unreachable)?;
        if self.is_probed {
            tcp_timeout::enable_keepalive(&stream).map_err(unreachable)?;
        }
        let boot_id = match &self.keys {
            Some(keys) => handshake::connect(&mut stream, keys, PortUse::Hop).await?,
            None => BootId(0),
        };
        let (sender, connection) = Builder::new()
            .max_buf_size(HEAD_LIMIT)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| LinkError::Unreachable(error.to_string()))?;
        // The task ends with the connection; its error reaches the exchange.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender,
            boot_id,
            is_reused: false,
            address,
            keep: IDLE_TIMEOUT,
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        let links = idle.get_mut(&address)?;
        while let Some(link) = links.pop() {
            if link.is_fresh(now) && link.sender.is_ready() {
                return Some(PooledConnection {
                    sender: link.sender,
                    boot_id: link.boot_id,
                    is_reused: true,
                    address,
                    keep: link.keep,
                });
            }
        }
        idle.remove(&address);
        None
    }

    /// Gives a connection back after a whole exchange.
    pub fn release(&self, link: PooledConnection) {
        if link.sender.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let links = idle.entry(link.address).or_default();
        if links.len() < MAX_IDLE_CONNECTIONS {
            links.push(IdleConnection {
                sender: link.sender,
                boot_id: link.boot_id,
                keep: link.keep,
                since: self.clock.now(),
            });
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        lock(&self.idle).retain(|_, links| {
            links.retain(|link| link.is_fresh(now) && !link.sender.is_closed());
            !links.is_empty()
        });
    }
}

fn unreachable(error: std::io::Error) -> LinkError {
    LinkError::Unreachable(error.to_string())
}
