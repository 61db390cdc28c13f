//! A call whose target does not answer.

use std::pin::Pin;

use crate::run::{Run, SendFailure};
use crate::silent_run::{RunStep, SilentRun};

/// Waits for the head of a target's answer.
pub(super) type Answering = Pin<Box<dyn Future<Output = Result<Run, SendFailure>> + Send>>;

/// A call whose target does not answer.
pub(super) struct SilentCall {
    pub(super) answering: Answering,
}

impl SilentRun for SilentCall {
    type Step = Result<Run, SendFailure>;

    async fn next(&mut self) -> RunStep<Self::Step> {
        match self.answering.as_mut().await {
            // After a server error the call goes on with its successor.
            Ok(run) if !run.parts.status.is_server_error() => RunStep::GoesOn(Ok(run)),
            ended => RunStep::Ended(ended),
        }
    }

    fn give_up(self) {
        drop(self);
    }
}
