//! Continues a stream from the copy of its run after its target crashed.

use super::Relay;
use crate::broken_run::BrokenRun;
use crate::events::EventSplitter;

impl Relay {
    /// Continues the stream at the second target if its run has a copy. `ended` is the run if its
    /// target was found to have ended; otherwise that target may still work on it. Returns whether
    /// the stream continues.
    pub(super) async fn continue_from_copy(&mut self, ended: Option<BrokenRun>) -> bool {
        let (Some(copy), Some(broken)) = (self.copy.take(), ended) else {
            return false;
        };
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
        let continuing = copy.continue_run(&broken, &self.caller, &wait_limit, self.last_event);
        self.run = continuing.await;
        let is_continued = self.run.is_some();
        self.record.add("continued", u8::from(is_continued));
        is_continued
    }
}
