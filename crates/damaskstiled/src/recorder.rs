//! `recorder` writes the events of the instance to a trace.

use std::fs::File;
use std::io::BufWriter;
use std::path::Path;
use std::time::Duration;

use damaskstile::InstanceOptions;
use damaskstile::core::event::Event;
use damaskstile::trace::{self, TraceHead, TraceLine};

/// `Recorder` writes the events of the instance to a trace.
#[derive(Debug)]
pub struct Recorder {
    out: BufWriter<File>,
}

impl Recorder {
    /// Starts a trace.
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

    /// Writes an event. A trace that cannot be written is no reason to stop serving.
    pub fn record(&mut self, now: Duration, event: &Event) {
        let line = TraceLine::Event {
            now,
            event: event.clone(),
        };
        let _ = trace::write_line(&mut self.out, &line);
    }
}
