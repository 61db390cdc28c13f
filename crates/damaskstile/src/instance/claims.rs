//! Claims, which let only one run of a non-idempotent request be sent.

use damaskstile_core::prelude::*;
use damaskstile_requests::claim::ClaimState;
use damaskstile_requests::claims::ClaimEffect;
use damaskstile_requests::{Claim, ClaimShard};

use super::admit::RETRY_AFTER_SHORT;
use super::timers::Timer;
use super::{Effects, Instance, StorePurpose};
use crate::keys;

impl Instance {
    pub(super) fn release_claim(&mut self, number: u64, effects: &mut Effects) {
        self.end_claim(number, None, effects);
    }

    pub(super) fn finish_claim(&mut self, number: u64, state: ClaimState, effects: &mut Effects) {
        self.end_claim(number, Some(state), effects);
    }

    /// Stores the final state of a request's claim, or releases the claim if `state` is `None`.
    fn end_claim(&mut self, number: u64, state: Option<ClaimState>, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(run) = request.claim_run.take() else {
            return;
        };
        let (account, key) = request.account_key();
        let table = keys::claim_table(&account, &key);
        self.with_claims(&account, table, effects, |claims, now, fx| match state {
            Some(state) => claims.finish(now, &key, &run, state, fx),
            None => claims.release(now, &key, &run, fx),
        });
    }

    pub(super) fn with_claims(
        &mut self,
        account: &AccountId,
        table: u64,
        effects: &mut Effects,
        act: impl FnOnce(&mut ClaimShard, Duration, &mut Vec<ClaimEffect>),
    ) {
        let kept = self.claim_retention();
        let instance = &self.options.identity.instance;
        let claims = self
            .claims
            .entry((account.clone(), table))
            .or_insert_with(|| ClaimShard::new(instance, kept));
        let mut fx = Vec::new();
        act(claims, self.now, &mut fx);
        let wake = claims.next_wake();
        self.set_timer_at(wake, Timer::Claims(account.clone(), table));
        for effect in fx {
            self.on_claim_effect(account, table, effect, effects);
        }
    }

    fn on_claim_effect(
        &mut self,
        account: &AccountId,
        table: u64,
        effect: ClaimEffect,
        effects: &mut Effects,
    ) {
        let key = keys::claims_key(account, table);
        match effect {
            ClaimEffect::Read => self.call_store(
                StorePurpose::Claims(account.clone(), table),
                StoreCall::Read { key },
                effects,
            ),
            ClaimEffect::Write {
                expected_version,
                value,
            } => self.call_store(
                StorePurpose::Claims(account.clone(), table),
                StoreCall::Write {
                    key,
                    expected_version,
                    value,
                },
                effects,
            ),
            ClaimEffect::Won { run } => self.on_claim_won(&run, effects),
            ClaimEffect::Repeated { run, claim } => self.on_claim_repeated(&run, &claim, effects),
            ClaimEffect::Failed { run } => {
                if let Some(number) = self.by_run.get(&run).copied() {
                    self.clear_claim(number);
                    let code = RefusalCode::ClaimUnavailable;
                    self.refuse(number, code, Some(RETRY_AFTER_SHORT), effects);
                }
            }
            ClaimEffect::Log(event) => effects.push(Effect::Log(event)),
        }
    }

    fn on_claim_won(&mut self, run: &RunId, effects: &mut Effects) {
        // If the request was refused while its claim was being stored, its run is gone from
        // `by_run`, and the release of the claim is queued already.
        if let Some(number) = self.by_run.get(run).copied() {
            // The run gets a new number: the ledger treats every run below the lowest one that is
            // reserved or waits for tokens as accounted for, and this run did neither while its
            // claim was being stored.
            self.abandon_run(number, effects);
            self.renew_run(number);
            self.reserve(number, false, effects);
        }
    }

    fn on_claim_repeated(&mut self, run: &RunId, claim: &Claim, effects: &mut Effects) {
        let Some(number) = self.by_run.get(run).copied() else {
            return;
        };
        self.clear_claim(number);
        self.abandon_run(number, effects);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.add_note(format!("already claimed by {}", claim.instance));
        let key = request.key.clone();
        Self::log(
            effects,
            EventCode::ClaimRepeated,
            &[("key", &key), ("instance", &claim.instance)],
        );
        let (code, retry_after) = match claim.state {
            ClaimState::Answered { .. } => (RefusalCode::AlreadyRan, None),
            ClaimState::Claimed => (RefusalCode::InProgress, Some(RETRY_AFTER_SHORT)),
            ClaimState::Unknown => (RefusalCode::TargetLost, None),
        };
        let outcome = Outcome::Unknown {
            code,
            key,
            retry_after,
        };
        self.finish(number, &outcome, effects);
        self.forget_request(number);
    }

    fn clear_claim(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.claim_run = None;
        }
    }
}
