//! Check of the head of a target's answer against the call that it answers.

use damaskstile_core::prelude::*;
use damaskstile_http::is_final_status;
use damaskstile_requests::SendFailureKind;
use http::StatusCode;

use crate::answer_signals;
use crate::gateway::Gateway;
use crate::handling::Handling;
use crate::outbound_call::OutboundCall;
use crate::run::{NO_ID, OTHER_WEIGHTS, Run, SendFailure};

/// What the head of an answer is checked against.
#[derive(Debug)]
pub(crate) struct AwaitedAnswer {
    id: Option<String>,
    expects_weights: bool,
    service: ServiceId,
    is_continuation: bool,
}

impl AwaitedAnswer {
    /// Describes the answer to a call that is about to be sent. `is_continuation` tells whether it
    /// continues from a copy of its run.
    pub(crate) fn of(call: &OutboundCall, service: &str, is_continuation: bool) -> Self {
        Self {
            id: call.id.clone(),
            expects_weights: call.work.weights.is_some(),
            service: service.to_owned(),
            is_continuation,
        }
    }

    /// Checks that an answer belongs to the call and shows that the call was executed.
    pub(crate) fn check(&self, gateway: &Gateway, mut run: Run) -> Result<Run, SendFailure> {
        // Nothing in such a head is the target's word.
        if !is_final_status(run.parts.status) {
            run.running.note(false);
            return Err(SendFailure::new(
                SendFailureKind::Unknown,
                "unexpected_status",
            ));
        }
        let unmet = self.unmet_cause(&run);
        if unmet.is_some() {
            run.head.handling = Handling::Unmet;
        }
        let choice = &run.running.choice;
        let is_own = run.head.id.is_none() || self.id.is_none() || run.head.id == self.id;
        answer_signals::handle_head(gateway, &self.service, &run.head, &run.running, is_own);
        if let Some(load) = run.head.load {
            let now = gateway.now();
            let mut state = gateway.state();
            state.target_table.report(now, choice, load);
        }
        // A late answer to an earlier call may arrive where the next one is expected. Passing it on
        // would give this caller another caller's answer. The connection is closed with the run.
        if !is_own {
            run.running.note(false);
            return Err(SendFailure::new(SendFailureKind::Unknown, "foreign_answer"));
        }
        if run.head.handling == Handling::Misdirected {
            let now = gateway.now();
            gateway.state().target_table.leave(now, &choice.identity());
            return Err(SendFailure::new(SendFailureKind::NotRun, "misdirected"));
        }
        if let Some(cause) = unmet {
            return Err(SendFailure::new(SendFailureKind::NotRun, cause));
        }
        if run.head.handling == Handling::NotRun {
            // A target that has no copy of a run serves other calls as well as before.
            if !self.is_continuation {
                run.running.note(false);
                let now = gateway.now();
                let table = &mut gateway.state().target_table;
                table.rejected(now, &choice.identity());
            }
            return Err(SendFailure::new(SendFailureKind::NotRun, "rejected"));
        }
        if run.parts.status.is_success() && !run.head.is_signed {
            run.running.note(false);
            return Err(SendFailure::new(
                SendFailureKind::Unknown,
                "unsigned_answer",
            ));
        }
        Ok(run)
    }

    /// Returns what the caller asks for, or leaves out, that may have made a target refuse the call;
    /// `None` if it was not refused, or for a reason of the target's.
    fn unmet_cause(&self, run: &Run) -> Option<&'static str> {
        let is_bad = run.parts.status == StatusCode::BAD_REQUEST;
        match run.head.handling {
            Handling::Misdirected if self.expects_weights => Some(OTHER_WEIGHTS),
            Handling::NotRun if self.id.is_none() && is_bad => Some(NO_ID),
            _ => None,
        }
    }
}
