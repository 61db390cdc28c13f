//! Log output for numbered events. Logging never blocks the calling thread.

use std::io::Write;
use std::sync::Mutex;

use damaskstile_core::log::LogEvent;
use serde::Deserialize;
use slog::{Drain, Logger, o};

use crate::line_output::LineOutput;
use crate::log_guard::LogGuard;
use crate::reporting_drain::ReportingDrain;

/// Capacity of the queue of log events. Events beyond it are dropped, and their number is logged.
const LOG_QUEUE_CAPACITY: usize = 4096;

/// Output format of the logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Terminal,
    /// One JSON object a line.
    Json,
}

/// Creates the logger. A dedicated thread writes the lines; the guard waits for it.
pub fn logger<W>(format: LogFormat, instance: &str, output: W) -> (Logger, LogGuard)
where
    W: Write + Send + 'static,
{
    let instance = instance.to_owned();
    let output = LineOutput::new(output);
    match format {
        LogFormat::Json => {
            let json = slog_json::Json::new(output).add_default_keys();
            wrap(json.set_flush(true).build(), instance)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(output);
            wrap(slog_term::FullFormat::new(decorator).build(), instance)
        }
    }
}

fn wrap<D>(drain: D, instance: String) -> (Logger, LogGuard)
where
    D: Drain + Send + 'static,
{
    let drain = ReportingDrain::new(Mutex::new(drain));
    let (drain, writer) = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_CAPACITY)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let log = Logger::root(drain.fuse(), o!("instance" => instance));
    (log, LogGuard::new(writer))
}

/// Logs an event with its number.
pub fn write(log: &Logger, event: &LogEvent) {
    let number = event.code.number();
    let name = format!("{:?}", event.code);
    let fields: Vec<String> = event
        .fields
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let fields = fields.join(" ");
    match event.code.level() {
        "error" => slog::error!(log, "{name}"; "event" => number, "fields" => fields),
        "warn" => slog::warn!(log, "{name}"; "event" => number, "fields" => fields),
        _ => slog::info!(log, "{name}"; "event" => number, "fields" => fields),
    }
}
