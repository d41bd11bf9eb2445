//! Translates answers and failures of one call into values and errors.

use std::error::Error;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    Response, StatusCode,
    body::Incoming,
    header::{HeaderMap, RETRY_AFTER},
};
use hyper_util::client::legacy;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    CallKind, Object, PlatformError,
    wire::{Envelope, Status},
};

/// Largest answer that is read, in bytes; a list may hold many objects.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// One call, with what its errors have to name.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    pub(crate) call: CallKind,
    pub(crate) object: String,
}

impl Exchange {
    pub(crate) fn new(call: CallKind, object: String) -> Self {
        Self { call, object }
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

    /// Describes a request whose answer did not arrive.
    ///
    /// A write may have taken effect; a read never has any.
    pub(crate) fn unanswered(&self, detail: String) -> PlatformError {
        match self.call {
            CallKind::Read | CallKind::Watch => self.unavailable(detail, None),
            CallKind::Write => PlatformError::AnswerLost { object: self.object.clone(), detail },
        }
    }

    pub(crate) fn timed_out(&self) -> PlatformError {
        self.unanswered("no answer within the time-out".to_owned())
    }

    /// Describes a failure of the HTTP client.
    pub(crate) fn lost(&self, error: &legacy::Error) -> PlatformError {
        let detail = error_chain(error);
        // Nothing was sent when no connection could be opened.
        if error.is_connect() {
            return self.unavailable(detail, None);
        }
        self.unanswered(detail)
    }
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    status: StatusCode,
    retry_after_ms: Option<u64>,
    body: Bytes,
}

impl Answer {
    /// Reads the answer to its end; the caller limits the time.
    pub(crate) async fn read(
        exchange: &Exchange,
        response: Response<Incoming>,
    ) -> Result<Self, PlatformError> {
        let status = response.status();
        let retry_after_ms = retry_after_ms(response.headers());
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        match body {
            Ok(body) => Ok(Self { status, retry_after_ms, body: body.to_bytes() }),
            Err(error) => Err(exchange.unanswered(format!("answer cut short: {error}"))),
        }
    }

    /// Tells whether the API says that there is no such object.
    ///
    /// A 404 without that reason comes from something else than the API.
    pub(crate) fn is_not_found(&self) -> bool {
        self.status == StatusCode::NOT_FOUND && self.failure().reason == "NotFound"
    }

    /// Returns an error unless the call succeeded.
    pub(crate) fn check(&self, exchange: &Exchange) -> Result<(), PlatformError> {
        if self.status.is_success() {
            return Ok(());
        }
        let failure = self.failure();
        let object = exchange.object.clone();
        let detail = format!("{} {}: {}", self.status.as_u16(), failure.reason, failure.message);
        let error = match self.status {
            StatusCode::CONFLICT if failure.reason == "AlreadyExists" => {
                PlatformError::AlreadyExists { object }
            }
            StatusCode::CONFLICT => PlatformError::Conflict { object },
            StatusCode::GONE => PlatformError::Gone { object },
            StatusCode::TOO_MANY_REQUESTS => exchange.unavailable(detail, self.retry_after_ms),
            // Only an explicit invitation to retry says that the request was not taken up.
            StatusCode::SERVICE_UNAVAILABLE if self.retry_after_ms.is_some() => {
                exchange.unavailable(detail, self.retry_after_ms)
            }
            status if status.is_server_error() => exchange.unanswered(detail),
            _ => exchange.invalid(detail),
        };
        Err(error)
    }

    /// Returns the body as it arrived.
    pub(crate) fn into_body(self) -> Bytes {
        self.body
    }

    /// Decodes the answer of a successful call.
    pub(crate) fn json<T: DeserializeOwned>(
        &self,
        exchange: &Exchange,
    ) -> Result<T, PlatformError> {
        self.check(exchange)?;
        serde_json::from_slice(&self.body).map_err(|error| match exchange.call {
            CallKind::Read | CallKind::Watch => exchange.invalid(error.to_string()),
            // The write succeeded; only reading back tells with which version.
            CallKind::Write => exchange.unanswered(error.to_string()),
        })
    }

    /// Decodes the object in the answer of a successful call.
    pub(crate) fn object<T: DeserializeOwned>(
        &self,
        exchange: &Exchange,
    ) -> Result<Object<T>, PlatformError> {
        let envelope: Envelope<T> = self.json(exchange)?;
        envelope.into_object().map_err(|detail| exchange.invalid(detail))
    }

    fn failure(&self) -> Status {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Reads a `Retry-After` header in its form with seconds, in milliseconds; a platform may send
/// fractions.
fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1_000.0) as u64)
}

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
