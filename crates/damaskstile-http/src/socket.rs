//! `socket` makes connections that notice when the other side falls silent.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpStream, ToSocketAddrs};

/// Time in which a connection must be made: a few round trips within a region, and short beside
/// the time that callers wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which bytes that nobody acknowledges end a connection. A target that lost power or
/// is cut off answers nothing at all, and without this a call would wait out its deadline.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Time between two such questions. The system counts whole seconds and refuses less.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without bytes after which the other side is asked whether it is there.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);

/// Connects with limits on how long the other side may be silent.
///
/// # Errors
///
/// Returns an error where no connection was made in time.
pub async fn connect(address: impl ToSocketAddrs) -> std::io::Result<TcpStream> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))?;
    // Tokens are small and must not wait to be sent together.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    Ok(stream)
}
