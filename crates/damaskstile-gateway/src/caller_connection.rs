//! A caller's connection, as the call on it sees it.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures_util::FutureExt;
use socket2::SockRef;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::caller_resources::{ConnectionNumber, OpenedConnection};

/// A caller's connection, as the call on it sees it.
///
/// The connection's task learns of a disconnect from the event loop only, which is late if the
/// instance is overloaded or was suspended. Without the check here a call would be sent to a target
/// although nobody waits for its answer.
#[derive(Debug, Clone)]
pub struct CallerConnection {
    stream: Arc<TcpStream>,
    /// Number under which its resources are counted; 0 if they are not.
    pub(crate) number: ConnectionNumber,
    /// Notified when the call has to give way while its body is received.
    pub(crate) denied: Arc<Notify>,
    /// Whether part of a call was left unread when it was answered.
    has_unread: Arc<AtomicBool>,
}

impl CallerConnection {
    /// Shares a connection with the task that serves it.
    #[must_use]
    pub fn new(stream: &Arc<TcpStream>) -> Self {
        Self {
            stream: Arc::clone(stream),
            number: 0,
            denied: Arc::default(),
            has_unread: Arc::default(),
        }
    }

    /// Shares a connection whose resources are counted.
    pub(crate) fn counted(stream: &Arc<TcpStream>, opened: &OpenedConnection) -> Self {
        Self {
            number: opened.number,
            denied: Arc::clone(&opened.denied),
            ..Self::new(stream)
        }
    }

    /// Returns whether the caller has closed the connection.
    #[must_use]
    pub fn has_disconnected(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.stream).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }

    /// Returns whether the caller has closed the connection, possibly after calls that it has sent
    /// ahead and that were not read.
    pub(crate) fn has_left(&self) -> bool {
        let ready = self.stream.ready(Interest::READABLE).now_or_never();
        let ready = ready.and_then(Result::ok);
        let has_ended = ready.is_some_and(Ready::is_read_closed);
        has_ended || self.has_disconnected()
    }

    /// Records whether part of a call is left unread.
    pub(crate) fn set_unread(&self, has_unread: bool) {
        self.has_unread.store(has_unread, Ordering::Relaxed);
    }

    /// Returns whether part of a call was left unread when it was answered.
    pub(crate) fn has_unread(&self) -> bool {
        self.has_unread.load(Ordering::Relaxed)
    }
}
