//! Handling of run reports from targets: chunks, completion, retry and resumption.

use damaskstile_budgets::Entry;
use damaskstile_core::peer::RunEnd;
use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_requests::Assembled;
use damaskstile_requests::claim::ClaimState;

use super::request::{Request, Step};
use super::{Effects, Instance};

/// Maximum number of times that a broken stream is resumed at its target.
const RESUMES_MAX: u32 = 2;

impl Instance {
    pub(super) fn on_run(&mut self, run: &RunId, report: RunReport, effects: &mut Effects) {
        if let RunReport::State(state) = report {
            self.on_run_state(run, &state, effects);
            return;
        }
        let running = self.by_run.get(run).copied().filter(|number| {
            self.requests
                .get(number)
                .is_some_and(|request| request.step == Step::Running)
        });
        // A report applies only to the run that it names. Late reports of a run that the request
        // has given up are dropped.
        let Some(number) = running else {
            let run = run.as_str();
            Self::log(effects, EventCode::RunReportDropped, &[("run", run)]);
            return;
        };
        match report {
            RunReport::Chunk {
                index,
                tokens,
                data,
            } => self.on_chunk(number, index, tokens, &data, effects),
            RunReport::Finished {
                chunks,
                prompt_tokens,
                output_tokens,
            } => self.on_finished(number, chunks, prompt_tokens, output_tokens, effects),
            RunReport::Refused | RunReport::Unreachable => {
                let is_unreachable = report == RunReport::Unreachable;
                self.on_run_not_started(number, is_unreachable, effects);
            }
            RunReport::Rejected => {
                self.refuse(number, RefusalCode::BadRequest, None, effects);
            }
            RunReport::Broken => self.on_stream_broken(number, effects),
            RunReport::State(_) => {}
        }
    }

    fn on_chunk(
        &mut self,
        number: u64,
        index: u64,
        tokens: u64,
        data: &str,
        effects: &mut Effects,
    ) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        match request.answer.add(index, tokens, data) {
            Assembled::Repeated => {}
            Assembled::Gap => self.on_stream_broken(number, effects),
            Assembled::Next => {
                for caller in request.callers.iter().filter(|caller| caller.is_streamed) {
                    effects.push(Effect::Relay {
                        request: caller.request,
                        data: data.to_owned(),
                    });
                }
                if request.answer.tokens() > request.cap_tokens && request.cap_tokens > 0 {
                    self.on_cap_exceeded(number, effects);
                }
            }
        }
    }

    /// Cancels a run whose target exceeds the output cap that it was given.
    fn on_cap_exceeded(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let (run, cap_tokens) = (request.run.clone(), request.cap_tokens);
        if let Some((target, _)) = request.target.clone() {
            Self::log(
                effects,
                EventCode::RunCapped,
                &[("run", &run), ("target", &target)],
            );
            effects.push(Effect::Cancel { run, target });
        }
        let prompt_tokens = request.prompt_tokens;
        self.settle(number, prompt_tokens, cap_tokens, None, effects);
        self.finish_unknown(number, RefusalCode::TargetLost, effects);
    }

    fn on_finished(
        &mut self,
        number: u64,
        chunks: u64,
        prompt_tokens: u64,
        output_tokens: u64,
        effects: &mut Effects,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        // The end of a stream does not prove that the answer is complete, so the chunks are
        // counted.
        if !request.answer.is_complete(chunks) {
            self.on_stream_broken(number, effects);
            return;
        }
        let prompt_tokens = prompt_tokens.min(request.prompt_tokens);
        let output_tokens = output_tokens.min(request.cap_tokens);
        let (target, _) = request.target.clone().unwrap_or_default();
        let receipt = Receipt {
            key: request.key.clone(),
            target: target.clone(),
            prompt_tokens,
            output_tokens,
        };
        let took = self.now.saturating_sub(request.sent_at);
        // Callers without streaming get the answer once it is complete.
        for caller in request.callers.iter().filter(|caller| !caller.is_streamed) {
            for data in request.answer.chunks() {
                effects.push(Effect::Relay {
                    request: caller.request,
                    data: data.clone(),
                });
            }
        }
        self.settle(number, prompt_tokens, output_tokens, Some(took), effects);
        let state = ClaimState::Answered {
            target,
            prompt_tokens,
            output_tokens,
        };
        self.finish_claim(number, state, effects);
        self.finish(number, &Outcome::Answered(receipt), effects);
    }

    /// Settles the reservation of a request's run with its bill.
    fn settle(
        &mut self,
        number: u64,
        prompt_tokens: u64,
        output_tokens: u64,
        took: Option<Duration>,
        effects: &mut Effects,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let entry = self.entry(request, prompt_tokens, output_tokens);
        let budget = request.budget.clone();
        let end = RunEnd {
            prompt_tokens,
            output_tokens,
        };
        if let Some((target, _)) = &request.target {
            self.registry.ended(&target.clone(), took);
        }
        self.by_run.remove(&entry.run);
        self.record_end(&entry.run, end, effects);
        self.with_holder(&budget, effects, |holder, now, fx| {
            holder.settle(now, entry);
            holder.tick(now, fx);
        });
    }

    pub(super) fn entry(&self, request: &Request, prompt_tokens: u64, output_tokens: u64) -> Entry {
        let target = request.target.as_ref();
        Entry {
            run: request.run.clone(),
            key: request.key.clone(),
            account: request.account.clone(),
            target: target.map(|(target, _)| target.clone()).unwrap_or_default(),
            prompt_tokens,
            output_tokens,
            is_billed: true,
            biller: self.options.identity.instance.clone(),
            at_unix_ms: unix_ms(self.now),
        }
    }

    /// Handles a target that refused a run or could not be reached: retries at another target while
    /// the retry budget allows it.
    fn on_run_not_started(&mut self, number: u64, is_unreachable: bool, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some((target, _)) = request.target.clone() else {
            return;
        };
        let service = request.service.clone();
        request.add_note(format!("{target} refused it or was unreachable"));
        let is_resumed = request.resumes > 0;
        self.registry.failed(self.now, &target);
        if is_resumed {
            // Only the resumption was refused. The run itself had begun.
            self.on_stream_broken(number, effects);
            return;
        }
        if self.retries.try_retry(self.now) {
            Self::log(
                effects,
                EventCode::RunRetried,
                &[("target", &target), ("service", &service)],
            );
            self.try_other_target(number, &target, effects);
            return;
        }
        let code = if is_unreachable {
            RefusalCode::RetriesExhausted
        } else {
            RefusalCode::Overloaded
        };
        let retry_after = Some(self.retry_after(RefusalCode::Overloaded, &service));
        self.refuse(number, code, retry_after, effects);
    }

    /// Handles a stream that broke off or has a gap: resumes it at its target, else runs the
    /// request again where that is allowed.
    fn on_stream_broken(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some((target, _)) = request.target.clone() else {
            return;
        };
        request.add_note(format!("the stream from {target} broke off"));
        let may_resume = request.can_resume && request.resumes < RESUMES_MAX;
        let may_rerun = !request.is_non_idempotent && !request.is_partly_relayed();
        if may_resume && self.retries.try_retry(self.now) {
            self.resume(number, effects);
            return;
        }
        self.registry.failed(self.now, &target);
        self.orphan_run(number, effects);
        if may_rerun && self.retries.try_retry(self.now) {
            self.rerun(number, &target, effects);
            return;
        }
        self.finish_unknown(number, RefusalCode::TargetLost, effects);
    }

    fn resume(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.resumes += 1;
        request.add_note("resumed".to_owned());
        let Some(dispatch) = request.dispatch(request.deadline) else {
            return;
        };
        Self::log(
            effects,
            EventCode::RunRetried,
            &[("target", &dispatch.target), ("run", &dispatch.run)],
        );
        effects.push(Effect::Dispatch(dispatch));
    }

    fn rerun(&mut self, number: u64, target: &TargetId, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.tried.insert(target.clone());
        request.target = None;
        request.resumes = 0;
        request.answer = damaskstile_requests::Assembly::new();
        let service = request.service.clone();
        Self::log(
            effects,
            EventCode::RunRetried,
            &[("target", target), ("service", &service)],
        );
        self.renew_run(number);
        self.reserve(number, false, effects);
    }
}
