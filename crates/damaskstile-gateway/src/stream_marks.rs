//! What was done on a connection.

use std::sync::atomic::AtomicBool;

/// What was done on a connection since somebody last looked.
#[derive(Debug, Default)]
pub(crate) struct StreamMarks {
    /// Set when bytes are read.
    pub(crate) read: AtomicBool,
    /// Set when bytes are written, and reset when the send buffer is set.
    pub(crate) written: AtomicBool,
    /// Set when bytes are written, and reset when somebody has looked.
    pub(crate) progressed: AtomicBool,
}
