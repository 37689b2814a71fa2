//! Pools of HTTP client connections.
//!
//! A connection is returned to its pool only after a complete exchange in which the answer
//! said to which request it belongs. Any other connection is closed, so that a late
//! response can't be mistaken for the response to a later request. Connections to other
//! nodes start with a handshake, connections to targets do not.

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
use crate::http::observed::{AbortHandle, ObservedStream};
use crate::http::tcp_timeout;
use crate::mesh::handshake::{self, PortKind};
use crate::node::AddressMap;

/// Timeout for opening a connection. A node in another region is 8 ms away, so
/// one that takes longer than this is overloaded or unreachable.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum time for which an idle connection is kept.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long before the keep-alive timeout of the other side an idle connection
/// stops being used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Header that states for how long the other side keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Maximum number of idle connections to one address.
pub const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Maximum size in bytes of the head of a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A connection that is ready for an exchange.
#[derive(Debug)]
pub struct PooledConnection {
    /// Sends requests on the connection.
    pub sender: SendRequest<NodeBody>,
    /// Boot id of the node on the other side, or 0 if it is not a node.
    pub boot_id: BootId,
    /// Whether the connection was used for an exchange before.
    pub is_reused: bool,
    /// Whether the other side says which request it answers, so that a late copy of this
    /// answer could be told from the answer to the next request.
    pub names_requests: bool,
    /// Ends the connection while its bytes are being parsed.
    pub abort: AbortHandle,
    address: SocketAddr,
    idle_timeout: Duration,
}

impl PooledConnection {
    /// Sets the idle timeout to slightly less than the one that the other side
    /// announces with `Keep-Alive: timeout=N`, but at most [`IDLE_TIMEOUT`].
    pub fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        let announced = headers::text(headers, &KEEP_ALIVE).and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
                .and_then(|seconds| seconds.parse().ok())
        });
        if let Some(seconds) = announced {
            // A request must arrive before the other side closes the connection.
            let idle_timeout = Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN);
            self.idle_timeout = idle_timeout.min(IDLE_TIMEOUT);
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<NodeBody>,
    boot_id: BootId,
    abort: AbortHandle,
    idle_timeout: Duration,
    idle_since: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now.duration_since(self.idle_since) < self.idle_timeout
    }
}

/// A pool of connections by address. Clones are cheap and share the
/// connections.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    keys: Option<MeshKeys>,
    addresses: AddressMap,
    has_keepalive: bool,
    clock: SharedClock,
}

impl ConnectionPool {
    /// Returns a pool of connections to the gates of other nodes.
    pub fn for_nodes(keys: MeshKeys, addresses: AddressMap, clock: SharedClock) -> Self {
        Self {
            idle: Arc::default(),
            keys: Some(keys),
            addresses,
            has_keepalive: false,
            clock,
        }
    }

    /// Returns a pool of connections to targets.
    pub fn for_targets(clock: SharedClock) -> Self {
        Self {
            idle: Arc::default(),
            keys: None,
            addresses: AddressMap::identity(),
            has_keepalive: false,
            clock,
        }
    }

    /// Returns a pool of connections to a store. The store may delay a response
    /// until it has data, so the connections use keepalive probes.
    pub fn for_store(clock: SharedClock) -> Self {
        Self {
            has_keepalive: true,
            ..Self::for_targets(clock)
        }
    }

    /// Returns an idle connection, or opens one if there is none.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] if no connection can be opened. No part of a request
    /// was sent in that case.
    pub async fn acquire(&self, address: SocketAddr) -> Result<PooledConnection, LinkError> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        self.open(address).await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::acquire`].
    pub async fn open(&self, address: SocketAddr) -> Result<PooledConnection, LinkError> {
        timeout(CONNECT_TIMEOUT, self.open_untimed(address)).await?
    }

    async fn open_untimed(&self, address: SocketAddr) -> Result<PooledConnection, LinkError> {
        let mut stream = TcpStream::connect(self.addresses.map(address))
            .await
            .map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        tcp_timeout::set_user_timeout(&stream).map_err(unreachable)?;
        if self.has_keepalive {
            tcp_timeout::enable_keepalive(&stream).map_err(unreachable)?;
        }
        let boot_id = match &self.keys {
            Some(keys) => handshake::connect(&mut stream, keys, PortKind::Hop).await?,
            None => BootId(0),
        };
        let abort = AbortHandle::default();
        let aborted = abort.clone();
        let stream = ObservedStream::new(stream, move |_: &[u8]| aborted.check());
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| LinkError::Unreachable(error.to_string()))?;
        // The task ends when the connection closes. The exchange gets its error.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender,
            boot_id,
            is_reused: false,
            names_requests: true,
            abort,
            address,
            idle_timeout: IDLE_TIMEOUT,
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable(now) && connection.sender.is_ready() {
                return Some(PooledConnection {
                    sender: connection.sender,
                    boot_id: connection.boot_id,
                    is_reused: true,
                    names_requests: true,
                    abort: connection.abort,
                    address,
                    idle_timeout: connection.idle_timeout,
                });
            }
        }
        idle.remove(&address);
        None
    }

    /// Returns a connection to the pool after a complete exchange. Closes it if the next
    /// answer on it could be taken for that of another request.
    pub fn release(&self, connection: PooledConnection) {
        if connection.sender.is_closed() || !connection.names_requests {
            return;
        }
        let mut idle = lock(&self.idle);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection {
                sender: connection.sender,
                boot_id: connection.boot_id,
                abort: connection.abort,
                idle_timeout: connection.idle_timeout,
                idle_since: self.clock.now(),
            });
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        lock(&self.idle).retain(|_, connections| {
            connections.retain(|idle| idle.is_usable(now) && !idle.sender.is_closed());
            !connections.is_empty()
        });
    }
}

fn unreachable(error: std::io::Error) -> LinkError {
    LinkError::Unreachable(error.to_string())
}
