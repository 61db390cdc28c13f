//! Oracle that judges refusals for lack of budget with knowledge of the whole fleet.

use damaskstile::core::prelude::*;

use crate::simulation::Simulation;

/// Judgement of a refusal for lack of budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The unspent budget of the whole fleet would have covered the request.
    pub is_false: bool,
    /// The free tokens that the refusing instance could reach would have covered the request.
    pub is_reachable_false: bool,
}

/// Judges a refusal at the moment it is given.
///
/// The unspent budget is the topped-up tokens less those processed by targets and those reserved
/// for runs. Reachable tokens are the free tokens in the store's ledger and at live instances, as
/// far as the refusing instance is connected to them. `worst` is the worst-case cost of the
/// request in tokens.
#[must_use]
pub fn judge(
    simulation: &Simulation,
    instance: &str,
    budget: &str,
    account: &str,
    worst: u64,
) -> Verdict {
    let ledger = simulation.store.ledger(budget);
    let reserved: u64 = simulation
        .live_instances()
        .map(|(_, instance)| instance.reserved_tokens(budget))
        .sum();
    let unspent = ledger
        .topped_up_tokens
        .saturating_sub(simulation.targets.ran(account))
        .saturating_sub(reserved);
    let in_store = if simulation.network.has_store(instance) && !simulation.store.is_out {
        ledger.free_tokens()
    } else {
        0
    };
    let at_peers: u64 = simulation
        .live_instances()
        .filter(|(name, _)| simulation.network.is_connected(name, instance))
        .map(|(_, peer)| peer.free_tokens(budget))
        .sum();
    Verdict {
        is_false: unspent >= worst,
        is_reachable_false: in_store.saturating_add(at_peers) >= worst,
    }
}

/// Returns whether an outcome is a refusal for lack of budget.
#[must_use]
pub fn is_budget_refusal(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::NotRun {
            code: RefusalCode::BudgetExhausted | RefusalCode::BudgetUnreachable,
            ..
        }
    )
}
