//! Table of the request contents that the logs name: how many targets crashed under each, and
//! whether it was quarantined or released.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use serde_json::Value;

use super::lines::{Line, Logs};
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Code of the event of a refused call.
const CALL_REFUSED: u64 = 108;
/// Code of the event of a content that is quarantined: calls with it are refused from then on.
const CONTENT_BARRED: u64 = 113;
/// Code of the event of a content that is released from quarantine and served again.
const CONTENT_RELEASED: u64 = 114;
/// Code of the event of a run whose connection to its target broke.
const RUN_BROKEN: u64 = 605;

/// What the logs show of one content.
#[derive(Debug, Clone, Default)]
struct ContentSummary {
    account: String,
    /// Targets that crashed while they ran it.
    ended_targets: BTreeSet<String>,
    /// Runs that broke although the target did not crash, or of which it is not known whether it
    /// did.
    other_broken_runs: u64,
    calls: BTreeSet<String>,
    instances: BTreeSet<String>,
    refused_calls: u64,
    refused_since: String,
    released_at: String,
}

/// Prints the contents that log lines name, those with the most crashed targets first.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let mut contents: BTreeMap<String, ContentSummary> = BTreeMap::new();
    for line in &logs.lines {
        add(&mut contents, line);
    }
    print(context, &contents)?;
    logs.finish()
}

fn add(contents: &mut BTreeMap<String, ContentSummary>, line: &Line) {
    let Some(content) = line.field("content") else {
        return;
    };
    let summary = contents.entry(content.to_owned()).or_default();
    if let Some(account) = line.field("account") {
        account.clone_into(&mut summary.account);
    }
    match line.event {
        RUN_BROKEN => {
            summary.calls.extend(line.field("id").map(str::to_owned));
            summary.instances.insert(line.instance.clone());
            if line.field("state") == Some("ended") {
                summary
                    .ended_targets
                    .extend(line.field("target").map(str::to_owned));
            } else {
                summary.other_broken_runs += 1;
            }
        }
        CONTENT_BARRED if summary.refused_since.is_empty() => {
            summary.refused_since.clone_from(&line.ts);
        }
        CONTENT_RELEASED => summary.released_at.clone_from(&line.ts),
        CALL_REFUSED => summary.refused_calls += 1,
        _ => {}
    }
}

fn print(context: &Context, contents: &BTreeMap<String, ContentSummary>) -> Result<(), Failure> {
    let mut table = Table::new(&[
        "content",
        "account",
        "ended_targets",
        "broken_else",
        "calls",
        "instances",
        "refused_calls",
        "refused_since",
        "released_at",
    ]);
    let mut ordered: Vec<_> = contents.iter().collect();
    ordered.sort_by_key(|(_, summary)| std::cmp::Reverse(summary.ended_targets.len()));
    let mut json_rows = Vec::new();
    for (content, summary) in ordered {
        table.row(&[
            content,
            &summary.account,
            &summary.ended_targets.len(),
            &summary.other_broken_runs,
            &summary.calls.len(),
            &summary.instances.len(),
            &summary.refused_calls,
            &summary.refused_since,
            &summary.released_at,
        ]);
        json_rows.push(serde_json::json!({
            "content": content, "account": summary.account,
            "ended_targets": summary.ended_targets.len(),
            "broken_else": summary.other_broken_runs, "calls": summary.calls.len(),
            "instances": summary.instances.len(), "refused_calls": summary.refused_calls,
            "refused_since": summary.refused_since, "released_at": summary.released_at,
        }));
    }
    context.print(&Value::Array(json_rows), &table)
}
