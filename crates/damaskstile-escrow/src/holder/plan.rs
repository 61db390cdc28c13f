//! `plan` says how many free tokens of an account an instance should hold.

use damaskstile_core::prelude::*;

use super::Holder;
use crate::purse::Purse;

/// Divisor of percentages.
pub(super) const PERCENT: u64 = 100;

impl Holder {
    /// Returns the free tokens that this instance should hold of an account.
    ///
    /// Tokens stand where they are asked for, because an instance that is cut off from the store
    /// and all peers can spend only what it holds. A part is divided evenly for accounts that
    /// move, and a part stays in the store for instances that come back with nothing.
    pub(super) fn target_tokens(&self, now: Duration, account: &str) -> u64 {
        if self.is_stopping || !self.is_steward() {
            return 0;
        }
        let purse = self.purses.get(account);
        let own = purse.map_or(0, |purse| purse.demand.tokens_per_s(now));
        let all = own
            + self
                .ledger
                .demand_of_others(account, &self.identity.instance);
        let left = self.left_tokens(account);
        let spendable = left * (PERCENT - self.reserve_percent(left, all)) / PERCENT;
        let is_listed = self.ledger.holders.contains_key(&self.identity.instance);
        let instances = self.ledger.holders.len() + usize::from(!is_listed);
        let instances = instances.min(self.stewards_max());
        let instances = u64::try_from(instances).unwrap_or(u64::MAX).max(1);

        let wanted = purse.map_or(0, |purse| purse.wanted_tokens);
        if all == 0 {
            // Nothing is known of the demand yet: half is divided evenly.
            return (spendable / 2 / instances).max(wanted);
        }
        let even = spendable * self.options.even_percent / PERCENT / instances;
        let by_demand = spendable - spendable * self.options.even_percent / PERCENT;
        let by_demand = mul_div(by_demand, own, all);
        let of_horizon = own.saturating_mul(self.options.horizon.as_secs());
        let share = even + by_demand.min(of_horizon);

        let call = purse.map_or(0, |purse| purse.call_tokens);
        let floor = call.saturating_mul(self.options.floor_calls);
        let is_plenty = floor.saturating_mul(instances) <= spendable;
        if is_plenty {
            // A share smaller than a few calls would refuse the first large one.
            return share.max(floor).max(wanted);
        }
        if share < floor {
            // So little everywhere that no instance could serve a call: the store keeps it whole
            // and hands it out call by call.
            return wanted;
        }
        share.max(wanted)
    }
}

impl Holder {
    /// Returns the part of what is left that stays in the store: more of it the sooner the budget
    /// ends. Close to the end nothing is gained by holding tokens, since an isolation only delays
    /// the calls that they pay for, while whatever is held is lost with its holder.
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

    /// Returns what is left of a budget, as far as is known here.
    pub(super) fn left_tokens(&self, account: &str) -> u64 {
        let prepaid = self.prepaid_tokens.get(account).copied().unwrap_or(0);
        let unsettled = self.purses.get(account).map_or(0, Purse::unsettled);
        prepaid
            .saturating_sub(self.ledger.settled(account))
            .saturating_sub(unsettled)
    }
}

/// Returns `value * part / whole` without overflow.
pub(super) fn mul_div(value: u64, part: u64, whole: u64) -> u64 {
    let product = u128::from(value) * u128::from(part);
    let quotient = product / u128::from(whole.max(1));
    u64::try_from(quotient).unwrap_or(u64::MAX)
}
