//! Opens a stream at one upstream.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use log::{info, warn};
use yuccatrail_adapter::forwarded_headers;
use yuccatrail_runtime::http::BodyFraming;

use crate::relay::{
    attempt::{Attempt, AttemptError, check_seal},
    model::selection_criteria,
    rollouts::{Evidence, StreamPace},
    stream::{RelayedStream, Source, first_event::FirstEvent},
};

/// A source with its response headers and first bytes.
pub(super) struct OpenedSource {
    pub(super) source: Source,
    pub(super) headers: HeaderMap,
    pub(super) first_bytes: Option<Bytes>,
}

/// Result of one attempt to open a stream.
pub(super) enum OpenOutcome {
    Open(Box<OpenedSource>),
    NotRun,
    InputGone,
    Lost,
}

impl RelayedStream {
    pub(super) fn begin_next_attempt(&self) -> Option<Attempt> {
        let (relay, request) = (&self.call.relay, &self.call.request);
        let (affinity, version) = (self.call.affinity.as_ref(), self.version.as_deref());
        let criteria = selection_criteria(relay, request, affinity, version, &self.tried);
        let now_ms = relay.now_ms();
        let attempt = Attempt::begin_chosen(relay, &criteria)?;
        info!(
            id:% = request.id,
            upstream:% = attempt.record.id,
            version:% = attempt.record.version,
            last_event_id = self.last_id.unwrap_or(0),
            resumes = request.head.resumed_request_id.as_deref().unwrap_or(""),
            prefix = self.call.affinity.as_ref().map_or("", |it| it.prefix.as_str()),
            list_sequence = attempt.record.sequence,
            waited_ms = now_ms.saturating_sub(request.arrived_ms),
            attempt = self.tried.len() + 1;
            "upstream chosen"
        );
        Some(attempt)
    }

    pub(super) async fn try_open(&self, mut attempt: Attempt) -> Result<OpenOutcome, AttemptError> {
        let (relay, request) = (&self.call.relay, &self.call.request);
        let inputs = (!self.call.inputs.is_empty()).then(|| self.call.inputs.join(","));
        let now_ms = relay.now_ms();
        let upstream_request =
            request.upstream_request(&attempt.record, now_ms, inputs, self.last_id);
        let first_event = FirstEvent::expect(relay, request, attempt.key);
        let (response, meta) = request.send(&mut attempt, &upstream_request).await?;
        let (parts, mut body) = response.into_parts();
        let framing = BodyFraming::of(parts.status, &parts.headers);
        if meta.is_not_run {
            // The connection can be reused only after a complete response.
            if relay.response_buffers.skip(body).await {
                attempt.finish(&meta);
            }
            let outcome =
                if meta.is_input_gone { OpenOutcome::InputGone } else { OpenOutcome::NotRun };
            return Ok(outcome);
        }
        check_seal(parts.status, &meta)?;
        if parts.status.is_server_error() {
            attempt.record_evidence(&request.authorized.route.name, Evidence::Failure);
        }
        if parts.status.is_server_error() && self.call.request.authorized.route.is_repeatable() {
            warn!(id:% = request.id, status = parts.status.as_u16(); "upstream failed");
            attempt.fail();
            return Ok(OpenOutcome::Lost);
        }
        let first_bytes = match body.frame().await {
            Some(Ok(frame)) => frame.into_data().ok(),
            Some(Err(error)) => {
                attempt.fail();
                return Err(AttemptError::Lost(error.to_string()));
            }
            // Nothing shows that a response without events and without a marked end is complete.
            None if framing == BodyFraming::Close && parts.status.is_success() => {
                attempt.fail();
                return Err(AttemptError::Lost("stream ended before its first event".to_owned()));
            }
            None => None,
        };
        first_event.arrived();
        let headers = forwarded_headers(&parts.headers);
        let source = Source {
            attempt,
            status: parts.status,
            framing,
            meta,
            body,
            events: 0,
            pace: StreamPace::default(),
        };
        let open = OpenedSource { source, headers, first_bytes };
        Ok(OpenOutcome::Open(Box::new(open)))
    }
}
