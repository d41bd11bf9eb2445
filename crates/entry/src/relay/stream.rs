//! Forwards an event stream from a model upstream to a caller.
//!
//! Events are forwarded as they arrive, and only whole ones. A stream that ends within an event has been
//! broken off, however its response was framed: a resumable one continues at another upstream after the
//! last event that was forwarded; any other is aborted, which the caller can detect.

mod first_event;
mod opening;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Frame, Incoming},
};
use log::{info, warn};
use yuccatrail_adapter::ResponseMeta;
use yuccatrail_core::{
    event_stream::{EventFramer, EventId},
    quarantine::{PartVerdict, SOUND_EVENTS},
    retry_share::RetryCause,
    stage_graph::ResultHandle,
    upstreams::{Affinity, LONG_CONFIRMATION_MS, UpstreamKey},
};
use yuccatrail_runtime::http::BodyFraming;

use crate::relay::{
    attempt::{Attempt, AttemptError},
    buffers::HeldBytes,
    crashes::LostResponse,
    memory,
    model::selection_criteria,
    release::HeldResults,
    request::{CallerRequest, Refusal, ResponseAborted, ResponseBody, no_upstream_refusal},
    resumption::record_origin,
    retries::take_retry,
    rollouts::{Evidence, StreamPace, results::NeededUpstream},
    sabotage::Mechanism,
    state::{InProgressGuard, Relay},
    stream::opening::OpenOutcome,
};

/// Number of upstreams to try before a request is refused.
const MAX_TRIES: usize = 6;
/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Maximum size of the body of a failure, in bytes.
const MAX_FAILURE_BYTES: u64 = 1024 * 1024;
/// Detail of the log line about an interruption for [`Misplaced`].
const MISPLACED: &str = "resumed stream does not go on where it broke off";
/// Retry-After when no upstream accepts the request, in milliseconds.
const BUSY_RETRY_MS: u64 = 300;

/// A call to a model upstream, repeatable at another one.
#[derive(Clone)]
pub(crate) struct ModelCall {
    pub(crate) relay: Arc<Relay>,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) affinity: Option<Affinity>,
    pub(crate) inputs: Vec<ResultHandle>,
}

/// Why no stream was opened.
pub(crate) enum OpenError {
    /// A stage result that the model reads no longer exists; the request has not run.
    InputGone,
    /// No upstream accepted the request.
    Refused(Refusal),
}

/// A response whose first bytes have arrived; error responses are forwarded the same way.
pub(crate) struct OpenedStream {
    relayed: RelayedStream,
    status: StatusCode,
    headers: HeaderMap,
}

/// State of a stream that is being forwarded.
struct RelayedStream {
    call: ModelCall,
    source: Option<Source>,
    first_bytes: Option<Bytes>,
    framer: EventFramer,
    /// What the incomplete event takes of the memory for responses.
    buffered: HeldBytes,
    last_id: Option<EventId>,
    /// Identifier that the first event after a resumption must have; none where nothing was resumed.
    expected_id: Option<EventId>,
    /// Software version that began the stream; none before it has begun.
    version: Option<Arc<str>>,
    tried: Vec<UpstreamKey>,
    runs: u32,
    /// Why the next call would be a retry; none before a call has reached an upstream.
    retry_cause: Option<RetryCause>,
    events_bytes: u64,
    /// Framing of the last response.
    framing: BodyFraming,
    held: Option<HeldResults>,
    in_progress: Option<InProgressGuard>,
}

/// The connection to the upstream that currently produces the stream.
struct Source {
    attempt: Attempt,
    status: StatusCode,
    framing: BodyFraming,
    meta: ResponseMeta,
    body: Incoming,
    /// Number of whole events so far.
    events: u64,
    /// Times of these events.
    pace: StreamPace,
}

impl Source {
    /// Tells whether the body is an event stream; that of a failure need not be one.
    fn is_event_stream(&self) -> bool {
        self.status.is_success() && !Mechanism::WholeEvents.is_off()
    }
}

/// The first event after a resumption does not follow the last one before it.
struct Misplaced;

/// Opens the stream at an upstream and waits for its first bytes.
pub(crate) async fn open(call: ModelCall) -> Result<OpenedStream, OpenError> {
    let last_id = call.request.head.last_event_id;
    let version = call.request.origin.as_ref().map(|it| it.version.clone());
    let buffered = call.relay.response_buffers.hold_nothing();
    let mut relayed = RelayedStream {
        call,
        source: None,
        first_bytes: None,
        framer: EventFramer::new(),
        buffered,
        last_id,
        expected_id: None,
        version,
        tried: Vec::new(),
        runs: 0,
        retry_cause: None,
        events_bytes: 0,
        framing: BodyFraming::default(),
        held: None,
        in_progress: None,
    };
    let (status, headers) = relayed.connect().await?;
    Ok(OpenedStream { relayed, status, headers })
}

impl OpenedStream {
    /// Builds the response and releases the stage results, which the upstream has read by now.
    pub(crate) fn into_response(
        mut self,
        mut held: HeldResults,
        in_progress: InProgressGuard,
    ) -> Response<ResponseBody> {
        // An upstream reads its inputs before it generates the first event.
        held.release_all();
        self.relayed.held = Some(held);
        self.relayed.in_progress = Some(in_progress);
        let frames = unfold(self.relayed, |mut relayed| async move {
            let frame = relayed.next().await?;
            Some((frame.map(Frame::data), relayed))
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

impl RelayedStream {
    /// Sends the request to one upstream after another until one begins to respond.
    async fn connect(&mut self) -> Result<(StatusCode, HeaderMap), OpenError> {
        let (relay, request) = (self.call.relay.clone(), self.call.request.clone());
        let max_runs = request.authorized.route.max_runs();
        while self.tried.len() < MAX_TRIES && self.runs < max_runs {
            relay.wait_until_fresh().await;
            if relay.crashes.judge_parts(&request, relay.now_ms()) == PartVerdict::Refused {
                return Err(OpenError::Refused(Refusal::crashing("part_crashes_upstreams")));
            }
            let Some(attempt) = self.begin_next_attempt() else { break };
            if self.retry_cause.is_some_and(|it| !take_retry(&relay, &request, it)) {
                break;
            }
            self.tried.push(attempt.key);
            let upstream = attempt.record.clone();
            match self.try_open(attempt).await {
                Ok(OpenOutcome::Open(open)) => {
                    self.runs += 1;
                    self.retry_cause = Some(RetryCause::Resumed);
                    self.framing = open.source.framing;
                    let status = open.source.status;
                    if status.is_success() && request.authorized.route.is_resumable {
                        self.begin_at(&upstream.version);
                    }
                    self.source = Some(open.source);
                    self.first_bytes = open.first_bytes;
                    return Ok((status, open.headers));
                }
                Ok(OpenOutcome::NotRun) => self.retry_cause = Some(RetryCause::Rejected),
                Ok(OpenOutcome::InputGone) => return Err(OpenError::InputGone),
                Ok(OpenOutcome::Lost) => {
                    self.runs += 1;
                    self.retry_cause = Some(RetryCause::Failed);
                }
                Err(error) => {
                    warn!(id:% = request.id, error:% = error; "attempt failed");
                    if !matches!(error, AttemptError::Unreachable(_)) {
                        self.runs += 1;
                        self.retry_cause = Some(RetryCause::Failed);
                    }
                    if matches!(error, AttemptError::Lost(_)) {
                        let (relay, request) = (relay.clone(), request.clone());
                        let lost = LostResponse { relay, request, upstream, events: 0 };
                        if !lost.allows_retry().await {
                            break;
                        }
                    }
                }
            }
        }
        let (affinity, version) = (self.call.affinity.as_ref(), self.version.as_deref());
        let criteria = selection_criteria(&relay, &request, affinity, version, &self.tried);
        if let Some(refusal) = memory::refusal(&relay, &request, &criteria) {
            return Err(OpenError::Refused(refusal));
        }
        let has_tried = !self.tried.is_empty();
        let refusal = no_upstream_refusal(&relay, &request.service, has_tried, BUSY_RETRY_MS);
        Err(OpenError::Refused(refusal))
    }

    /// Records the software version at which the stream begins or goes on.
    fn begin_at(&mut self, version: &Arc<str>) {
        let (relay, request) = (&self.call.relay, &self.call.request);
        record_origin(relay, &request.id, &request.head, &request.service, version);
        self.version = Some(version.clone());
    }

    /// Returns the next bytes to forward; none at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        loop {
            if let Some(bytes) = self.first_bytes.take() {
                match self.accept_bytes(&bytes) {
                    Ok(None) => {}
                    Ok(Some(bytes)) => return Some(Ok(bytes)),
                    Err(Misplaced) => match self.resume(MISPLACED).await {
                        Ok(()) => continue,
                        Err(error) => return Some(Err(error)),
                    },
                }
            }
            let source = self.source.as_mut()?;
            let now_ms = self.call.relay.now_ms();
            let limit = Duration::from_millis(self.call.request.remaining_ms(now_ms));
            let frame = tokio::time::timeout(limit, source.body.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    match self.accept_bytes(&bytes) {
                        Ok(None) => {}
                        Ok(Some(_)) if self.is_endless_failure() => {
                            return Some(Err(self.abort("failure_too_long")));
                        }
                        Ok(Some(bytes)) => return Some(Ok(bytes)),
                        Err(Misplaced) => match self.resume(MISPLACED).await {
                            Ok(()) => continue,
                            Err(error) => return Some(Err(error)),
                        },
                    }
                    if self.is_event_too_long()
                        && let Err(error) = self.resume("event is too long").await
                    {
                        return Some(Err(error));
                    }
                }
                Ok(None) if self.framer.is_empty() => {
                    // Only the end of the response waits, the caller has all events.
                    let remaining_ms = self.call.request.remaining_ms(self.call.relay.now_ms());
                    let confirmed =
                        source.attempt.confirm_end(LONG_CONFIRMATION_MS, remaining_ms).await;
                    let Err(error) = confirmed else {
                        self.finish();
                        return None;
                    };
                    if let Err(error) = self.resume(&error.to_string()).await {
                        return Some(Err(error));
                    }
                }
                Ok(None) => {
                    if let Err(error) = self.resume("stream ended inside an event").await {
                        return Some(Err(error));
                    }
                }
                Ok(Some(Err(error))) => {
                    if let Err(error) = self.resume(&error.to_string()).await {
                        return Some(Err(error));
                    }
                }
                Err(_) => {
                    source.pace.record_silence(self.call.relay.now_ms());
                    self.record_pace();
                    return Some(Err(self.abort("time_over")));
                }
            }
        }
    }

    /// Tells whether the incomplete event exceeds the limit for one event, or for all that are held.
    fn is_event_too_long(&mut self) -> bool {
        let bytes = self.framer.buffered_bytes();
        bytes > MAX_EVENT_BYTES || !self.buffered.hold(bytes)
    }

    /// Tells whether the body of a failure is so long that its end is not awaited.
    fn is_endless_failure(&self) -> bool {
        let is_event_stream = self.source.as_ref().is_some_and(Source::is_event_stream);
        !is_event_stream && self.events_bytes > MAX_FAILURE_BYTES
    }

    /// Processes received bytes and returns those to forward; of a stream only whole events.
    fn accept_bytes(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, Misplaced> {
        let source = self.source.as_mut().filter(|it| it.is_event_stream());
        let passed = if let Some(source) = source {
            let Some(events) = self.framer.push(bytes) else { return Ok(None) };
            if self.expected_id.is_some() && events.first_id != self.expected_id {
                return Err(Misplaced);
            }
            self.expected_id = None;
            let is_sound = source.events >= SOUND_EVENTS;
            source.events += events.count;
            source.pace.record(events.count, self.call.relay.now_ms());
            if !is_sound && source.events >= SOUND_EVENTS {
                let relay = &self.call.relay;
                relay.crashes.record_sound(&self.call.request, relay.now_ms());
            }
            self.last_id = events.last_id.or(self.last_id);
            events.bytes
        } else {
            bytes.clone()
        };
        self.events_bytes += passed.len() as u64;
        Ok(Some(passed))
    }

    /// Continues a broken stream at another upstream.
    async fn resume(&mut self, detail: &str) -> Result<(), ResponseAborted> {
        let request = self.call.request.clone();
        // The stream goes on at an upstream of its version, which must not stop meanwhile.
        let mut needed = None;
        if let Some(source) = self.source.take() {
            needed = NeededUpstream::new(&self.call.relay, source.attempt.record.address);
            warn!(
                id:% = request.id,
                upstream:% = source.attempt.record.id,
                last_event_id = self.last_id.unwrap_or(0),
                detail = detail;
                "stream interrupted"
            );
            let lost = LostResponse {
                relay: self.call.relay.clone(),
                request: request.clone(),
                upstream: source.attempt.record.clone(),
                events: source.events,
            };
            source.attempt.fail();
            if !request.authorized.route.is_resumable {
                lost.check_in_background();
                return Err(self.abort("upstream_lost"));
            }
            if !lost.allows_retry().await {
                return Err(self.abort("crashes_upstreams"));
            }
        }
        self.discard_incomplete_event();
        if Mechanism::ResumePosition.is_off() {
            self.last_id = None;
        }
        self.first_bytes = None;
        self.expected_id = self.last_id.map(|it| it + 1);
        let limit = Duration::from_millis(request.remaining_ms(self.call.relay.now_ms()));
        let connected = tokio::time::timeout(limit, self.connect()).await;
        drop(needed);
        match connected {
            Ok(Ok((status, _))) if status.is_success() => {
                info!(
                    id:% = request.id,
                    after_event = self.last_id.unwrap_or(0),
                    version:% = self.version.as_deref().unwrap_or("");
                    "stream resumed"
                );
                Ok(())
            }
            _ => Err(self.abort("not_resumed")),
        }
    }

    fn discard_incomplete_event(&mut self) {
        self.framer = EventFramer::new();
        self.buffered = self.call.relay.response_buffers.hold_nothing();
    }

    fn abort(&mut self, reason: &'static str) -> ResponseAborted {
        self.source = None;
        self.first_bytes = None;
        self.log_end(reason);
        self.discard_incomplete_event();
        ResponseAborted
    }

    /// Records the pace of the stream as evidence about the version of its upstream.
    fn record_pace(&self) {
        let Some(source) = self.source.as_ref().filter(|it| it.status.is_success()) else { return };
        let route = &self.call.request.authorized.route.name;
        source.attempt.record_evidence(route, Evidence::Stream(source.pace));
    }

    fn finish(&mut self) {
        self.record_pace();
        let relay = &self.call.relay;
        if let Some(source) = self.source.take() {
            if source.events > 0 {
                relay.crashes.record_sound(&self.call.request, relay.now_ms());
            }
            source.attempt.finish(&source.meta);
        }
        relay.crashes.record_completed(&self.call.request, relay.now_ms());
        let took_ms = relay.now_ms().saturating_sub(self.call.request.arrived_ms);
        relay.record_duration(&self.call.request.authorized.route.name, took_ms);
        self.log_end("complete");
    }

    fn log_end(&self, end: &'static str) {
        let request = &self.call.request;
        info!(
            id:% = request.id,
            route:% = request.authorized.route.name,
            end = end,
            framing:% = self.framing,
            bytes = self.events_bytes,
            ends_event = self.framer.is_empty(),
            runs = self.runs,
            took_ms = self.call.relay.now_ms().saturating_sub(request.arrived_ms);
            "stream ended"
        );
    }
}
