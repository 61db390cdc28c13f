//! `call` tells what became of one call, with what its instance believed then.

use std::path::PathBuf;

use serde_json::Value;

use super::lines::{Line, Logs};
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Lines on what the instance believed that are shown before each line on the call.
const BELIEFS_MAX: usize = 6;
/// First number of the events on single calls, and the first one past them.
const CALL_EVENTS: std::ops::Range<u64> = 100..200;

/// Prints the lines on a call, each with what its instance had last learnt before it.
pub fn run(context: &Context, id: &str, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let lines = &logs.lines;
    let wanted = format!("id={id}");
    let mut table = Table::new(&["time", "instance", "event", "fields"]);
    let mut shown = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        if !line.fields.split(' ').any(|field| field == wanted) {
            continue;
        }
        for belief in beliefs(&lines[..index], &line.instance) {
            add(&mut table, &mut shown, belief);
        }
        add(&mut table, &mut shown, line);
    }
    if !shown.is_empty() {
        context.print(&Value::Array(shown), &table)?;
        return logs.finish();
    }
    logs.finish()?;
    Err(Failure::NotFound(format!("no line names {id}")))
}

/// Returns the last lines of an instance that are not on single calls.
fn beliefs<'a>(before: &'a [Line], instance: &str) -> Vec<&'a Line> {
    let mut found: Vec<&Line> = before
        .iter()
        .rev()
        .filter(|line| line.instance == instance && !CALL_EVENTS.contains(&line.event))
        .take(BELIEFS_MAX)
        .collect();
    found.reverse();
    found
}

fn add(table: &mut Table, shown: &mut Vec<Value>, line: &Line) {
    let event = format!("{} {}", line.event, line.name);
    table.row(&[&line.ts, &line.instance, &event, &line.fields]);
    shown.push(serde_json::json!({
        "ts": line.ts, "instance": line.instance, "event": line.event,
        "name": line.name, "fields": line.fields,
    }));
}
