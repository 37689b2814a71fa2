//! Noticing that a connection has gone silent.
//!
//! A cut link or a lost VM closes nothing: what was sent just stays without an
//! acknowledgement, and a read waits for ever. The kernel notices on request.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time for which sent bytes may stay without acknowledgement: several round
/// trips between regions and two retransmissions.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(1_500);

/// Time without traffic after which a connection that waits is probed, and the
/// time between two probes.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection counts as lost.
const PROBE_LIMIT: u32 = 2;

/// Makes a connection fail when what it sent is not acknowledged in time.
///
/// # Errors
///
/// The error of the socket.
pub fn set_user_timeout(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME))
}

/// Probes a connection on which an answer may be long in coming.
///
/// # Errors
///
/// The error of the socket.
pub fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_TIME)
        .with_interval(PROBE_TIME)
        .with_retries(PROBE_LIMIT);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}
