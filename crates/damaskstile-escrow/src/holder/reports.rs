//! Lets one instance of a large fleet write to the ledger for all.
//!
//! A single object that all instances write to grows with the fleet, and beyond a few tens of
//! instances nearly every write conflicts with another. So the other instances (members) send their
//! reports to one writer, which enters many of them with one write and answers each with a receipt.

use damaskstile_core::prelude::*;

use super::Holder;
use super::pending::Pending;
use crate::entry::HolderEntry;
use crate::ledger::Ledger;
use crate::overview::Overview;
use crate::receipt::{AccountReceipt, Receipt};
use crate::receipt_scope::ReceiptScope;
use crate::report::Report;
use crate::spend_limits::SpendLimits;
use crate::stamp::Stamp;

/// Time without an answer after which a report is in doubt: two rounds of the writer and a store
/// call.
const ANSWER_LIMIT: Duration = Duration::from_millis(2_400);
/// Time without an answer after which a report that calls wait for is in doubt. The writer enters
/// such a report at once.
const URGENT_ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// Interval at which a report without an answer is sent again. Datagrams get lost, and the writer
/// may have changed.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// How an instance's changes reach the ledger.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    /// The instance writes to the ledger itself.
    #[default]
    Writer,
    /// A peer writes for the instance.
    Member,
}

/// A report that has no answer yet.
#[derive(Debug, Clone)]
pub(super) struct Outstanding {
    report: Report,
    made_at: Duration,
    sent_at: Duration,
}

impl Holder {
    /// Sets how this instance's changes reach the ledger from now on.
    pub fn set_role(&mut self, role: Role) {
        if self.role != role {
            self.role = role;
            // The last read ledger may be older than what receipts have reported since, and a
            // writer needs the current one.
            self.is_in_doubt |= role == Role::Writer;
            // Members without an answer send their reports again, to the new writer.
            self.inbox.clear();
        }
    }

    /// Returns the report to send to the writer, if one is due: a new one, or the last one again
    /// while it has no answer.
    ///
    /// After the answer limit no new reports are made, because each one would restart the unlocking
    /// of an isolated instance.
    pub fn next_report(&mut self, now: Duration, stamp: &Stamp) -> Option<Report> {
        self.note_stamp(now, stamp);
        if let Some(outstanding) = &mut self.outstanding {
            let age = now.saturating_sub(outstanding.made_at);
            let is_urgent = outstanding.report.is_urgent();
            let limit = if is_urgent {
                URGENT_ANSWER_LIMIT
            } else {
                ANSWER_LIMIT
            };
            self.is_in_doubt |= age >= limit;
            // A report that was made before calls ran short does not request their tokens, so they
            // need not wait for its answer. Only one such extra report is made, because each
            // restarts the unlocking.
            let is_pressing = self.is_short && !is_urgent && !self.is_in_doubt;
            if !is_pressing {
                let is_due = now >= outstanding.sent_at + RESEND_INTERVAL;
                if is_due {
                    outstanding.sent_at = now;
                }
                return is_due.then(|| outstanding.report.clone());
            }
        }
        if !self.is_round_due(now) || !(self.is_short || self.needs_round(now)) {
            return None;
        }
        self.round_at = Some(now);
        self.is_short = false;
        let report = self.make_report(now, stamp);
        let limits = report.claims.iter().map(|(account, claim)| {
            let limits = SpendLimits {
                allowed_tokens: claim.kept_tokens,
                ceiling_tokens: claim.ceiling_tokens,
                settled_tokens: claim.used_tokens,
            };
            (account.clone(), limits)
        });
        self.pending.push(Pending {
            number: report.number,
            expected_version: None,
            made_at: now,
            unlock_rate: report.unlock_rate,
            limits: limits.collect(),
        });
        self.outstanding = Some(Outstanding {
            report: report.clone(),
            made_at: now,
            sent_at: now,
        });
        Some(report)
    }

    /// Accepts a peer's report, to be entered with the next write. Returns its receipt if the
    /// ledger already contains it.
    pub fn accept_report(&mut self, now: Duration, report: Report) -> Option<Receipt> {
        let listed = self.ledger.holders.get(&report.instance);
        let is_entered = listed.is_some_and(|entry| {
            entry.incarnation == report.incarnation && entry.round >= report.number
        });
        if is_entered {
            let totals = Overview::of_ledger(&self.ledger, "");
            return Some(self.receipt(&totals, &report.instance, &ReceiptScope::of(&report)));
        }
        let is_newer = self.inbox.get(&report.instance).is_none_or(|(_, before)| {
            before.incarnation != report.incarnation || before.number < report.number
        });
        if is_newer {
            self.is_short |= report.is_urgent();
            self.inbox.insert(report.instance.clone(), (now, report));
        }
        None
    }

    /// Returns the receipts for the instances whose reports a write entered, with their addresses.
    #[must_use]
    pub fn receipts(
        &self,
        reported: &BTreeMap<InstanceId, ReceiptScope>,
    ) -> Vec<(String, Receipt)> {
        let totals = Overview::of_ledger(&self.ledger, "");
        reported
            .iter()
            .map(|(instance, of)| (of.address.clone(), self.receipt(&totals, instance, of)))
            .collect()
    }

    /// Creates a receipt about the accounts that the instance reported on or has an entry for. A
    /// receipt about all accounts would be as large as there are accounts, times the number of
    /// reports per second.
    fn receipt(&self, totals: &Overview, instance: &str, reported: &ReceiptScope) -> Receipt {
        let entry = self.ledger.holders.get(instance);
        let is_predecessor = entry.is_some_and(|entry| entry.incarnation != reported.incarnation);
        let of_entry = entry.into_iter().flat_map(HolderEntry::accounts);
        let accounts: BTreeSet<&AccountId> = match &reported.accounts {
            Some(accounts) => of_entry.chain(accounts).collect(),
            None => of_entry.chain(self.prepaid_tokens.keys()).collect(),
        };
        let accounts = accounts.into_iter().map(|account| {
            let of = |map: &BTreeMap<AccountId, u64>| map.get(account).copied().unwrap_or(0);
            let view = totals.account(account);
            let own_demand = entry.map_or(0, |entry| of(&entry.demand_tokens_per_s));
            let own_urgent = entry.map_or(0, |entry| of(&entry.urgent_tokens_per_s));
            let receipt = AccountReceipt {
                own: entry
                    .map(|entry| entry.spend_limits(account))
                    .filter(|limits| *limits != SpendLimits::default()),
                settled_tokens: view.settled_tokens,
                granted_tokens: view.granted_tokens,
                others_tokens_per_s: view.others_tokens_per_s.saturating_sub(own_demand),
                others_urgent_tokens_per_s: view
                    .others_urgent_tokens_per_s
                    .saturating_sub(own_urgent),
                predecessor_tokens_per_s: if is_predecessor { own_demand } else { 0 },
                predecessor_urgent_tokens_per_s: if is_predecessor { own_urgent } else { 0 },
            };
            (account.clone(), receipt)
        });
        Receipt {
            incarnation: entry.map_or(0, |entry| entry.incarnation),
            number: entry.map_or(0, |entry| entry.round),
            version: self.ledger_version,
            instances: totals.instances,
            accounts: accounts.collect(),
        }
    }

    /// Accepts the answer to a report; returns whether it was new.
    pub fn accept_receipt(&mut self, now: Duration, receipt: &Receipt) -> bool {
        if receipt.version < self.receipt_version {
            return false;
        }
        self.receipt_version = receipt.version;
        self.overview = Overview::of_receipt(receipt);
        let is_first = self.seen_at.is_none();
        self.seen_at = Some(now);
        self.contact_at = Some(now);
        if receipt.incarnation != self.identity.incarnation {
            // The report named a different predecessor from the one that the ledger lists; the next
            // report names the listed one.
            self.follows = receipt.incarnation;
            if is_first {
                self.inherit_demand(now, receipt.predecessor_demands());
            }
            self.outstanding = None;
            self.is_in_doubt = false;
            return true;
        }
        let is_answered = |number: u64| number <= receipt.number;
        if self
            .outstanding
            .as_ref()
            .is_some_and(|outstanding| is_answered(outstanding.report.number))
        {
            self.outstanding = None;
            self.is_in_doubt = false;
        }
        // Accounts that the receipt does not name have nothing stored for this instance.
        let own = |account: &AccountId| receipt.accounts.get(account)?.own;
        let accounts = self.balances.keys().chain(receipt.accounts.keys());
        let limits = accounts.map(|account| (account.clone(), own(account).unwrap_or_default()));
        let limits = limits.collect();
        self.commit(now, receipt.number, limits);
        true
    }

    /// Removes the reports that a ledger already contains or can no longer accept.
    pub(super) fn clear_inbox(&mut self, ledger: &Ledger) {
        self.inbox.retain(|instance, (_, report)| {
            let listed = ledger.holders.get(instance);
            let incarnation = listed.map_or(0, |entry| entry.incarnation);
            if incarnation == report.incarnation {
                return listed.is_some_and(|entry| entry.round < report.number);
            }
            incarnation == report.follows
        });
    }
}
