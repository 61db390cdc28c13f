//! Computes how many free tokens of an account an instance should hold.

use damaskstile_core::prelude::*;

use super::Holder;
use crate::claim::Claim;
use crate::overview::AccountView;

/// Assumed largest number of lenders of an account. Each data centre has one, and fleets have a few
/// data centres.
const LENDERS: u64 = 8;

const PERCENT: u64 = 100;

/// Planning input: the totals of an account and one instance's claim on it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    /// Tokens that are neither settled nor used anywhere, as far as is known.
    pub left_tokens: u64,
    /// Demand at other instances, in tokens per second.
    pub others_tokens_per_s: u64,
    /// Number of instances that share the account.
    pub instances: u64,
    /// Free tokens that the instance could hold: its own and those in the store.
    pub reachable_tokens: u64,
    /// The instance's claim.
    pub claim: Claim,
}

impl Need {
    pub(super) fn new(view: AccountView, prepaid: u64, unsettled: u64, claim: Claim) -> Self {
        Self {
            left_tokens: prepaid
                .saturating_sub(view.settled_tokens)
                .saturating_sub(unsettled),
            others_tokens_per_s: view.others_tokens_per_s,
            instances: 1,
            reachable_tokens: u64::MAX,
            claim,
        }
    }

    pub(super) fn with_instances(self, instances: u64) -> Self {
        Self {
            instances: instances.max(1),
            ..self
        }
    }

    pub(super) fn with_reachable(self, reachable_tokens: u64) -> Self {
        Self {
            reachable_tokens,
            ..self
        }
    }

    fn demand_of_all(&self) -> u64 {
        self.claim.demand_tokens_per_s + self.others_tokens_per_s
    }
}

impl Holder {
    /// Returns the number of free tokens that an instance should hold of an account.
    ///
    /// Tokens are placed where they are requested, because an instance that is cut off from the
    /// store and all peers can spend only what it holds. A part is divided evenly for accounts
    /// whose calls move between instances, and a part stays in the store for instances that restart
    /// with nothing.
    ///
    /// A request for more tokens than the instance can reach is ignored: if many instances each
    /// kept part of the tokens for such a call while waiting for the rest, no call could be paid
    /// for.
    pub(super) fn target_tokens(&self, need: &Need) -> u64 {
        let Claim {
            demand_tokens_per_s: own,
            call_tokens: call,
            wanted_tokens: wanted,
            ..
        } = need.claim;
        let wanted = if wanted > need.reachable_tokens {
            0
        } else {
            wanted
        };
        let all = need.demand_of_all();
        let reserve_percent = self.reserve_percent(need.left_tokens, all);
        let spendable = need.left_tokens * (PERCENT - reserve_percent) / PERCENT;
        if self.is_borrower(&need.claim) {
            // Its share would pay for too few calls to be useful, and would add an item to the
            // ledger.
            return wanted;
        }
        let instances = if need.claim.is_lender {
            need.instances.min(LENDERS)
        } else {
            need.instances
        };
        if all == 0 {
            // The demand is not known yet: half of the spendable tokens is divided evenly.
            return (spendable / 2 / instances).max(wanted);
        }
        let even = spendable * self.options.even_percent / PERCENT / instances;
        let by_demand = spendable - spendable * self.options.even_percent / PERCENT;
        let by_demand = mul_div(by_demand, own, all);
        let of_horizon = own.saturating_mul(self.options.horizon.as_secs());
        let share = even + by_demand.min(of_horizon);

        let floor = call.saturating_mul(self.options.floor_calls);
        let even_share = spendable / instances;
        if floor <= even_share {
            // A share smaller than a few calls would refuse the first large one.
            let plenty = call.saturating_mul(self.options.plenty_calls);
            return share.max(floor).max(plenty.min(even_share)).max(wanted);
        }
        if share < floor {
            // The shares are too small for any instance to serve a call, so the store keeps the
            // tokens together and grants them call by call.
            return wanted;
        }
        share.max(wanted)
    }

    /// Returns whether an instance holds no tokens of an account and borrows what its calls need.
    /// This holds in a large fleet for an instance that sees few calls of the account and does not
    /// lend it. Otherwise, in a fleet of 295 instances with 40 accounts, each instance had an item
    /// in the ledger for nearly every account, 1.3 MB in all.
    pub(super) fn is_borrower(&self, claim: &Claim) -> bool {
        let horizon_s = self.options.horizon.as_secs();
        let of_horizon = claim.demand_tokens_per_s.saturating_mul(horizon_s);
        let of_calls = claim.call_tokens.saturating_mul(self.options.held_calls);
        let is_thin = claim.demand_tokens_per_s == 0 || of_horizon < of_calls;
        self.is_large_fleet() && !claim.is_lender && is_thin
    }

    /// Returns the number of free tokens that an instance may spend ahead of its next write: the
    /// expected demand until then, or its share of a percentage of the remaining tokens, whichever
    /// is more. Where many tokens remain, no call is refused if that share is lost with all
    /// instances.
    pub(super) fn ahead_tokens(&self, need: &Need, target: u64) -> u64 {
        let options = &self.options;
        let own = need.claim.demand_tokens_per_s;
        let ceiling = options.ceiling * self.interval_scale();
        let until_next = u128::from(own) * ceiling.as_millis() / 1000;
        let until_next = u64::try_from(until_next).unwrap_or(u64::MAX);
        let of_left = need.left_tokens * options.ceiling_left_percent / PERCENT;
        let of_left = mul_div(of_left, own, need.demand_of_all());
        let calls = need.claim.call_tokens * options.ceiling_call_percent / PERCENT;
        until_next
            .saturating_add(calls)
            .max(of_left)
            .max(target * options.ceiling_grant_percent / PERCENT)
            .max(need.claim.wanted_tokens)
            .min(target)
    }

    /// Returns the percentage of the remaining tokens that stays in the store. It increases as the
    /// budget nears its end. There, holding tokens gains nothing, because an isolation only delays
    /// the calls that they pay for, whereas held tokens are lost if their holder ends.
    fn reserve_percent(&self, left_tokens: u64, demand_tokens_per_s: u64) -> u64 {
        let options = &self.options;
        let lasts_ms = left_tokens.saturating_mul(1000) / demand_tokens_per_s.max(1);
        let lasts = Duration::from_millis(lasts_ms);
        let missing = options.plenty_from.saturating_sub(lasts);
        let span = options.plenty_from.saturating_sub(options.scarce_from);
        let span_ms = span.as_millis().max(1);
        let part = missing.as_millis().min(span_ms) * u128::from(PERCENT) / span_ms;
        let part = u64::try_from(part).unwrap_or(PERCENT);
        let more = options
            .scarce_reserve_percent
            .saturating_sub(options.reserve_percent);
        options.reserve_percent + more * part / PERCENT
    }
}

/// Returns `value * part / whole` without overflow.
fn mul_div(value: u64, part: u64, whole: u64) -> u64 {
    let product = u128::from(value) * u128::from(part);
    let quotient = product / u128::from(whole.max(1));
    u64::try_from(quotient).unwrap_or(u64::MAX)
}
