//! The run of a stream whose target is silent.

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;

use crate::run::Run;
use crate::silent_run::{RunStep, SilentRun};

/// The run of a stream whose target is silent.
#[derive(Debug)]
pub(super) struct SilentStream {
    pub(super) run: Run,
    /// Whether a part of an event has arrived, after which the stream is not complete.
    pub(super) has_part: bool,
}

impl SilentRun for SilentStream {
    type Step = Option<hyper::Result<Frame<Bytes>>>;

    async fn next(&mut self) -> RunStep<Self::Step> {
        match self.run.body.frame().await {
            frame @ Some(Err(_)) => RunStep::Ended(frame),
            None if self.has_part => RunStep::Ended(None),
            frame => RunStep::GoesOn(frame),
        }
    }

    fn give_up(self) {
        self.run.running.note(false);
    }
}
