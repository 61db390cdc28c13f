//! Consistency check of one budget: bills and entries against the sums and grants of its ledger.

use std::collections::{BTreeMap, BTreeSet};

use damaskstile::budgets::{Entry, Ledger};

/// Returns a description of every inconsistency; an empty list if there is none.
pub fn differences(ledger: &Ledger, entries: &[Entry]) -> Vec<String> {
    let mut found = Vec::new();
    if let Err(error) = ledger.check() {
        found.push(error.to_string());
    }
    compare_sums(ledger, entries, &mut found);
    find_duplicates(entries, &mut found);
    found
}

fn compare_sums(ledger: &Ledger, entries: &[Entry], found: &mut Vec<String>) {
    let entered_tokens: u64 = entries.iter().map(Entry::cost_tokens).sum();
    if entered_tokens != ledger.settled_tokens {
        found.push(format!(
            "entries sum to {entered_tokens} tokens, but the ledger has {} settled",
            ledger.settled_tokens
        ));
    }
    let billed = entries.iter().filter(|entry| entry.is_billed);
    let billed_tokens: u64 = billed.clone().map(Entry::cost_tokens).sum();
    if billed_tokens != ledger.billed_tokens {
        found.push(format!(
            "bills sum to {billed_tokens} tokens, but the ledger has {} billed",
            ledger.billed_tokens
        ));
    }
    let bills = u64::try_from(billed.count()).unwrap_or(u64::MAX);
    if bills != ledger.bills {
        found.push(format!(
            "{bills} bills found, but the ledger counts {}",
            ledger.bills
        ));
    }
    let spent: u64 = ledger.grants.values().map(|grant| grant.spent_tokens).sum();
    let settled_by_grants = ledger.closed_tokens + spent;
    if settled_by_grants != ledger.settled_tokens {
        found.push(format!(
            "grants have spent {settled_by_grants} tokens, but the ledger has {} settled",
            ledger.settled_tokens
        ));
    }
}

fn find_duplicates(entries: &[Entry], found: &mut Vec<String>) {
    let mut runs = BTreeSet::new();
    let mut bills: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for entry in entries {
        if !runs.insert(&entry.run) {
            found.push(format!("run {} has more than one entry", entry.run));
        }
        if entry.is_billed {
            *bills.entry((&entry.account, &entry.key)).or_default() += 1;
        }
    }
    for ((account, key), count) in bills {
        if count > 1 {
            found.push(format!(
                "request {key} of {account} is billed {count} times"
            ));
        }
    }
}
