//! Copy of a run at a second target, from which the run continues if its target crashes.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_requests::SendFailureKind;
use damaskstile_routes::RouteKind;
use damaskstile_targets::Choice;

use crate::broken_run::BrokenRun;
use crate::caller_connection::CallerConnection;
use crate::copy_outcome::CopyOutcome;
use crate::copy_reason::CopyReason;
use crate::gateway::Gateway;
use crate::outbound_call::OutboundCall;
use crate::record::logged_id;
use crate::run::{self, Run};
use crate::send_options::SendOptions;
use crate::state::Terms;
use crate::wait_limit::WaitLimit;

/// Copy of a run at a second target. Counted there until it is dropped with the run.
#[derive(Debug)]
pub struct RunCopy {
    gateway: Arc<Gateway>,
    /// The second target.
    pub choice: Choice,
    /// Why the run has a copy.
    pub reason: CopyReason,
    /// Tokens of the run so far, whose memory is copied; 0 until the run is known to have begun.
    tokens: u64,
    prompt_tokens: u64,
    tokens_per_event: u64,
}

impl RunCopy {
    /// Decides whether a run that is about to be sent to `choice` gets a copy, and where. `tried`
    /// contains that target.
    pub(crate) fn plan(
        gateway: &Arc<Gateway>,
        terms: &Terms,
        call: &OutboundCall,
        choice: &Choice,
        tried: &[TargetId],
    ) -> Option<Self> {
        let tokens_per_event = tokens_per_event(terms)?;
        // A copy is named by the id of its call.
        call.id.as_ref()?;
        let now = gateway.now();
        let mut state = gateway.state();
        let is_suspect = state.target_table.is_suspect(now, &choice.target);
        let events = call.work.expected_output_tokens() / tokens_per_event;
        let reason = state
            .run_copies
            .reason(now, &terms.service, events, is_suspect)?;
        let table = &mut state.target_table;
        let second = table.choose_copy_target(now, choice, &call.work, tried)?;
        table.copy_begun(&second.target);
        drop(state);
        Some(Self {
            gateway: Arc::clone(gateway),
            choice: second,
            reason,
            tokens: 0,
            prompt_tokens: call.work.prompt_tokens,
            tokens_per_event,
        })
    }

    /// Returns the options of the send of the run that is copied.
    pub(crate) fn options_of_run(copy: Option<&Self>) -> SendOptions {
        SendOptions {
            backup_at: copy.map(|copy| copy.choice.address),
            ..SendOptions::default()
        }
    }

    /// Counts the copy, once its run is known to have begun.
    pub(crate) fn note_made(&mut self) {
        self.tokens = self.prompt_tokens;
        self.gateway.metrics.copies.note(CopyOutcome::Made);
    }

    /// Counts another event of the run.
    pub(crate) fn event(&mut self) {
        self.tokens += self.tokens_per_event;
    }

    /// Continues a run that is over at its own target at the second one, after the last event that
    /// the caller has. Returns `None` if the second target does not take it.
    ///
    /// The run is the same, so this neither counts as a retry nor charges the call again.
    pub(crate) async fn continue_run(
        self,
        caller: &CallerConnection,
        wait_limit: &WaitLimit<'_>,
        resume_after: Option<u64>,
    ) -> Option<Run> {
        let (gateway, call, terms) = (&self.gateway, wait_limit.call, wait_limit.terms);
        let id = call.id.clone()?;
        let (now, bytes) = (gateway.now(), call.link_bytes());
        gateway.state().pressure.note_sent(now, bytes);
        let options = SendOptions {
            resume_after,
            continue_from: Some((self.choice.address, id)),
            ..SendOptions::default()
        };
        let choice = self.choice.clone();
        let second = BrokenRun::of(&choice, now);
        let started = run::start(gateway, caller, wait_limit, choice, options).await;
        let (run, cause) = match started {
            Ok(run) if run.parts.status.is_success() => (Some(run), "-"),
            Ok(run) => {
                run.running.note(false);
                (None, "failed")
            }
            Err(failure) => {
                if failure.end == SendFailureKind::Broken {
                    second.follow_up(gateway, call, terms).await;
                }
                (None, failure.cause)
            }
        };
        self.log_continuation(call, run.is_some(), cause, resume_after);
        run
    }

    fn log_continuation(
        &self,
        call: &OutboundCall,
        is_continued: bool,
        cause: &str,
        resume_after: Option<u64>,
    ) {
        let outcome = if is_continued {
            CopyOutcome::Continued
        } else {
            CopyOutcome::Missing
        };
        self.gateway.metrics.copies.note(outcome);
        let after = resume_after.map_or_else(String::new, |id| id.to_string());
        let fields = [
            ("id", logged_id(call.id.as_deref())),
            ("outcome", outcome.as_str()),
            ("cause", cause),
            ("after_event", &after),
            ("target", &self.choice.target),
        ];
        self.gateway.log(EventCode::RunContinued, &fields);
    }
}

impl Drop for RunCopy {
    fn drop(&mut self) {
        self.gateway.metrics.copies.add_tokens(self.tokens);
        let mut state = self.gateway.state();
        state.target_table.copy_ended(&self.choice.target);
    }
}

/// Returns whether targets of the call's service can copy a run to another target.
pub(crate) fn allows_copies(terms: &Terms) -> bool {
    let service = terms.catalogue.service(&terms.service);
    service.is_some_and(|service| service.allows_copies)
}

/// Returns the tokens in an event of a run if it may get a copy: a stream that may not be resumed,
/// with the most urgent priority of its service, whose engine allows copies.
fn tokens_per_event(terms: &Terms) -> Option<u64> {
    let service = terms.catalogue.service(&terms.service)?;
    let is_eligible = allows_copies(terms)
        && terms.route.kind == RouteKind::Stream
        && terms
            .catalogue
            .is_most_urgent_stream(&terms.service, terms.priority);
    service
        .tokens_per_event
        .filter(|tokens| is_eligible && *tokens > 0)
}
