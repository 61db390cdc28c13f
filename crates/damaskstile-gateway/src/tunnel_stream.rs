//! The instance's end of a tunnel to a target through a peer.

use std::io::{ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::watched_stream::WatchedStream;

/// Size of the length before each chunk, in bytes.
const LENGTH_BYTES: usize = 4;
/// Size of the buffer for received chunks, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// The instance's end of a tunnel to a target through a peer.
///
/// Bytes to the target are sent as they are. Those from the target arrive in chunks after their
/// lengths, and an empty chunk marks the end: a peer that is killed ends its connection like one
/// whose target has finished, and an answer without a length would look complete.
#[derive(Debug)]
pub(crate) struct TunnelStream {
    stream: WatchedStream,
    buffer: Vec<u8>,
    /// Range of the buffer that was received and not passed on yet.
    begin: usize,
    end: usize,
    /// Bytes of the current chunk that were not passed on yet.
    chunk_left: usize,
    has_ended: bool,
}

impl TunnelStream {
    /// Creates the stream of an open tunnel; `received` are the bytes that were read with the
    /// answer to the request that opened it.
    pub(crate) fn new(stream: WatchedStream, received: &[u8]) -> Self {
        let mut buffer = received.to_vec();
        buffer.resize(BUFFER_BYTES.max(received.len()), 0);
        Self {
            stream,
            buffer,
            begin: 0,
            end: received.len(),
            chunk_left: 0,
            has_ended: false,
        }
    }

    /// Passes on bytes of the current chunk; returns whether there were any.
    fn pass_on(&mut self, out: &mut ReadBuf<'_>) -> bool {
        let bytes = (self.end - self.begin)
            .min(self.chunk_left)
            .min(out.remaining());
        out.put_slice(&self.buffer[self.begin..self.begin + bytes]);
        self.begin += bytes;
        self.chunk_left -= bytes;
        bytes > 0
    }

    /// Reads the length of the next chunk; returns whether it has been received completely.
    fn begin_chunk(&mut self) -> bool {
        let length = self.buffer[self.begin..self.end].first_chunk::<LENGTH_BYTES>();
        let Some(length) = length else {
            return false;
        };
        let length = u32::from_be_bytes(*length);
        self.begin += LENGTH_BYTES;
        self.chunk_left = usize::try_from(length).unwrap_or(usize::MAX);
        self.has_ended = length == 0;
        true
    }

    /// Receives more bytes.
    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.buffer.copy_within(self.begin..self.end, 0);
        self.end -= self.begin;
        self.begin = 0;
        let mut room = ReadBuf::new(&mut self.buffer[self.end..]);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut room))?;
        let received = room.filled().len();
        if received == 0 {
            return Poll::Ready(Err(ErrorKind::UnexpectedEof.into()));
        }
        self.end += received;
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        loop {
            if self.has_ended || out.remaining() == 0 || self.pass_on(out) {
                return Poll::Ready(Ok(()));
            }
            if self.chunk_left > 0 || !self.begin_chunk() {
                ready!(self.poll_receive(context))?;
            }
        }
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
