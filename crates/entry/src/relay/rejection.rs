//! Responses to requests that are rejected before they are served, and the reading of their bodies.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
};
use log::info;
use yuccatrail_adapter::retry_after;
use yuccatrail_core::{outcome::Execution, route_table::AuthorizedRequest};
use yuccatrail_runtime::request_body::{BodyError, HeldBody};

use crate::{
    caller::{problem::Problem, routes::BODY_MEMORY_RETRY_MS},
    relay::{metrics::RequestLabels, request::ResponseBody, state::Relay},
};

/// Retry-After of a stopping entry, in milliseconds; other entries can take the request at once.
pub(crate) const STOPPING_RETRY_MS: u64 = 20;

/// Marks the response to a request whose body was not read, so that the caller may still be sending it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreadBody;

/// Reads the body of a request to its end, unless that takes longer than `wait_ms`.
pub(crate) async fn read_body(
    relay: &Relay,
    body: Incoming,
    authorized: &AuthorizedRequest,
    limit_bytes: usize,
    wait_ms: u64,
) -> Result<HeldBody, Problem> {
    let customer = authorized.customer.as_deref().unwrap_or_default();
    let reading = relay.request_bodies.read(body, limit_bytes, customer);
    match tokio::time::timeout(Duration::from_millis(wait_ms), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLong { .. })) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(Problem::bad_request(status, "body_too_long", "The body is too long."))
        }
        Ok(Err(error @ BodyError::NoMemory(_))) => Err(Problem {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "body_memory_full".to_owned(),
            detail: error.to_string(),
            outcome: Execution::NotRun,
            retry_after_ms: Some(BODY_MEMORY_RETRY_MS),
        }),
        Ok(Err(error @ BodyError::Broken(_))) => Err(bad_request("bad_body", &error.to_string())),
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(Problem::bad_request(status, "body_late", "The body did not arrive in time."))
        }
    }
}

/// Problem of a request that a stopping entry can't serve in time.
pub(crate) fn stopping_problem() -> Problem {
    Problem {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason: "stopping".to_owned(),
        detail: "The entry stops before the request would end.".to_owned(),
        outcome: Execution::NotRun,
        retry_after_ms: Some(STOPPING_RETRY_MS),
    }
}

/// Problem of a malformed request.
pub(crate) fn bad_request(reason: &str, detail: &str) -> Problem {
    Problem::bad_request(StatusCode::BAD_REQUEST, reason, detail)
}

/// Builds, logs and counts the response to a request that is rejected before it is served.
pub(crate) fn reject(relay: &Relay, id: &str, problem: &Problem) -> Response<ResponseBody> {
    info!(
        id = id,
        reason:% = problem.reason,
        status = problem.status.as_u16(),
        detail:% = problem.detail;
        "request rejected"
    );
    let labels = RequestLabels {
        route: String::new(),
        status: problem.status.as_u16(),
        reason: problem.reason.clone(),
    };
    relay.metrics.count(labels, 0);
    problem_response(problem, id)
}

/// Builds, logs and counts the response to a request that is rejected before its body was read.
pub(crate) fn reject_unread(relay: &Relay, id: &str, problem: &Problem) -> Response<ResponseBody> {
    let mut response = reject(relay, id, problem);
    response.extensions_mut().insert(UnreadBody);
    response
}

/// Builds, logs and counts the response to a request whose body was not read to its end, after which the
/// connection can't be used any more.
pub(crate) fn reject_and_close(
    relay: &Relay,
    id: &str,
    problem: &Problem,
) -> Response<ResponseBody> {
    let mut response = reject_unread(relay, id, problem);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Converts a problem to a response with the platform's Retry-After.
pub(crate) fn problem_response(problem: &Problem, id: &str) -> Response<ResponseBody> {
    let response = problem.to_response(id);
    let mut response = response.map(|body| body.map_err(|never| match never {}).boxed_unsync());
    if let Some(retry_after_ms) = problem.retry_after_ms {
        let (name, value) = retry_after(retry_after_ms);
        response.headers_mut().insert(name, value);
    }
    response
}
