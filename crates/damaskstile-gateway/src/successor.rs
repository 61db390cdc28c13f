//! A target that was chosen to go on with a call.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_requests::SendFailureKind;
use damaskstile_targets::Choice;

use crate::broken_run::BrokenRun;
use crate::gateway::Gateway;
use crate::outbound_call::OutboundCall;
use crate::record::logged_id;
use crate::reservation::Reservation;
use crate::run::{Run, SendFailure};
use crate::run_end::RunEnd;
use crate::state::Terms;

/// A target that was chosen to go on with a call, from its choice until it has taken the call or not.
#[derive(Debug)]
pub(crate) struct Successor {
    sent: BrokenRun,
    target: TargetId,
    /// What became of the run before it.
    run_end: RunEnd,
    /// Since when the run before it has been silent.
    silent_since: Duration,
}

impl Successor {
    /// Describes a target that is tried from now on.
    pub(crate) fn new(
        gateway: &Gateway,
        choice: &Choice,
        run_end: RunEnd,
        silent_since: Duration,
    ) -> Self {
        Self {
            sent: BrokenRun::of(choice, gateway.now()),
            target: choice.target.clone(),
            run_end,
            silent_since,
        }
    }

    /// Records whether the run before it was given up meanwhile.
    pub(crate) fn after(mut self, was_given_up: bool) -> Self {
        if was_given_up {
            self.run_end = RunEnd::GivenUp;
        }
        self
    }

    /// Follows up a send that did not bring an answer which the call can go on with; returns what
    /// the send proves about the execution of the call.
    pub(crate) async fn failed(
        self,
        gateway: &Arc<Gateway>,
        call: &OutboundCall,
        terms: &Terms,
        reservation: &mut Reservation,
        started: Result<Run, SendFailure>,
    ) -> SendFailure {
        let failure = match started {
            Ok(run) => {
                run.running.note(false);
                SendFailure::new(SendFailureKind::Failed, "failed")
            }
            Err(failure) => failure,
        };
        gateway.metrics.successions.failed();
        let silent_for = gateway.now().saturating_sub(self.silent_since);
        let fields = [
            ("id", logged_id(call.id.as_deref())),
            ("target", &self.target),
            ("cause", failure.cause),
            ("run_end", self.run_end.as_str()),
            ("silent_ms", &silent_for.as_millis().to_string()),
        ];
        gateway.log(EventCode::SuccessorFailed, &fields);
        match failure.end {
            SendFailureKind::NotSent | SendFailureKind::NotRun => reservation.not_run(),
            SendFailureKind::Broken => {
                self.sent.follow_up(gateway, call, terms).await;
            }
            SendFailureKind::Unknown | SendFailureKind::Failed => {}
        }
        failure
    }
}
