//! Decides whether an instance holds tokens of an account for itself, for others, or not at all.

use damaskstile_core::prelude::*;

use super::Holder;

/// Time after the last loan request for which an instance keeps holding tokens of an account for
/// others: as long as the demand horizon for which it holds tokens.
const LENDING_SPAN: Duration = Duration::from_secs(12);

impl Holder {
    /// Returns whether the demand measured here counts as this instance's own, because it holds
    /// tokens of the account. Otherwise it counts at the lender from which its calls borrow.
    #[must_use]
    pub fn counts_demand_here(&self, now: Duration, account: &str) -> bool {
        let balance = self.balances.get(account);
        balance.is_some_and(|balance| !self.is_borrower(&self.demand_claim(now, balance)))
    }

    /// Returns the rate at which calls of an account request tokens here, in tokens per second.
    #[must_use]
    pub fn demand_tokens_per_s(&self, now: Duration, account: &str) -> u64 {
        let balance = self.balances.get(account);
        balance.map_or(0, |balance| balance.demand.tokens_per_s(now))
    }

    /// Prepares for calls of an account that now reach another instance and are likely to borrow
    /// here soon: holds tokens for others as if they already requested that rate.
    pub fn expect_lending(&mut self, now: Duration, account: &str, tokens_per_s: u64) {
        self.note_lending(now, account);
        if let Some(balance) = self.balances.get_mut(account) {
            balance.demand.begin_with(now, tokens_per_s);
        }
    }

    /// Records that this instance lends tokens of an account to others. It then holds tokens of the
    /// account for them, however few calls of its own there are.
    pub fn note_lending(&mut self, now: Duration, account: &str) {
        if self.prepaid_tokens.contains_key(account) {
            let balance = self.balances.entry(account.to_owned()).or_default();
            balance.lends_until = now + LENDING_SPAN;
        }
    }
}
