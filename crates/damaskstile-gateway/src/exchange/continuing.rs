//! Continues a call from the copy of its run if its target crashes before the head of the answer.

use super::Exchange;
use crate::broken_run::BrokenRun;
use crate::run::Run;
use crate::target_ends::EndCheck;

impl Exchange {
    /// Records that the current run has a copy, if it has one.
    pub(super) fn note_copy(&mut self) {
        if let Some(copy) = &mut self.copy {
            copy.note_made();
            self.record.add("copy", &copy.choice.target);
            self.record.add("copy_reason", copy.reason.as_str());
        }
    }

    /// Continues the call at the second target if its run has a copy and is over at its own target.
    /// Returns the run at the second target.
    pub(super) async fn continue_from_copy(
        &mut self,
        broken: &BrokenRun,
        check: EndCheck,
    ) -> Option<Run> {
        self.note_copy();
        let copy = self.copy.take()?;
        let may_continue = broken
            .is_surely_over(&self.gateway, &self.terms, check)
            .await
            && self.quarantine_refusal().is_none()
            && !self.time_left().is_zero();
        if !may_continue {
            return None;
        }
        self.is_sending = true;
        let wait_limit = self.wait_limit();
        let continuing = copy.continue_run(&self.caller, &wait_limit, self.last_event);
        let run = continuing.await;
        self.is_sending = run.is_some();
        self.record.add("continued", u8::from(run.is_some()));
        run
    }
}
