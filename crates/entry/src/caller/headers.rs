//! Headers of a caller's request.

use hyper::{HeaderMap, StatusCode, header};

use super::problem::Problem;

/// Header that names the customer.
pub(crate) const CUSTOMER: &str = "x-customer";
/// Header that sets a deadline shorter than the declared one, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "x-deadline-ms";
/// Header that identifies a request across resends.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that states, if `true`, that no other copy of the call was or will be sent.
pub(crate) const ONLY_COPY: &str = "x-only-copy";
/// Response header that contains the request identifier.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Values of the request headers that the entry evaluates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerHeaders {
    /// Name of the customer.
    pub(crate) customer: String,
    /// Requested deadline, in milliseconds after the arrival.
    pub(crate) deadline_ms: Option<u64>,
    /// Key that identifies the request across resends.
    pub(crate) idempotency_key: Option<String>,
    /// Whether the caller states that no other copy of the call was or will be sent.
    pub(crate) only_copy: bool,
    /// Whether the caller accepts server-sent events.
    pub(crate) accepts_event_stream: bool,
}

impl CallerHeaders {
    /// Parses the headers.
    ///
    /// # Errors
    ///
    /// Returns a problem that names the missing or invalid header.
    pub(crate) fn parse(headers: &HeaderMap) -> Result<Self, Problem> {
        let Some(customer) = text(headers, CUSTOMER)? else {
            return Err(bad_header(CUSTOMER, "is required"));
        };
        let deadline_ms = match text(headers, DEADLINE_MS)? {
            Some(value) => Some(parse_deadline(&value)?),
            None => None,
        };
        let idempotency_key = text(headers, IDEMPOTENCY_KEY)?;
        if idempotency_key.as_ref().is_some_and(|it| it.is_empty() || it.len() > MAX_KEY_BYTES) {
            return Err(bad_header(IDEMPOTENCY_KEY, "must have 1 to 256 bytes"));
        }
        let accept = text(headers, header::ACCEPT.as_str())?.unwrap_or_default();
        let accepts_event_stream = accept.contains("text/event-stream");
        let only_copy = text(headers, ONLY_COPY)?.is_some_and(|it| it == "true");
        Ok(Self { customer, deadline_ms, idempotency_key, only_copy, accepts_event_stream })
    }
}

fn parse_deadline(value: &str) -> Result<u64, Problem> {
    match value.parse() {
        Ok(0) | Err(_) => Err(bad_header(DEADLINE_MS, "must be a positive whole number")),
        Ok(deadline_ms) => Ok(deadline_ms),
    }
}

fn text(headers: &HeaderMap, name: &str) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(value) => Ok(Some(value.to_owned())),
        Err(_) => Err(bad_header(name, "must be visible ASCII text")),
    }
}

fn bad_header(name: &str, fault: &str) -> Problem {
    Problem::bad_request(StatusCode::BAD_REQUEST, "bad_header", format!("header {name} {fault}"))
}
