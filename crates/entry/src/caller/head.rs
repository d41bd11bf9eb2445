//! Headers of a caller's request.

use hyper::{HeaderMap, StatusCode, header};

use super::problem::Problem;

/// Header that names the customer.
pub(crate) const CUSTOMER: &str = "x-customer";
/// Header that shortens the declared deadline, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "x-deadline-ms";
/// Header that names a request across resends.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header by which a caller states that no other copy of the call was or will be sent.
pub(crate) const ONLY_COPY: &str = "x-only-copy";
/// Header of an answer that carries the request identifier.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Headers that the entry understands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerHead {
    /// Customer name.
    pub(crate) customer: String,
    /// Deadline that the caller asks for, in milliseconds.
    pub(crate) deadline_ms: Option<u64>,
    /// Name of the request across resends.
    pub(crate) idempotency_key: Option<String>,
    /// Whether the caller states that this is the only copy of the call.
    pub(crate) only_copy: bool,
    /// Whether the caller accepts a stream of events.
    pub(crate) streams: bool,
}

impl CallerHead {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// Returns a problem that names the faulty header.
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
        let streams = accept.contains("text/event-stream");
        let only_copy = text(headers, ONLY_COPY)?.is_some_and(|it| it == "true");
        Ok(Self { customer, deadline_ms, idempotency_key, only_copy, streams })
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
