//! `gifts` hands tokens to a peer that cannot reach the store.

use damaskstile_core::prelude::*;

use super::Holder;
use crate::purse::Rank;

/// Part of the free tokens that is handed over at most at once, as a divisor: the giver's own
/// callers come first, and a peer that needs more asks again.
const GIFT_DIVISOR: u64 = 2;

impl Holder {
    /// Hands tokens over; returns how many. They count as used here from now on, so that a
    /// message that gets lost strands them and never doubles them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::*;
    /// use damaskstile_escrow::{EscrowOptions, Holder};
    /// let identity = Identity::new("a", 1, "north");
    /// let mut holder = Holder::new(identity, "", EscrowOptions::default());
    /// assert_eq!(holder.give(Duration::ZERO, "account", 100), 0);
    /// ```
    pub fn give(&mut self, now: Duration, account: &str, wanted_tokens: u64) -> u64 {
        let spare = self.free_tokens(now, account) / GIFT_DIVISOR;
        if wanted_tokens == 0 || spare < wanted_tokens {
            return 0;
        }
        if let Some(purse) = self.purses.get_mut(account) {
            purse.add_used(wanted_tokens);
        }
        wanted_tokens
    }

    /// Answers a peer's question for tokens; returns how many are handed over.
    pub fn answer_ask(&mut self, now: Duration, account: &str, wanted_tokens: u64) -> u64 {
        if self.is_large_fleet() && self.is_steward() {
            self.hand_out(now, account, wanted_tokens)
        } else {
            self.give(now, account, wanted_tokens)
        }
    }

    /// Hands over as much as is wanted and can be spared to an instance that has its tokens from
    /// this one, and has the rest fetched.
    fn hand_out(&mut self, now: Duration, account: &str, wanted_tokens: u64) -> u64 {
        self.note_demand(now, account, wanted_tokens, Rank::MAX);
        let given = self.free_tokens(now, account).min(wanted_tokens);
        if let Some(purse) = self.purses.get_mut(account) {
            purse.add_used(given);
            if given < wanted_tokens {
                purse.wanted_tokens = purse.wanted_tokens.max(wanted_tokens - given);
                self.is_short = true;
            }
        }
        given
    }

    /// Takes tokens that a peer handed over. The host makes sure that none is taken twice.
    pub fn take(&mut self, account: &str, tokens: u64) {
        let purse = self.purses.entry(account.to_owned()).or_default();
        purse.gift_tokens += tokens;
    }
}
