//! `renewal` keeps holdings in order: few, with witnesses that live, and still ours.

use damaskstile_core::prelude::*;

use super::Holder;
use crate::effect::HolderEffect;
use crate::op::LedgerOp;

/// Grants that are held side by side; past it the rests of old ones are given back.
const HOLDINGS_MAX: usize = 6;
/// Age up to which a view shows that the store is there.
const VIEW_FRESH: Duration = Duration::from_millis(20);

impl Holder {
    /// Gives back what is left of old grants, when there are many.
    ///
    /// Each refill is a grant of its own. Their rests would otherwise pile up, and a gift to a
    /// peer comes out of one grant only.
    pub(super) fn return_crumbs(&mut self) {
        if self.holdings.len() <= HOLDINGS_MAX || !self.waiters.is_empty() {
            return;
        }
        let mut rests: Vec<(u64, GrantId)> = self
            .holdings
            .iter()
            .map(|(grant, holding)| (holding.free_tokens, grant.clone()))
            .filter(|(free, _)| *free > 0)
            .collect();
        rests.sort();
        let excess = self.holdings.len() - HOLDINGS_MAX;
        for (tokens, grant) in rests.into_iter().take(excess) {
            if let Some(holding) = self.holdings.get_mut(&grant) {
                holding.free_tokens = 0;
            }
            self.pending.push(LedgerOp::Return { grant, tokens });
        }
        self.drop_empty_holdings();
    }

    /// Changes grants whose witnesses are gone for new ones.
    ///
    /// A grant can only be closed by all of its witnesses. Without this, those of an instance
    /// that has been up for long would strand with it, since its witnesses were restarted since.
    /// And a grant from the first moments, when few peers were known, has few witnesses; none of
    /// them may be on its side of a cut.
    pub(super) fn renew_due(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        if self.wants_renewal_at.is_none_or(|at| now < at) {
            return;
        }
        let is_busy = self.retry_at.is_some() || self.batch.is_some() || !self.waiters.is_empty();
        if is_busy || self.is_stopping {
            self.wants_renewal_at = (!self.is_stopping).then(|| now + super::RENEW_AFTER);
            return;
        }
        // What is being changed cannot be spent. So the store is asked first whether it is there;
        // in an outage the grants are left as they are.
        if self.view.is_none() || now.saturating_sub(self.view_at) > VIEW_FRESH {
            self.wants_renewal_at = Some(now + super::RENEW_AFTER);
            fx.push(HolderEffect::Read);
            return;
        }
        self.wants_renewal_at = None;
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

    /// Spends grants without records whose witnesses have all fallen silent.
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

    /// Drops holdings that were closed by witnesses while this instance was silent.
    pub(super) fn check_holdings(&mut self, fx: &mut Vec<HolderEffect>) {
        let Some((_, ledger)) = &self.view else {
            return;
        };
        // Records of gifts are needed until the taker's entry moves the tokens in the ledger.
        let adopted: Vec<GrantId> = self
            .unadopted
            .iter()
            .filter(|(transfer, grant)| {
                ledger
                    .grants
                    .get(*grant)
                    .is_none_or(|grant| grant.moved.contains(*transfer))
            })
            .map(|(transfer, _)| transfer.clone())
            .collect();
        self.unadopted
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
