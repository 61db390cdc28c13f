//! Guard that counts a caller's connection as open.

use std::sync::Arc;

use crate::gateway::Gateway;

/// Counts a caller's connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenConnection(Arc<Gateway>);

impl OpenConnection {
    pub(crate) fn new(gateway: Arc<Gateway>) -> Self {
        Self(gateway)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.close_connection();
    }
}
