//! Connections on which the end of a response is believed only once its request has been received.
//!
//! A response of HTTP/1 may have no length and end with its connection. A server in trouble may respond to
//! a long request at once, close its side after a part of the response and reset the connection, since
//! it never reads the rest of the request. hyper takes the closed side as the end and does not learn of
//! the reset. Such an end is therefore held back until the request has been written, and a little longer:
//! a reset in that time makes the response incomplete.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use hyper_util::client::legacy::connect::{Connected, Connection};
use log::debug;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

/// Time for which an end is held back after the request has been written; a server that closes the
/// connection without having read all of it resets it at that moment.
const HOLD_TIME: Duration = Duration::from_millis(200);
/// Size from which on a request may still be on its way when its response begins, in bytes.
const LONG_REQUEST_BYTES: u64 = 16 * 1024;
/// Bytes that the system takes over before it has sent them. Without a limit, a request of megabytes
/// would count as written although the server has received little of it.
const UNSENT_BYTES: u32 = 16 * 1024;

/// Tells a connection whether the end of the current response is held back.
#[derive(Debug, Default)]
pub struct EndHold {
    is_set: AtomicBool,
    /// Task that waits for a held end.
    reader: Mutex<Option<Waker>>,
}

impl EndHold {
    /// Begins a request with a body of this size.
    pub fn begin(&self, body_bytes: u64) {
        self.set(body_bytes >= LONG_REQUEST_BYTES);
    }

    /// Lets the end pass, since something else marks that of the response, or it has ended.
    pub fn release(&self) {
        self.set(false);
    }

    fn set(&self, is_set: bool) {
        self.is_set.store(is_set, Ordering::Relaxed);
        if !is_set && let Some(reader) = self.lock().take() {
            reader.wake();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Waker>> {
        self.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A client's connection whose end may be held back.
#[derive(Debug)]
pub struct EndCheckedStream {
    stream: TcpStream,
    hold: Arc<EndHold>,
    /// Whether the end is held back for each response that began while its request was being written.
    holds_early: bool,
    /// Whether the last request has been written; hyper flushes once its own buffer is empty.
    is_written: bool,
    /// Whether bytes arrived before that.
    has_early_response: bool,
    /// Runs from when a held end was seen and the request was written.
    held: Option<Pin<Box<Sleep>>>,
}

impl EndCheckedStream {
    /// Creates a connection whose requests are announced to `hold`.
    pub fn new(stream: TcpStream, hold: Arc<EndHold>) -> Self {
        if let Err(error) = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_BYTES) {
            debug!(error:% = error; "failed to limit the unsent bytes of a connection");
        }
        Self {
            stream,
            hold,
            holds_early: false,
            is_written: true,
            has_early_response: false,
            held: None,
        }
    }

    /// Creates a connection whose requests are not announced: the end is held back if bytes of the
    /// response arrive before the request has been written.
    pub fn unannounced(stream: TcpStream) -> Self {
        Self { holds_early: true, ..Self::new(stream, Arc::default()) }
    }

    fn holds_end(&self) -> bool {
        self.hold.is_set.load(Ordering::Relaxed) || self.holds_early && self.has_early_response
    }

    /// Decides about an end of the connection: it passes, turns out to be a reset, or is held back.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.holds_end() {
            return Poll::Ready(Ok(()));
        }
        *self.hold.lock() = Some(context.waker().clone());
        if !self.is_written {
            return Poll::Pending;
        }
        let held = self.held.get_or_insert_with(|| Box::pin(tokio::time::sleep(HOLD_TIME)));
        ready!(held.as_mut().poll(context));
        match self.stream.take_error()? {
            Some(error) => Poll::Ready(Err(error)),
            None => Poll::Ready(Ok(())),
        }
    }

    fn on_write(&mut self) {
        if self.is_written {
            self.has_early_response = false;
            self.held = None;
        }
        self.is_written = false;
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
            self.has_early_response |= !self.is_written;
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
        if !std::mem::replace(&mut self.is_written, true)
            && let Some(reader) = self.hold.lock().take()
        {
            reader.wake();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Connection for EndCheckedStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

#[cfg(test)]
mod tests;
