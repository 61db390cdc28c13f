//! Predicted and observed first tokens at one target.

use std::collections::BTreeMap;

use serde_json::Value;

use super::{CallTiming, Percentiles};
use crate::table::Table;

/// Calls from which on a target counts in the percentile of all targets.
const COUNTED_CALLS: usize = 25;

/// Predicted and observed first tokens at one target.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetTimes {
    first_token_ms: Vec<u64>,
    expected_ms: Vec<u64>,
    /// Observed times in percent of the predicted ones.
    observed_percent: Vec<u64>,
    speed_percent: Vec<u64>,
}

impl TargetTimes {
    pub(super) fn add(&mut self, call: &CallTiming) {
        self.first_token_ms.push(call.first_token_ms);
        self.expected_ms.push(call.expected_ms);
        let percent = call.first_token_ms.saturating_mul(100) / call.expected_ms.max(1);
        self.observed_percent.push(percent);
        self.speed_percent.extend(call.speed_percent);
    }
}

/// Returns one row for each target, those that are slowest compared with the prediction first, and
/// then the 90th percentile of the medians of targets with enough calls.
pub(super) fn rows(targets: BTreeMap<&str, TargetTimes>) -> (Vec<Value>, Table) {
    let mut table = Table::new(&[
        "target",
        "calls",
        "first_token_ms_50",
        "expected_ms_50",
        "observed_percent_50",
        "speed_percent_50",
    ]);
    let median = |numbers: Vec<u64>| Percentiles::new(numbers).at(50);
    let targets = targets.into_iter().map(|(target, times)| {
        let calls = times.first_token_ms.len();
        let medians = [
            times.first_token_ms,
            times.expected_ms,
            times.observed_percent,
            times.speed_percent,
        ];
        (target, calls, medians.map(median))
    });
    let mut targets: Vec<_> = targets.collect();
    targets.sort_by_key(|(_, _, [_, _, observed_percent, _])| std::cmp::Reverse(*observed_percent));
    let mut json_rows = Vec::new();
    for (target, calls, [first_token_ms, expected_ms, observed_percent, speed_percent]) in &targets
    {
        // 0 stands for a speed that no line states.
        let speed_percent = (*speed_percent > 0).then_some(*speed_percent);
        let shown = speed_percent.map_or_else(|| "-".to_owned(), |percent| percent.to_string());
        table.row(&[
            target,
            calls,
            first_token_ms,
            expected_ms,
            observed_percent,
            &shown,
        ]);
        json_rows.push(serde_json::json!({
            "target": target, "calls": calls, "first_token_ms": first_token_ms,
            "expected_ms": expected_ms, "observed_percent": observed_percent,
            "speed_percent": speed_percent,
        }));
    }
    let counted = targets
        .iter()
        .filter(|(_, calls, _)| *calls >= COUNTED_CALLS);
    let medians = Percentiles::new(counted.map(|(_, _, medians)| medians[2]).collect());
    let count = medians.0.len();
    let percent = medians.at(90);
    table.row(&[
        &"90th percentile of targets with 25 calls or more",
        &count,
        &"-",
        &"-",
        &percent,
        &"-",
    ]);
    json_rows.push(serde_json::json!({ "targets": count, "observed_percent_90": percent }));
    (json_rows, table)
}
