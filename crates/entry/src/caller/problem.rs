//! Refusals as RFC 9457 problem documents.

use std::fmt::Display;

use hyper::{Response, StatusCode, header};
use serde_json::{Value, json};
use yuccatrail_core::outcome::{Execution, Reason, Refusal};
use yuccatrail_runtime::http::{Body, respond};

/// Content type of a problem document (RFC 9457, section 3).
const PROBLEM_JSON: &str = "application/problem+json";

/// A refused or failed request, from which a problem document is built.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Machine-readable reason; also the last part of the problem type.
    pub(crate) reason: String,
    /// Human-readable explanation.
    pub(crate) detail: String,
    /// What is known about the execution of the request.
    pub(crate) outcome: Execution,
    /// Retry-After, in milliseconds; none for an invalid request.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates the problem of an invalid request, which was not run.
    pub(crate) fn bad_request(status: StatusCode, reason: &str, detail: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.to_owned(),
            detail: detail.into(),
            outcome: Execution::NotRun,
            retry_after_ms: None,
        }
    }

    /// Creates the problem of a valid request that was refused or failed.
    pub(crate) fn refused(refusal: Refusal) -> Self {
        Self {
            status: status_of(refusal.reason),
            reason: refusal.reason.to_string(),
            detail: detail_of(refusal),
            outcome: refusal.execution,
            retry_after_ms: Some(refusal.retry_after_ms),
        }
    }

    /// Builds the problem document.
    pub(crate) fn to_json(&self, id: impl Display) -> Value {
        let mut document = json!({
            "type": format!("urn:yuccatrail:problem:{}", self.reason),
            "title": self.status.canonical_reason().unwrap_or("Error"),
            "status": self.status.as_u16(),
            "detail": self.detail,
            "reason": self.reason,
            "outcome": self.outcome.to_string(),
            "request_id": id.to_string(),
        });
        if let Some(retry_after_ms) = self.retry_after_ms {
            document["retry_after_ms"] = retry_after_ms.into();
        }
        document
    }

    /// Builds the HTTP response; Retry-After is rounded up to whole seconds, at least one.
    pub(crate) fn to_response(&self, id: impl Display) -> Response<Body> {
        let mut response = respond(self.status, PROBLEM_JSON, self.to_json(id).to_string());
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(1000).max(1);
            response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
        }
        response
    }
}

fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::DeadlineExpired | Reason::DispatchExpired => StatusCode::GATEWAY_TIMEOUT,
        Reason::UpstreamError
        | Reason::UpstreamLost
        | Reason::AgentLost
        | Reason::UnknownAttempt
        | Reason::WrongUpstream => StatusCode::BAD_GATEWAY,
        Reason::KeyClaimed => StatusCode::CONFLICT,
        Reason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::CustomerShare => StatusCode::TOO_MANY_REQUESTS,
        Reason::Busy
        | Reason::Cold
        | Reason::Leaving
        | Reason::DataCentreOut
        | Reason::Stopping
        | Reason::DeadlineUnreachable
        | Reason::Cancelled
        | Reason::Suspected
        | Reason::NoUpstream
        | Reason::NoConfiguration
        | Reason::PlatformUnavailable
        | Reason::RetryBudget => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn detail_of(refusal: Refusal) -> String {
    match refusal.execution {
        Execution::NotRun => "The request was not run.".to_owned(),
        Execution::Failed => "The request ran and failed.".to_owned(),
        Execution::Unknown => "The request may have run.".to_owned(),
    }
}
