//! Reader of the log files of instances, which also reports lines that it cannot read.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::exit::Failure;

/// Maximum number of unreadable lines of one file that are reported one by one; the rest is
/// counted.
const FAULTS_MAX: usize = 5;

/// One event in the log of an instance.
#[derive(Debug, Clone)]
pub struct Line {
    /// Time of writing in UTC, in a format that sorts by time as text.
    pub ts: String,
    /// The instance that wrote it.
    pub instance: String,
    /// Code of the event.
    pub event: u64,
    /// Name of the event.
    pub name: String,
    /// Fields of the event as `name=value`, separated by spaces.
    pub fields: String,
}

impl Line {
    /// Returns the last value of a field. A call that was sent more than once has some fields for
    /// each send; those of the last send count.
    pub fn field(&self, name: &str) -> Option<&str> {
        let pairs = self.fields.split(' ').rev();
        pairs
            .filter_map(|field| field.split_once('='))
            .find_map(|(found, value)| (found == name).then_some(value))
    }

    /// Returns the last value of a field as a number, or `None` if it is absent or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Returns the time of writing in milliseconds, counted within its month: year and month are
    /// ignored. It serves for differences between lines of the same month only, as logs span less
    /// than a month.
    pub fn at_ms(&self) -> Option<u64> {
        let (date, time) = self.ts.trim_end_matches('Z').split_once('T')?;
        let day: u64 = date.rsplit('-').next()?.parse().ok()?;
        let mut parts = time.split(':');
        let hour: u64 = parts.next()?.parse().ok()?;
        let minute: u64 = parts.next()?.parse().ok()?;
        let (second, fraction) = parts.next()?.split_once('.').unwrap_or(("0", "0"));
        let second: u64 = second.parse().ok()?;
        let millis: String = fraction.chars().chain("000".chars()).take(3).collect();
        let millis: u64 = millis.parse().ok()?;
        Some((((day * 24 + hour) * 60 + minute) * 60 + second) * 1_000 + millis)
    }
}

/// Events of several log files.
#[derive(Debug, Default)]
pub struct Logs {
    /// Events in the order of time.
    pub lines: Vec<Line>,
    faults: Vec<String>,
}

impl Logs {
    /// Reads log files. Text before the JSON object of a line is skipped, since some collectors
    /// prefix lines with a time and a host; lines without a JSON object are ignored. Other problems
    /// are kept for [`Logs::finish`] with file and line number, and the rest is still read.
    pub fn read(paths: &[PathBuf]) -> Self {
        let mut logs = Self::default();
        for path in paths {
            if let Err(error) = logs.read_file(path) {
                logs.faults.push(format!("{}: {error}", path.display()));
            }
        }
        logs.lines.sort_by(|one, other| one.ts.cmp(&other.ts));
        logs
    }

    fn read_file(&mut self, path: &Path) -> std::io::Result<()> {
        let mut reader = BufReader::new(std::fs::File::open(path)?);
        let (mut bytes, mut number, mut faults) = (Vec::new(), 0_u64, 0_usize);
        let before = self.lines.len();
        loop {
            bytes.clear();
            if reader.read_until(b'\n', &mut bytes)? == 0 {
                break;
            }
            number += 1;
            match parse(&String::from_utf8_lossy(&bytes)) {
                Ok(Some(line)) => self.lines.push(line),
                Ok(None) => {}
                Err(fault) => {
                    faults += 1;
                    if faults <= FAULTS_MAX {
                        let text = format!("{}:{number}: {fault}", path.display());
                        self.faults.push(text);
                    }
                }
            }
        }
        if faults > FAULTS_MAX {
            let more = faults - FAULTS_MAX;
            self.faults
                .push(format!("{}: {more} more unreadable lines", path.display()));
        }
        if self.lines.len() == before {
            self.faults
                .push(format!("{}: no log lines of an instance", path.display()));
        }
        Ok(())
    }

    /// Reports problems of reading, after a command has printed what could be read.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Refused`] with a list of all files and lines that could not be read.
    pub fn finish(&self) -> Result<(), Failure> {
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(Failure::Refused(self.faults.join("\n  ")))
    }
}

/// Parses one line of a file. Returns `None` for lines to be ignored, and an error for lines that
/// cannot be read.
fn parse(line: &str) -> Result<Option<Line>, &'static str> {
    let Some(start) = line.find('{') else {
        return Ok(None);
    };
    let json = line[start..].trim_end();
    let value: Value = serde_json::from_str(json).map_err(|error| {
        if error.is_eof() {
            "truncated line"
        } else {
            "not a log line of an instance: invalid JSON"
        }
    })?;
    let text = |name: &str| value[name].as_str().map(str::to_owned);
    let (Some(ts), Some(instance), Some(event)) =
        (text("ts"), text("instance"), value["event"].as_u64())
    else {
        // Messages of the instance's logger itself, for example on dropped lines, have no event
        // code.
        let is_loggers = text("ts").is_some() && text("instance").is_some();
        let fault = "not a log line of an instance: `ts`, `instance` or `event` is missing";
        return if is_loggers { Ok(None) } else { Err(fault) };
    };
    Ok(Some(Line {
        ts,
        instance,
        event,
        name: text("msg").unwrap_or_default(),
        fields: text("fields").unwrap_or_default(),
    }))
}
