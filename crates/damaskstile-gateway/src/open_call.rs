//! Guard that counts a call as open.

use std::sync::Arc;

use crate::gateway::Gateway;

/// Counts a call as open until it is dropped.
#[derive(Debug)]
pub struct OpenCall(Arc<Gateway>);

impl OpenCall {
    pub(crate) fn new(gateway: Arc<Gateway>) -> Self {
        Self(gateway)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.close_call();
    }
}
