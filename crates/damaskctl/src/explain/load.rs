//! Table of the instances that were overloaded or lagging, or rejected calls for their load: for
//! how long, what they spent their time on, and which calls they rejected.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::Value;

use super::lines::{Line, Logs};
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Code of the event of a call that was refused as not run.
const CALL_REFUSED: u64 = 108;
/// Code of the event of a change of readiness.
const READINESS_CHANGED: u64 = 704;
/// Code of the event with which an overloaded or lagging instance logs what it spent its time on.
const INSTANCE_LOADED: u64 = 705;

/// What the logs show of the load of one instance.
#[derive(Debug, Default)]
struct Load {
    overloads: u64,
    /// Start of the current overload, if any.
    overloaded_since_ms: Option<u64>,
    overloaded_ms: u64,
    /// Times at which the instance left rotation because it had more load than its neighbours.
    sheddings: u64,
    shedding_since_ms: Option<u64>,
    shedding_ms: u64,
    /// Longest scheduling delay of the event loop.
    late_ms_max: u64,
    /// Longest time to establish a connection to a target.
    connect_ms_max: u64,
    /// Time spent on each background task and on other kinds of work.
    busy_ms: BTreeMap<String, u64>,
    /// Calls rejected for the load, by priority.
    rejected: BTreeMap<u64, u64>,
    /// Those of them that yielded to more urgent calls or to other accounts.
    yielded: u64,
}

impl Load {
    fn add_readiness(&mut self, line: &Line) {
        let at_ms = line.at_ms().unwrap_or_default();
        if line.field("now") == Some("overloaded") {
            self.overloads += 1;
            self.overloaded_since_ms = Some(at_ms);
        } else if let Some(since_ms) = self.overloaded_since_ms.take() {
            self.overloaded_ms += at_ms.saturating_sub(since_ms);
        }
        if line.field("now") == Some("shedding") {
            self.sheddings += 1;
            self.shedding_since_ms = Some(at_ms);
        } else if let Some(since_ms) = self.shedding_since_ms.take() {
            self.shedding_ms += at_ms.saturating_sub(since_ms);
        }
    }

    fn add_load(&mut self, line: &Line) {
        let late_ms = line.number("late_ms").unwrap_or_default();
        self.late_ms_max = self.late_ms_max.max(late_ms);
        for (what, ms) in parse_pairs(line.field("longest_ms")) {
            if what == "connect" {
                self.connect_ms_max = self.connect_ms_max.max(ms);
            }
        }
        for (task, ms) in parse_pairs(line.field("busy_ms")) {
            *self.busy_ms.entry(task.to_owned()).or_default() += ms;
        }
    }

    /// Counts a refused call if it was rejected for the load; only such calls have a limit.
    fn add_refusal(&mut self, line: &Line) {
        if let (Some(priority), Some(_)) = (line.number("priority"), line.number("limit_ms")) {
            *self.rejected.entry(priority).or_default() += 1;
            self.yielded += u64::from(line.field("yields_to").is_some());
        }
    }

    /// Returns the rejected calls as `priority:calls`, or `-` if there are none.
    fn rejected_by_priority(&self) -> String {
        let pairs = self.rejected.iter();
        let pairs: Vec<_> = pairs
            .map(|(rank, calls)| format!("{rank}:{calls}"))
            .collect();
        if pairs.is_empty() {
            "-".to_owned()
        } else {
            pairs.join(",")
        }
    }

    fn is_shown(&self) -> bool {
        self.overloads + self.sheddings > 0 || self.late_ms_max > 0 || !self.rejected.is_empty()
    }

    /// Returns the kind of work that took the most time, with that time, or `-` if none is known.
    fn busiest(&self) -> (&str, u64) {
        let most = self.busy_ms.iter().max_by_key(|(_, ms)| **ms);
        most.map_or(("-", 0), |(task, ms)| (task, *ms))
    }
}

/// Parses a field such as `connect:410,body:12` into names and numbers. Other parts are skipped.
fn parse_pairs(field: Option<&str>) -> impl Iterator<Item = (&str, u64)> {
    let parts = field.unwrap_or_default().split(',');
    parts.filter_map(|part| {
        let (name, number) = part.split_once(':')?;
        Some((name, number.parse().ok()?))
    })
}

/// Prints the instances that were overloaded or lagging or rejected calls, the longest overloaded
/// first. An instance that is still overloaded at the end of the logs counts as overloaded until
/// then.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let mut loads: BTreeMap<&str, Load> = BTreeMap::new();
    let mut last_ms = 0;
    for line in &logs.lines {
        last_ms = line.at_ms().unwrap_or(last_ms);
        match line.event {
            CALL_REFUSED => loads.entry(&line.instance).or_default().add_refusal(line),
            READINESS_CHANGED => loads.entry(&line.instance).or_default().add_readiness(line),
            INSTANCE_LOADED => loads.entry(&line.instance).or_default().add_load(line),
            _ => {}
        }
    }
    for load in loads.values_mut() {
        if let Some(since_ms) = load.overloaded_since_ms.take() {
            load.overloaded_ms += last_ms.saturating_sub(since_ms);
        }
        if let Some(since_ms) = load.shedding_since_ms.take() {
            load.shedding_ms += last_ms.saturating_sub(since_ms);
        }
    }
    loads.retain(|_, load| load.is_shown());
    let mut loads: Vec<_> = loads.into_iter().collect();
    loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.overloaded_ms + load.shedding_ms));
    let mut table = Table::new(&[
        "instance",
        "overloads",
        "overloaded_ms",
        "sheddings",
        "shedding_ms",
        "late_ms_max",
        "connect_ms_max",
        "busiest",
        "busiest_ms",
        "rejected",
        "yielded",
    ]);
    let mut json_rows = Vec::new();
    for (instance, load) in &loads {
        let (busiest, busiest_ms) = load.busiest();
        table.row(&[
            instance,
            &load.overloads,
            &load.overloaded_ms,
            &load.sheddings,
            &load.shedding_ms,
            &load.late_ms_max,
            &load.connect_ms_max,
            &busiest,
            &busiest_ms,
            &load.rejected_by_priority(),
            &load.yielded,
        ]);
        json_rows.push(serde_json::json!({
            "instance": instance, "overloads": load.overloads,
            "overloaded_ms": load.overloaded_ms, "sheddings": load.sheddings,
            "shedding_ms": load.shedding_ms, "late_ms_max": load.late_ms_max,
            "connect_ms_max": load.connect_ms_max, "busiest": busiest, "busiest_ms": busiest_ms,
            "rejected": load.rejected, "yielded": load.yielded,
        }));
    }
    context.print(&Value::Array(json_rows), &table)?;
    logs.finish()
}
