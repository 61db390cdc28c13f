//! Course of one call, each line preceded by what its instance had last logged on other matters.

use std::path::PathBuf;

use serde_json::Value;

use super::lines::{Line, Logs};
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Maximum number of other lines of the same instance shown before each line on the call.
const CONTEXT_LINES_MAX: usize = 6;
/// Codes of the events on single calls.
const CALL_EVENT_CODES: std::ops::Range<u64> = 100..200;

/// Prints the lines on a call, each after the last lines of its instance that are not on calls:
/// they show the state that the instance acted on.
///
/// # Errors
///
/// Returns [`Failure::NotFound`] if no line has the id, and a list of what could not be read.
pub fn run(context: &Context, id: &str, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let lines = &logs.lines;
    let wanted = format!("id={id}");
    let mut table = Table::new(&["time", "instance", "event", "fields"]);
    let mut json_rows = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        if !line.fields.split(' ').any(|field| field == wanted) {
            continue;
        }
        for context_line in context_lines(&lines[..index], &line.instance) {
            add(&mut table, &mut json_rows, context_line);
        }
        add(&mut table, &mut json_rows, line);
    }
    if !json_rows.is_empty() {
        context.print(&Value::Array(json_rows), &table)?;
        return logs.finish();
    }
    logs.finish()?;
    Err(Failure::NotFound(format!("no log line with id={id}")))
}

/// Returns the last lines of an instance that are not on single calls, in the order of time.
fn context_lines<'a>(before: &'a [Line], instance: &str) -> Vec<&'a Line> {
    let mut found: Vec<&Line> = before
        .iter()
        .rev()
        .filter(|line| line.instance == instance && !CALL_EVENT_CODES.contains(&line.event))
        .take(CONTEXT_LINES_MAX)
        .collect();
    found.reverse();
    found
}

fn add(table: &mut Table, json_rows: &mut Vec<Value>, line: &Line) {
    let event = format!("{} {}", line.event, line.name);
    table.row(&[&line.ts, &line.instance, &event, &line.fields]);
    json_rows.push(serde_json::json!({
        "ts": line.ts, "instance": line.instance, "event": line.event,
        "name": line.name, "fields": line.fields,
    }));
}
