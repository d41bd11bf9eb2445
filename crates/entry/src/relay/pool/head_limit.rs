//! Limit on the bytes that an upstream sends before the head of its response.
//!
//! Any number of informational responses (1xx) may precede a response. hyper skips them while bytes
//! arrive, so that an upstream that sends them without end would take all processor time.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Most bytes up to the end of a head, informational responses and the first part of the body included.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Value while the limit does not apply.
const LIFTED: usize = usize::MAX;

/// Bytes that may still arrive before the head of a response is complete.
#[derive(Debug)]
pub(super) struct HeadLimit {
    left_bytes: AtomicUsize,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self { left_bytes: AtomicUsize::new(LIFTED) }
    }
}

impl HeadLimit {
    /// Applies the limit to the response of the next request.
    pub(super) fn begin(&self) {
        self.left_bytes.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit, since the head is complete.
    pub(super) fn lift(&self) {
        self.left_bytes.store(LIFTED, Ordering::Relaxed);
    }

    /// Counts bytes that have arrived; returns false once they exceed the limit.
    fn take(&self, bytes: usize) -> bool {
        let left_bytes = self.left_bytes.load(Ordering::Relaxed);
        if left_bytes == LIFTED {
            return true;
        }
        let Some(left_bytes) = left_bytes.checked_sub(bytes) else { return false };
        // The head may have been completed at the same moment.
        let stored = Ordering::Relaxed;
        let _ = self.left_bytes.compare_exchange(left_bytes + bytes, left_bytes, stored, stored);
        true
    }
}

/// A connection to an upstream that fails once the limit is exceeded.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: Arc<HeadLimit>,
}

impl LimitedStream {
    /// Applies a limit to a connection.
    pub(super) fn new(stream: TcpStream, limit: Arc<HeadLimit>) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let held_bytes = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if !self.limit.take(buffer.filled().len() - held_bytes) {
            let detail = "too many bytes before the head of the response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
