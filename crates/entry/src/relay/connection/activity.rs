//! What a caller's connection is doing, and when it reaches a limit.

use std::{
    future::poll_fn,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Poll, Waker, ready},
    time::Duration,
};

use tokio::{
    net::TcpStream,
    time::{Instant, Sleep},
};
use yuccatrail_core::route_table::CallerLimits;
use yuccatrail_runtime::open_connections::{OpenConnection, OpenRequest};

use crate::relay::{observed_stream::ObservedStream, state::lock};

/// Least time that a caller has for a head or for reading on, in milliseconds: a lost packet and its
/// retransmission. With a shorter limit an entry would serve no caller.
const MIN_TIMEOUT_MS: u64 = 1_000;

/// Time after the deadline of a request for which its response may still be on its way to the caller, in
/// milliseconds.
const LATE_RESPONSE_MS: u64 = 1_500;

/// Which limit a connection has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Expired {
    /// No request has begun in time.
    Idle,
    /// A head has begun to arrive, and is not complete in time.
    Head,
    /// The caller has not taken its response in time.
    Response,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for its first request.
    Opened,
    /// Waits for its next request.
    Idle,
    /// A head has begun to arrive.
    ReadingHead,
    /// A request is being served.
    Serving,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// Time at which the phase began; of an idle connection also that of the last bytes written, since a
    /// slow caller may still be reading the last response.
    since: Instant,
    /// Whether all that was written so far has been handed to the operating system.
    is_flushed: bool,
    /// Task that waits for the next flush.
    flush_waiter: Option<Waker>,
    /// Deadline of a response that has not been written yet.
    response_due: Option<Instant>,
    /// Identifier of the request that it answers.
    response_id: String,
    /// Whether the last request was answered before its body was read.
    has_unread_body: bool,
    /// The request in progress; a connection with one is not closed for another one.
    request: Option<OpenRequest>,
}

/// Activity of one connection.
#[derive(Debug)]
pub(super) struct Activity {
    state: Mutex<State>,
    open: Arc<OpenConnection>,
}

impl Activity {
    /// Begins with a connection that was just accepted.
    pub(super) fn new(open: OpenConnection) -> Self {
        let state = State {
            phase: Phase::Opened,
            since: Instant::now(),
            is_flushed: true,
            flush_waiter: None,
            response_due: None,
            response_id: String::new(),
            has_unread_body: false,
            request: None,
        };
        Self { state: Mutex::new(state), open: Arc::new(open) }
    }

    /// Returns the connection's socket, whose traffic is recorded.
    pub(super) fn watch(self: &Arc<Self>, stream: TcpStream) -> ObservedStream {
        let (read, written, flushed) = (self.clone(), self.clone(), self.clone());
        let on_read = move |bytes| {
            if bytes > 0 {
                read.record_read();
            }
            Ok(())
        };
        ObservedStream::new(stream, on_read)
            .with_writes(move || written.record_written(), move || flushed.record_flushed())
    }

    /// Records that the head of a request is complete.
    pub(super) fn begin_request(&self) {
        let mut state = lock(&self.state);
        state.phase = Phase::Serving;
        state.has_unread_body = false;
        state.response_due = None;
        state.request = Some(self.open.open_request());
    }

    /// Records that the request is answered although its body was not read.
    pub(super) fn record_unread_body(&self) {
        lock(&self.state).has_unread_body = true;
    }

    /// Tells whether the last request was answered although its body was not read.
    pub(super) fn has_unread_body(&self) -> bool {
        lock(&self.state).has_unread_body
    }

    /// Records the identifier and the deadline of the request whose response begins.
    pub(super) fn begin_response(&self, id: String, due: Instant) {
        let mut state = lock(&self.state);
        (state.response_id, state.response_due) = (id, Some(due));
    }

    /// Returns the identifier of the request whose response has begun and is not completely written; none
    /// without one.
    pub(super) fn unwritten_response(&self) -> Option<String> {
        let state = lock(&self.state);
        state.response_due.map(|_| state.response_id.clone())
    }

    /// Records that hyper has taken over the last bytes of a response.
    pub(super) fn end_response(&self) {
        lock(&self.state).enter(Phase::Idle);
    }

    /// Waits until the connection has to make room for another one.
    pub(super) async fn until_replaced(&self) {
        self.open.until_replaced().await;
    }

    /// Tells whether a request is being served, or its response still has to be written.
    pub(super) fn has_request(&self) -> bool {
        lock(&self.state).request.is_some()
    }

    /// Records that bytes have arrived.
    fn record_read(&self) {
        let mut state = lock(&self.state);
        if matches!(state.phase, Phase::Opened | Phase::Idle) {
            state.enter(Phase::ReadingHead);
        }
    }

    /// Records that bytes were written.
    fn record_written(&self) {
        let mut state = lock(&self.state);
        state.is_flushed = false;
        if state.phase == Phase::Idle {
            state.since = Instant::now();
        }
    }

    /// Records that nothing is left to be written.
    fn record_flushed(&self) {
        let mut state = lock(&self.state);
        state.is_flushed = true;
        if state.phase != Phase::Serving {
            state.request = None;
            state.response_due = None;
        }
        if let Some(waiter) = state.flush_waiter.take() {
            waiter.wake();
        }
    }

    /// Begins to wait until nothing is left to be written, hyper's own buffer included; wakes a task then.
    pub(super) fn await_flush(&self, waiter: &Waker) {
        lock(&self.state).flush_waiter = Some(waiter.clone());
    }

    /// Tells whether that is still awaited.
    pub(super) fn awaits_flush(&self) -> bool {
        lock(&self.state).flush_waiter.is_some()
    }

    /// Tells whether all that was written so far has been handed to the operating system.
    pub(super) fn is_flushed(&self) -> bool {
        lock(&self.state).is_flushed
    }

    /// Tells whether nothing has arrived yet.
    pub(super) fn is_unused(&self) -> bool {
        lock(&self.state).phase == Phase::Opened
    }

    /// Creates the timer for [`Self::until_expired`].
    pub(super) fn timer(&self, limits: CallerLimits) -> Sleep {
        let expires = self.expires(limits).map(|(at, _)| at);
        tokio::time::sleep_until(expires.unwrap_or_else(Instant::now))
    }

    /// Waits until the connection reaches a limit. The timer is moved when it is late or has elapsed, not
    /// with each request.
    pub(super) async fn until_expired(
        &self,
        limits: CallerLimits,
        mut timer: Pin<&mut Sleep>,
    ) -> Expired {
        poll_fn(|context| {
            loop {
                let Some((at, expired)) = self.expires(limits) else { return Poll::Pending };
                if timer.deadline() > at || timer.is_elapsed() {
                    timer.as_mut().reset(at);
                }
                ready!(timer.as_mut().poll(context));
                if at <= Instant::now() {
                    return Poll::Ready(expired);
                }
            }
        })
        .await
    }

    /// Returns when the connection reaches a limit, and which; none while it reaches none.
    fn expires(&self, limits: CallerLimits) -> Option<(Instant, Expired)> {
        let state = lock(&self.state);
        let response = state.response_due.and_then(|it| after_ms(it, LATE_RESPONSE_MS));
        let response = response.map(|it| (it, Expired::Response));
        response.into_iter().chain(state.phase_expires(limits)).min_by_key(|it| it.0)
    }
}

/// Returns the time that many milliseconds later, none if that is too far away.
fn after_ms(since: Instant, ms: u64) -> Option<Instant> {
    since.checked_add(Duration::from_millis(ms))
}

impl State {
    /// Returns when the current phase reaches its limit, and which.
    fn phase_expires(&self, limits: CallerLimits) -> Option<(Instant, Expired)> {
        let header_timeout_ms = limits.header_timeout_ms.max(MIN_TIMEOUT_MS);
        let idle_timeout_ms = limits.idle_timeout_ms;
        let (limit_ms, expired) = match self.phase {
            Phase::Idle if self.response_due.is_some() => return None,
            Phase::Idle if self.is_flushed => (idle_timeout_ms, Expired::Idle),
            Phase::Idle => (idle_timeout_ms.max(MIN_TIMEOUT_MS), Expired::Idle),
            Phase::Opened => (idle_timeout_ms.max(header_timeout_ms), Expired::Idle),
            Phase::ReadingHead => (header_timeout_ms, Expired::Head),
            Phase::Serving => return None,
        };
        Some((after_ms(self.since, limit_ms)?, expired))
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.since = Instant::now();
    }
}

#[cfg(test)]
mod tests;
