//! `money` joins budgets and requests: reservations, records, gifts and bills.

use damaskstile_budgets::holder::Reserve;
use damaskstile_budgets::{DrawPlan, Holder, HolderEffect};
use damaskstile_core::peer::{AskTokens, ForgetRuns, GiveTokens, RecordAck, RunEnd, RunRecord};
use damaskstile_core::prelude::*;

use super::request::Step;
use super::timers::Timer;
use super::{Call, Effects, Instance};
use crate::keys;

/// `PendingGive` is a gift whose record is not kept yet.
#[derive(Debug)]
pub(super) struct PendingGive {
    budget: BudgetId,
    witnesses: BTreeMap<InstanceId, Incarnation>,
}

impl Instance {
    /// Runs a step of a budget's holder and carries out what it asks for.
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
        self.clean_up_later();
    }

    pub(super) fn reserve(&mut self, number: u64, is_open_only: bool, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.step = Step::Reserving;
        let (budget, run, tokens) = (
            request.budget.clone(),
            request.run.clone(),
            request.worst_tokens(),
        );
        let mut reserved = Reserve::Waiting;
        self.with_holder(&budget, effects, |holder, now, fx| {
            reserved = holder.reserve(now, &run, tokens, is_open_only, fx);
        });
        match reserved {
            Reserve::Ready(_) => self.find_target(number, effects),
            Reserve::Waiting => {}
            Reserve::Refused(code) => self.refuse_for_money(&run, code, effects),
        }
    }

    fn on_holder_effect(&mut self, budget: &BudgetId, effect: HolderEffect, effects: &mut Effects) {
        match effect {
            HolderEffect::Read => {
                let key = keys::ledger_key(budget);
                let call = Call::Ledger(budget.clone());
                self.call_store(call, StoreCall::Read { key }, effects);
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
                self.call_store(Call::Ledger(budget.clone()), write, effects);
            }
            HolderEffect::WritePage { page, value } => {
                let write = StoreCall::Write {
                    key: keys::page_key(budget, page),
                    expected_version: 0,
                    value,
                };
                self.call_store(Call::Page(budget.clone()), write, effects);
            }
            HolderEffect::Send { to, message } => effects.push(Effect::Send { to, message }),
            HolderEffect::Ready { run, .. } => {
                if let Some(number) = self.by_run.get(&run).copied() {
                    self.find_target(number, effects);
                }
            }
            HolderEffect::Refused { run, code } => self.refuse_for_money(&run, code, effects),
            HolderEffect::Give { transfer, plan } => {
                self.on_give_wanted(budget, transfer, &plan, effects);
            }
            HolderEffect::Watch { grant, witnesses } => {
                Self::send_watch(budget, grant, &witnesses, effects);
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

    fn refuse_for_money(&mut self, run: &RunId, code: RefusalCode, effects: &mut Effects) {
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

    /// Tells a grant's witnesses of it, so that they can close it when this instance is lost.
    fn send_watch(
        budget: &BudgetId,
        grant: GrantId,
        witnesses: &BTreeSet<InstanceId>,
        effects: &mut Effects,
    ) {
        let record = RunRecord {
            run: grant.clone(),
            budget: budget.clone(),
            draws: vec![Draw { grant, tokens: 0 }],
            ..RunRecord::default()
        };
        for witness in witnesses {
            effects.push(Effect::Send {
                to: witness.clone(),
                message: PeerMessage::Record(record.clone()),
            });
        }
    }

    /// Has a run's record kept before it is sent; without witnesses it can be sent at once.
    pub(super) fn record(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let plans = self
            .holders
            .get(&request.budget)
            .map(|holder| holder.plans(&request.run))
            .unwrap_or_default();
        request.awaited = awaited(&plans);
        let (target, address) = request.target.clone().unwrap_or_default();
        let record = RunRecord {
            run: request.run.clone(),
            key: request.key.clone(),
            account: request.account.clone(),
            budget: request.budget.clone(),
            ended: None,
            origins: plans.iter().flat_map(|plan| plan.origins.clone()).collect(),
            draws: plans.into_iter().map(|plan| plan.draw).collect(),
            target,
            address,
            prompt_tokens: request.prompt_tokens,
        };
        self.records.insert(record.run.clone(), record.clone());
        let is_awaited = !request.awaited.is_empty();
        let timer = Timer::Record(number, request.run.clone());
        // A run on open tokens is recorded too, so that its bill survives this instance; but
        // nothing waits for that.
        let witnesses: BTreeSet<InstanceId> = if is_awaited {
            request.step = Step::Recording;
            request
                .awaited
                .values()
                .flat_map(|witnesses| witnesses.keys().cloned())
                .collect()
        } else {
            self.membership.witnesses().into_keys().collect()
        };
        for witness in witnesses {
            effects.push(Effect::Send {
                to: witness,
                message: PeerMessage::Record(record.clone()),
            });
        }
        if is_awaited {
            self.set_timer(self.options.record_patience, timer);
        } else {
            self.send_request(number, effects);
        }
    }

    pub(super) fn on_record(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        record: RunRecord,
        effects: &mut Effects,
    ) {
        let run = record.run.clone();
        let life = (from.clone(), incarnation);
        if let Some(end) = record.ended.clone() {
            // A run that was already being looked into is over, by its own holder's word.
            let state = RunState::Ended {
                prompt_tokens: end.prompt_tokens,
                output_tokens: end.output_tokens,
            };
            self.on_run_state(&run, &state, effects);
        }
        let is_accepted = self.keeper.keep(&life, record);
        effects.push(Effect::Send {
            to: from.clone(),
            message: PeerMessage::RecordAck(RecordAck { run, is_accepted }),
        });
    }

    pub(super) fn on_record_ack(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        ack: &RecordAck,
        effects: &mut Effects,
    ) {
        if self.gives.contains_key(&ack.run) {
            self.on_give_recorded(from, incarnation, ack, effects);
            return;
        }
        let Some(number) = self.by_run.get(&ack.run).copied() else {
            return;
        };
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if request.step != Step::Recording {
            return;
        }
        // Only the incarnation that the grant names may accept. One that came after it does not
        // know whether the grant was closed, and would accept what must be refused.
        let is_named = |witnesses: &BTreeMap<InstanceId, Incarnation>| {
            witnesses.get(from) == Some(&incarnation)
        };
        if ack.is_accepted {
            request.awaited.retain(|_, witnesses| !is_named(witnesses));
        } else {
            for witnesses in request.awaited.values_mut() {
                witnesses.remove(from);
            }
        }
        let is_refused = request.awaited.values().any(BTreeMap::is_empty);
        if request.awaited.is_empty() {
            self.send_request(number, effects);
        } else if is_refused {
            self.draw_open(number, effects);
        }
    }

    pub(super) fn on_record_late(&mut self, number: u64, run: &RunId, effects: &mut Effects) {
        let is_waiting = self
            .requests
            .get(&number)
            .is_some_and(|request| request.step == Step::Recording && &request.run == run);
        if is_waiting {
            self.draw_open(number, effects);
        }
    }

    /// Goes on with tokens that need no record, because no witness of a grant accepts any.
    ///
    /// The run gets a new name: a witness may have kept the record of the old one, and would
    /// account for it too.
    fn draw_open(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.note("no witness kept the record; open tokens are drawn".to_owned());
        let budget = request.budget.clone();
        let lost: BTreeSet<GrantId> = request.awaited.keys().cloned().collect();
        self.drop_run(number, effects);
        self.with_holder(&budget, effects, |holder, now, fx| {
            holder.witnesses_lost(now, &lost);
            holder.tick(now, fx);
        });
        self.renew_run(number);
        self.reserve(number, true, effects);
    }

    /// Gives up a request's current run, which was not sent: its tokens, target and records.
    pub(super) fn drop_run(&mut self, number: u64, effects: &mut Effects) {
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
            self.settled(&run);
        }
    }

    /// Gives a request a new run.
    pub(super) fn renew_run(&mut self, number: u64) {
        let run = self.new_run();
        if let Some(request) = self.requests.get_mut(&number) {
            request.run.clone_from(&run);
            self.by_run.insert(run, number);
        }
    }

    /// Tells witnesses what a run has used, so that its bill survives this instance and the target.
    pub(super) fn record_end(&mut self, run: &RunId, end: RunEnd, effects: &mut Effects) {
        let Some(record) = self.records.get_mut(run) else {
            return;
        };
        record.ended = Some(end);
        let record = record.clone();
        for witness in self.witnesses_of(&record) {
            effects.push(Effect::Send {
                to: witness,
                message: PeerMessage::Record(record.clone()),
            });
        }
    }

    /// Returns the witnesses that have a record: those of its grants, or the usual ones.
    fn witnesses_of(&self, record: &RunRecord) -> BTreeSet<InstanceId> {
        let of_grants: BTreeSet<InstanceId> = self
            .holders
            .get(&record.budget)
            .map(|holder| holder.witnesses_of(&record.draws))
            .unwrap_or_default();
        if of_grants.is_empty() {
            return self.membership.witnesses().into_keys().collect();
        }
        of_grants
    }

    /// Hands the records of own runs to witnesses that were not told of them.
    ///
    /// Bills wait in memory while the store is down, and the witnesses that have their records
    /// may be lost one after the other in that time.
    pub(super) fn hand_records_on(&mut self, effects: &mut Effects) {
        let witnesses = self.membership.witnesses();
        for (witness, incarnation) in &witnesses {
            if self.record_keepers.get(witness) == Some(incarnation) {
                continue;
            }
            for record in self.records.values() {
                effects.push(Effect::Send {
                    to: witness.clone(),
                    message: PeerMessage::Record(record.clone()),
                });
            }
        }
        self.record_keepers = witnesses;
    }

    fn settled(&mut self, run: &RunId) {
        self.records.remove(run);
        if let Some(number) = damaskstile_budgets::records::run_number(run) {
            self.unsettled.remove(&number);
        }
    }

    /// Lets witnesses go of records whose entries are stored.
    fn on_flushed(&mut self, runs: &[RunId], effects: &mut Effects) {
        for run in runs {
            self.settled(run);
            self.keeper.unfollow(run);
        }
        let witnesses = self.witnesses_in_use();
        for witness in witnesses {
            effects.push(Effect::Send {
                to: witness,
                message: PeerMessage::Forget(ForgetRuns {
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

    fn on_give_wanted(
        &mut self,
        budget: &BudgetId,
        transfer: GrantId,
        plan: &DrawPlan,
        effects: &mut Effects,
    ) {
        if plan.witnesses.is_empty() {
            self.with_holder(budget, effects, |holder, now, fx| {
                holder.send_give(now, &transfer, fx);
            });
            return;
        }
        // The witness must know of the gift first; else it would give the tokens back to the
        // budget when this instance is lost, while the taker spends them.
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
        let give = PendingGive {
            budget: budget.clone(),
            witnesses: plan.witnesses.clone(),
        };
        self.gives.insert(transfer.clone(), give);
        self.set_timer(self.options.record_patience, Timer::Give(transfer));
    }

    fn on_give_recorded(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        ack: &RecordAck,
        effects: &mut Effects,
    ) {
        let Some(give) = self.gives.get_mut(&ack.run) else {
            return;
        };
        if !ack.is_accepted {
            give.witnesses.remove(from);
            if give.witnesses.is_empty() {
                self.on_give_late(&ack.run, effects);
            }
            return;
        }
        if give.witnesses.get(from) != Some(&incarnation) {
            return;
        }
        if let Some(give) = self.gives.remove(&ack.run) {
            let transfer = ack.run.clone();
            self.with_holder(&give.budget, effects, |holder, now, fx| {
                holder.send_give(now, &transfer, fx);
            });
        }
    }

    pub(super) fn on_give_late(&mut self, transfer: &GrantId, effects: &mut Effects) {
        let Some(give) = self.gives.remove(transfer) else {
            return;
        };
        self.with_holder(&give.budget, effects, |holder, now, fx| {
            holder.cancel_give(transfer, fx);
            holder.tick(now, fx);
        });
        for witness in give.witnesses.into_keys() {
            effects.push(Effect::Send {
                to: witness,
                message: PeerMessage::Forget(ForgetRuns {
                    runs: vec![transfer.clone()],
                }),
            });
        }
    }

    pub(super) fn on_ask(&mut self, from: &InstanceId, ask: &AskTokens, effects: &mut Effects) {
        if self.holders.contains_key(&ask.budget) {
            self.with_holder(&ask.budget, effects, |holder, now, fx| {
                holder.on_ask(now, from, ask, fx);
            });
            return;
        }
        let none = GiveTokens {
            ask: ask.ask,
            budget: ask.budget.clone(),
            ..GiveTokens::default()
        };
        effects.push(Effect::Send {
            to: from.clone(),
            message: PeerMessage::Give(none),
        });
    }

    pub(super) fn on_give(&mut self, from: &InstanceId, give: &GiveTokens, effects: &mut Effects) {
        let budget = give.budget.clone();
        if self.holders.contains_key(&budget) {
            self.with_holder(&budget, effects, |holder, now, fx| {
                holder.on_give(now, from, give, fx);
            });
        }
    }
}

/// Returns the grants of a reservation that need a record, with their witnesses.
fn awaited(plans: &[DrawPlan]) -> BTreeMap<GrantId, BTreeMap<InstanceId, Incarnation>> {
    plans
        .iter()
        .filter(|plan| !plan.witnesses.is_empty())
        .map(|plan| (plan.draw.grant.clone(), plan.witnesses.clone()))
        .collect()
}
