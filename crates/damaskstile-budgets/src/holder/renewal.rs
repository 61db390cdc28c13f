//! Maintenance of holdings: limits their number, replaces grants with outdated witnesses and drops
//! grants that were closed.

use damaskstile_core::prelude::*;

use super::Holder;
use crate::effect::HolderEffect;
use crate::op::LedgerOp;

/// Number of holdings above which the smallest remainders are returned to the budget.
const HOLDINGS_MAX: usize = 6;
/// Age up to which the last seen ledger shows that the store is available.
const VIEW_FRESH_AGE: Duration = Duration::from_millis(20);

impl Holder {
    /// Returns the smallest remainders to the budget if there are too many holdings.
    ///
    /// Each refill is a separate grant. Their remainders would otherwise accumulate, and a transfer
    /// to a peer draws on one grant only.
    pub(super) fn return_small_remainders(&mut self) {
        if self.holdings.len() <= HOLDINGS_MAX || !self.waiters.is_empty() {
            return;
        }
        let mut remainders: Vec<(u64, GrantId)> = self
            .holdings
            .iter()
            .map(|(grant, holding)| (holding.free_tokens, grant.clone()))
            .filter(|(free, _)| *free > 0)
            .collect();
        remainders.sort();
        let excess = self.holdings.len() - HOLDINGS_MAX;
        for (tokens, grant) in remainders.into_iter().take(excess) {
            if let Some(holding) = self.holdings.get_mut(&grant) {
                holding.free_tokens = 0;
            }
            self.pending.push(LedgerOp::Return { grant, tokens });
        }
        self.drop_empty_holdings();
    }

    /// Replaces grants that have other witnesses than a new grant would have.
    ///
    /// An unresponsive holder's grant is released only when all of its witnesses seal it. The
    /// witnesses of a long-running instance may have restarted since, and its grants would stay
    /// blocked if it failed. A grant made soon after start, when few peers were known, has few
    /// witnesses, and in a network partition none of them may be reachable.
    pub(super) fn renew_due(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        if self.renew_at.is_none_or(|at| now < at) {
            return;
        }
        let is_busy = self.retry_at.is_some() || self.batch.is_some() || !self.waiters.is_empty();
        if is_busy || self.is_stopping {
            self.renew_at = (!self.is_stopping).then(|| now + super::RENEWAL_DELAY);
            return;
        }
        // Tokens cannot be spent while their grant is being replaced. So a read checks first that
        // the store is available; during an outage the grants are left as they are.
        if self.view.is_none() || now.saturating_sub(self.view_at) > VIEW_FRESH_AGE {
            self.renew_at = Some(now + super::RENEWAL_DELAY);
            fx.push(HolderEffect::Read);
            return;
        }
        self.renew_at = None;
        self.next_flush_at = now;
        let stale: Vec<(GrantId, u64)> = self
            .holdings
            .iter()
            .filter(|(_, holding)| holding.free_tokens > 0)
            .filter(|(_, holding)| self.is_stale(holding))
            .map(|(grant, holding)| (grant.clone(), holding.free_tokens))
            .collect();
        for (grant, tokens) in stale {
            if let Some(holding) = self.holdings.get_mut(&grant) {
                holding.free_tokens = 0;
            }
            let number = self.next_number();
            self.pending.push(LedgerOp::Return { grant, tokens });
            self.pending.push(LedgerOp::Grant {
                grant: self.identity.unique("grant", number),
                need_tokens: tokens,
                want_tokens: tokens,
                part_percent: 100,
                witnesses: self.witnesses.clone(),
            });
        }
        self.drop_empty_holdings();
    }

    /// Queues the removal of the witnesses of grants whose witnesses are all unresponsive, so that
    /// the grants can be spent without records.
    pub fn witnesses_lost(&mut self, now: Duration, grants: &BTreeSet<GrantId>) {
        for grant in grants {
            let is_queued = self
                .pending
                .iter()
                .any(|op| matches!(op, LedgerOp::Unwitness { grant: queued } if queued == grant));
            if self.holdings.contains_key(grant) && !is_queued {
                self.next_flush_at = now;
                self.pending.push(LedgerOp::Unwitness {
                    grant: grant.clone(),
                });
            }
        }
    }

    /// Drops holdings with witnesses whose grants were sealed or are no longer in the ledger, and
    /// reports the transfers that have been entered.
    pub(super) fn check_holdings(&mut self, fx: &mut Vec<HolderEffect>) {
        let Some((_, ledger)) = &self.view else {
            return;
        };
        // The record of a transfer is needed until the ledger contains the transfer.
        let adopted: Vec<GrantId> = self
            .unentered_transfers
            .iter()
            .filter(|(transfer, grant)| {
                ledger
                    .grants
                    .get(*grant)
                    .is_none_or(|grant| grant.moved.contains(*transfer))
            })
            .map(|(transfer, _)| transfer.clone())
            .collect();
        self.unentered_transfers
            .retain(|transfer, _| !adopted.contains(transfer));
        if !adopted.is_empty() {
            fx.push(HolderEffect::Flushed { runs: adopted });
        }
        let lost: Vec<GrantId> = self
            .holdings
            .iter()
            .filter(|(_, holding)| !holding.witnesses.is_empty())
            .filter(|(id, _)| ledger.grants.get(*id).is_none_or(crate::Grant::is_sealed))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.holdings.remove(&id);
            Self::log(
                fx,
                EventCode::GrantLost,
                &[("budget", &self.budget), ("grant", &id)],
            );
        }
    }
}
