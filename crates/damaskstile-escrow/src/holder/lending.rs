//! `lending` tells whether an instance holds tokens of an account for itself, for others, or not.

use damaskstile_core::prelude::*;

use super::Holder;

/// Time since the last ask for which an instance goes on holding tokens of an account for others:
/// as long as the demand that it holds.
const LENDING_SPAN: Duration = Duration::from_secs(12);

impl Holder {
    /// Tells whether the demand that is measured here counts as this instance's, since it holds
    /// tokens of the account. Else it counts where its calls borrow.
    #[must_use]
    pub fn is_counted(&self, now: Duration, account: &str) -> bool {
        let purse = self.purses.get(account);
        purse.is_some_and(|purse| !self.is_borrowed(&self.demand_claim(now, purse)))
    }

    /// Notes that this instance lends tokens of an account to others. It holds tokens of it for
    /// them, however few calls of it there are.
    pub fn note_lending(&mut self, now: Duration, account: &str) {
        if self.prepaid_tokens.contains_key(account) {
            let purse = self.purses.entry(account.to_owned()).or_default();
            purse.lends_until = now + LENDING_SPAN;
        }
    }
}
