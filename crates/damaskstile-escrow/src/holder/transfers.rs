//! Transfers tokens to a peer that cannot reach the store.

use damaskstile_core::prelude::*;

use super::Holder;

/// Divisor of the free tokens that may be transferred at once. The sender's own callers come first,
/// and a peer that needs more asks again.
const TRANSFER_DIVISOR: u64 = 2;

impl Holder {
    /// Transfers tokens out; returns how many. They count as used here from now on, so that a lost
    /// message strands tokens and never duplicates them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::*;
    /// use damaskstile_escrow::{EscrowOptions, Holder};
    /// let identity = Identity::new("a", 1, "north");
    /// let mut holder = Holder::new(identity, "", EscrowOptions::default());
    /// assert_eq!(holder.transfer_out(Duration::ZERO, "account", 100), 0);
    /// ```
    pub fn transfer_out(&mut self, now: Duration, account: &str, wanted_tokens: u64) -> u64 {
        let spare = self.free_tokens(now, account) / TRANSFER_DIVISOR;
        if wanted_tokens == 0 || spare < wanted_tokens {
            return 0;
        }
        if let Some(balance) = self.balances.get_mut(account) {
            balance.add_used(wanted_tokens);
        }
        wanted_tokens
    }

    /// Accepts tokens that a peer transferred. The host makes sure that no transfer is accepted
    /// twice.
    pub fn accept_transfer(&mut self, account: &str, tokens: u64) {
        let balance = self.balances.entry(account.to_owned()).or_default();
        balance.transferred_tokens += tokens;
    }

    /// Takes all tokens that peers transferred and that are not needed here, so that they can be
    /// returned when the instance stops.
    pub fn take_unused_transfers(&mut self) -> BTreeMap<AccountId, u64> {
        let mut transfers = BTreeMap::new();
        for (account, balance) in &mut self.balances {
            let spare = balance
                .transferred_tokens
                .saturating_sub(balance.reserved_tokens);
            if spare > 0 {
                balance.transferred_tokens -= spare;
                transfers.insert(account.clone(), spare);
            }
        }
        transfers
    }
}
