//! Table of the bytes that instances sent to each other, by purpose.

use std::path::PathBuf;

use serde_json::Value;

use super::counts::add_up;
use super::lines::Logs;
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Code of the event with which an instance logs the bytes that it sent to peers since its start.
const PEER_BYTES_NOTED: u64 = 405;

/// Prints the sums of bytes sent to peers over all instances.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let sums = add_up(&logs.lines, PEER_BYTES_NOTED, "bytes=");
    let mut table = Table::new(&["duty", "bytes", "instances", "most", "most_at"]);
    let mut json_rows = Vec::new();
    for (duty, sum) in &sums {
        let (most, most_at) = &sum.greatest;
        table.row(&[duty, &sum.total, &sum.incarnations, most, most_at]);
        json_rows.push(serde_json::json!({
            "duty": duty, "bytes": sum.total, "instances": sum.incarnations,
            "most": most, "most_at": most_at,
        }));
    }
    context.print(&Value::Array(json_rows), &table)?;
    logs.finish()
}
