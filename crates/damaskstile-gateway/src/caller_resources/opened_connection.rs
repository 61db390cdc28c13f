//! A connection that was counted.

use std::sync::Arc;

use tokio::sync::Notify;

use super::ConnectionNumber;

/// A connection that was counted.
#[derive(Debug)]
pub struct OpenedConnection {
    /// Its number.
    pub number: ConnectionNumber,
    /// Notified when the connection is to be closed.
    pub closing: Arc<Notify>,
    /// Notified when its call has to give way while the body is received.
    pub denied: Arc<Notify>,
    /// Whether another connection is being closed in its place.
    pub has_displaced: bool,
}
