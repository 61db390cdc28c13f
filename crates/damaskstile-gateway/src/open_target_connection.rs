//! Guard that counts a connection to a target.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts a connection to a target as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenTargetConnection(Arc<AtomicUsize>);

impl OpenTargetConnection {
    pub(crate) fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenTargetConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
