//! Body of a complete answer, which counts as held until it is passed on.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::held_call::HeldCall;

/// Size of the parts in which an answer is passed on. The HTTP library takes one more as soon as it
/// has written the last, which shows whether the caller reads.
const PART_BYTES: usize = 64 * 1024;

/// Size from which on an answer is passed on with a larger buffer.
const LARGE_ANSWER_BYTES: usize = 64 * 1024;

/// Body of a complete answer, which counts as held until it is passed on.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    bytes: Bytes,
    held: HeldCall,
}

impl HeldAnswer {
    pub(crate) fn new(bytes: Bytes, held: HeldCall) -> Self {
        held.begin_answer();
        if bytes.len() >= LARGE_ANSWER_BYTES {
            held.enlarge_send_buffer();
        }
        Self { bytes, held }
    }
}

impl Body for HeldAnswer {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        self.held.note_passed_on();
        let part = PART_BYTES.min(self.bytes.len());
        let part = self.bytes.split_to(part);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(u64::try_from(self.bytes.len()).unwrap_or(u64::MAX))
    }
}
