//! Guard that counts a connection.

use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

use crate::caller_resources::{ConnectionNumber, Endpoint, OpenedConnection, ReleaseCause};
use crate::gateway::Gateway;
use crate::open_connection::OpenConnection;

/// Counts a connection, and what is held for it, until it is dropped.
#[derive(Debug)]
pub(crate) struct CountedConnection {
    gateway: Arc<Gateway>,
    number: ConnectionNumber,
    /// Counts the connections of callers, which a shutdown waits for.
    _open: Option<OpenConnection>,
}

impl CountedConnection {
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        opened: &OpenedConnection,
        endpoint: Endpoint,
    ) -> Self {
        let is_callers = endpoint == Endpoint::Callers;
        Self {
            gateway: Arc::clone(gateway),
            number: opened.number,
            _open: is_callers.then(|| gateway.open_connection()),
        }
    }

    pub(crate) fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Has the system drop what it still has to send, if the caller does not read it.
    pub(crate) fn set_abort(&self, stream: &TcpStream) {
        let cause = self.gateway.caller_resources().closed_by(self.number);
        if cause.is_some_and(ReleaseCause::drops_unsent) {
            // Without it the system keeps the bytes until it gives up by itself.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.gateway.caller_resources().close(self.number);
    }
}
