//! Outcomes of requests, and retention of answers for repeated calls.

use damaskstile_core::prelude::*;
use damaskstile_requests::claim::ClaimState;

use super::admit::RETRY_AFTER_SHORT;
use super::request::{Request, Step};
use super::{Effects, Instance};

/// Advised retry delay where only an operator can remove the cause.
const RETRY_AFTER_LONG: Duration = Duration::from_secs(30);

impl Instance {
    /// Ends a request whose current run was not sent or provably did not begin.
    pub(super) fn refuse(
        &mut self,
        number: u64,
        code: RefusalCode,
        retry_after: Option<Duration>,
        effects: &mut Effects,
    ) {
        self.abandon_run(number, effects);
        let has_begun = self
            .requests
            .get(&number)
            .is_some_and(|request| request.has_begun);
        if has_begun {
            // This run did not begin, but an earlier one broke off, so something may have run.
            self.finish_unknown(number, code, effects);
            return;
        }
        self.release_claim(number, effects);
        self.finish(number, &Outcome::not_run(code, retry_after), effects);
    }

    /// Ends a request that may have run, with an unknown outcome.
    pub(super) fn finish_unknown(&mut self, number: u64, code: RefusalCode, effects: &mut Effects) {
        self.finish_claim(number, ClaimState::Unknown, effects);
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let outcome = Outcome::Unknown {
            code,
            key: request.key.clone(),
            retry_after: Some(RETRY_AFTER_SHORT),
        };
        self.finish(number, &outcome, effects);
    }

    /// Sets the outcome of a request and answers all its callers.
    pub(super) fn finish(&mut self, number: u64, outcome: &Outcome, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if request.is_done() {
            return;
        }
        request.step = Step::Done;
        request.outcome = Some(outcome.clone());
        request.replay_until = self.now + self.options.replay_retention;
        let account = request.account.clone();
        let callers = std::mem::take(&mut request.callers);
        effects.push(Effect::BodyDone {
            request: request.first_call,
        });
        log_outcome(request, outcome, effects);
        for caller in callers {
            self.by_call.remove(&caller.request);
            effects.push(Effect::Answer {
                request: caller.request,
                outcome: outcome.clone(),
            });
        }
        if let Some(open) = self.open_of_account.get_mut(&account) {
            *open = open.saturating_sub(1);
        }
        self.retain_for_replay(number, outcome);
        self.schedule_queue_check();
    }

    fn retain_for_replay(&mut self, number: u64, outcome: &Outcome) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let is_kept = match outcome {
            // A refused request may be sent again with the same key, and an idempotent one with an
            // unknown outcome may run again.
            Outcome::NotRun { .. } => false,
            Outcome::Unknown { .. } => request.is_non_idempotent,
            Outcome::Answered(_) => {
                self.replay_bytes + request.answer.bytes() <= self.options.replay_bytes_max
            }
        };
        if is_kept {
            self.replay_bytes += request.answer.bytes();
            self.schedule_clean_up();
        } else {
            self.forget_request(number);
        }
    }

    pub(super) fn forget_request(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            self.by_key.remove(&request.account_key());
        }
    }

    pub(super) fn clean_up(&mut self) {
        let now = self.now;
        let expired: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.is_done() && request.replay_until <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            if let Some(request) = self.requests.get(&number) {
                self.replay_bytes = self.replay_bytes.saturating_sub(request.answer.bytes());
            }
            self.forget_request(number);
        }
        self.open_of_account.retain(|_, open| *open > 0);
        self.claims.retain(|_, claims| !claims.is_settled());
        let idle_for = self.options.replay_retention;
        self.holders
            .retain(|_, holder| !holder.is_idle(now, idle_for));
        let has_retained = self.requests.values().any(Request::is_done);
        if has_retained || !self.holders.is_empty() {
            self.schedule_clean_up();
        }
    }

    /// Returns the advised retry delay for a refusal.
    pub(super) fn retry_after(&self, code: RefusalCode, service: &str) -> Duration {
        match code {
            RefusalCode::BudgetExhausted => RETRY_AFTER_LONG,
            RefusalCode::Overloaded => {
                let waiting = u32::try_from(self.queue.len(service)).unwrap_or(u32::MAX);
                let time = self.registry.answer_time(service);
                let wait = time.saturating_mul(waiting.clamp(1, 32)) / 4;
                wait.max(RETRY_AFTER_SHORT)
            }
            _ => RETRY_AFTER_SHORT,
        }
    }
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
