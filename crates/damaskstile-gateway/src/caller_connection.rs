//! Detection of callers that have disconnected.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::sync::Arc;

use socket2::SockRef;
use tokio::net::TcpStream;

/// A caller's connection, to check whether the caller is still there.
///
/// The connection's task learns of a disconnect from the event loop only, which is late if the
/// instance is overloaded or was suspended. Without this check a call would be sent to a target
/// although nobody waits for its answer.
#[derive(Debug, Clone)]
pub struct CallerConnection(Arc<TcpStream>);

impl CallerConnection {
    /// Shares a connection with the task that serves it.
    #[must_use]
    pub fn new(stream: &Arc<TcpStream>) -> Self {
        Self(Arc::clone(stream))
    }

    /// Returns whether the caller has closed the connection.
    #[must_use]
    pub fn has_disconnected(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.0).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }
}
