//! Table of the runs that had copies at second targets, and of what became of them after crashes.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::Value;

use super::lines::{Line, Logs};
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Codes of the events that end a call of which a target ran at least a part.
const CALL_END_CODES: [u64; 4] = [107, 109, 110, 112];
/// Code of the event of a call that ended without a complete answer.
const CALL_FAILED: u64 = 109;

/// Copies of the runs of one route.
#[derive(Debug, Clone, Default)]
struct CopySummary {
    calls: u64,
    copied: u64,
    /// Copied because calls to the run's target had failed.
    at_suspect_targets: u64,
    /// Runs whose target crashed and that continued at the second one.
    continued: u64,
    /// Runs whose target crashed and that the second one did not continue.
    missing: u64,
    /// Calls that failed because the connection to their target broke.
    cut: u64,
}

/// Prints one row for each route.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let mut routes: BTreeMap<String, CopySummary> = BTreeMap::new();
    let ends = logs.lines.iter();
    let ends = ends.filter(|line| CALL_END_CODES.contains(&line.event));
    ends.for_each(|line| add(&mut routes, line));
    print(context, &routes)?;
    logs.finish()
}

fn add(routes: &mut BTreeMap<String, CopySummary>, line: &Line) {
    let Some(route) = line.field("route") else {
        return;
    };
    let summary = routes.entry(route.to_owned()).or_default();
    summary.calls += 1;
    summary.copied += u64::from(line.field("copy").is_some());
    let is_suspect = line.field("copy_reason") == Some("suspect_target");
    summary.at_suspect_targets += u64::from(is_suspect);
    match line.number("continued") {
        Some(0) => summary.missing += 1,
        Some(_) => summary.continued += 1,
        None => {}
    }
    let cause = line.field("cause");
    let is_broken = cause.is_some_and(|cause| ["broken", "half_event"].contains(&cause));
    summary.cut += u64::from(line.event == CALL_FAILED && is_broken);
}

fn print(context: &Context, routes: &BTreeMap<String, CopySummary>) -> Result<(), Failure> {
    let mut table = Table::new(&[
        "route",
        "calls",
        "copied",
        "at_suspect_targets",
        "continued",
        "missing",
        "cut",
    ]);
    let mut json_rows = Vec::new();
    for (route, summary) in routes {
        table.row(&[
            route,
            &summary.calls,
            &summary.copied,
            &summary.at_suspect_targets,
            &summary.continued,
            &summary.missing,
            &summary.cut,
        ]);
        json_rows.push(serde_json::json!({
            "route": route, "calls": summary.calls, "copied": summary.copied,
            "at_suspect_targets": summary.at_suspect_targets, "continued": summary.continued,
            "missing": summary.missing, "cut": summary.cut,
        }));
    }
    context.print(&Value::Array(json_rows), &table)
}
