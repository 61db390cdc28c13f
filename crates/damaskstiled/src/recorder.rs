//! Records the instance's input events to a trace file for a later replay.

use std::fs::File;
use std::io::BufWriter;
use std::path::Path;
use std::time::Duration;

use damaskstile::InstanceOptions;
use damaskstile::core::event::Event;
use damaskstile::trace::{self, TraceHead, TraceLine};

/// Writes the instance's input events to a trace file.
#[derive(Debug)]
pub struct Recorder {
    out: BufWriter<File>,
}

impl Recorder {
    /// Creates the trace file and writes its head.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be created or written.
    pub fn try_new(
        path: &Path,
        options: &InstanceOptions,
        started_at: Duration,
    ) -> Result<Self, trace::Error> {
        let mut out = BufWriter::new(File::create(path)?);
        let head = TraceHead {
            identity: options.identity.clone(),
            seed: options.seed,
            started_at,
        };
        trace::write_line(&mut out, &head)?;
        Ok(Self { out })
    }

    /// Writes an event. Write errors are ignored: a failing trace must not stop the service.
    pub fn record(&mut self, now: Duration, event: &Event) {
        let line = TraceLine::Event {
            now,
            event: event.clone(),
        };
        let _ = trace::write_line(&mut self.out, &line);
    }
}
