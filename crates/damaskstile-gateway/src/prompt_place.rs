//! Guard of a bulk prompt that waits in the queue or is being prefilled.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use tokio::sync::oneshot;

use crate::gateway::Gateway;
use crate::prompt_decision::PromptDecision;
use crate::prompt_queue::PromptTicket;
use crate::queued_prompt::QueuedPrompt;

/// Guard of a bulk prompt that waits in the queue or is being prefilled. When dropped, because the
/// first event arrived, the send failed or the caller left, its place is free.
#[derive(Debug)]
pub struct PromptPlace {
    gateway: Arc<Gateway>,
    service: ServiceId,
    ticket: PromptTicket,
    is_prefilled: bool,
}

impl PromptPlace {
    /// Asks for a place. The decision arrives at the returned receiver.
    pub fn request(
        gateway: &Arc<Gateway>,
        service: &str,
        prompt: QueuedPrompt,
    ) -> (Self, oneshot::Receiver<PromptDecision>) {
        let now = gateway.now();
        let (ticket, decision) = {
            let mut state = gateway.state();
            let limit = state.target_table.bulk_limit(service);
            state.prompt_queues.add(now, service, limit, prompt)
        };
        let place = Self {
            gateway: Arc::clone(gateway),
            service: service.to_owned(),
            ticket,
            is_prefilled: false,
        };
        (place, decision)
    }

    /// Frees the place, since the first event arrived.
    pub fn prefilled(mut self) {
        self.is_prefilled = true;
    }
}

impl Drop for PromptPlace {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let queues = &mut self.gateway.state().prompt_queues;
        queues.remove(now, &self.service, self.ticket, self.is_prefilled);
    }
}
