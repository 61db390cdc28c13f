//! Guard that has the log written before the process exits.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use slog_async::AsyncGuard;

/// Time limit for writing the queued lines. It is shorter than what a shutdown reserves for the exit
/// of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Waits, when it is dropped, until the queued log lines have been written.
///
/// Nobody may be reading the log, so the wait has a limit: otherwise the process would not exit.
#[must_use]
pub struct LogGuard {
    writer: Option<AsyncGuard>,
}

impl std::fmt::Debug for LogGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LogGuard").finish_non_exhaustive()
    }
}

impl LogGuard {
    pub(crate) fn new(writer: AsyncGuard) -> Self {
        Self {
            writer: Some(writer),
        }
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let (done, is_done) = mpsc::channel::<()>();
        let writer = self.writer.take();
        let flush = move || {
            drop(writer);
            drop(done);
        };
        if thread::Builder::new().spawn(flush).is_ok() {
            // Either the other end was dropped, or the time is over.
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}
