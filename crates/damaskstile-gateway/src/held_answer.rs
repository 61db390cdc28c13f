//! Body of a complete answer, which counts as held until it is passed on.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::held_call::HeldCall;
use crate::segments::Segments;

/// Size from which on an answer is passed on with a larger buffer.
const LARGE_ANSWER_BYTES: usize = 64 * 1024;

/// Body of a complete answer, which counts as held until it is passed on.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    /// What was not passed on yet. The HTTP library takes one more segment as soon as it has
    /// written the last, which shows whether the caller reads.
    segments: Segments,
    held: HeldCall,
}

impl HeldAnswer {
    pub(crate) fn new(segments: Segments, held: HeldCall) -> Self {
        held.begin_answer();
        if segments.len() >= LARGE_ANSWER_BYTES {
            held.enlarge_send_buffer();
        }
        Self { segments, held }
    }
}

impl Body for HeldAnswer {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(segment) = self.segments.pop_front() else {
            return Poll::Ready(None);
        };
        self.held.note_part(self.segments.capacity());
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(u64::try_from(self.segments.len()).unwrap_or(u64::MAX))
    }
}
