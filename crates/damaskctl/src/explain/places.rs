//! `places` tells which data centres were emptied, since when, and which targets were cold or named
//! a limit of calls.

use std::path::PathBuf;

use serde_json::Value;

use super::lines::Logs;
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Number of the event of a target that is cold.
const TARGET_COLD: u64 = 607;
/// Number of the event of a target that names a limit, or none any more.
const TARGET_LIMITED: u64 = 610;
/// Number of the event of a data centre that is emptied.
const DATA_CENTRE_EMPTIED: u64 = 608;
/// Number of the event of one that is taken back.
const DATA_CENTRE_TAKEN_BACK: u64 = 609;

/// Prints what each instance heard of emptied data centres, cold targets and targets that name a
/// limit, and from whom.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let mut table = Table::new(&["ts", "instance", "what", "name", "from"]);
    let mut shown = Vec::new();
    for line in &logs.lines {
        let (what, field) = match line.event {
            TARGET_COLD => ("cold", "target"),
            TARGET_LIMITED if line.field("calls_per_s") == Some("-") => ("unlimited", "target"),
            TARGET_LIMITED => ("limited", "target"),
            DATA_CENTRE_EMPTIED => ("emptied", "data_centre"),
            DATA_CENTRE_TAKEN_BACK => ("taken_back", "data_centre"),
            _ => continue,
        };
        let name = line.field(field).unwrap_or("-");
        let source = line.field("source").unwrap_or("store");
        table.row(&[&line.ts, &line.instance, &what, &name, &source]);
        shown.push(serde_json::json!({
            "ts": line.ts, "instance": line.instance, "what": what, "name": name, "from": source,
        }));
    }
    context.print(&Value::Array(shown), &table)?;
    logs.finish()
}
