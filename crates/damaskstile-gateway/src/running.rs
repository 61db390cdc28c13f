//! Guard that counts a call as running at its target.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_targets::{Choice, Work};

use crate::gateway::Gateway;
use crate::outgoing::Outgoing;
use crate::peers::Reading;
use crate::prompt_place::PromptPlace;

/// Counts a call as running at its target until it is dropped.
#[derive(Debug)]
pub struct Running {
    gateway: Arc<Gateway>,
    /// The target.
    pub choice: Choice,
    work: Work,
    sent_at: Duration,
    is_prefilled: bool,
    /// Whether the target began to answer, so that the call occupied one of its slots.
    is_answered: bool,
    /// Place of a bulk prompt, until its first event.
    place: Option<PromptPlace>,
}

impl Running {
    /// Counts a call as sent to its target.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, choice: Choice, work: &Work) -> Self {
        let reading = {
            let now = gateway.now();
            let mut state = gateway.state();
            state.target_table.sent(now, &choice, work);
            // A message to all peers takes as much of the link as the prompt itself.
            let has_room = !state.pressure.is_overloaded(now);
            state
                .target_table
                .prefill_to_report(&choice)
                .filter(|_| has_room)
        };
        if let Some(time) = reading {
            // Best effort: a peer that misses the message chooses targets without it.
            let reading = Reading::new(choice.identity(), time);
            let _ = gateway.outbox.try_send(Outgoing::Reading(reading));
        }
        Self {
            gateway: Arc::clone(gateway),
            choice,
            work: work.clone(),
            sent_at: gateway.now(),
            is_prefilled: false,
            is_answered: false,
            place: None,
        }
    }

    /// Keeps the place of a bulk prompt until its first event, or its whole answer if it is plain.
    pub fn hold(&mut self, place: Option<PromptPlace>) {
        self.place = place;
    }

    /// Returns when the call was sent.
    #[must_use]
    pub fn sent_at(&self) -> Duration {
        self.sent_at
    }

    /// Tells whether the target has begun to answer.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Records an event; the time to the first one shows how fast the target processes prompts.
    pub fn event(&mut self) {
        if !self.is_prefilled {
            let now = self.gateway.now();
            let took = now.saturating_sub(self.sent_at);
            let table = &mut self.gateway.state().target_table;
            table.first_token(now, &self.choice, &self.work, took);
        }
        self.is_answered = true;
        self.free_place();
        self.prefilled();
    }

    /// Frees the place of a bulk prompt. The whole answer of a plain call is the first sign that its
    /// prompt was prefilled.
    fn free_place(&mut self) {
        if let Some(place) = self.place.take() {
            place.prefilled();
        }
    }

    /// Records the whole answer of a plain service; its time shows how fast the target is.
    pub fn answered(&mut self) {
        self.is_answered = true;
        self.free_place();
        if self.work.prompt_tokens == 0 {
            let now = self.gateway.now();
            let took = now.saturating_sub(self.sent_at);
            let table = &mut self.gateway.state().target_table;
            table.plain_answer(now, &self.choice, took);
        }
    }

    fn prefilled(&mut self) {
        if !self.is_prefilled {
            self.is_prefilled = true;
            self.gateway.state().target_table.prefilled(&self.choice);
        }
    }

    /// Records whether the target served the call.
    pub fn note(&self, is_success: bool) {
        let now = self.gateway.now();
        let table = &mut self.gateway.state().target_table;
        if is_success {
            table.succeeded(now, &self.choice);
        } else {
            table.failed(now, &self.choice);
        }
    }

    /// Records that the target's address refuses connections.
    pub(crate) fn ended(&self) {
        self.silent();
        let now = self.gateway.now();
        let table = &mut self.gateway.state().target_table;
        table.note_ended(now, &self.choice.identity());
    }

    /// Records that the target did not answer at all.
    pub(crate) fn silent(&self) {
        let now = self.gateway.now();
        self.gateway
            .state()
            .target_table
            .unanswered(now, &self.choice);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.prefilled();
        let took = self.gateway.now().saturating_sub(self.sent_at);
        let table = &mut self.gateway.state().target_table;
        if self.is_answered {
            table.record_duration(&self.choice, took);
        }
        table.ended(&self.choice);
    }
}
