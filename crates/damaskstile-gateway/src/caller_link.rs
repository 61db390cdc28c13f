//! `caller_link` is the connection of a caller, for a look at whether it is still there.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::sync::Arc;

use socket2::SockRef;
use tokio::net::TcpStream;

/// `CallerLink` is the connection of a caller, for a look at whether it is still there.
///
/// The connection's task learns that with the next round of events, which comes late where the
/// instance is overloaded or stood still. A call that is sent before is run for nobody.
#[derive(Debug, Clone)]
pub struct CallerLink(Arc<TcpStream>);

impl CallerLink {
    /// Makes a look at a connection.
    #[must_use]
    pub fn new(stream: &Arc<TcpStream>) -> Self {
        Self(Arc::clone(stream))
    }

    /// Tells whether the caller has closed the connection.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.0).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }
}
