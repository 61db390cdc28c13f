//! Table of the instances that lent tokens of each account, or were asked for them in vain.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use serde_json::Value;

use super::lines::{Line, Logs};
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Codes of the events that end a call.
const CALLS: [u64; 5] = [107, 108, 109, 110, 112];

/// What one instance lent of one account.
#[derive(Debug, Clone, Default)]
struct Lent {
    calls: u64,
    used_tokens: u64,
    borrowers: BTreeSet<String>,
    /// Calls that asked this instance last and were refused for lack of tokens.
    in_vain: u64,
    first: String,
    last: String,
}

/// Loans by account and lender.
type ByLender = BTreeMap<(String, String), Lent>;

/// Prints which instances lent the tokens of each account.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let mut lenders = ByLender::new();
    let calls = logs.lines.iter().filter(|line| CALLS.contains(&line.event));
    calls.for_each(|line| add(&mut lenders, line));
    print(context, &lenders)?;
    logs.finish()
}

fn add(lenders: &mut ByLender, line: &Line) {
    let (Some(account), Some(asked)) = (line.field("account"), line.field("asked")) else {
        return;
    };
    let lent_by = line.field("lent_by");
    let key = (account.to_owned(), lent_by.unwrap_or(asked).to_owned());
    let lent = lenders.entry(key).or_default();
    if lent_by.is_some() {
        lent.calls += 1;
        lent.used_tokens += line.number("used").unwrap_or(0);
        lent.borrowers.insert(line.instance.clone());
    } else if line.field("shortage").is_some() {
        lent.in_vain += 1;
    }
    if lent.first.is_empty() {
        lent.first.clone_from(&line.ts);
    }
    lent.last.clone_from(&line.ts);
}

fn print(context: &Context, lenders: &ByLender) -> Result<(), Failure> {
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
    let mut shown = Vec::new();
    for ((account, lender), lent) in lenders {
        table.row(&[
            account,
            lender,
            &lent.calls,
            &lent.used_tokens,
            &lent.borrowers.len(),
            &lent.in_vain,
            &lent.first,
            &lent.last,
        ]);
        shown.push(serde_json::json!({
            "account": account, "lender": lender, "calls": lent.calls,
            "used_tokens": lent.used_tokens, "borrowers": lent.borrowers.len(),
            "asked_in_vain": lent.in_vain, "first": lent.first, "last": lent.last,
        }));
    }
    context.print(&Value::Array(shown), &table)
}
