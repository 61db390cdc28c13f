//! `explain` finds out from logs what became of a call, and what its instance believed then.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Lines on what the instance believed that are shown before each line on the call.
const BELIEFS_MAX: usize = 6;
/// First number of the events on single calls, and the first one past them.
const CALL_EVENTS: std::ops::Range<u64> = 100..200;

#[derive(Debug, Clone)]
struct Line {
    ts: String,
    instance: String,
    event: u64,
    name: String,
    fields: String,
}

/// Prints the lines on a call, each with what its instance had last learnt before it.
pub fn run(context: &Context, id: &str, logs: &[PathBuf]) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for path in logs {
        read(path, &mut lines)?;
    }
    lines.sort_by(|one, other| one.ts.cmp(&other.ts));
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
    if shown.is_empty() {
        return Err(Failure::NotFound(format!("no line names {id}")));
    }
    context.print(&Value::Array(shown), &table)
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

/// Reads the lines of a log. What stands before the JSON of a line, as some collectors put a time
/// and a host there, is passed over; a line without JSON is no event.
fn read(path: &Path, lines: &mut Vec<Line>) -> Result<(), Failure> {
    let refused = |error: std::io::Error| Failure::Refused(format!("{}: {error}", path.display()));
    let file = std::fs::File::open(path).map_err(refused)?;
    for line in BufReader::new(file).lines() {
        let line = line.map_err(refused)?;
        let json = line.find('{').map_or("", |start| &line[start..]);
        let Ok(value) = serde_json::from_str::<Value>(json) else {
            continue;
        };
        let text = |name: &str| value[name].as_str().unwrap_or("").to_owned();
        lines.push(Line {
            ts: text("ts"),
            instance: text("instance"),
            event: value["event"].as_u64().unwrap_or(0),
            name: text("msg"),
            fields: text("fields"),
        });
    }
    Ok(())
}
