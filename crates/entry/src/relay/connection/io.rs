//! A caller's socket that reports its traffic.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::relay::connection::activity::Activity;

/// A socket whose reads and writes are recorded in an [`Activity`].
#[derive(Debug)]
pub(super) struct WatchedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl WatchedStream {
    /// Watches a socket.
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self { stream, activity }
    }

    /// Returns the socket if nothing is left to be written on it.
    pub(super) fn into_flushed(self) -> Option<TcpStream> {
        self.activity.is_flushed().then_some(self.stream)
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let held_bytes = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > held_bytes {
            self.activity.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written_bytes = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.activity.record_written();
        Poll::Ready(Ok(written_bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once its own buffer is empty.
        self.activity.record_flushed();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
