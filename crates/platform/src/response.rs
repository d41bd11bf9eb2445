//! Conversion of HTTP responses and failures of a call into values and errors.

use std::{
    error::Error,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::{
    Response, StatusCode,
    body::Incoming,
    header::{HeaderMap, HeaderName, RETRY_AFTER},
    http::response::Parts,
};
use hyper_util::client::legacy;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    CallKind, Object, PlatformError,
    wire::{Envelope, Status},
};

/// Maximum size of a response body, in bytes; a list may contain many objects.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Longest time for a body, as a multiple of the longest pause in it; bounds a body that never ends.
const MAX_BODY_PAUSES: u32 = 20;

/// Kind and object of a call, which decide how its errors are classified and reported.
#[derive(Clone, Debug)]
pub(crate) struct CallContext {
    pub(crate) call_kind: CallKind,
    pub(crate) object: String,
}

impl CallContext {
    pub(crate) fn new(call_kind: CallKind, object: String) -> Self {
        Self { call_kind, object }
    }

    pub(crate) fn encode<T: Serialize>(&self, value: &T) -> Result<Bytes, PlatformError> {
        serde_json::to_vec(value).map(Bytes::from).map_err(|it| self.invalid(it.to_string()))
    }

    pub(crate) fn invalid(&self, detail: String) -> PlatformError {
        PlatformError::Invalid { object: self.object.clone(), detail }
    }

    pub(crate) fn unavailable(&self, detail: String, retry_after_ms: Option<u64>) -> PlatformError {
        PlatformError::Unavailable { object: self.object.clone(), detail, retry_after_ms }
    }

    /// Returns the error for a request whose response did not arrive.
    ///
    /// A write may have taken effect; reads have no effect.
    pub(crate) fn response_lost(&self, detail: String) -> PlatformError {
        match self.call_kind {
            CallKind::Read | CallKind::Watch => self.unavailable(detail, None),
            CallKind::Write => PlatformError::AnswerLost { object: self.object.clone(), detail },
        }
    }

    pub(crate) fn timed_out(&self) -> PlatformError {
        self.response_lost("no response within the timeout".to_owned())
    }

    /// Returns the error for a failure of the HTTP client.
    pub(crate) fn http_client_error(&self, error: &legacy::Error) -> PlatformError {
        let detail = error_chain(error);
        // No request was sent if no connection could be opened.
        if error.is_connect() {
            return self.unavailable(detail, None);
        }
        self.response_lost(detail)
    }
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    status: StatusCode,
    retry_after_ms: Option<u64>,
    era: Option<u64>,
    body: Bytes,
}

impl BufferedResponse {
    /// Reads the body to its end; the caller limits the time.
    pub(crate) async fn read(
        context: &CallContext,
        response: Response<Incoming>,
        era_header: Option<&HeaderName>,
    ) -> Result<Self, PlatformError> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        match body {
            Ok(body) => Ok(Self::new(&head, body.to_bytes(), era_header)),
            Err(error) => Err(context.response_lost(format!("response truncated: {error}"))),
        }
    }

    /// Reads the body to its end; fails when it pauses for longer than `idle_limit`, or takes
    /// [`MAX_BODY_PAUSES`] times as long in total.
    pub(crate) async fn read_while_it_arrives(
        context: &CallContext,
        response: Response<Incoming>,
        era_header: Option<&HeaderName>,
        idle_limit: Duration,
    ) -> Result<Self, PlatformError> {
        let (head, body) = response.into_parts();
        let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
        let mut received = BytesMut::new();
        let begun = Instant::now();
        while begun.elapsed() < idle_limit * MAX_BODY_PAUSES {
            let frame = tokio::time::timeout(idle_limit, body.frame()).await;
            let Some(frame) = frame.map_err(|_| context.timed_out())? else {
                return Ok(Self::new(&head, received.freeze(), era_header));
            };
            match frame {
                // Trailers carry no bytes of the body.
                Ok(frame) => received.extend_from_slice(frame.data_ref().map_or(&[], |it| it)),
                Err(error) => {
                    return Err(context.response_lost(format!("response truncated: {error}")));
                }
            }
        }
        Err(context.timed_out())
    }

    fn new(head: &Parts, body: Bytes, era_header: Option<&HeaderName>) -> Self {
        Self {
            status: head.status,
            retry_after_ms: retry_after_ms(&head.headers),
            era: era_header.and_then(|it| era(&head.headers, it)),
            body,
        }
    }

    /// Returns the HTTP status.
    pub(crate) fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the era that the response states.
    pub(crate) fn era(&self) -> Option<u64> {
        self.era
    }

    /// Tells whether the API reports that the object does not exist.
    ///
    /// A 404 without the reason `NotFound` does not come from the API itself.
    pub(crate) fn is_not_found(&self) -> bool {
        self.status == StatusCode::NOT_FOUND && self.error_status().reason == "NotFound"
    }

    /// Returns an error unless the response reports success.
    pub(crate) fn check(&self, context: &CallContext) -> Result<(), PlatformError> {
        if self.status.is_success() {
            return Ok(());
        }
        let error_status = self.error_status();
        let object = context.object.clone();
        let detail =
            format!("{} {}: {}", self.status.as_u16(), error_status.reason, error_status.message);
        let error = match self.status {
            StatusCode::CONFLICT if error_status.reason == "AlreadyExists" => {
                PlatformError::AlreadyExists { object }
            }
            StatusCode::CONFLICT => PlatformError::Conflict { object },
            StatusCode::GONE => PlatformError::Gone { object },
            StatusCode::TOO_MANY_REQUESTS => context.unavailable(detail, self.retry_after_ms),
            // A 503 shows that the request was not processed only if it has a Retry-After header.
            StatusCode::SERVICE_UNAVAILABLE if self.retry_after_ms.is_some() => {
                context.unavailable(detail, self.retry_after_ms)
            }
            // A status that HTTP does not define says nothing of the request either.
            status if status.as_u16() < 200 || status.as_u16() >= 500 => {
                context.response_lost(detail)
            }
            _ => context.invalid(detail),
        };
        Err(error)
    }

    /// Returns the undecoded body.
    pub(crate) fn into_body(self) -> Bytes {
        self.body
    }

    /// Decodes the body if the call succeeded.
    pub(crate) fn json<T: DeserializeOwned>(
        &self,
        context: &CallContext,
    ) -> Result<T, PlatformError> {
        self.check(context)?;
        serde_json::from_slice(&self.body).map_err(|error| match context.call_kind {
            CallKind::Read | CallKind::Watch => context.invalid(error.to_string()),
            // The write succeeded, but the new version of the object is known only after a read.
            CallKind::Write => context.response_lost(error.to_string()),
        })
    }

    /// Decodes the object in the body if the call succeeded.
    pub(crate) fn object<T: DeserializeOwned>(
        &self,
        context: &CallContext,
    ) -> Result<Object<T>, PlatformError> {
        let envelope: Envelope<T> = self.json(context)?;
        envelope.into_object().map_err(|detail| context.invalid(detail))
    }

    /// Returns the `Status` object in the body, or the default if there is none.
    fn error_status(&self) -> Status {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Returns the value of a `Retry-After` header in seconds, converted to milliseconds; a platform
/// may send fractions of a second.
fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1_000.0) as u64)
}

/// Returns the era of the platform that a response states in the header `name`.
pub(crate) fn era(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Returns the messages of an error and of all its causes.
fn error_chain(error: &legacy::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
