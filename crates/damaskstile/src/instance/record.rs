//! Run records: those of this instance at its witnesses, and those that it keeps for peers.

use damaskstile_budgets::DrawPlan;
use damaskstile_core::peer::{RecordAck, RunEnd, RunRecord};
use damaskstile_core::prelude::*;

use super::request::Step;
use super::timers::Timer;
use super::{Effects, Instance};

impl Instance {
    /// Announces a grant to its witnesses, so that they can seal it when this instance is lost.
    pub(super) fn announce_grant(
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

    /// Sends the record of a run to witnesses. The run is dispatched once a witness of each of its
    /// grants has accepted, or at once if its grants have no witnesses.
    pub(super) fn record_run(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let plans = self
            .holders
            .get(&request.budget)
            .map(|holder| holder.plans(&request.run))
            .unwrap_or_default();
        request.awaited = awaited_witnesses(&plans);
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
        let timer = Timer::RecordTimeout(number, request.run.clone());
        // A run on open tokens is recorded too, so that its bill survives the loss of this
        // instance, but it does not wait for the record.
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
            self.set_timer(self.options.record_timeout, timer);
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
        let peer = (from.clone(), incarnation);
        if let Some(end) = record.ended.clone() {
            // The run's own holder reports its end. That settles the run if it counts as orphaned
            // here.
            let state = RunState::Ended {
                prompt_tokens: end.prompt_tokens,
                output_tokens: end.output_tokens,
            };
            self.on_run_state(&run, &state, effects);
        }
        let is_accepted = self.keeper.keep(&peer, record);
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
        if self.pending_transfers.contains_key(&ack.run) {
            self.on_transfer_recorded(from, incarnation, ack, effects);
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
        // Only the incarnation of the witness that the grant names may accept. A later one does not
        // know whether the grant was sealed, and would accept a record that must be refused.
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
            self.retry_with_open_tokens(number, effects);
        }
    }

    pub(super) fn on_record_timeout(&mut self, number: u64, run: &RunId, effects: &mut Effects) {
        let is_waiting = self
            .requests
            .get(&number)
            .is_some_and(|request| request.step == Step::Recording && &request.run == run);
        if is_waiting {
            self.retry_with_open_tokens(number, effects);
        }
    }

    /// Starts a new run on open tokens, which need no record, because no witness of one of its
    /// grants has accepted the record.
    ///
    /// The run gets a new id: a witness may have kept the record of the old one and would account
    /// for it as well.
    pub(super) fn retry_with_open_tokens(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.add_note("no witness accepted the record; drawing on open tokens".to_owned());
        let budget = request.budget.clone();
        let lost: BTreeSet<GrantId> = request.awaited.keys().cloned().collect();
        self.abandon_run(number, effects);
        self.with_holder(&budget, effects, |holder, now, fx| {
            holder.witnesses_lost(now, &lost);
            holder.tick(now, fx);
        });
        self.renew_run(number);
        self.reserve(number, true, effects);
    }

    /// Reports the usage of a finished run to its witnesses, so that its bill survives the loss of
    /// this instance and of the target.
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

    /// Returns the witnesses of a record: those of its grants, or the current ones of this instance
    /// if its grants have none.
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

    /// Sends the records of this instance's runs to witnesses that do not have them yet.
    ///
    /// Bills wait in memory while the store is down, and the witnesses that have their records may
    /// be lost one after the other in that time.
    pub(super) fn send_records_to_new_witnesses(&mut self, effects: &mut Effects) {
        let witnesses = self.membership.witnesses();
        for (witness, incarnation) in &witnesses {
            if self.record_witnesses.get(witness) == Some(incarnation) {
                continue;
            }
            for record in self.records.values() {
                effects.push(Effect::Send {
                    to: witness.clone(),
                    message: PeerMessage::Record(record.clone()),
                });
            }
        }
        self.record_witnesses = witnesses;
    }
}

/// Returns the grants of a reservation that need a record, each with its witnesses.
fn awaited_witnesses(plans: &[DrawPlan]) -> BTreeMap<GrantId, BTreeMap<InstanceId, Incarnation>> {
    plans
        .iter()
        .filter(|plan| !plan.witnesses.is_empty())
        .map(|plan| (plan.draw.grant.clone(), plan.witnesses.clone()))
        .collect()
}
