//! `trace` records the events of an instance, and replays them against stated outcomes.

mod error;
mod line;

use std::io::{BufRead, Write};

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

pub use error::Error;
pub use line::{TraceHead, TraceLine};

use crate::instance::Instance;
use crate::options::InstanceOptions;

/// `Replayed` tells what a replay gave.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replayed {
    /// Events that were replayed.
    pub events: u64,
    /// Statements that held.
    pub held: u64,
    /// Statements that did not hold, with what was found.
    pub broken: Vec<String>,
    /// Final words by call.
    pub outcomes: BTreeMap<RequestHandle, Outcome>,
}

/// Writes one line of a trace.
///
/// # Errors
///
/// Returns an error where the line cannot be written.
pub fn write_line<T: Serialize>(out: &mut dyn Write, line: &T) -> Result<(), Error> {
    let text = serde_json::to_string(line).map_err(|error| Error::Malformed { line: 0, error })?;
    writeln!(out, "{text}")?;
    Ok(())
}

/// Replays a trace and compares what the instance does with what the trace states.
///
/// # Errors
///
/// Returns an error where the trace cannot be read; broken statements are in the result.
pub fn replay(trace: &mut dyn BufRead) -> Result<Replayed, Error> {
    let mut lines = trace.lines().enumerate();
    let Some((_, head)) = lines.next() else {
        return Err(Error::Empty);
    };
    let head: TraceHead = parse(1, &head?)?;
    let mut options = InstanceOptions::new(head.identity);
    options.seed = head.seed;
    let mut instance = Instance::new(options, head.started_at);

    let mut replayed = Replayed::default();
    let mut dispatches: BTreeMap<RequestHandle, u64> = BTreeMap::new();
    for (index, line) in lines {
        let line = line?;
        if line.trim().is_empty() {
            continue;
        }
        match parse(index + 1, &line)? {
            TraceLine::Event { now, event } => {
                let mut effects = Vec::new();
                instance.handle(now, event, &mut effects);
                replayed.events += 1;
                note_effects(&effects, &mut replayed.outcomes, &mut dispatches);
            }
            statement => check(index + 1, &statement, &mut replayed, &dispatches),
        }
    }
    Ok(replayed)
}

fn parse<T: for<'de> Deserialize<'de>>(line: usize, text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|error| Error::Malformed { line, error })
}

fn note_effects(
    effects: &[Effect],
    outcomes: &mut BTreeMap<RequestHandle, Outcome>,
    dispatches: &mut BTreeMap<RequestHandle, u64>,
) {
    for effect in effects {
        match effect {
            Effect::Answer { request, outcome } => {
                outcomes.insert(*request, outcome.clone());
            }
            Effect::Dispatch(dispatch) => {
                *dispatches.entry(dispatch.request).or_default() += 1;
            }
            _ => {}
        }
    }
}

fn check(
    line: usize,
    statement: &TraceLine,
    replayed: &mut Replayed,
    dispatches: &BTreeMap<RequestHandle, u64>,
) {
    let (is_held, found) = match statement {
        TraceLine::Event { .. } => return,
        TraceLine::Expect { request, outcome } => {
            let found = replayed.outcomes.get(request);
            (found == Some(outcome), format!("{found:?}"))
        }
        TraceLine::ExpectOpen { request } => {
            let found = replayed.outcomes.get(request);
            (found.is_none(), format!("{found:?}"))
        }
        TraceLine::ExpectDispatches {
            request,
            dispatches: expected,
        } => {
            let found = dispatches.get(request).copied().unwrap_or(0);
            (found == *expected, format!("{found} dispatches"))
        }
    };
    if is_held {
        replayed.held += 1;
    } else {
        replayed.broken.push(format!(
            "line {line}: expected {statement:?}, found {found}"
        ));
    }
}
