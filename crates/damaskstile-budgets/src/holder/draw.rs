//! Drawing tokens from holdings and putting them back.

use damaskstile_core::prelude::*;

use super::Holder;
use crate::effect::DrawPlan;

impl Holder {
    /// Returns the draw plans of a run's reservation.
    #[must_use]
    pub fn plans(&self, run: &RunId) -> Vec<DrawPlan> {
        let draws = self.reservations.get(run).cloned().unwrap_or_default();
        draws.into_iter().map(|draw| self.plan(draw)).collect()
    }

    pub(super) fn plan(&self, draw: Draw) -> DrawPlan {
        let holding = self.holdings.get(&draw.grant);
        let witnesses = holding.map(|holding| holding.witnesses.clone());
        let origins = holding.map(|holding| holding.origins.clone());
        DrawPlan {
            draw,
            witnesses: witnesses.unwrap_or_default(),
            origins: origins.unwrap_or_default(),
        }
    }

    /// Reserves tokens from the holdings, from those with witnesses first. Within each group, the
    /// smallest holding that covers the whole run is preferred, then the smaller holdings.
    ///
    /// Returns `None`, and reserves nothing, if there are not enough free tokens.
    pub(super) fn draw(
        &mut self,
        run: &RunId,
        tokens: u64,
        is_open_only: bool,
    ) -> Option<Vec<DrawPlan>> {
        let mut order: Vec<(GrantId, u64)> = self
            .holdings
            .iter()
            .filter(|(_, holding)| holding.free_tokens > 0)
            .filter(|(_, holding)| !is_open_only || holding.witnesses.is_empty())
            .map(|(grant, holding)| (grant.clone(), holding.free_tokens))
            .collect();
        order.sort_by_key(|(grant, free)| (self.is_open(grant), *free < tokens, *free));
        let available: u64 = order.iter().map(|(_, free)| free).sum();
        if available < tokens {
            return None;
        }

        let mut left_tokens = tokens;
        let mut draws = Vec::new();
        for (grant, free) in order {
            let taken = left_tokens.min(free);
            if taken == 0 {
                break;
            }
            left_tokens -= taken;
            if let Some(holding) = self.holdings.get_mut(&grant) {
                holding.free_tokens -= taken;
            }
            draws.push(Draw {
                grant,
                tokens: taken,
            });
        }
        self.reservations.insert(run.clone(), draws.clone());
        Some(draws.into_iter().map(|draw| self.plan(draw)).collect())
    }

    fn is_open(&self, grant: &GrantId) -> bool {
        self.holdings
            .get(grant)
            .is_some_and(|holding| holding.witnesses.is_empty())
    }

    pub(super) fn put_back(&mut self, grant: &GrantId, tokens: u64) {
        // A grant that was closed in the meantime is no longer held; the rest of its tokens belongs
        // to the budget.
        if let Some(holding) = self.holdings.get_mut(grant) {
            holding.free_tokens = holding.free_tokens.saturating_add(tokens);
        }
        if self.is_stopping {
            self.return_free();
        }
    }
}
