//! `load` tells which instances got more than they bear, for how long, and what they were busy with.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::Value;

use super::lines::{Line, Logs};
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Number of the event of a readiness that changed.
const READINESS_CHANGED: u64 = 704;
/// Number of the event that tells what a loaded instance was busy with.
const INSTANCE_LOADED: u64 = 705;

/// What the lines of one instance tell.
#[derive(Debug, Default)]
struct Load {
    overloads: u64,
    overloaded_since_ms: Option<u64>,
    overloaded_ms: u64,
    late_ms_max: u64,
    connect_ms_max: u64,
    busy_ms: BTreeMap<String, u64>,
}

impl Load {
    fn take_readiness(&mut self, line: &Line) {
        let at_ms = line.at_ms().unwrap_or_default();
        if line.field("now") == Some("overloaded") {
            self.overloads += 1;
            self.overloaded_since_ms = Some(at_ms);
        } else if let Some(since_ms) = self.overloaded_since_ms.take() {
            self.overloaded_ms += at_ms.saturating_sub(since_ms);
        }
    }

    fn take_load(&mut self, line: &Line) {
        let late_ms = line.number("late_ms").unwrap_or_default();
        self.late_ms_max = self.late_ms_max.max(late_ms);
        for (what, ms) in pairs(line.field("longest_ms")) {
            if what == "connect" {
                self.connect_ms_max = self.connect_ms_max.max(ms);
            }
        }
        for (duty, ms) in pairs(line.field("busy_ms")) {
            *self.busy_ms.entry(duty.to_owned()).or_default() += ms;
        }
    }

    /// Returns the duty that took most of the time that the lines tell of.
    fn busiest(&self) -> (&str, u64) {
        let most = self.busy_ms.iter().max_by_key(|(_, ms)| **ms);
        most.map_or(("-", 0), |(duty, ms)| (duty, *ms))
    }
}

/// Returns the parts of a field as `name:number`.
fn pairs(field: Option<&str>) -> impl Iterator<Item = (&str, u64)> {
    let parts = field.unwrap_or_default().split(',');
    parts.filter_map(|part| {
        let (name, number) = part.split_once(':')?;
        Some((name, number.parse().ok()?))
    })
}

/// Prints the instances that were overloaded or late, the longest overloaded first.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let mut loads: BTreeMap<&str, Load> = BTreeMap::new();
    let mut last_ms = 0;
    for line in &logs.lines {
        last_ms = line.at_ms().unwrap_or(last_ms);
        match line.event {
            READINESS_CHANGED => loads
                .entry(&line.instance)
                .or_default()
                .take_readiness(line),
            INSTANCE_LOADED => loads.entry(&line.instance).or_default().take_load(line),
            _ => {}
        }
    }
    for load in loads.values_mut() {
        if let Some(since_ms) = load.overloaded_since_ms.take() {
            load.overloaded_ms += last_ms.saturating_sub(since_ms);
        }
    }
    loads.retain(|_, load| load.overloads > 0 || load.late_ms_max > 0);
    let mut loads: Vec<_> = loads.into_iter().collect();
    loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.overloaded_ms));
    let mut table = Table::new(&[
        "instance",
        "overloads",
        "overloaded_ms",
        "late_ms_max",
        "connect_ms_max",
        "busiest",
        "busiest_ms",
    ]);
    let mut shown = Vec::new();
    for (instance, load) in &loads {
        let (busiest, busiest_ms) = load.busiest();
        table.row(&[
            instance,
            &load.overloads,
            &load.overloaded_ms,
            &load.late_ms_max,
            &load.connect_ms_max,
            &busiest,
            &busiest_ms,
        ]);
        shown.push(serde_json::json!({
            "instance": instance, "overloads": load.overloads,
            "overloaded_ms": load.overloaded_ms, "late_ms_max": load.late_ms_max,
            "connect_ms_max": load.connect_ms_max, "busiest": busiest, "busiest_ms": busiest_ms,
        }));
    }
    context.print(&Value::Array(shown), &table)?;
    logs.finish()
}
