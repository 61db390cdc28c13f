//! Connection to a server whose end counts only if it is an orderly one.

use std::io::{ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::unread_answer::UnreadAnswer;

/// Bytes that the system keeps unsent for a connection before a write has to wait for room.
const UNSENT_BYTES: u32 = 16 * 1024;

/// Has writes to a connection wait while more than some kilobytes are unsent, so that a write that
/// is done means bytes that are sent.
///
/// # Errors
///
/// Returns an error if the system does not accept the option.
pub fn bound_unsent(stream: &TcpStream) -> Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(UNSENT_BYTES)
}

/// Connection to a server whose end counts only if it is an orderly one.
///
/// An answer with neither a length nor chunks ends with its connection. A server that answers early
/// may end its side and reset the connection while the call is still being written; the error is
/// then reported to the write, and what was received so far would look like the whole answer. So
/// the end is held back until the call has been written, and becomes an error if that fails.
#[derive(Debug)]
pub struct OrderlyStream<S> {
    stream: S,
    /// Bounds what is received of an answer, if it is taken from this connection.
    unread: Option<Arc<UnreadAnswer>>,
    /// Whether the last write is waiting for room.
    is_write_blocked: bool,
    /// Whether the end of the stream is held back.
    is_end_held: bool,
    write_error: Option<ErrorKind>,
}

impl<S> OrderlyStream<S> {
    /// Wraps a connection.
    ///
    /// ```
    /// use damaskstile_http::OrderlyStream;
    /// let (stream, _) = tokio::io::duplex(64);
    /// let _ = OrderlyStream::new(stream);
    /// ```
    #[must_use]
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            unread: None,
            is_write_blocked: false,
            is_end_held: false,
            write_error: None,
        }
    }

    /// Fails the connection once what is received can no longer become an answer.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use damaskstile_http::{OrderlyStream, UnreadAnswer};
    /// let (stream, _) = tokio::io::duplex(64);
    /// let unread = Arc::new(UnreadAnswer::default());
    /// let _ = OrderlyStream::new(stream).bounded(&unread);
    /// ```
    #[must_use]
    pub fn bounded(mut self, unread: &Arc<UnreadAnswer>) -> Self {
        self.unread = Some(Arc::clone(unread));
        self
    }

    fn note_write(&mut self, context: &Context<'_>, written: &Poll<Result<usize>>) {
        self.is_write_blocked = written.is_pending();
        if let Poll::Ready(Err(error)) = written {
            self.write_error = Some(error.kind());
        }
        if !self.is_write_blocked && std::mem::take(&mut self.is_end_held) {
            // The end of the stream makes no further event, so the reader is woken here.
            context.waker().wake_by_ref();
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for OrderlyStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - filled;
        let unread = self.unread.as_ref();
        if unread.is_some_and(|unread| !unread.add(received)) {
            return Poll::Ready(Err(ErrorKind::InvalidData.into()));
        }
        if received > 0 || !has_room {
            return Poll::Ready(Ok(()));
        }
        if let Some(error) = self.write_error {
            return Poll::Ready(Err(error.into()));
        }
        self.is_end_held = self.is_write_blocked;
        if self.is_end_held {
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for OrderlyStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(context, &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.note_write(context, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
