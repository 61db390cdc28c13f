//! List of evacuated data centres, cold targets and targets with an advertised call limit, in the
//! order of time.

use std::path::PathBuf;

use serde_json::Value;

use super::lines::Logs;
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Code of the event of a target that is cold.
const TARGET_COLD: u64 = 607;
/// Code of the event of a target that advertises a limit of calls per second, or no longer does.
const TARGET_LIMITED: u64 = 610;
/// Code of the event of a data centre that is evacuated.
const DATA_CENTRE_EMPTIED: u64 = 608;
/// Code of the event of a data centre whose evacuation ends.
const DATA_CENTRE_TAKEN_BACK: u64 = 609;

/// Prints what each instance learned of evacuated data centres, cold targets and advertised limits,
/// and from which source.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let mut table = Table::new(&["ts", "instance", "what", "name", "from"]);
    let mut json_rows = Vec::new();
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
        json_rows.push(serde_json::json!({
            "ts": line.ts, "instance": line.instance, "what": what, "name": name, "from": source,
        }));
    }
    context.print(&Value::Array(json_rows), &table)?;
    logs.finish()
}
