//! Client accounts as the catalogue in force states them.

use super::State;

impl State {
    /// Returns whether calls of an account need tokens: all but those of accounts that the catalogue
    /// in force lists without a budget. A call may outlast the catalogue that listed its account.
    #[must_use]
    pub fn is_bounded(&self, account: &str) -> bool {
        let catalogue = self.catalogue.get();
        let listed = catalogue.and_then(|catalogue| catalogue.account(account));
        listed.is_none_or(|account| account.prepaid_tokens.is_some())
    }
}
