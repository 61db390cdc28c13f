//! Finds out why tokens could not be reserved, and what is reserved for more urgent calls.

use damaskstile_core::prelude::*;

use super::Holder;
use super::reports::Role;
use crate::balance::Rank;
use crate::shortage::Shortage;

impl Holder {
    /// Returns whether a call must leave the remaining tokens to more urgent calls of its account.
    /// Near its end a budget pays for many short urgent calls or for a few long ones that can wait.
    pub(super) fn is_reserved_for_urgent(
        &self,
        now: Duration,
        account: &str,
        tokens: u64,
        rank: Rank,
    ) -> bool {
        let Some(balance) = self.balances.get(account) else {
            return false;
        };
        if balance.is_urgent(rank) {
            return false;
        }
        let urgent = balance.urgent_demand.tokens_per_s(now)
            + self.overview.account(account).others_urgent_tokens_per_s;
        let kept = urgent.saturating_mul(self.options.urgent_horizon.as_secs());
        self.left_tokens(account) < kept.saturating_add(tokens)
    }

    /// Returns whether the ledger was seen recently enough to be evidence of what other instances
    /// hold.
    pub(super) fn is_ledger_recent(&self, now: Duration) -> bool {
        let age = self.ledger_age(now);
        age.is_some_and(|age| age <= self.options.evidence_age)
    }

    /// Returns whether no instance has as many tokens, according to a recently seen ledger. Then
    /// only another purchase helps, so a caller need not retry.
    pub(super) fn is_exhausted(&self, now: Duration, account: &str, tokens: u64) -> bool {
        let balance = self.balances.get(account);
        let own_reserved = balance.map_or(0, |balance| balance.reserved_tokens);
        let left = self.left_tokens(account).saturating_sub(own_reserved);
        self.is_ledger_recent(now) && tokens > left
    }

    pub(super) fn shortage(&self, now: Duration, account: &str, tokens: u64) -> Shortage {
        let can_ask = self.role == Role::Member && !self.is_in_doubt;
        if !self.is_ledger_recent(now) {
            // The receipt for a report will state the account's totals.
            return if can_ask {
                Shortage::InStore
            } else {
                Shortage::Elsewhere
            };
        }
        if self.is_exhausted(now, account, tokens) {
            return Shortage::Exhausted;
        }
        let balance = self.balances.get(account);
        // An unanswered write, or no store contact for longer than a round, indicates an isolation.
        let is_in_touch = match self.role {
            Role::Member => can_ask,
            Role::Writer => !self.is_in_doubt && self.had_recent_contact(now),
        };
        let held = balance.map_or(0, |balance| balance.free(balance.allowed_tokens));
        let pool = self
            .overview
            .account(account)
            .pool(self.bought_tokens(account));
        if is_in_touch && tokens <= held + pool {
            return Shortage::InStore;
        }
        Shortage::Elsewhere
    }
}
