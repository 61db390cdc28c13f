//! Connection that measures how long its writes are blocked.

use std::io::{ErrorKind, IoSlice, Read, Result};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

use crate::link_times::LinkTimes;
use crate::stream_marks::StreamMarks;

/// TCP stream that measures how long its writes are blocked.
#[derive(Debug)]
pub(crate) struct WatchedStream {
    stream: Arc<TcpStream>,
    times: Arc<LinkTimes>,
    what: &'static str,
    waiting: Option<(Instant, u64, &'static str)>,
    marks: Option<Arc<StreamMarks>>,
}

impl WatchedStream {
    pub(crate) fn new(stream: &Arc<TcpStream>, times: &Arc<LinkTimes>, what: &'static str) -> Self {
        Self {
            stream: Arc::clone(stream),
            times: Arc::clone(times),
            what,
            waiting: None,
            marks: None,
        }
    }

    /// Sets marks whenever bytes are read or written.
    pub(crate) fn with_marks(mut self, marks: &Arc<StreamMarks>) -> Self {
        self.marks = Some(Arc::clone(marks));
        self
    }

    /// Writes when the socket has room.
    fn poll_with(
        &mut self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> Result<usize>,
    ) -> Poll<Result<usize>> {
        loop {
            if self.stream.poll_write_ready(context)?.is_pending() {
                if self.waiting.is_none() {
                    self.waiting = Some(self.times.wait(self.what));
                }
                return Poll::Pending;
            }
            match write(&self.stream) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => {
                    self.end_wait();
                    if let Some(marks) = &self.marks {
                        marks.written.store(true, Ordering::Relaxed);
                        marks.progressed.store(true, Ordering::Relaxed);
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }

    fn end_wait(&mut self) {
        if let Some(waiting) = self.waiting.take() {
            self.times.end_wait(waiting);
        }
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.end_wait();
    }
}

/// Reads the available bytes. A read that does not fill the buffer has drained the socket, so the
/// readiness is cleared without another read.
fn read_at_once(stream: &TcpStream, buffer: &mut [u8]) -> Result<usize> {
    let mut read = Err(ErrorKind::WouldBlock.into());
    // The result is in `read`; the closure's result only tells tokio whether more may be available.
    let _ = stream.try_io(Interest::READABLE, || {
        read = (&*SockRef::from(stream)).read(buffer);
        match &read {
            Ok(bytes) if (1..buffer.len()).contains(bytes) => Err(ErrorKind::WouldBlock.into()),
            Ok(_) => Ok(()),
            Err(error) => Err(error.kind().into()),
        }
    });
    read
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match read_at_once(&self.stream, buffer.initialize_unfilled()) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                read => {
                    let bytes = read?;
                    buffer.advance(bytes);
                    if let Some(marks) = self.marks.as_ref().filter(|_| bytes > 0) {
                        marks.read.store(true, Ordering::Relaxed);
                    }
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.poll_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_with(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
