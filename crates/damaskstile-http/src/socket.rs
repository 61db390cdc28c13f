//! TCP connections that detect an unresponsive peer early.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpStream, ToSocketAddrs};

/// Timeout for connecting: a few round trips within a region, and short compared with the time that
/// callers wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence of a sound peer that a connection must survive.
const SILENCE_MAX: Duration = Duration::from_secs(2);
/// Interval between two keep-alive probes. The system takes whole seconds only, and at least one.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without traffic after which the first keep-alive probe is sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time after the last sign of the peer at which the connection is closed, whether sent bytes or
/// keep-alive probes are unacknowledged. A target that has lost power or its network sends nothing
/// at all; without this limit a call would wait until its deadline. The system applies this limit in
/// place of the number of probes, and counts it from the last received packet, which may be as old
/// as the first probe when the silence begins.
const UNACKNOWLEDGED_LIMIT: Duration = KEEPALIVE_IDLE.saturating_add(SILENCE_MAX);

/// Connects to an address, with keep-alive and a limit on unacknowledged data.
///
/// # Errors
///
/// Returns an error if the connection fails or times out, or a socket option cannot be set.
pub async fn connect(address: impl ToSocketAddrs) -> std::io::Result<TcpStream> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))?;
    // Tokens are sent as small packets, which Nagle's algorithm would delay.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    Ok(stream)
}
