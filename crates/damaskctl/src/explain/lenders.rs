//! Table of the instances that lent tokens of each account, or were asked for them in vain.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use serde_json::Value;

use super::lines::{Line, Logs};
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Codes of the events that end a call.
const CALL_END_CODES: [u64; 5] = [107, 108, 109, 110, 112];

/// What one instance lent of one account.
#[derive(Debug, Clone, Default)]
struct LenderSummary {
    calls: u64,
    used_tokens: u64,
    borrowers: BTreeSet<String>,
    /// Calls that asked this instance last and were refused for lack of tokens.
    refused_calls: u64,
    first: String,
    last: String,
}

/// Loans by account and lender.
type LenderSummaries = BTreeMap<(String, String), LenderSummary>;

/// Prints which instances lent the tokens of each account.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let mut lenders = LenderSummaries::new();
    let calls = logs
        .lines
        .iter()
        .filter(|line| CALL_END_CODES.contains(&line.event));
    calls.for_each(|line| add(&mut lenders, line));
    print(context, &lenders)?;
    logs.finish()
}

fn add(lenders: &mut LenderSummaries, line: &Line) {
    let (Some(account), Some(asked)) = (line.field("account"), line.field("asked")) else {
        return;
    };
    let lent_by = line.field("lent_by");
    let key = (account.to_owned(), lent_by.unwrap_or(asked).to_owned());
    let summary = lenders.entry(key).or_default();
    if lent_by.is_some() {
        summary.calls += 1;
        summary.used_tokens += line.number("used").unwrap_or(0);
        summary.borrowers.insert(line.instance.clone());
    } else if line.field("shortage").is_some() {
        summary.refused_calls += 1;
    }
    if summary.first.is_empty() {
        summary.first.clone_from(&line.ts);
    }
    summary.last.clone_from(&line.ts);
}

fn print(context: &Context, lenders: &LenderSummaries) -> Result<(), Failure> {
    let mut table = Table::new(&[
        "account",
        "lender",
        "calls",
        "used",
        "borrowers",
        "asked_in_vain",
        "first",
        "last",
    ]);
    let mut json_rows = Vec::new();
    for ((account, lender), summary) in lenders {
        table.row(&[
            account,
            lender,
            &summary.calls,
            &summary.used_tokens,
            &summary.borrowers.len(),
            &summary.refused_calls,
            &summary.first,
            &summary.last,
        ]);
        json_rows.push(serde_json::json!({
            "account": account, "lender": lender, "calls": summary.calls,
            "used_tokens": summary.used_tokens, "borrowers": summary.borrowers.len(),
            "asked_in_vain": summary.refused_calls, "first": summary.first, "last": summary.last,
        }));
    }
    context.print(&Value::Array(json_rows), &table)
}
