//! A call whose target does not answer.

use std::pin::Pin;

use crate::run::{Run, SendFailure};
use crate::silent_run::{CurrentStep, SilentRun};

/// Waits for the head of a target's answer.
pub(super) type Answering = Pin<Box<dyn Future<Output = Result<Run, SendFailure>> + Send>>;

/// A call whose target does not answer.
pub(super) struct SilentCall {
    pub(super) answering: Answering,
    /// Whether the answer ends the call even if it is a server error.
    pub(super) takes_errors: bool,
}

impl SilentRun for SilentCall {
    type Step = Result<Run, SendFailure>;

    async fn next(&mut self) -> CurrentStep<Self::Step> {
        match self.answering.as_mut().await {
            Ok(run) if self.takes_errors || !run.parts.status.is_server_error() => {
                CurrentStep::GoesOn(Ok(run))
            }
            ended => CurrentStep::Ended(ended),
        }
    }

    fn give_up(self) {
        drop(self);
    }
}
