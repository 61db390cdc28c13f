//! Bulk prompts of a call.

use super::Exchange;

impl Exchange {
    /// Records the call's load if its prompt is a bulk prompt.
    pub(super) fn note_bulk_prompt(&self) {
        let now = self.gateway.now();
        let service = &self.terms.service;
        let table = &mut self.gateway.state().target_table;
        if let Some(prefill) = table.bulk_prefill(service, &self.call.work) {
            table.note_bulk(now, service, prefill);
        }
    }
}
