//! Admission of requests: authentication, limits, repeated keys and deadlines.

use damaskstile_core::prelude::*;
use damaskstile_fleet::settings::{Effective, ServiceKind, ServiceSettings};
use damaskstile_requests::Assembly;
use damaskstile_requests::claim::key_unix_ms;

use super::request::{Caller, Request, Step};
use super::timers::Timer;
use super::{Effects, Instance};
use crate::keys;

/// Tolerance for the clock of a caller that is ahead of ours.
const CLOCK_SKEW_MAX: Duration = Duration::from_mins(5);
/// Maximum length of a request key, in bytes.
const KEY_BYTES_MAX: usize = 128;
/// Advised retry delay where the cause is likely to pass by itself.
pub(super) const RETRY_AFTER_SHORT: Duration = Duration::from_secs(1);
/// Number of unstored bills from which new requests are refused.
const PENDING_ENTRIES_MAX: usize = 10_000;

/// Settings in force that apply to a request.
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
        let account_key = (terms.account.clone(), key.clone());
        if let Some(number) = self.by_key.get(&account_key).copied() {
            self.on_repeated_call(number, request, effects);
            return;
        }
        if let Err((code, retry_after)) = self.check_admission(request, &terms, &key) {
            refuse_call(request.request, code, retry_after, effects);
            return;
        }
        self.retries.add_request();
        let number = self.open_request(request, terms, key);
        self.claim_or_reserve(number, effects);
    }

    fn terms(&self, request: &NewRequest) -> Result<Terms, (RefusalCode, Option<Duration>)> {
        if self.settings.is_empty() {
            return Err((RefusalCode::Starting, Some(RETRY_AFTER_SHORT)));
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

    fn check_admission(
        &self,
        request: &NewRequest,
        terms: &Terms,
        key: &str,
    ) -> Result<(), (RefusalCode, Option<Duration>)> {
        if self.stop_at.is_some_and(|at| self.now >= at) {
            return Err((RefusalCode::Stopping, Some(RETRY_AFTER_SHORT)));
        }
        if key.is_empty() || key.len() > KEY_BYTES_MAX {
            return Err((RefusalCode::BadKey, None));
        }
        let is_claimed = terms.service.is_non_idempotent || request.non_idempotent;
        if is_claimed && !self.is_claim_retained(key) {
            return Err((RefusalCode::BadKey, None));
        }
        let asked = request.max_output_tokens.unwrap_or(1);
        if asked == 0 {
            return Err((RefusalCode::BadRequest, None));
        }
        if self.pending_entries >= PENDING_ENTRIES_MAX {
            // Bills that cannot be stored are kept in memory, up to a limit. Beyond it requests are
            // refused, so that no bill is lost.
            return Err((RefusalCode::BillsBacklog, Some(RETRY_AFTER_SHORT * 5)));
        }
        let open = self.open_of_account.get(&terms.account).copied();
        if open.unwrap_or(0) >= terms.effective.max_in_flight_requests {
            let retry_after = self.registry.answer_time(&request.service);
            return Err((RefusalCode::Overloaded, Some(retry_after)));
        }
        Ok(())
    }

    /// Returns whether a claim of the key would still be retained, so that a repeat is detected.
    ///
    /// The time in the key may be ahead of ours by `CLOCK_SKEW_MAX`.
    fn is_claim_retained(&self, key: &str) -> bool {
        let kept = self.claim_retention();
        key_unix_ms(key).is_some_and(|time| {
            let time = Duration::from_millis(time);
            time <= self.now + CLOCK_SKEW_MAX && time + kept >= self.now
        })
    }

    pub(super) fn claim_retention(&self) -> Duration {
        Duration::from_secs(self.settings.settings().system.claims_kept_s)
    }

    fn open_request(&mut self, request: &NewRequest, terms: Terms, key: RequestKey) -> u64 {
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
        let deadline = self.now + time_limit;
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
            // Only model engines recognise a run and resume it; a plain service would execute the
            // call a second time.
            can_resume: terms.service.can_resume && terms.service.kind == ServiceKind::Model,
            prompt_tokens,
            cap_tokens,
            priority: request.priority.unwrap_or(effective.priority),
            deadline,
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
            replay_until: Duration::ZERO,
            notes: Vec::new(),
        };
        self.by_key.insert(opened.account_key(), number);
        self.by_call.insert(request.request, number);
        self.by_run.insert(run, number);
        *self.open_of_account.entry(terms.account).or_default() += 1;
        self.requests.insert(number, opened);
        self.timers.insert((deadline, Timer::Deadline(number)));
        number
    }

    /// Starts an admitted request: with its claim if it is non-idempotent, else with the
    /// reservation of its tokens.
    fn claim_or_reserve(&mut self, number: u64, effects: &mut Effects) {
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
        let table = keys::claim_table(&account, &key);
        self.with_claims(&account, table, effects, |claims, now, fx| {
            claims.claim(now, &key, &run, fx);
        });
    }

    /// Handles a call whose key is known here: it joins the open request or gets its answer again.
    fn on_repeated_call(&mut self, number: u64, call: &NewRequest, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if request.body_hash != call.body_hash || request.service != call.service {
            refuse_call(call.request, RefusalCode::KeyReused, None, effects);
            return;
        }
        request.add_note("joined by a repeated call with the same key".to_owned());
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
        self.by_call.insert(call.request, number);
    }

    /// Removes a call whose caller has disconnected. Its request continues: the caller may come
    /// back with the same key, and what the target runs is billed in any case.
    pub(super) fn on_caller_gone(&mut self, call: RequestHandle) {
        let Some(number) = self.by_call.remove(&call) else {
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
                self.orphan_run(number, effects);
                self.finish_unknown(number, RefusalCode::DeadlineExceeded, effects);
            }
            _ => self.refuse(
                number,
                RefusalCode::DeadlineExceeded,
                Some(RETRY_AFTER_SHORT),
                effects,
            ),
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
