//! Close of a connection whose caller has not sent all of its call.

use std::io::ErrorKind;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time for which the rest of a call is read.
const LINGER_FOR: Duration = Duration::from_secs(1);
/// Size of the buffer that the rest of a call is read into.
const BUFFER_BYTES: usize = 8 * 1024;

/// Reads and drops the rest of a call for a short time after its answer, at most `bytes_max` bytes.
///
/// A connection that is closed with unread bytes is reset, and its caller may never see the answer
/// that tells it that the call has not run.
pub(crate) async fn linger(stream: &TcpStream, bytes_max: usize) {
    // Where the connection is broken there is nobody to wait for.
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let _ = timeout(LINGER_FOR, drop_rest(stream, bytes_max)).await;
}

async fn drop_rest(stream: &TcpStream, bytes_max: usize) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut dropped = 0;
    while dropped < bytes_max {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(bytes) => dropped += bytes,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
