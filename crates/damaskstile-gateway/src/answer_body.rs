//! Body of a target's answer.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use damaskstile_http::UnreadAnswer;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

/// Body of a target's answer. Each part that is taken from it shows that the answer goes on.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    unread: Arc<UnreadAnswer>,
}

impl AnswerBody {
    pub(crate) fn new(body: Incoming, unread: &Arc<UnreadAnswer>) -> Self {
        Self {
            body,
            unread: Arc::clone(unread),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.unread.clear();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
