//! `stewards` says which instances of a large fleet write to the ledger.

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use super::Holder;

impl Holder {
    /// Tells whether this instance takes tokens from the ledger.
    ///
    /// In a small fleet all do. In a large one a few of each data centre do, and the others have
    /// theirs from them: one object that all write to grows with the fleet, and beyond some tens
    /// of instances nearly every write meets another.
    #[must_use]
    pub fn is_steward(&self) -> bool {
        let own = &self.identity.instance;
        self.is_steward_of(own, &self.identity.data_centre)
    }

    /// Tells whether only some instances take tokens from the ledger.
    pub(super) fn is_large_fleet(&self) -> bool {
        let small_fleet = usize::try_from(self.options.small_fleet).unwrap_or(usize::MAX);
        self.ledger.holders.len() > small_fleet
    }

    /// Returns the addresses of the instances that take tokens from the ledger.
    #[must_use]
    pub fn steward_addresses(&self) -> Vec<String> {
        self.ledger
            .holders
            .iter()
            .filter(|(name, entry)| self.is_steward_of(name, &entry.data_centre))
            .map(|(_, entry)| entry.address.clone())
            .collect()
    }

    fn is_steward_of(&self, instance: &str, data_centre: &str) -> bool {
        if !self.is_large_fleet() {
            return true;
        }
        let rank_of = |instance: &str| stable_hash(&["steward", instance]);
        let own_rank = rank_of(instance);
        let before = self
            .ledger
            .holders
            .iter()
            .filter(|(name, entry)| entry.data_centre == data_centre && *name != instance)
            .filter(|(name, _)| rank_of(name) < own_rank)
            .count();
        before < self.options.stewards_per_data_centre
    }

    /// Returns the most instances that take tokens from the ledger.
    pub(super) fn stewards_max(&self) -> usize {
        let data_centres: BTreeSet<&String> = self
            .ledger
            .holders
            .values()
            .map(|entry| &entry.data_centre)
            .collect();
        if !self.is_large_fleet() {
            return usize::MAX;
        }
        data_centres.len().max(1) * self.options.stewards_per_data_centre
    }

    /// Returns the tokens of each account that this instance lacks and a steward should hand over.
    #[must_use]
    pub fn lacking_tokens(&self, now: Duration) -> BTreeMap<AccountId, u64> {
        if self.is_steward() || self.is_stopping {
            return BTreeMap::new();
        }
        let mut lacking = BTreeMap::new();
        for (account, purse) in &self.purses {
            let demand = purse.demand.tokens_per_s(now);
            if demand == 0 {
                continue;
            }
            let of_horizon = demand.saturating_mul(self.options.gift_horizon.as_secs());
            let wanted = of_horizon.max(purse.call_tokens * self.options.floor_calls);
            let free = self.free_tokens(now, account);
            // Asking for every token spent would cost a message for every call.
            if free < wanted * 2 / 3 {
                lacking.insert(account.clone(), wanted - free);
            }
        }
        lacking
    }

    /// Returns all that could be handed back to a steward at a stop, and counts it as used here.
    pub fn take_back_gifts(&mut self) -> BTreeMap<AccountId, u64> {
        let mut gifts = BTreeMap::new();
        for (account, purse) in &mut self.purses {
            let spare = purse.gift_tokens.saturating_sub(purse.reserved_tokens);
            if spare > 0 {
                purse.gift_tokens -= spare;
                gifts.insert(account.clone(), spare);
            }
        }
        gifts
    }
}
