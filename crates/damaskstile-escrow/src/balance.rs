//! One instance's balance of one account.

use damaskstile_core::prelude::*;

use crate::demand::Demand;

/// One instance's balance of one account.
///
/// Amounts are counted from the start of the incarnation and only grow, with three exceptions: the
/// allowance, which the instance may lower by a write of its own, reservations, and transferred
/// tokens.
#[derive(Debug, Clone, Default)]
pub struct Balance {
    /// Tokens that the incarnation may spend in total, according to the last seen ledger.
    pub(crate) allowed_tokens: u64,
    /// Part of the allowance that may be spent before the instance counts as isolated.
    pub(crate) ceiling_tokens: u64,
    /// Tokens that finished calls have used.
    pub(crate) used_tokens: u64,
    /// Part of the used tokens that the ledger counts as spent.
    pub(crate) settled_tokens: u64,
    /// Unspent tokens that peers transferred to this instance. The grants of the senders cover
    /// them.
    pub(crate) transferred_tokens: u64,
    /// Worst-case cost of the calls in progress.
    pub(crate) reserved_tokens: u64,
    /// Demand of all calls of the account at this instance.
    pub(crate) demand: Demand,
    /// Demand of the account's most urgent calls at this instance.
    pub(crate) urgent_demand: Demand,
    /// Rank of the account's most urgent calls; 0 is the most urgent of all.
    pub(crate) urgent_rank: Option<Rank>,
    /// Largest number of tokens that a single call could not reserve since the last round.
    pub(crate) wanted_tokens: u64,
    /// Moving average of the worst-case cost of a call.
    pub(crate) call_tokens: u64,
    /// Time until which the instance holds tokens for other instances to borrow.
    pub(crate) lends_until: Duration,
}

/// Rank of a call among those of its account; 0 is the most urgent.
pub type Rank = u8;

/// Reciprocal of the weight of the newest call in the moving average.
const AVERAGE_DIVISOR: u64 = 8;

impl Balance {
    /// Returns the tokens that the ledger grants to this instance and does not count as spent.
    pub(crate) fn granted(&self) -> u64 {
        self.allowed_tokens.saturating_sub(self.settled_tokens)
    }

    /// Returns the used tokens that the ledger does not yet count as spent.
    pub(crate) fn unsettled(&self) -> u64 {
        self.used_tokens.saturating_sub(self.settled_tokens)
    }

    /// Returns what may still be reserved within the given allowance.
    pub(crate) fn free(&self, allowed_tokens: u64) -> u64 {
        (allowed_tokens + self.transferred_tokens)
            .saturating_sub(self.used_tokens)
            .saturating_sub(self.reserved_tokens)
    }

    pub(crate) fn note_demand(&mut self, now: Duration, tokens: u64, rank: Rank) {
        self.demand.add(now, tokens);
        if self.urgent_rank.is_none_or(|urgent| rank < urgent) {
            self.urgent_rank = Some(rank);
            self.urgent_demand = Demand::default();
        }
        if self.is_urgent(rank) {
            self.urgent_demand.add(now, tokens);
        }
        self.call_tokens = if self.call_tokens == 0 {
            tokens
        } else {
            (self.call_tokens * (AVERAGE_DIVISOR - 1) + tokens) / AVERAGE_DIVISOR
        };
    }

    /// Starts from the predecessor's demand in tokens per second: that of all calls, and that of
    /// the calls of `first_rank`, the most urgent rank in use.
    pub(crate) fn inherit(&mut self, now: Duration, all: u64, urgent: u64, first_rank: Rank) {
        self.demand.begin_with(now, all);
        if urgent > 0 && self.urgent_rank.is_none_or(|rank| rank == first_rank) {
            self.urgent_rank = Some(first_rank);
            self.urgent_demand.begin_with(now, urgent);
        }
    }

    /// Returns whether other instances borrow from this one.
    pub(crate) fn is_lending(&self, now: Duration) -> bool {
        now < self.lends_until
    }

    /// Counts tokens as used, taking them first from those that peers transferred.
    pub(crate) fn add_used(&mut self, tokens: u64) {
        let from_transfers = tokens.min(self.transferred_tokens);
        self.transferred_tokens -= from_transfers;
        self.used_tokens += tokens - from_transfers;
    }

    /// Returns whether calls of a rank are the most urgent of the account.
    pub(crate) fn is_urgent(&self, rank: Rank) -> bool {
        self.urgent_rank.is_none_or(|urgent| rank <= urgent)
    }
}
