//! Connects budget holders to requests: reservations, refusals, bills and settled runs.

use damaskstile_budgets::holder::Reserve;
use damaskstile_budgets::{Holder, HolderEffect};
use damaskstile_core::peer::DiscardRecords;
use damaskstile_core::prelude::*;

use super::request::Step;
use super::timers::Timer;
use super::{Effects, Instance, StorePurpose};
use crate::keys;

impl Instance {
    /// Runs an action on a budget's holder, which is created if needed, and executes its effects.
    pub(super) fn with_holder(
        &mut self,
        budget: &BudgetId,
        effects: &mut Effects,
        act: impl FnOnce(&mut Holder, Duration, &mut Vec<HolderEffect>),
    ) {
        self.ensure_holder(budget);
        let Some(holder) = self.holders.get_mut(budget) else {
            return;
        };
        let mut fx = Vec::new();
        let pending_before = holder.pending_entries();
        act(holder, self.now, &mut fx);
        let pending_after = holder.pending_entries();
        self.pending_entries = self.pending_entries + pending_after - pending_before;
        let wake = holder.next_wake();
        self.set_timer_at(wake, Timer::Holder(budget.clone()));
        for effect in fx {
            self.on_holder_effect(budget, effect, effects);
        }
    }

    fn ensure_holder(&mut self, budget: &BudgetId) {
        if self.holders.contains_key(budget) {
            return;
        }
        let account = self
            .settings
            .settings()
            .account
            .iter()
            .find(|(_, account)| &account.budget == budget)
            .map(|(name, _)| name.clone());
        let options = self.budget_options(&account.unwrap_or_default(), "");
        let mut holder = Holder::new(budget, &self.options.identity, options, self.now);
        holder.set_peers(self.now, &self.peers_for_budgets());
        if self.stop_at.is_some_and(|at| self.now >= at) {
            holder.stop(self.now);
        }
        self.holders.insert(budget.clone(), holder);
        self.schedule_clean_up();
    }

    pub(super) fn reserve(&mut self, number: u64, is_open_only: bool, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.step = Step::Reserving;
        let (budget, run, tokens) = (
            request.budget.clone(),
            request.run.clone(),
            request.worst_case_tokens(),
        );
        let mut reserved = Reserve::Waiting;
        self.with_holder(&budget, effects, |holder, now, fx| {
            reserved = holder.reserve(now, &run, tokens, is_open_only, fx);
        });
        match reserved {
            Reserve::Ready(_) => self.find_target(number, effects),
            Reserve::Waiting => {}
            Reserve::Refused(code) => self.refuse_for_budget(&run, code, effects),
        }
    }

    fn on_holder_effect(&mut self, budget: &BudgetId, effect: HolderEffect, effects: &mut Effects) {
        match effect {
            HolderEffect::Read => {
                let key = keys::ledger_key(budget);
                let purpose = StorePurpose::Ledger(budget.clone());
                self.call_store(purpose, StoreCall::Read { key }, effects);
            }
            HolderEffect::Write {
                expected_version,
                value,
            } => {
                let write = StoreCall::Write {
                    key: keys::ledger_key(budget),
                    expected_version,
                    value,
                };
                self.call_store(StorePurpose::Ledger(budget.clone()), write, effects);
            }
            HolderEffect::WritePage { page, value } => {
                let write = StoreCall::Write {
                    key: keys::page_key(budget, page),
                    expected_version: 0,
                    value,
                };
                self.call_store(StorePurpose::Page(budget.clone()), write, effects);
            }
            HolderEffect::Send { to, message } => effects.push(Effect::Send { to, message }),
            HolderEffect::Ready { run, .. } => {
                if let Some(number) = self.by_run.get(&run).copied() {
                    self.find_target(number, effects);
                }
            }
            HolderEffect::Refused { run, code } => self.refuse_for_budget(&run, code, effects),
            HolderEffect::Transfer { transfer, plan } => {
                self.on_transfer_planned(budget, transfer, &plan, effects);
            }
            HolderEffect::AnnounceGrant { grant, witnesses } => {
                Self::announce_grant(budget, grant, &witnesses, effects);
            }
            HolderEffect::Flushed { runs } => self.on_flushed(&runs, effects),
            HolderEffect::Sealed {
                holder,
                incarnation,
                grants,
            } => self.on_sealed(budget, &(holder, incarnation), &grants, effects),
            HolderEffect::Log(event) => effects.push(Effect::Log(event)),
        }
    }

    fn refuse_for_budget(&mut self, run: &RunId, code: RefusalCode, effects: &mut Effects) {
        let Some(number) = self.by_run.get(run).copied() else {
            return;
        };
        let service = self
            .requests
            .get(&number)
            .map(|request| request.service.clone())
            .unwrap_or_default();
        let retry_after = Some(self.retry_after(code, &service));
        self.refuse(number, code, retry_after, effects);
    }

    /// Abandons a request's current run, which did not begin: releases its tokens, target and
    /// records.
    pub(super) fn abandon_run(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let run = request.run.clone();
        let budget = request.budget.clone();
        let had_record = request.step == Step::Recording;
        let target = request.target.take();
        request.awaited.clear();
        if self.by_run.remove(&run).is_none() {
            return;
        }
        self.queue.remove(&run);
        if let Some((target, _)) = target {
            self.registry.ended(&target, None);
        }
        self.with_holder(&budget, effects, |holder, now, fx| {
            holder.release(&run);
            holder.tick(now, fx);
        });
        if had_record {
            self.on_flushed(&[run], effects);
        } else {
            self.mark_settled(&run);
        }
    }

    /// Assigns a new run to a request.
    pub(super) fn renew_run(&mut self, number: u64) {
        let run = self.new_run();
        if let Some(request) = self.requests.get_mut(&number) {
            request.run.clone_from(&run);
            self.by_run.insert(run, number);
        }
    }

    fn mark_settled(&mut self, run: &RunId) {
        self.records.remove(run);
        if let Some(number) = damaskstile_budgets::records::run_number(run) {
            self.unsettled.remove(&number);
        }
    }

    /// Lets witnesses discard the records of runs that are accounted for in the store or abandoned.
    fn on_flushed(&mut self, runs: &[RunId], effects: &mut Effects) {
        for run in runs {
            self.mark_settled(run);
            self.keeper.forget_unresolved(run);
        }
        let witnesses = self.witnesses_in_use();
        for witness in witnesses {
            effects.push(Effect::Send {
                to: witness,
                message: PeerMessage::Forget(DiscardRecords {
                    runs: runs.to_vec(),
                }),
            });
        }
    }

    pub(super) fn witnesses_in_use(&self) -> BTreeSet<InstanceId> {
        let mut witnesses: BTreeSet<InstanceId> = self.membership.witnesses().into_keys().collect();
        for holder in self.holders.values() {
            witnesses.extend(holder.witnesses_in_use());
        }
        witnesses
    }
}
