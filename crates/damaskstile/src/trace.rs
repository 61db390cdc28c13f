//! Event traces of an instance: writing them, and replaying them against expected outcomes.
//!
//! A trace is a file of JSON lines. The first line is a [`TraceHead`], the others are
//! [`TraceLine`]s: recorded events, and expectations that a replay checks at that point.

mod error;
mod line;

use std::io::{BufRead, Write};

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

pub use error::Error;
pub use line::{TraceHead, TraceLine};

use crate::instance::Instance;
use crate::options::InstanceOptions;

/// Result of a replay.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplayReport {
    /// Number of replayed events.
    pub events: u64,
    /// Number of expectations that were met.
    pub held: u64,
    /// Expectations that were not met, each with its line number and the actual value.
    pub broken: Vec<String>,
    /// Outcome of each answered call.
    pub outcomes: BTreeMap<RequestHandle, Outcome>,
}

/// Writes one line of a trace as JSON.
///
/// # Errors
///
/// Returns [`Error::Io`] if writing fails and [`Error::Malformed`], with line 0, if the line cannot
/// be serialised.
pub fn write_line<T: Serialize>(out: &mut dyn Write, line: &T) -> Result<(), Error> {
    let text = serde_json::to_string(line).map_err(|error| Error::Malformed { line: 0, error })?;
    writeln!(out, "{text}")?;
    Ok(())
}

/// Replays a trace on a new instance with default options and checks its expectations.
///
/// # Errors
///
/// Returns an error if the trace is empty, unreadable or malformed. Expectations that are not met
/// are part of the result.
pub fn replay(trace: &mut dyn BufRead) -> Result<ReplayReport, Error> {
    let mut lines = trace.lines().enumerate();
    let Some((_, head)) = lines.next() else {
        return Err(Error::Empty);
    };
    let head: TraceHead = parse(1, &head?)?;
    let mut options = InstanceOptions::new(head.identity);
    options.seed = head.seed;
    let mut instance = Instance::new(options, head.started_at);

    let mut replayed = ReplayReport::default();
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
                collect_effects(&effects, &mut replayed.outcomes, &mut dispatches);
            }
            expectation => check_expectation(index + 1, &expectation, &mut replayed, &dispatches),
        }
    }
    Ok(replayed)
}

fn parse<T: for<'de> Deserialize<'de>>(line: usize, text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|error| Error::Malformed { line, error })
}

fn collect_effects(
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

fn check_expectation(
    line: usize,
    expectation: &TraceLine,
    replayed: &mut ReplayReport,
    dispatches: &BTreeMap<RequestHandle, u64>,
) {
    let (is_met, found) = match expectation {
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
    if is_met {
        replayed.held += 1;
    } else {
        replayed.broken.push(format!(
            "line {line}: expected {expectation:?}, found {found}"
        ));
    }
}
