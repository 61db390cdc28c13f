//! Continues a stream from the copy of its run after its target crashed.

use super::Relay;
use crate::broken_run::BrokenRun;
use crate::events::EventSplitter;
use crate::target_ends::EndCheck;

impl Relay {
    /// Continues the stream at the second target if its run has a copy and is over at its own
    /// target. `followed_up` is the broken run with the result of the check of its target. Returns
    /// whether the stream continues.
    pub(super) async fn continue_from_copy(
        &mut self,
        followed_up: Option<(BrokenRun, EndCheck)>,
    ) -> bool {
        let (Some(copy), Some((broken, check))) = (self.copy.take(), followed_up) else {
            return false;
        };
        if !broken
            .is_surely_over(&self.gateway, &self.terms, check)
            .await
        {
            return false;
        }
        // Content that crashed several targets would crash the second one too. Without ids the
        // second target cannot tell which events the caller has.
        if self.lacks_event_ids || self.is_quarantined() || self.time_left().is_zero() {
            return false;
        }
        if let Some(run) = self.run.take() {
            run.running.note(false);
        }
        self.splitter = EventSplitter::default();
        let wait_limit = self.wait_limit();
        let continuing = copy.continue_run(&self.caller, &wait_limit, self.last_event);
        self.run = continuing.await;
        let is_continued = self.run.is_some();
        self.record.add("continued", u8::from(is_continued));
        is_continued
    }
}
