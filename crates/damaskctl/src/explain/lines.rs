//! `lines` reads the logs of instances and tells what of them is none.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::exit::Failure;

/// Faults of one file that are shown one by one; the rest is counted.
const FAULTS_MAX: usize = 5;

/// `Line` is one event of an instance's logs.
#[derive(Debug, Clone)]
pub struct Line {
    /// When it was written, as text that sorts by time.
    pub ts: String,
    /// The instance that wrote it.
    pub instance: String,
    /// Number of the event.
    pub event: u64,
    /// Name of the event.
    pub name: String,
    /// What the event is about, as `name=value` with spaces between.
    pub fields: String,
}

impl Line {
    /// Returns the last value of a field: of a call that was sent twice, that of the last send.
    pub fn field(&self, name: &str) -> Option<&str> {
        let pairs = self.fields.split(' ').rev();
        pairs
            .filter_map(|field| field.split_once('='))
            .find_map(|(found, value)| (found == name).then_some(value))
    }

    /// Returns the last value of a field that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Returns when it was written in milliseconds within its day and month; times of two lines
    /// are compared by it, and logs span less than a month.
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

/// `Logs` is what several files hold.
#[derive(Debug, Default)]
pub struct Logs {
    /// Events in the order of their times.
    pub lines: Vec<Line>,
    faults: Vec<String>,
}

impl Logs {
    /// Reads files. What stands before the JSON of a line, as some collectors put a time and a host
    /// there, is passed over; a line without JSON is no event. Whatever else is wrong is noted with
    /// file and line, and the rest is still read.
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
                .push(format!("{}: {more} more such lines", path.display()));
        }
        if self.lines.len() == before {
            self.faults
                .push(format!("{}: no line of an instance", path.display()));
        }
        Ok(())
    }

    /// Ends a command that has printed what it could.
    ///
    /// # Errors
    ///
    /// Returns all that could not be read.
    pub fn finish(&self) -> Result<(), Failure> {
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(Failure::Refused(self.faults.join("\n  ")))
    }
}

fn parse(line: &str) -> Result<Option<Line>, &'static str> {
    let Some(start) = line.find('{') else {
        return Ok(None);
    };
    let json = line[start..].trim_end();
    let value: Value = serde_json::from_str(json).map_err(|error| {
        if error.is_eof() {
            "a truncated line"
        } else {
            "no line of an instance: not JSON"
        }
    })?;
    let text = |name: &str| value[name].as_str().map(str::to_owned);
    let (Some(ts), Some(instance), Some(event)) =
        (text("ts"), text("instance"), value["event"].as_u64())
    else {
        // What the instance's logger itself says, as of lines that were left out, has no number.
        let is_loggers = text("ts").is_some() && text("instance").is_some();
        let fault = "no line of an instance: `ts`, `instance` or `event` is missing";
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
