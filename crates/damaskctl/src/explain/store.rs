//! Table of the calls that instances made to the store, by kind and outcome.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::Value;

use super::counts::{Sum, add_up};
use super::lines::Logs;
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Code of the event with which an instance logs its calls to the store since its start.
const STORE_CALLS_NOTED: u64 = 509;

/// Prints the sums of calls to the store over all instances.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    print(context, &add_up(&logs.lines, STORE_CALLS_NOTED, "calls="))?;
    logs.finish()
}

fn print(context: &Context, calls: &BTreeMap<String, Sum>) -> Result<(), Failure> {
    let mut table = Table::new(&["call", "outcome", "calls", "instances", "most", "most_at"]);
    let mut json_rows = Vec::new();
    for (name, calls) in calls {
        let (call, outcome) = name.rsplit_once('/').unwrap_or((name, "-"));
        let (most, most_at) = &calls.greatest;
        table.row(&[
            &call,
            &outcome,
            &calls.total,
            &calls.incarnations,
            most,
            most_at,
        ]);
        json_rows.push(serde_json::json!({
            "call": call, "outcome": outcome, "calls": calls.total,
            "instances": calls.incarnations, "most": most, "most_at": most_at,
        }));
    }
    context.print(&Value::Array(json_rows), &table)
}
