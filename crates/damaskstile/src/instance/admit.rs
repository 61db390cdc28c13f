//! `admit` takes requests in: who calls, what is asked, and whether it may go on.

use damaskstile_core::prelude::*;
use damaskstile_fleet::settings::{Effective, ServiceKind, ServiceSettings};
use damaskstile_requests::claim::{ClaimState, key_unix_ms};
use damaskstile_requests::claims::ClaimEffect;
use damaskstile_requests::{Assembly, Claim, ClaimShard};

use super::request::{Caller, Request, Step};
use super::timers::Timer;
use super::{Call, Effects, Instance};
use crate::keys;

/// Time by which a caller's clock may be ahead of ours.
const CLOCK_MARGIN: Duration = Duration::from_mins(5);
/// Longest key that is taken.
const KEY_BYTES_MAX: usize = 128;
/// Wait that is advised where only an operator can help.
const RETRY_LONG: Duration = Duration::from_secs(30);
/// Wait that is advised where the cause is likely to pass.
const RETRY_SHORT: Duration = Duration::from_secs(1);
/// Entries that may wait for the store before new work is refused.
const PENDING_ENTRIES_MAX: usize = 10_000;

/// `Terms` are what the settings in force say of a request.
struct Terms {
    account: AccountId,
    budget: BudgetId,
    service: ServiceSettings,
    effective: Effective,
}

impl Instance {
    pub(super) fn on_request(&mut self, request: &NewRequest, effects: &mut Effects) {
        let terms = match self.terms(request) {
            Ok(terms) => terms,
            Err((code, retry_after)) => {
                refuse_call(request.request, code, retry_after, effects);
                return;
            }
        };
        let key = match &request.key {
            Some(key) => key.clone(),
            None => self.new_key(),
        };
        effects.push(Effect::Accepted {
            request: request.request,
            key: key.clone(),
            account: terms.account.clone(),
        });
        let name = (terms.account.clone(), key.clone());
        if let Some(number) = self.by_name.get(&name).copied() {
            self.on_repeat(number, request, effects);
            return;
        }
        if let Err((code, retry_after)) = self.may_admit(request, &terms, &key) {
            refuse_call(request.request, code, retry_after, effects);
            return;
        }
        self.retries.add_request();
        let number = self.open(request, terms, key);
        self.go(number, effects);
    }

    fn terms(&self, request: &NewRequest) -> Result<Terms, (RefusalCode, Option<Duration>)> {
        if self.settings.is_empty() {
            return Err((RefusalCode::Starting, Some(RETRY_SHORT)));
        }
        let settings = self.settings.settings();
        let (account, of_account) = settings
            .account_of_token(&request.token_sha256)
            .ok_or((RefusalCode::UnknownAccount, None))?;
        let service = settings
            .service
            .get(&request.service)
            .ok_or((RefusalCode::UnknownService, None))?;
        Ok(Terms {
            account: account.clone(),
            budget: of_account.budget.clone(),
            service: service.clone(),
            effective: settings.effective(account, &request.service),
        })
    }

    fn new_key(&mut self) -> RequestKey {
        let high = self.random.next_u64();
        let low = self.random.next_u64();
        keys::new_request_key(self.now, high, low)
    }

    fn may_admit(
        &self,
        request: &NewRequest,
        terms: &Terms,
        key: &str,
    ) -> Result<(), (RefusalCode, Option<Duration>)> {
        if self.stop_at.is_some_and(|at| self.now >= at) {
            return Err((RefusalCode::Stopping, Some(RETRY_SHORT)));
        }
        if key.is_empty() || key.len() > KEY_BYTES_MAX {
            return Err((RefusalCode::BadKey, None));
        }
        let is_claimed = terms.service.is_non_idempotent || request.non_idempotent;
        if is_claimed && !self.is_key_in_time(key) {
            return Err((RefusalCode::BadKey, None));
        }
        let asked = request.max_output_tokens.unwrap_or(1);
        if asked == 0 {
            return Err((RefusalCode::BadRequest, None));
        }
        if self.pending_entries >= PENDING_ENTRIES_MAX {
            // Bills that cannot be stored are kept in memory, up to a bound. Past it a request
            // is refused rather than a bill lost.
            return Err((RefusalCode::BillsBacklog, Some(RETRY_SHORT * 5)));
        }
        let open = self.open_of_account.get(&terms.account).copied();
        if open.unwrap_or(0) >= terms.effective.max_in_flight_requests {
            let retry_after = self.registry.answer_time(&request.service);
            return Err((RefusalCode::Overloaded, Some(retry_after)));
        }
        Ok(())
    }

    /// Tells whether claims of the key are still kept, so that a repeat would be noticed.
    fn is_key_in_time(&self, key: &str) -> bool {
        let kept = self.claims_kept();
        key_unix_ms(key).is_some_and(|time| {
            let time = Duration::from_millis(time);
            time <= self.now + CLOCK_MARGIN && time + kept >= self.now
        })
    }

    fn claims_kept(&self) -> Duration {
        Duration::from_secs(self.settings.settings().system.claims_kept_s)
    }

    fn open(&mut self, request: &NewRequest, terms: Terms, key: RequestKey) -> u64 {
        let number = self.next_number();
        let run = self.new_run();
        let effective = &terms.effective;
        let (prompt_tokens, cap_tokens) = match terms.service.kind {
            ServiceKind::Plain => (terms.service.price_tokens, 0),
            ServiceKind::Model => (
                request.prompt_bytes.div_ceil(effective.prompt_token_bytes),
                request
                    .max_output_tokens
                    .unwrap_or(effective.max_output_tokens)
                    .min(effective.max_output_tokens),
            ),
        };
        let time_limit = request
            .time_limit
            .unwrap_or(effective.time_limit)
            .min(effective.time_limit);
        let until = self.now + time_limit;
        let opened = Request {
            account: terms.account.clone(),
            budget: terms.budget,
            key,
            service: request.service.clone(),
            callers: vec![Caller {
                request: request.request,
                is_streamed: request.is_streamed,
            }],
            first_call: request.request,
            body_hash: request.body_hash,
            is_non_idempotent: terms.service.is_non_idempotent || request.non_idempotent,
            can_resume: terms.service.can_resume,
            prompt_tokens,
            cap_tokens,
            priority: request.priority.unwrap_or(effective.priority),
            until,
            step: Step::Reserving,
            run: run.clone(),
            claim_run: None,
            tried: BTreeSet::new(),
            target: None,
            sent_at: Duration::ZERO,
            awaited: BTreeMap::new(),
            has_begun: false,
            answer: Assembly::new(),
            resumes: 0,
            runs: 0,
            outcome: None,
            kept_until: Duration::ZERO,
            why: Vec::new(),
        };
        self.by_name.insert(opened.name(), number);
        self.by_caller.insert(request.request, number);
        self.by_run.insert(run, number);
        *self.open_of_account.entry(terms.account).or_default() += 1;
        self.requests.insert(number, opened);
        self.timers.insert((until, Timer::Deadline(number)));
        number
    }

    /// Sends an admitted request on its way: to its claim, or straight to its reservation.
    fn go(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if !request.is_non_idempotent {
            self.reserve(number, false, effects);
            return;
        }
        request.step = Step::Claiming;
        request.claim_run = Some(request.run.clone());
        let (account, key, run) = (
            request.account.clone(),
            request.key.clone(),
            request.run.clone(),
        );
        let shard = keys::claim_table(&account, &key);
        self.with_claims(&account, shard, effects, |claims, now, fx| {
            claims.claim(now, &key, &run, fx);
        });
    }

    /// Answers a call whose key is known here: it joins the open request or gets its answer again.
    fn on_repeat(&mut self, number: u64, call: &NewRequest, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if request.body_hash != call.body_hash || request.service != call.service {
            refuse_call(call.request, RefusalCode::KeyReused, None, effects);
            return;
        }
        request.note("a repeat of the key joined".to_owned());
        effects.push(Effect::BodyDone {
            request: call.request,
        });
        let is_answered = request.outcome.as_ref().is_some_and(Outcome::is_answered);
        if call.is_streamed || is_answered {
            for data in request.answer.chunks() {
                effects.push(Effect::Relay {
                    request: call.request,
                    data: data.clone(),
                });
            }
        }
        if let Some(outcome) = &request.outcome {
            effects.push(Effect::Answer {
                request: call.request,
                outcome: outcome.clone(),
            });
            return;
        }
        request.callers.push(Caller {
            request: call.request,
            is_streamed: call.is_streamed,
        });
        self.by_caller.insert(call.request, number);
    }

    /// Forgets a call whose caller has gone. Its request runs on: the caller may come back with
    /// the same key, and what the target runs is billed in any case.
    pub(super) fn on_caller_gone(&mut self, call: RequestHandle) {
        let Some(number) = self.by_caller.remove(&call) else {
            return;
        };
        if let Some(request) = self.requests.get_mut(&number) {
            request.callers.retain(|caller| caller.request != call);
        }
    }

    pub(super) fn on_deadline(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        match request.step {
            Step::Done => {}
            Step::Running => {
                let run = request.run.clone();
                if let Some((target, _)) = request.target.clone() {
                    effects.push(Effect::Cancel { run, target });
                }
                self.lose_run(number, effects);
                self.end_unknown(number, RefusalCode::DeadlineExceeded, effects);
            }
            _ => self.refuse(
                number,
                RefusalCode::DeadlineExceeded,
                Some(RETRY_SHORT),
                effects,
            ),
        }
    }

    /// Ends a request that was not sent, or whose sending is proved not to have begun a run.
    pub(super) fn refuse(
        &mut self,
        number: u64,
        code: RefusalCode,
        retry_after: Option<Duration>,
        effects: &mut Effects,
    ) {
        self.drop_run(number, effects);
        let has_begun = self
            .requests
            .get(&number)
            .is_some_and(|request| request.has_begun);
        if has_begun {
            // An earlier run was cut and this one cannot be sent. Something has run.
            self.end_unknown(number, code, effects);
            return;
        }
        self.release_claim(number, effects);
        self.finish(number, &Outcome::not_run(code, retry_after), effects);
    }

    fn release_claim(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(run) = request.claim_run.take() else {
            return;
        };
        let (account, key) = request.name();
        let shard = keys::claim_table(&account, &key);
        self.with_claims(&account, shard, effects, |claims, now, fx| {
            claims.release(now, &key, &run, fx);
        });
    }

    pub(super) fn finish_claim(&mut self, number: u64, state: ClaimState, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(run) = request.claim_run.take() else {
            return;
        };
        let (account, key) = request.name();
        let shard = keys::claim_table(&account, &key);
        self.with_claims(&account, shard, effects, |claims, now, fx| {
            claims.finish(now, &key, &run, state, fx);
        });
    }

    /// Ends a request that may have run.
    pub(super) fn end_unknown(&mut self, number: u64, code: RefusalCode, effects: &mut Effects) {
        self.finish_claim(number, ClaimState::Unknown, effects);
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let outcome = Outcome::Unknown {
            code,
            key: request.key.clone(),
            retry_after: Some(RETRY_SHORT),
        };
        self.finish(number, &outcome, effects);
    }

    /// Gives the final word to all callers of a request.
    pub(super) fn finish(&mut self, number: u64, outcome: &Outcome, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if request.is_done() {
            return;
        }
        request.step = Step::Done;
        request.outcome = Some(outcome.clone());
        request.kept_until = self.now + self.options.replay_kept;
        let account = request.account.clone();
        let callers = std::mem::take(&mut request.callers);
        effects.push(Effect::BodyDone {
            request: request.first_call,
        });
        log_outcome(request, outcome, effects);
        for caller in callers {
            self.by_caller.remove(&caller.request);
            effects.push(Effect::Answer {
                request: caller.request,
                outcome: outcome.clone(),
            });
        }
        if let Some(open) = self.open_of_account.get_mut(&account) {
            *open = open.saturating_sub(1);
        }
        self.keep_for_repeat(number, outcome);
        self.queue_soon();
    }

    fn keep_for_repeat(&mut self, number: u64, outcome: &Outcome) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let is_kept = match outcome {
            // A refused request may be sent again under its key, and a cut one may be rerun.
            Outcome::NotRun { .. } => false,
            Outcome::Unknown { .. } => request.is_non_idempotent,
            Outcome::Answered(_) => {
                self.replay_bytes + request.answer.bytes() <= self.options.replay_bytes_max
            }
        };
        if is_kept {
            self.replay_bytes += request.answer.bytes();
            self.clean_up_later();
        } else {
            self.forget_request(number);
        }
    }

    fn forget_request(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            self.by_name.remove(&request.name());
        }
    }

    pub(super) fn clean_up(&mut self) {
        let now = self.now;
        let old: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.is_done() && request.kept_until <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in old {
            if let Some(request) = self.requests.get(&number) {
                self.replay_bytes = self.replay_bytes.saturating_sub(request.answer.bytes());
            }
            self.forget_request(number);
        }
        self.open_of_account.retain(|_, open| *open > 0);
        self.claims.retain(|_, claims| !claims.is_settled());
        let idle_for = self.options.replay_kept;
        self.holders
            .retain(|_, holder| !holder.is_idle(now, idle_for));
        let has_kept = self.requests.values().any(Request::is_done);
        if has_kept || !self.holders.is_empty() {
            self.clean_up_later();
        }
    }

    pub(super) fn with_claims(
        &mut self,
        account: &AccountId,
        shard: u64,
        effects: &mut Effects,
        act: impl FnOnce(&mut ClaimShard, Duration, &mut Vec<ClaimEffect>),
    ) {
        let kept = self.claims_kept();
        let instance = &self.options.identity.instance;
        let claims = self
            .claims
            .entry((account.clone(), shard))
            .or_insert_with(|| ClaimShard::new(instance, kept));
        let mut fx = Vec::new();
        act(claims, self.now, &mut fx);
        let wake = claims.next_wake();
        self.set_timer_at(wake, Timer::Claims(account.clone(), shard));
        for effect in fx {
            self.on_claim_effect(account, shard, effect, effects);
        }
    }

    fn on_claim_effect(
        &mut self,
        account: &AccountId,
        shard: u64,
        effect: ClaimEffect,
        effects: &mut Effects,
    ) {
        let key = keys::claims_key(account, shard);
        match effect {
            ClaimEffect::Read => self.call_store(
                Call::Claims(account.clone(), shard),
                StoreCall::Read { key },
                effects,
            ),
            ClaimEffect::Write {
                expected_version,
                value,
            } => self.call_store(
                Call::Claims(account.clone(), shard),
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
                    self.refuse(number, code, Some(RETRY_SHORT), effects);
                }
            }
            ClaimEffect::Log(event) => effects.push(Effect::Log(event)),
        }
    }

    fn on_claim_won(&mut self, run: &RunId, effects: &mut Effects) {
        // A request that was refused while its claim was on its way has queued the release.
        if let Some(number) = self.by_run.get(run).copied() {
            // The run is numbered anew: the ledger takes all runs below the lowest one that is
            // reserved or waits for tokens as accounted for, and this one had not waited yet.
            self.drop_run(number, effects);
            self.renew_run(number);
            self.reserve(number, false, effects);
        }
    }

    fn on_claim_repeated(&mut self, run: &RunId, claim: &Claim, effects: &mut Effects) {
        let Some(number) = self.by_run.get(run).copied() else {
            return;
        };
        self.clear_claim(number);
        self.drop_run(number, effects);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.note(format!("claimed by {} before", claim.instance));
        let key = request.key.clone();
        Self::log(
            effects,
            EventCode::ClaimRepeated,
            &[("key", &key), ("instance", &claim.instance)],
        );
        let (code, retry_after) = match claim.state {
            ClaimState::Answered { .. } => (RefusalCode::AlreadyRan, None),
            ClaimState::Claimed => (RefusalCode::InProgress, Some(RETRY_SHORT)),
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

    /// Returns the wait that is advised for a refusal.
    pub(super) fn retry_after(&self, code: RefusalCode, service: &str) -> Duration {
        match code {
            RefusalCode::BudgetExhausted => RETRY_LONG,
            RefusalCode::Overloaded => {
                let waiting = u32::try_from(self.queue.len(service)).unwrap_or(u32::MAX);
                let time = self.registry.answer_time(service);
                let wait = time.saturating_mul(waiting.clamp(1, 32)) / 4;
                wait.max(RETRY_SHORT)
            }
            _ => RETRY_SHORT,
        }
    }
}

fn refuse_call(
    request: RequestHandle,
    code: RefusalCode,
    retry_after: Option<Duration>,
    effects: &mut Effects,
) {
    effects.push(Effect::Log(LogEvent::new(
        EventCode::RequestRefused,
        &[("code", code.as_str())],
    )));
    effects.push(Effect::BodyDone { request });
    effects.push(Effect::Answer {
        request,
        outcome: Outcome::not_run(code, retry_after),
    });
}

fn log_outcome(request: &Request, outcome: &Outcome, effects: &mut Effects) {
    let (event, code) = match outcome {
        Outcome::Answered(_) => (EventCode::RequestAnswered, "answered"),
        Outcome::NotRun { code, .. } => (EventCode::RequestRefused, code.as_str()),
        Outcome::Unknown { code, .. } => (EventCode::RequestUnknown, code.as_str()),
    };
    let target = request.target.as_ref().map_or("", |(target, _)| target);
    effects.push(Effect::Log(LogEvent::new(
        event,
        &[
            ("account", &request.account),
            ("service", &request.service),
            ("key", &request.key),
            ("run", &request.run),
            ("target", target),
            ("code", code),
        ],
    )));
}
