//! `open_call` counts a call as open while it is held.

use std::sync::Arc;

use crate::gateway::Gateway;

/// `OpenCall` counts a call as open until it is dropped.
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
