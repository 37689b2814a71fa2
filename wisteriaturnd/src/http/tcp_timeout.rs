//! Kernel timeouts that detect dead TCP connections.
//!
//! If the network or the VM of the other side fails, the connection is not
//! closed: data that was sent stays unacknowledged, and a read waits forever.
//! These socket options make the kernel report such a connection as failed.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time for which sent data may stay unacknowledged: enough for several round
/// trips between regions and two retransmissions.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection fails.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Makes a connection fail if sent data is not acknowledged in time.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn set_user_timeout(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Enables keepalive probes, for a connection on which a response may take long.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
