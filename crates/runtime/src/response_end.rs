//! Connections on which the end of a response can be told from a reset.
//!
//! A response of HTTP/1 may have no length and end with its connection. A server in trouble may close its
//! side after a part of the response and reset the connection then. After the closed side, the system
//! reports the end again and again; only the error of the socket shows the reset, and hyper closes the
//! socket at the end. A connection therefore keeps its socket open until the reader of the response has
//! had the time to wait for a reset.

use std::{
    io::{self, IoSlice},
    mem,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use hyper_util::client::legacy::connect::{Connected, Connection};
use log::{debug, info};
use socket2::{SockRef, Socket};
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::Instant,
};

/// Bytes that the system takes over before it has sent them. Without a limit, a request of megabytes
/// would count as written although the server has received little of it.
const UNSENT_BYTES: u32 = 16 * 1024;

/// What is known about the end of the response in progress.
#[derive(Debug, Default)]
enum EndState {
    /// The connection has not ended, and its end may be that of the response.
    #[default]
    Open,
    /// The response marks its end itself.
    Marked,
    /// The connection has ended; its socket, or why that could not be kept.
    Ended(io::Result<Socket>),
}

/// The end of the response that a connection carries.
#[derive(Clone, Debug, Default)]
pub struct ResponseEnd {
    state: Arc<Mutex<EndState>>,
}

impl ResponseEnd {
    /// States that the current response marks its end itself, so that the end of the connection means
    /// nothing.
    pub fn set_marked(&self) {
        *self.lock() = EndState::Marked;
    }

    /// Tells whether the response has ended with its connection, so that only a reset would show that it is
    /// a part.
    pub fn is_unconfirmed(&self) -> bool {
        matches!(*self.lock(), EndState::Ended(_))
    }

    /// Waits for a reset after a response that ended with its connection, for `limit` at the most.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was reset, or if that can't be told.
    pub async fn confirm(&self, limit: Duration) -> io::Result<()> {
        // A response that ended otherwise needs no confirmation.
        let EndState::Ended(socket) = mem::replace(&mut *self.lock(), EndState::Marked) else {
            return Ok(());
        };
        let stream = TcpStream::from_std(socket?.into())?;
        let started = Instant::now();
        // Whether the time is over or an error was reported, the error of the socket decides.
        let _ = tokio::time::timeout(limit, stream.ready(Interest::ERROR)).await;
        let Some(error) = stream.take_error()? else { return Ok(()) };
        let after_ms = started.elapsed().as_millis() as u64;
        info!(after_ms = after_ms, error:% = error; "connection was reset after the end of a response");
        let detail = "the connection was reset after the end of the response";
        Err(io::Error::new(io::ErrorKind::ConnectionReset, detail))
    }

    fn lock(&self) -> MutexGuard<'_, EndState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A client's connection that keeps its socket open after the end of a response without a length.
#[derive(Debug)]
pub struct EndCheckedStream {
    stream: TcpStream,
    end: ResponseEnd,
    /// Whether the last request has been written; hyper flushes once its own buffer is empty.
    is_written: bool,
    /// Whether bytes have arrived since the last request began.
    has_response: bool,
    /// Task that waits for the end of the connection until the request has been written.
    reader: Option<Waker>,
}

impl EndCheckedStream {
    /// Creates a connection; it carries one request at a time.
    pub fn new(stream: TcpStream) -> Self {
        if let Err(error) = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_BYTES) {
            debug!(error:% = error; "failed to limit the unsent bytes of a connection");
        }
        Self {
            stream,
            end: ResponseEnd::default(),
            is_written: true,
            has_response: false,
            reader: None,
        }
    }

    /// Returns the end of the response in progress. Responses of hyper's pooled client have it as an
    /// extension.
    pub fn response_end(&self) -> ResponseEnd {
        self.end.clone()
    }

    /// Reports the end of the connection once the request has been written: a server may respond early
    /// and read on.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.has_response {
            return Poll::Ready(Ok(()));
        }
        if !self.is_written {
            self.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let mut state = self.end.lock();
        if matches!(*state, EndState::Open) {
            *state = EndState::Ended(SockRef::from(&self.stream).try_clone());
        }
        Poll::Ready(Ok(()))
    }

    fn on_write(&mut self) {
        if mem::replace(&mut self.is_written, false) {
            self.has_response = false;
            *self.end.lock() = EndState::Open;
        }
    }
}

impl AsyncRead for EndCheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > filled_bytes {
            self.has_response = true;
            return Poll::Ready(Ok(()));
        }
        match has_room {
            true => self.poll_end(context),
            false => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for EndCheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.on_write();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.on_write();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.is_written = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(()))
    }

    /// Leaves the connection open while the end of a response is to be confirmed: a server whose system
    /// has received both ends does not send a reset any more.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if matches!(*self.end.lock(), EndState::Ended(_)) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Connection for EndCheckedStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.response_end())
    }
}

#[cfg(test)]
mod tests;
