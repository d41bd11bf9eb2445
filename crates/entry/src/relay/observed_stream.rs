//! A socket whose traffic is reported to closures.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A socket whose traffic is reported.
pub(crate) struct ObservedStream<S = TcpStream> {
    stream: S,
    /// Called with the number of bytes of each read; an error fails the read.
    on_read: Box<dyn FnMut(usize) -> io::Result<()> + Send>,
    /// Called after each write.
    on_write: Box<dyn FnMut() + Send>,
    /// Called at each flush, which hyper makes once its own buffer is empty.
    on_flush: Box<dyn FnMut() + Send>,
}

impl<S> ObservedStream<S> {
    /// Reports the bytes that are read from a socket.
    pub(crate) fn new(
        stream: S,
        on_read: impl FnMut(usize) -> io::Result<()> + Send + 'static,
    ) -> Self {
        let on_read = Box::new(on_read);
        Self { stream, on_read, on_write: Box::new(|| {}), on_flush: Box::new(|| {}) }
    }

    /// Reports writes and flushes as well.
    pub(crate) fn with_writes(
        self,
        on_write: impl FnMut() + Send + 'static,
        on_flush: impl FnMut() + Send + 'static,
    ) -> Self {
        Self { on_write: Box::new(on_write), on_flush: Box::new(on_flush), ..self }
    }

    /// Returns the socket.
    pub(crate) fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ObservedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let held_bytes = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready((self.on_read)(buffer.filled().len() - held_bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written_bytes = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        (self.on_write)();
        Poll::Ready(Ok(written_bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written_bytes =
            ready!(Pin::new(&mut self.stream).poll_write_vectored(context, buffers))?;
        (self.on_write)();
        Poll::Ready(Ok(written_bytes))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        (self.on_flush)();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
