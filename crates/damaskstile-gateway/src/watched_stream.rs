//! `watched_stream` is a connection that notes how long its writes wait for room.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::link_times::LinkTimes;

/// `WatchedStream` is a connection that notes how long its writes wait for room.
#[derive(Debug)]
pub(crate) struct WatchedStream {
    stream: TcpStream,
    times: Arc<LinkTimes>,
    what: &'static str,
    waiting: Option<(Instant, u64, &'static str)>,
}

impl WatchedStream {
    pub(crate) fn new(stream: TcpStream, times: &Arc<LinkTimes>, what: &'static str) -> Self {
        Self {
            stream,
            times: Arc::clone(times),
            what,
            waiting: None,
        }
    }

    fn note(&mut self, poll: &Poll<Result<usize>>) {
        if poll.is_pending() {
            if self.waiting.is_none() {
                self.waiting = Some(self.times.wait(self.what));
            }
        } else if let Some(waiting) = self.waiting.take() {
            self.times.end_wait(waiting);
        }
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        if let Some(waiting) = self.waiting.take() {
            self.times.end_wait(waiting);
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note(&poll);
        poll
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.note(&poll);
        poll
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
