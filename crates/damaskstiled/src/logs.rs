//! `logs` writes numbered events.

use damaskstile::core::log::LogEvent;
use slog::{Drain, Logger, o};

use crate::config::LogFormat;

/// Events that may wait to be written; past it they are counted and dropped.
const LOG_RING: usize = 4096;

/// Makes the logger. Lines are written by a thread of their own.
pub fn logger(format: LogFormat, instance: &str) -> Logger {
    let instance = instance.to_owned();
    match format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            wrap(drain, instance)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            wrap(drain, instance)
        }
    }
}

fn wrap<D>(drain: D, instance: String) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_RING)
        .build()
        .fuse();
    Logger::root(drain, o!("instance" => instance))
}

/// Writes an event with its number.
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
