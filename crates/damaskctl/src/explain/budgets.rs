//! Table of how the tokens of each account were used, summed over all log lines.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::Value;

use super::lines::{Line, Logs};
use crate::context::Context;
use crate::exit::Failure;
use crate::table::Table;

/// Codes of the log events that this table is computed from.
mod event_code {
    pub const CALL_ANSWERED: u64 = 107;
    pub const CALL_REFUSED: u64 = 108;
    pub const CALL_FAILED: u64 = 109;
    pub const CALLER_LEFT: u64 = 110;
    pub const CALL_CUT: u64 = 112;
    pub const ROUND_WRITTEN: u64 = 211;
    pub const ESTATE_SETTLED: u64 = 214;
    pub const REPORT_ENTERED: u64 = 215;
    pub const HOLDINGS_NOTED: u64 = 217;
    pub const STARTED: u64 = 700;
}

/// Maximum age of holdings at the end of the logs. Instances log their holdings every 5 s, so an
/// instance with older ones has ended or holds nothing any more.
const HOLDINGS_AGE_MAX_MS: u64 = 12_000;

/// How the tokens of one account were used. All sums are in tokens.
#[derive(Debug, Clone, Default)]
struct TokenUse {
    bought: u64,
    answered: u64,
    failed: u64,
    broken_off: u64,
    caller_left: u64,
    written_off: u64,
    /// Part of the written-off tokens that calls had used according to log lines of the ended
    /// incarnation or its borrowers. Not included in `written_off`.
    written_off_known: u64,
    refused_calls: u64,
    /// Reserved and free tokens held at the end of the logs, by instance.
    held: BTreeMap<String, (u64, u64)>,
}

impl TokenUse {
    fn reserved(&self) -> u64 {
        self.held.values().map(|(reserved, _)| reserved).sum()
    }

    fn free(&self) -> u64 {
        self.held.values().map(|(_, free)| free).sum()
    }

    /// Returns the instance with the most free tokens, or `-` if no instance has any.
    fn instance_with_most_free(&self) -> &str {
        let most = self.held.iter().max_by_key(|(_, (_, free))| *free);
        most.filter(|(_, (_, free))| *free > 0)
            .map_or("-", |(instance, _)| instance)
    }

    /// Returns the bought tokens that the logs do not account for: they are in the store, or were
    /// used by calls whose lines are missing.
    fn unaccounted(&self) -> u64 {
        let seen = self.answered + self.failed + self.broken_off + self.caller_left;
        self.bought
            .saturating_sub(seen + self.written_off + self.reserved() + self.free())
    }
}

type TokensByAccount = BTreeMap<String, u64>;

/// Sums up log lines, which must be added in the order of time.
#[derive(Debug, Default)]
struct UseCounter {
    accounts: BTreeMap<String, TokenUse>,
    /// Tokens used since the last ledger write of an instance that took effect, by instance.
    unwritten: BTreeMap<String, TokensByAccount>,
    /// Tokens used since the last ledger write of incarnations that have ended and whose orphaned
    /// holdings are not settled yet, by instance.
    orphaned: BTreeMap<String, TokensByAccount>,
    /// Time of the last line on holdings, by instance.
    holdings_logged_at_ms: BTreeMap<String, u64>,
}

impl UseCounter {
    fn add(&mut self, line: &Line) {
        match line.event {
            event_code::CALL_ANSWERED..=event_code::CALLER_LEFT | event_code::CALL_CUT => {
                self.add_call(line);
            }
            event_code::ROUND_WRITTEN | event_code::REPORT_ENTERED => {
                self.unwritten.remove(&line.instance);
            }
            event_code::STARTED => self.end_incarnation(&line.instance),
            event_code::ESTATE_SETTLED => self.settle_orphaned(line),
            event_code::HOLDINGS_NOTED => self.replace_holdings(line),
            _ => {}
        }
    }

    fn add_call(&mut self, line: &Line) {
        let account = line.field("account").unwrap_or("-");
        if account == "-" || account.is_empty() {
            return;
        }
        let spent = self.accounts.entry(account.to_owned()).or_default();
        if line.event == event_code::CALL_REFUSED {
            if line.field("shortage").is_some() {
                spent.refused_calls += 1;
                spent.bought = spent.bought.max(line.number("bought").unwrap_or(0));
            }
            return;
        }
        let used = line.number("used").unwrap_or(0);
        let is_broken_off = line.field("outcome") == Some("broken_off");
        match line.event {
            event_code::CALL_ANSWERED => spent.answered += used,
            event_code::CALL_FAILED if !is_broken_off => spent.failed += used,
            event_code::CALLER_LEFT => spent.caller_left += used,
            _ => spent.broken_off += used,
        }
        // Borrowed tokens are written to the ledger by the lender, not by the instance of the call.
        let holder = line.field("lent_by").unwrap_or(&line.instance);
        let unwritten = self.unwritten.entry(holder.to_owned()).or_default();
        *unwritten.entry(account.to_owned()).or_default() += used;
    }

    fn end_incarnation(&mut self, instance: &str) {
        let orphaned = self.orphaned.entry(instance.to_owned()).or_default();
        for (account, used) in self.unwritten.remove(instance).unwrap_or_default() {
            *orphaned.entry(account).or_default() += used;
        }
        for spent in self.accounts.values_mut() {
            spent.held.remove(instance);
        }
    }

    fn settle_orphaned(&mut self, line: &Line) {
        let estate = line.field("estate").unwrap_or_default();
        let instance = estate.split('/').next().unwrap_or_default().to_owned();
        let mut orphaned = self.orphaned.remove(&instance).unwrap_or_default();
        for part in line.field("spent_of_granted").unwrap_or("").split(',') {
            let Some((account, written_off)) = parse_settled(part) else {
                continue;
            };
            let known = orphaned.remove(account).unwrap_or(0).min(written_off);
            let spent = self.accounts.entry(account.to_owned()).or_default();
            // The known part is already counted by how the calls ended.
            spent.written_off += written_off - known;
            spent.written_off_known += known;
        }
    }

    fn replace_holdings(&mut self, line: &Line) {
        for spent in self.accounts.values_mut() {
            spent.held.remove(&line.instance);
        }
        for part in line.field("held").unwrap_or("").split(',') {
            let Some((account, numbers)) = part.split_once(':') else {
                continue;
            };
            let numbers: Vec<u64> = numbers.split('/').flat_map(str::parse).collect();
            let [bought, reserved, _, free] = numbers[..] else {
                continue;
            };
            let spent = self.accounts.entry(account.to_owned()).or_default();
            spent.bought = spent.bought.max(bought);
            spent.held.insert(line.instance.clone(), (reserved, free));
        }
        if let Some(at_ms) = line.at_ms() {
            self.holdings_logged_at_ms
                .insert(line.instance.clone(), at_ms);
        }
    }

    /// Removes the holdings of instances that logged none for `HOLDINGS_AGE_MAX_MS` before the end
    /// of the logs.
    fn drop_outdated_holdings(&mut self, end_ms: u64) {
        for (instance, at_ms) in &self.holdings_logged_at_ms {
            if end_ms.saturating_sub(*at_ms) > HOLDINGS_AGE_MAX_MS {
                for spent in self.accounts.values_mut() {
                    spent.held.remove(instance);
                }
            }
        }
    }
}

/// Parses `account:spent/granted` and returns the account and its spent tokens.
fn parse_settled(part: &str) -> Option<(&str, u64)> {
    let (account, numbers) = part.split_once(':')?;
    let (spent, _granted) = numbers.split_once('/')?;
    Some((account, spent.parse().ok()?))
}

/// Prints how the tokens of each account were used.
pub fn run(context: &Context, paths: &[PathBuf]) -> Result<(), Failure> {
    let logs = Logs::read(paths);
    let mut counter = UseCounter::default();
    logs.lines.iter().for_each(|line| counter.add(line));
    let end_ms = logs.lines.iter().filter_map(Line::at_ms).max().unwrap_or(0);
    counter.drop_outdated_holdings(end_ms);
    print(context, &counter.accounts)?;
    logs.finish()
}

fn print(context: &Context, accounts: &BTreeMap<String, TokenUse>) -> Result<(), Failure> {
    let mut table = Table::new(&[
        "account",
        "bought",
        "answered",
        "failed",
        "broken_off",
        "caller_left",
        "written_off",
        "of_that_known",
        "reserved",
        "free",
        "most_free_at",
        "in_store_or_not_seen",
        "refused_calls",
    ]);
    let mut json_rows = Vec::new();
    for (account, spent) in accounts {
        table.row(&[
            account,
            &spent.bought,
            &spent.answered,
            &spent.failed,
            &spent.broken_off,
            &spent.caller_left,
            &(spent.written_off + spent.written_off_known),
            &spent.written_off_known,
            &spent.reserved(),
            &spent.free(),
            &spent.instance_with_most_free(),
            &spent.unaccounted(),
            &spent.refused_calls,
        ]);
        json_rows.push(serde_json::json!({
            "account": account, "bought_tokens": spent.bought,
            "answered_tokens": spent.answered, "failed_tokens": spent.failed,
            "broken_off_tokens": spent.broken_off, "caller_left_tokens": spent.caller_left,
            "written_off_tokens": spent.written_off + spent.written_off_known,
            "written_off_known_tokens": spent.written_off_known,
            "reserved_tokens": spent.reserved(), "free_tokens": spent.free(),
            "most_free_at": spent.instance_with_most_free(),
            "not_seen_tokens": spent.unaccounted(),
            "refused_calls": spent.refused_calls,
        }));
    }
    context.print(&Value::Array(json_rows), &table)
}
