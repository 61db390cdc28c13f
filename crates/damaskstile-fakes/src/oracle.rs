//! `oracle` tells whether a refusal for money was false.

use damaskstile::core::prelude::*;

use crate::world::World;

/// `Verdict` tells what a refusal for money was worth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The unspent budget would have covered the request.
    pub is_false: bool,
    /// What the refusing instance could lawfully have reached would have covered it.
    pub is_reachable_false: bool,
}

/// Judges a refusal at the moment when it is given.
///
/// The unspent budget is what was topped up, less what targets truly ran and what is reserved for
/// runs. Reachable is what stands free in the store and with live instances, as far as the
/// refusing instance reaches them.
#[must_use]
pub fn judge(world: &World, instance: &str, budget: &str, account: &str, worst: u64) -> Verdict {
    let ledger = world.store.ledger(budget);
    let reserved: u64 = world
        .live_instances()
        .map(|(_, instance)| instance.reserved_tokens(budget))
        .sum();
    let unspent = ledger
        .topped_up_tokens
        .saturating_sub(world.targets.ran(account))
        .saturating_sub(reserved);
    let at_store = if world.network.has_store(instance) && !world.store.is_out {
        ledger.free_tokens()
    } else {
        0
    };
    let at_peers: u64 = world
        .live_instances()
        .filter(|(name, _)| world.network.is_joined(name, instance))
        .map(|(_, peer)| peer.free_tokens(budget))
        .sum();
    Verdict {
        is_false: unspent >= worst,
        is_reachable_false: at_store.saturating_add(at_peers) >= worst,
    }
}

/// Tells whether an outcome is a refusal for money.
#[must_use]
pub fn is_refusal_for_money(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::NotRun {
            code: RefusalCode::BudgetExhausted | RefusalCode::BudgetUnreachable,
            ..
        }
    )
}
