//! Log drain that continues after failed writes.

use std::sync::atomic::{AtomicUsize, Ordering};

use damaskstile_core::log::EventCode;
use slog::{Drain, Level, Never, OwnedKVList, Record, b, record};

/// Log drain that continues after failed writes, and reports how many lines were dropped once a
/// line can be written again.
#[derive(Debug)]
pub struct ReportingDrain<D> {
    drain: D,
    dropped: AtomicUsize,
}

impl<D> ReportingDrain<D> {
    /// Wraps a drain whose writes may fail.
    #[must_use]
    pub fn new(drain: D) -> Self {
        Self {
            drain,
            dropped: AtomicUsize::new(0),
        }
    }
}

impl<D: Drain> ReportingDrain<D> {
    fn report(&self, dropped: usize, values: &OwnedKVList) -> Result<D::Ok, D::Err> {
        let code = EventCode::LogLinesDropped;
        let message = format_args!("{code:?}");
        let fields = format!("count={dropped}");
        let pairs = b!("event" => code.number(), "fields" => fields);
        self.drain
            .log(&record!(Level::Error, "", &message, pairs), values)
    }
}

impl<D: Drain> Drain for ReportingDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 && self.report(dropped, values).is_err() {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        if self.drain.log(record, values).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}
