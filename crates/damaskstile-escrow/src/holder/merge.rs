//! Enters reports into a ledger.

use damaskstile_core::prelude::*;

use super::Holder;
use super::plan::Need;
use crate::balance::Balance;
use crate::claim::Claim;
use crate::entry::HolderEntry;
use crate::ledger::Ledger;
use crate::overview::Overview;
use crate::report::Report;
use crate::settlement::Settlement;
use crate::stamp::Stamp;

impl Holder {
    /// Enters a report into a ledger, unless it is outdated: each incarnation of an instance names
    /// its predecessor, and numbers increase within an incarnation. `totals` belong to the ledger
    /// and are kept up to date.
    pub(super) fn merge(
        &self,
        ledger: &mut Ledger,
        totals: &mut Overview,
        report: &Report,
    ) -> Vec<Settlement> {
        let listed = ledger.holders.get(&report.instance);
        let listed_incarnation = listed.map_or(0, |entry| entry.incarnation);
        if listed_incarnation == report.incarnation {
            if listed.is_some_and(|entry| entry.round >= report.number) {
                return Vec::new();
            }
        } else if listed_incarnation == report.follows {
            ledger.orphan(&report.instance);
        } else {
            return Vec::new();
        }
        if report.history >= ledger.history {
            ledger.confirm(&report.instance);
        }
        let settlements = self.settle_orphaned_entries(ledger, report);
        if !settlements.is_empty() {
            *totals = Overview::of_ledger(ledger, "");
        }
        let before = ledger.holders.remove(&report.instance).unwrap_or_default();
        totals.instances = u64::try_from(ledger.holders.len() + 1).unwrap_or(u64::MAX);
        let mut entry = HolderEntry {
            incarnation: report.incarnation,
            round: report.number,
            stamp: report.stamp.clone(),
            unlock_rate: report.unlock_rate,
            address: report.address.clone(),
            data_centre: report.data_centre.clone(),
            ..HolderEntry::default()
        };
        for account in self.accounts_to_enter(&before, report) {
            self.enter_account((ledger, totals), (&before, &mut entry), report, account);
        }
        ledger.holders.insert(report.instance.clone(), entry);
        settlements
    }

    /// Returns the accounts of which a report may change anything: those that the report or the
    /// sender's entry names, whether or not the catalogue still has them, and in a small fleet,
    /// where every instance gets a part of each account, all accounts of the catalogue.
    fn accounts_to_enter<'a>(
        &'a self,
        before: &'a HolderEntry,
        report: &'a Report,
    ) -> BTreeSet<&'a AccountId> {
        let named = before.accounts().chain(report.claims.keys());
        let shared = (!self.is_large_fleet()).then(|| self.prepaid_tokens.keys());
        named.chain(shared.into_iter().flatten()).collect()
    }

    fn enter_account(
        &self,
        (ledger, totals): (&mut Ledger, &mut Overview),
        (before, entry): (&HolderEntry, &mut HolderEntry),
        report: &Report,
        account: &AccountId,
    ) {
        let prepaid = self.bought_tokens(account);
        let of = |map: &BTreeMap<AccountId, u64>| map.get(account).copied().unwrap_or(0);
        let claim = report.claims.get(account).copied().unwrap_or_default();
        let settled_before = of(&before.settled_tokens);
        let used = claim.used_tokens.max(settled_before);
        ledger.settle(account, used - settled_before);

        // What other instances hold and request: the totals without this instance's part.
        let view = totals.accounts.entry(account.clone()).or_default();
        view.settled_tokens = ledger.settled(account);
        view.granted_tokens = view
            .granted_tokens
            .saturating_sub(of(&before.grants_tokens));
        view.others_tokens_per_s = view
            .others_tokens_per_s
            .saturating_sub(of(&before.demand_tokens_per_s));
        view.others_urgent_tokens_per_s = view
            .others_urgent_tokens_per_s
            .saturating_sub(of(&before.urgent_tokens_per_s));

        let needed = claim.needed_tokens.max(used);
        let pool = if ledger.unconfirmed.is_empty() {
            view.pool(prepaid)
        } else {
            0
        };
        let reachable = (used + pool).saturating_sub(needed);
        let need = Need::new(*view, prepaid, 0, claim)
            .with_instances(totals.instances)
            .with_reachable(reachable);
        let target = if report.is_stopping {
            0
        } else {
            self.target_tokens(&need)
        };
        // The sender may already spend what it keeps, so that stays covered even if the prepaid
        // amount was lowered.
        let allowed = (needed + target)
            .min(used + pool)
            .max(claim.kept_tokens)
            .max(used);
        let ahead = self.ahead_tokens(&need, target);
        let ceiling = (needed + ahead)
            .max(claim.ceiling_tokens)
            .min(allowed)
            .max(used);

        let put = |map: &mut BTreeMap<AccountId, u64>, value: u64| {
            if value > 0 {
                map.insert(account.clone(), value);
            }
        };
        put(&mut entry.settled_tokens, used);
        put(&mut entry.grants_tokens, allowed - used);
        put(&mut entry.ceilings_tokens, ceiling - used);
        put(&mut entry.demand_tokens_per_s, claim.demand_tokens_per_s);
        put(&mut entry.urgent_tokens_per_s, claim.urgent_tokens_per_s);
        view.granted_tokens += allowed - used;
        view.others_tokens_per_s += claim.demand_tokens_per_s;
        view.others_urgent_tokens_per_s += claim.urgent_tokens_per_s;
    }

    /// Creates this instance's report. The instance stays within the amounts in it until it learns
    /// the outcome.
    pub(super) fn make_report(&mut self, now: Duration, stamp: &Stamp) -> Report {
        self.last_round += 1;
        self.restoring.note_report(self.last_round);
        // Accounts that the catalogue lacks included: their calls may still be in progress, and what
        // these use must count when the account is back.
        let claims = self
            .balances
            .keys()
            .map(|account| (account.clone(), self.claim(now, account)))
            .filter(|(_, claim)| *claim != Claim::default())
            .collect();
        for balance in self.balances.values_mut() {
            balance.wanted_tokens = 0;
        }
        Report {
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            follows: self.follows,
            number: self.last_round,
            stamp: stamp.clone(),
            start: self.start.clone().unwrap_or_default(),
            is_past_wait_limit: self.is_past_wait_limit(now),
            unlock_rate: self.unlock_rate(),
            address: self.address.clone(),
            data_centre: self.identity.data_centre.clone(),
            is_stopping: self.is_stopping,
            history: self.restoring.history,
            takes_short_receipts: true,
            hops: 0,
            claims,
        }
    }

    /// Returns this instance's claim on an account. It gives up what it holds beyond its target and
    /// keeps what covers the calls in progress.
    pub(super) fn claim(&self, now: Duration, account: &str) -> Claim {
        let Some(balance) = self.balances.get(account) else {
            return Claim::default();
        };
        let mut claim = Claim {
            used_tokens: balance.used_tokens,
            needed_tokens: balance.used_tokens + balance.reserved_tokens,
            ..self.demand_claim(now, balance)
        };
        let need = self.need(account, claim);
        let target = if self.is_stopping {
            0
        } else {
            self.target_tokens(&need)
        };
        let ahead = self.ahead_tokens(&need, target);
        let least = self.least_limits(account);
        let needed = claim.needed_tokens;
        let covered = needed.min(least.allowed_tokens);
        claim.kept_tokens = least.allowed_tokens.min(needed + target);
        claim.ceiling_tokens = least
            .ceiling_tokens
            .min(needed + ahead)
            .max(covered)
            .min(claim.kept_tokens);
        claim
    }

    /// Returns this instance's demand of an account as a claim. If it borrows for its few calls,
    /// the demand is zero, because it counts at the lender.
    pub(super) fn demand_claim(&self, now: Duration, balance: &Balance) -> Claim {
        let demand = balance.demand.tokens_per_s(now);
        let claim = Claim {
            demand_tokens_per_s: demand,
            urgent_tokens_per_s: balance.urgent_demand.tokens_per_s(now).min(demand),
            call_tokens: balance.call_tokens,
            wanted_tokens: balance.wanted_tokens,
            is_lender: balance.is_lending(now),
            ..Claim::default()
        };
        if self.is_borrower(&claim) {
            Claim {
                demand_tokens_per_s: 0,
                urgent_tokens_per_s: 0,
                call_tokens: 0,
                ..claim
            }
        } else {
            claim
        }
    }

    /// Returns the planning input for this instance.
    pub(super) fn need(&self, account: &str, claim: Claim) -> Need {
        let view = self.overview.account(account);
        let prepaid = self.bought_tokens(account);
        let unsettled = self.balances.get(account).map_or(0, Balance::unsettled);
        let is_listed = self.is_listed();
        let held = self.balances.get(account);
        let held = held.map_or(0, |balance| balance.free(balance.allowed_tokens));
        Need::new(view, prepaid, unsettled, claim)
            .with_instances(self.overview.instances + u64::from(!is_listed))
            .with_reachable(held.saturating_add(view.pool(prepaid)))
    }
}
