//! Tables of the time to the first token on each route, and of what the targets ran meanwhile, and
//! at each target.

mod target_times;

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::Value;
use target_times::TargetTimes;

use super::lines::{Line, Logs};
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Range of the codes of all events that end a call. Calls without a first token, and other events
/// in the range, are left out by [`CallTiming::try_new`] for lack of its fields.
const CALL_END_CODES: std::ops::RangeInclusive<u64> = 107..=112;

/// Timing of one call whose answer had a first token.
#[derive(Debug, Clone)]
struct CallTiming {
    route: String,
    target: String,
    /// When the call was sent to its target: the time of the line, minus the duration of the call,
    /// plus the time before the send.
    sent_at_ms: u64,
    /// Time from the send to the first token.
    first_token_ms: u64,
    /// Time to the first token that was predicted when the target was chosen.
    expected_ms: u64,
    /// How long work was expected to take at the target, in percent of the usual, if known.
    speed_percent: Option<u64>,
    /// Longest gap between two pieces of the answer.
    pause_ms: u64,
    /// Tokens of the prompt expected not to be in the target's cache, so that it has to prefill
    /// them.
    prefill_tokens: u64,
    /// Estimated number of calls running at the target when this one was sent.
    running: u64,
}

impl CallTiming {
    fn try_new(line: &Line) -> Option<Self> {
        let took_ms = line.number("took_ms")?;
        let sent_ms = line.number("sent_ms")?;
        let first_token_ms = line.number("first_byte_ms")?.checked_sub(sent_ms)?;
        Some(Self {
            route: line.field("route")?.to_owned(),
            target: line.field("target")?.to_owned(),
            sent_at_ms: (line.at_ms()? + sent_ms).checked_sub(took_ms)?,
            first_token_ms,
            // Where the speed of targets is not learned, the cost is the prediction.
            expected_ms: line
                .number("expected_ms")
                .or_else(|| line.number("cost_ms"))?,
            speed_percent: line.number("speed"),
            pause_ms: line.number("pause_ms").unwrap_or(0),
            prefill_tokens: line.number("uncached").unwrap_or(0),
            running: line.number("running").unwrap_or(0),
        })
    }

    /// Returns whether both calls waited for their first tokens at the same time.
    fn overlaps(&self, other: &Self) -> bool {
        let end_ms = self.sent_at_ms + self.first_token_ms;
        let other_end_ms = other.sent_at_ms + other.first_token_ms;
        self.sent_at_ms < other_end_ms && other.sent_at_ms < end_ms
    }
}

/// Prints one row for each route, then one for each target.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let ends = logs
        .lines
        .iter()
        .filter(|line| CALL_END_CODES.contains(&line.event));
    let calls: Vec<CallTiming> = ends.filter_map(CallTiming::try_new).collect();
    let overlapping = overlapping_prefill_tokens(&calls);
    let mut routes: BTreeMap<&str, Vec<(&CallTiming, u64)>> = BTreeMap::new();
    for (call, overlapping) in calls.iter().zip(&overlapping) {
        routes
            .entry(&call.route)
            .or_default()
            .push((call, *overlapping));
    }
    let mut targets: BTreeMap<&str, TargetTimes> = BTreeMap::new();
    for call in &calls {
        targets.entry(&call.target).or_default().add(call);
    }
    let (mut rows, by_route) = route_rows(routes);
    let (target_rows, by_target) = target_times::rows(targets);
    rows.extend(target_rows);
    context.print_all(&Value::Array(rows), &[by_route, by_target])?;
    logs.finish()
}

/// Returns for each call the prompt tokens of all calls, of any instance, that waited for their
/// first token at the same target at the same time.
fn overlapping_prefill_tokens(calls: &[CallTiming]) -> Vec<u64> {
    let mut targets: BTreeMap<&str, Vec<&CallTiming>> = BTreeMap::new();
    for call in calls {
        targets.entry(&call.target).or_default().push(call);
    }
    for calls in targets.values_mut() {
        calls.sort_by_key(|call| call.sent_at_ms);
    }
    calls
        .iter()
        .map(|call| {
            let others = &targets[call.target.as_str()];
            let end_ms = call.sent_at_ms + call.first_token_ms;
            let until = others.partition_point(|other| other.sent_at_ms < end_ms);
            others[..until]
                .iter()
                .filter(|other| !std::ptr::eq(**other, call) && call.overlaps(other))
                .map(|other| other.prefill_tokens)
                .sum()
        })
        .collect()
}

/// Sorted numbers, for percentiles.
#[derive(Debug)]
struct Percentiles(Vec<u64>);

impl Percentiles {
    fn new(mut numbers: Vec<u64>) -> Self {
        numbers.sort_unstable();
        Self(numbers)
    }

    /// Returns a percentile, or 0 if there are no numbers.
    fn at(&self, percent: usize) -> u64 {
        let index = (self.0.len() * percent / 100).min(self.0.len().saturating_sub(1));
        self.0.get(index).copied().unwrap_or(0)
    }

    /// Returns the 50th, 90th and 99th percentile, separated by `/`.
    fn text(&self) -> String {
        format!("{}/{}/{}", self.at(50), self.at(90), self.at(99))
    }
}

fn route_rows(routes: BTreeMap<&str, Vec<(&CallTiming, u64)>>) -> (Vec<Value>, Table) {
    let mut table = Table::new(&[
        "route",
        "calls",
        "first_token_ms_50/90/99",
        "expected_ms_50/90/99",
        "pause_ms_50/90/99",
        "running_50/90/99",
        "read_beside_tokens_50/90/99",
        "the_same_of_the_slowest_tenth",
    ]);
    let mut json_rows = Vec::new();
    for (route, mut calls) in routes {
        calls.sort_by_key(|(call, _)| call.first_token_ms);
        let slowest = &calls[calls.len() - calls.len().div_ceil(10)..];
        let percentiles = |of: &dyn Fn(&CallTiming) -> u64| {
            Percentiles::new(calls.iter().map(|(call, _)| of(call)).collect())
        };
        let overlapping = |calls: &[(&CallTiming, u64)]| {
            Percentiles::new(calls.iter().map(|(_, overlapping)| *overlapping).collect())
        };
        let columns = [
            ("first_token_ms", percentiles(&|call| call.first_token_ms)),
            ("expected_ms", percentiles(&|call| call.expected_ms)),
            ("pause_ms", percentiles(&|call| call.pause_ms)),
            ("running", percentiles(&|call| call.running)),
            ("read_beside_tokens", overlapping(&calls)),
            ("read_beside_slowest_tokens", overlapping(slowest)),
        ];
        let texts: Vec<String> = columns
            .iter()
            .map(|(_, percentiles)| percentiles.text())
            .collect();
        let number = calls.len();
        let mut cells: Vec<&dyn std::fmt::Display> = vec![&route, &number];
        cells.extend(texts.iter().map(|text| text as &dyn std::fmt::Display));
        table.row(&cells);
        let mut row = serde_json::json!({ "route": route, "calls": number });
        for (name, percentiles) in &columns {
            row[*name] =
                serde_json::json!([percentiles.at(50), percentiles.at(90), percentiles.at(99)]);
        }
        json_rows.push(row);
    }
    (json_rows, table)
}
