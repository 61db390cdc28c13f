//! Transfers of tokens to and from peers.

use damaskstile_budgets::DrawPlan;
use damaskstile_core::peer::{DiscardRecords, RecordAck, RunRecord, TokenRequest, TokenTransfer};
use damaskstile_core::prelude::*;

use super::timers::Timer;
use super::{Effects, Instance};

/// Outgoing transfer whose record no witness has accepted yet.
#[derive(Debug)]
pub(super) struct PendingTransfer {
    budget: BudgetId,
    witnesses: BTreeMap<InstanceId, Incarnation>,
}

impl Instance {
    pub(super) fn on_transfer_planned(
        &mut self,
        budget: &BudgetId,
        transfer: GrantId,
        plan: &DrawPlan,
        effects: &mut Effects,
    ) {
        if plan.witnesses.is_empty() {
            self.with_holder(budget, effects, |holder, now, fx| {
                holder.send_transfer(now, &transfer, fx);
            });
            return;
        }
        // A witness must have a record of the transfer first. Otherwise it would return the tokens
        // to the budget when this instance is lost, while the receiver spends them.
        let record = RunRecord {
            run: transfer.clone(),
            budget: budget.clone(),
            draws: vec![plan.draw.clone()],
            ..RunRecord::default()
        };
        for witness in plan.witnesses.keys() {
            effects.push(Effect::Send {
                to: witness.clone(),
                message: PeerMessage::Record(record.clone()),
            });
        }
        let pending = PendingTransfer {
            budget: budget.clone(),
            witnesses: plan.witnesses.clone(),
        };
        self.pending_transfers.insert(transfer.clone(), pending);
        self.set_timer(
            self.options.record_timeout,
            Timer::TransferTimeout(transfer),
        );
    }

    pub(super) fn on_transfer_recorded(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        ack: &RecordAck,
        effects: &mut Effects,
    ) {
        let Some(pending) = self.pending_transfers.get_mut(&ack.run) else {
            return;
        };
        if !ack.is_accepted {
            pending.witnesses.remove(from);
            if pending.witnesses.is_empty() {
                self.cancel_transfer(&ack.run, effects);
            }
            return;
        }
        if pending.witnesses.get(from) != Some(&incarnation) {
            return;
        }
        if let Some(pending) = self.pending_transfers.remove(&ack.run) {
            let transfer = ack.run.clone();
            self.with_holder(&pending.budget, effects, |holder, now, fx| {
                holder.send_transfer(now, &transfer, fx);
            });
        }
    }

    pub(super) fn cancel_transfer(&mut self, transfer: &GrantId, effects: &mut Effects) {
        let Some(pending) = self.pending_transfers.remove(transfer) else {
            return;
        };
        self.with_holder(&pending.budget, effects, |holder, now, fx| {
            holder.cancel_transfer(transfer, fx);
            holder.tick(now, fx);
        });
        for witness in pending.witnesses.into_keys() {
            effects.push(Effect::Send {
                to: witness,
                message: PeerMessage::Forget(DiscardRecords {
                    runs: vec![transfer.clone()],
                }),
            });
        }
    }

    pub(super) fn on_token_request(
        &mut self,
        from: &InstanceId,
        ask: &TokenRequest,
        effects: &mut Effects,
    ) {
        if self.holders.contains_key(&ask.budget) {
            self.with_holder(&ask.budget, effects, |holder, now, fx| {
                holder.on_token_request(now, from, ask, fx);
            });
            return;
        }
        let none = TokenTransfer {
            ask: ask.ask,
            budget: ask.budget.clone(),
            ..TokenTransfer::default()
        };
        effects.push(Effect::Send {
            to: from.clone(),
            message: PeerMessage::Give(none),
        });
    }

    pub(super) fn on_transfer_received(
        &mut self,
        from: &InstanceId,
        give: &TokenTransfer,
        effects: &mut Effects,
    ) {
        let budget = give.budget.clone();
        if self.holders.contains_key(&budget) {
            self.with_holder(&budget, effects, |holder, now, fx| {
                holder.on_transfer(now, from, give, fx);
            });
        }
    }
}
