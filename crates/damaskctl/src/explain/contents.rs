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
struct Seen {
    account: String,
    /// Targets that crashed while they ran it.
    ended: BTreeSet<String>,
    /// Runs that broke although the target did not crash, or of which it is not known whether it
    /// did.
    broken_else: u64,
    calls: BTreeSet<String>,
    instances: BTreeSet<String>,
    refused_calls: u64,
    refused_since: String,
    released_at: String,
}

/// Prints the contents that log lines name, those with the most crashed targets first.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let mut contents: BTreeMap<String, Seen> = BTreeMap::new();
    for line in &logs.lines {
        add(&mut contents, line);
    }
    print(context, &contents)?;
    logs.finish()
}

fn add(contents: &mut BTreeMap<String, Seen>, line: &Line) {
    let Some(content) = line.field("content") else {
        return;
    };
    let seen = contents.entry(content.to_owned()).or_default();
    if let Some(account) = line.field("account") {
        account.clone_into(&mut seen.account);
    }
    match line.event {
        RUN_BROKEN => {
            seen.calls.extend(line.field("id").map(str::to_owned));
            seen.instances.insert(line.instance.clone());
            if line.field("state") == Some("ended") {
                seen.ended.extend(line.field("target").map(str::to_owned));
            } else {
                seen.broken_else += 1;
            }
        }
        CONTENT_BARRED if seen.refused_since.is_empty() => {
            seen.refused_since.clone_from(&line.ts);
        }
        CONTENT_RELEASED => seen.released_at.clone_from(&line.ts),
        CALL_REFUSED => seen.refused_calls += 1,
        _ => {}
    }
}

fn print(context: &Context, contents: &BTreeMap<String, Seen>) -> Result<(), Failure> {
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
    ordered.sort_by_key(|(_, seen)| std::cmp::Reverse(seen.ended.len()));
    let mut shown = Vec::new();
    for (content, seen) in ordered {
        table.row(&[
            content,
            &seen.account,
            &seen.ended.len(),
            &seen.broken_else,
            &seen.calls.len(),
            &seen.instances.len(),
            &seen.refused_calls,
            &seen.refused_since,
            &seen.released_at,
        ]);
        shown.push(serde_json::json!({
            "content": content, "account": seen.account, "ended_targets": seen.ended.len(),
            "broken_else": seen.broken_else, "calls": seen.calls.len(),
            "instances": seen.instances.len(), "refused_calls": seen.refused_calls,
            "refused_since": seen.refused_since, "released_at": seen.released_at,
        }));
    }
    context.print(&Value::Array(shown), &table)
}
