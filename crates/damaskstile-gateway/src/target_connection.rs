//! Connection to a target.

use std::net::SocketAddr;
use std::sync::Arc;

use damaskstile_http::UnreadAnswer;
use tokio::task::AbortHandle;

use crate::pool::Sender;

/// Connection to a target, on which calls are sent one after the other.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    pub(crate) sender: Sender,
    pub(crate) task: AbortHandle,
    /// Bytes that were received and not taken from it yet.
    pub(crate) unread: Arc<UnreadAnswer>,
    /// The peer through which it leads, if it is not direct.
    pub(crate) peer: Option<SocketAddr>,
}
