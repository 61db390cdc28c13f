//! Waits until a bulk prompt may be sent.

use damaskstile_core::prelude::*;

use super::Exchange;
use crate::prompt_decision::PromptDecision;
use crate::prompt_place::PromptPlace;
use crate::queued_prompt::QueuedPrompt;
use crate::reply::Refusal;

impl Exchange {
    /// Waits for a place if the call's prompt is a bulk prompt, and keeps it until the first event.
    ///
    /// The call has its tokens by then. If it waited for them with a place, that place would be
    /// idle for up to 300 ms, and a call without tokens is refused before it waits for a place.
    pub(super) async fn wait_for_place(&mut self) -> Result<(), Refusal> {
        let Some(prompt) = self.bulk_prompt() else {
            return Ok(());
        };
        let began_at = self.gateway.now();
        let latest_start = prompt.latest_start();
        let (place, decision) = PromptPlace::request(&self.gateway, &self.terms.service, prompt);
        let wait = latest_start.saturating_sub(began_at);
        let decision = tokio::time::timeout(wait, decision).await;
        let queued = self.gateway.now().saturating_sub(began_at);
        self.record.add("queued_ms", queued.as_millis());
        let retry_after = match decision {
            Ok(Ok(PromptDecision::Start)) => {
                self.gateway.metrics.bulk.waited(queued);
                self.place = Some(place);
                return Ok(());
            }
            Ok(Ok(PromptDecision::Reject { retry_after })) => retry_after,
            // It was about to be sent when it became too late.
            Ok(Err(_)) | Err(_) => prompt.prefill,
        };
        let (limit, waiting) = {
            let state = self.gateway.state();
            let limit = state.target_table.bulk_limit(&self.terms.service);
            (limit.unwrap_or_default(), state.prompt_queues.waiting())
        };
        self.record.add("bulk_limit", limit);
        self.record.add("queued_prompts", waiting);
        let code = RefusalCode::Overloaded;
        Err(Refusal::not_run(code, Some(retry_after)))
    }

    /// Returns what the queue needs to know of the call's prompt, and counts its load; `None` if it
    /// is not a bulk prompt.
    fn bulk_prompt(&self) -> Option<QueuedPrompt> {
        let now = self.gateway.now();
        let service = &self.terms.service;
        let table = &mut self.gateway.state().target_table;
        let prefill = table.bulk_prefill(service, &self.call.work)?;
        table.note_bulk(now, service, prefill);
        let began_at = self.record.began_at();
        let due_at = (began_at + self.terms.route.objective).min(self.deadline);
        // A late answer is of use too. Half of the time limit remains for its events.
        let half = self.deadline.saturating_sub(began_at) / 2;
        Some(QueuedPrompt {
            rank: self.terms.priority,
            due_at,
            expires_at: due_at.max(began_at + half),
            prefill,
            bytes: self.call.link_bytes(),
        })
    }
}
