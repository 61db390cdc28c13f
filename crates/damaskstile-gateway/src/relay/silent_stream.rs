//! The run of a stream whose target is silent.

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;

use crate::run::Run;
use crate::silent_run::{CurrentStep, SilentRun};

/// The run of a stream whose target is silent.
#[derive(Debug)]
pub(super) struct SilentStream {
    pub(super) run: Run,
    /// Whether a part of an event has arrived, after which the stream is not complete.
    pub(super) has_part: bool,
}

impl SilentRun for SilentStream {
    type Step = Option<hyper::Result<Frame<Bytes>>>;

    async fn next(&mut self) -> CurrentStep<Self::Step> {
        match self.run.body.frame().await {
            frame @ Some(Err(_)) => CurrentStep::Ended(frame),
            None if self.has_part => CurrentStep::Ended(None),
            frame => CurrentStep::GoesOn(frame),
        }
    }

    fn give_up(self) {
        self.run.running.note(false);
    }
}
