//! Receives a caller's request, authorizes it and serves it by the kind of its route.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming, header};
use log::info;
use yuccatrail_adapter::{
    AddedHeaders, CallerHeaders, ResponseMeta, decode_caller_headers, promises_not_run,
    upstream_headers,
};
use yuccatrail_core::{
    ids::Digest,
    outcome::Execution,
    quarantine::PartVerdict,
    route_table::{AuthorizedRequest, Denial, RouteKind, RouteTable},
    stream_origin::StreamOrigin,
    upstreams::UpstreamRecord,
};
use yuccatrail_runtime::request_body::HeldBody;

use crate::{
    caller::problem::Problem,
    relay::{
        attempt::{Attempt, AttemptError, UpstreamRequest},
        crashes::part_digests,
        metrics::RequestLabels,
        model, plain,
        pool::ConnectionId,
        rejection::{
            STOPPING_RETRY_MS, bad_request, problem_response, read_body, reject, reject_and_close,
            reject_unread, stopping_problem,
        },
        resumption::find_origin,
        sabotage::Mechanism,
        state::{InProgressGuard, Relay, lock},
    },
};

/// Retry-After while the entry has no configuration, in milliseconds; about the time of a start.
const NO_CONFIGURATION_RETRY_MS: u64 = 500;
/// Retry-After for a request that crashes its upstreams, in milliseconds; half of the time for
/// which crashes count against it.
const CRASHING_RETRY_MS: u64 = 60_000;
/// Deadline of a request that states none, in milliseconds; the route's timeout limits it further.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Body of a response to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, ResponseAborted>;

/// The response ends before it is complete; hyper aborts the caller's connection on this error.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("response aborted")]
pub(crate) struct ResponseAborted;

/// The request that a response belongs to.
#[derive(Clone, Debug)]
pub(crate) struct AnsweredRequest {
    /// Identifier from the caller.
    pub(crate) id: String,
    /// Deadline, in milliseconds since the start of the relay.
    pub(crate) deadline_ms: u64,
}

/// An authorized request of a caller, with its whole body.
pub(crate) struct CallerRequest {
    /// Identifier from the caller; empty if it sent none.
    pub(crate) id: String,
    /// Decoded headers.
    pub(crate) head: CallerHeaders,
    /// Matched route and customer.
    pub(crate) authorized: AuthorizedRequest,
    /// Service that the route's traffic split selected, or that began the stream.
    pub(crate) service: Arc<str>,
    /// Where the stream began that the caller takes up.
    pub(crate) origin: Option<StreamOrigin>,
    /// Arrival time, in milliseconds since the start of the relay.
    pub(crate) arrived_ms: u64,
    /// Deadline, in milliseconds since the start of the relay: the caller's or the route's timeout,
    /// whichever is earlier.
    pub(crate) deadline_ms: u64,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: HeldBody,
    /// Digests of the parts of the prompt that other requests may have too.
    pub(crate) part_digests: Vec<Digest>,
    /// Number of calls that may have run, including those about to be sent.
    possible_runs: AtomicUsize,
    /// Connections on which upstreams have rejected the request.
    rejected_on: Mutex<Vec<ConnectionId>>,
}

/// Why a request is answered by the relay itself instead of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Machine-readable reason.
    pub(crate) reason: &'static str,
    /// Retry-After, in milliseconds; sent only if nothing has run.
    pub(crate) retry_after_ms: Option<u64>,
    /// Status to use if the request may have run.
    pub(crate) status: StatusCode,
}

impl Refusal {
    /// Refusal with a Retry-After, for a request that is not expected to have run.
    pub(crate) fn busy(reason: &'static str, retry_after_ms: u64) -> Self {
        let status = StatusCode::BAD_GATEWAY;
        Self { reason, retry_after_ms: Some(retry_after_ms), status }
    }

    /// Refusal of a request that is known to crash upstreams.
    pub(crate) fn crashing(reason: &'static str) -> Self {
        Self::busy(reason, CRASHING_RETRY_MS)
    }

    /// Refusal of a request that no later try can serve either.
    pub(crate) fn gone(reason: &'static str) -> Self {
        Self { reason, retry_after_ms: None, status: StatusCode::BAD_GATEWAY }
    }

    /// Refusal by an entry that stops.
    pub(crate) fn stopping() -> Self {
        let status = StatusCode::GATEWAY_TIMEOUT;
        Self { reason: "stopping", retry_after_ms: Some(STOPPING_RETRY_MS), status }
    }

    /// Refusal of a request whose deadline has passed.
    pub(crate) fn timed_out(reason: &'static str) -> Self {
        Self { reason, retry_after_ms: None, status: StatusCode::GATEWAY_TIMEOUT }
    }
}

/// Returns the refusal of a request that no upstream of its service accepts.
///
/// `has_tried` tells whether an upstream was called. If all of them rest or have reached their limits,
/// the caller is told when the first one takes calls again, but not to return before `busy_retry_ms`.
pub(crate) fn no_upstream_refusal(
    relay: &Relay,
    service: &str,
    has_tried: bool,
    busy_retry_ms: u64,
) -> Refusal {
    if let Some(first) = relay.upstreams().earliest_return(service, relay.now_ms()) {
        let reason = if first.is_resting { "upstreams_rest" } else { "upstreams_limited" };
        return Refusal::busy(reason, first.wait_ms.max(busy_retry_ms));
    }
    let reason = if has_tried { "upstreams_failed" } else { "no_upstream" };
    Refusal::busy(reason, busy_retry_ms)
}

impl CallerRequest {
    /// Returns the time left until the deadline, in milliseconds.
    pub(crate) fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Returns the time by which a response meets the route's target latency, in milliseconds since
    /// the start of the relay.
    pub(crate) fn soft_deadline_ms(&self) -> u64 {
        self.arrived_ms + self.authorized.route.target_latency_ms
    }

    /// Returns the HTTP method.
    pub(crate) fn method(&self) -> &Method {
        &self.method
    }

    /// Returns path and query as the caller sent them.
    pub(crate) fn target(&self) -> &str {
        self.uri.path_and_query().map_or("/", |it| it.as_str())
    }

    /// Returns the complete body.
    pub(crate) fn body(&self) -> &Bytes {
        self.body.bytes()
    }

    /// Sends the request, and records whether it may have run and where it was rejected.
    pub(crate) async fn send(
        &self,
        attempt: &mut Attempt,
        upstream_request: &UpstreamRequest,
    ) -> Result<(Response<Incoming>, ResponseMeta), AttemptError> {
        // Counted before the first byte is sent, so that a cancelled call counts as possibly run.
        self.possible_runs.fetch_add(1, Ordering::Relaxed);
        let sent = attempt.send(upstream_request).await;
        let is_not_run = match &sent {
            Ok((_, meta)) => meta.is_not_run,
            Err(error) => matches!(error, AttemptError::Unreachable(_)),
        };
        if is_not_run {
            if let (Ok((response, _)), Some(connection)) = (&sent, attempt.connection_id()) {
                info!(
                    id:% = self.id,
                    upstream:% = attempt.record.id,
                    connection:% = connection,
                    status = response.status().as_u16();
                    "upstream rejected the request"
                );
                lock(&self.rejected_on).push(connection);
            }
            self.possible_runs.fetch_sub(1, Ordering::Relaxed);
            return sent;
        }
        if let Ok((response, _)) = &sent
            && promises_not_run(response.status())
            && !self.authorized.route.is_repeatable()
        {
            // The caller would send a request again that may have run.
            attempt.record_failure();
            let detail = format!("status {} without a statement", response.status().as_u16());
            return Err(AttemptError::Damaged(detail));
        }
        sent
    }

    /// Builds the request to an upstream.
    pub(crate) fn upstream_request(
        &self,
        upstream: &UpstreamRecord,
        now_ms: u64,
        inputs: Option<String>,
        last_event_id: Option<u64>,
    ) -> UpstreamRequest {
        let call = AddedHeaders {
            upstream_id: &upstream.id,
            remaining_ms: self.remaining_ms(now_ms),
            customer: self.authorized.customer.as_deref(),
            inputs,
            last_event_id,
        };
        UpstreamRequest {
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: upstream_headers(&self.headers, &call),
            body: self.body.bytes().clone(),
            request_id: Some(self.id.clone()),
            rejected_on: self.rejected_on(),
        }
    }

    fn rejected_on(&self) -> Vec<ConnectionId> {
        if Mechanism::FreshConnection.is_off() {
            return Vec::new();
        }
        lock(&self.rejected_on).clone()
    }

    /// Builds, logs and counts the response to a request that no upstream answered.
    pub(crate) fn refuse(&self, relay: &Relay, refusal: &Refusal) -> Response<ResponseBody> {
        let may_have_run =
            self.possible_runs.load(Ordering::Relaxed) > 0 && !Mechanism::TrueRefusal.is_off();
        let (status, outcome) = if may_have_run {
            (refusal.status, Execution::Unknown)
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, Execution::NotRun)
        };
        let retry_after_ms = refusal.retry_after_ms.filter(|_| !may_have_run);
        let took_ms = relay.now_ms().saturating_sub(self.arrived_ms);
        info!(
            id:% = self.id,
            route:% = self.authorized.route.name,
            reason = refusal.reason,
            status = status.as_u16(),
            outcome:% = outcome,
            retry_after_ms = retry_after_ms.unwrap_or(0),
            took_ms = took_ms;
            "request refused"
        );
        let labels = RequestLabels {
            route: self.authorized.route.name.clone(),
            status: status.as_u16(),
            reason: refusal.reason.to_owned(),
        };
        relay.metrics.count(labels, took_ms);
        let problem = Problem {
            status,
            reason: refusal.reason.to_owned(),
            detail: "No upstream answered the request.".to_owned(),
            outcome,
            retry_after_ms,
        };
        problem_response(&problem, &self.id)
    }
}

/// A request whose response has not begun; logged if it is dropped, since its caller has left.
struct UnansweredRequest {
    relay: Arc<Relay>,
    request: Arc<CallerRequest>,
    is_answered: bool,
}

impl UnansweredRequest {
    /// Records that the response begins.
    fn close(mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredRequest {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let request = &self.request;
        info!(
            id:% = request.id,
            route:% = request.authorized.route.name,
            took_ms = self.relay.now_ms().saturating_sub(request.arrived_ms),
            remaining_ms = request.remaining_ms(self.relay.now_ms());
            "caller left before its response began"
        );
    }
}

/// Handles one HTTP request of a caller.
pub(crate) async fn handle_request(
    relay: Arc<Relay>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let in_progress = relay.begin_request();
    let arrived_ms = relay.now_ms();
    relay.wait_until_fresh().await;
    let (parts, body) = request.into_parts();
    let head = decode_caller_headers(&parts.headers);
    // Requests without an identifier are logged with an empty one.
    let id = head.request_id.clone().unwrap_or_default();
    let Some(table) = relay.table() else {
        let problem = Problem {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "no_configuration".to_owned(),
            detail: "The entry has no configuration yet.".to_owned(),
            outcome: Execution::NotRun,
            retry_after_ms: Some(NO_CONFIGURATION_RETRY_MS),
        };
        return reject_unread(&relay, &id, &problem);
    };
    let authorized = match authorize(&table, &parts.headers, &parts.uri, &head) {
        Ok(authorized) => authorized,
        Err(problem) => return reject_unread(&relay, &id, &problem),
    };
    let timeout_ms = authorized.route.timeout_ms;
    let wait_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(timeout_ms);
    let deadline_ms = arrived_ms + wait_ms;
    if !relay.has_time_for(&authorized.route, deadline_ms) {
        return reject_unread(&relay, &id, &stopping_problem());
    }
    let body = tokio::select! {
        body = read_body(&relay, body, &authorized, table.limits().body_bytes, wait_ms) => body,
        () = relay.until_unsent_refused() => Err(stopping_problem()),
    };
    let body = match body {
        Ok(body) => body,
        Err(problem) => return reject_and_close(&relay, &id, &problem),
    };
    // The body may have taken most of the time that was left.
    if !relay.has_time_for(&authorized.route, deadline_ms) {
        return reject(&relay, &id, &stopping_problem());
    }
    let Some(selected) = authorized.route.select_service(rand::random()).cloned() else {
        let problem = bad_request("no_service", "The route names no service.");
        return reject(&relay, &id, &problem);
    };
    let found = find_origin(&relay, &id, &head, &authorized).await;
    let (origin, refusal) = match found {
        Ok(origin) => (origin, None),
        Err(refusal) => (None, Some(refusal)),
    };
    let service = origin.as_ref().map_or(selected, |it| it.service.clone());
    relay.retries().count_request(&service, arrived_ms);
    let part_digests = part_digests(&service, &head);
    let request = Arc::new(CallerRequest {
        id,
        part_digests,
        head,
        authorized,
        service,
        origin,
        arrived_ms,
        deadline_ms,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        possible_runs: AtomicUsize::new(0),
        rejected_on: Mutex::default(),
    });
    if let Some(refusal) = refusal {
        return request.refuse(&relay, &refusal);
    }
    relay.crashes.record_state.until_known(relay.now_ms()).await;
    if relay.crashes.is_refused(&request, arrived_ms) {
        return request.refuse(&relay, &Refusal::crashing("crashes_upstreams"));
    }
    if relay.crashes.judge_parts(&request, arrived_ms) == PartVerdict::Refused {
        return request.refuse(&relay, &Refusal::crashing("part_crashes_upstreams"));
    }
    serve(&relay, &request, in_progress).await
}

async fn serve(
    relay: &Arc<Relay>,
    request: &Arc<CallerRequest>,
    in_progress: InProgressGuard,
) -> Response<ResponseBody> {
    let unanswered =
        UnansweredRequest { relay: relay.clone(), request: request.clone(), is_answered: false };
    let limit = Duration::from_millis(request.remaining_ms(relay.now_ms()));
    let served = async {
        match request.authorized.route.kind {
            RouteKind::Stream => model::serve(relay, request, in_progress).await,
            RouteKind::Idempotent | RouteKind::AtMostOnce => plain::serve(relay, request).await,
        }
    };
    let served = tokio::select! {
        served = tokio::time::timeout(limit, served) => served,
        () = relay.until_all_answered() => Ok(Err(Refusal::stopping())),
    };
    unanswered.close();
    match served {
        Ok(Ok(mut response)) => {
            let answered =
                AnsweredRequest { id: request.id.clone(), deadline_ms: request.deadline_ms };
            response.extensions_mut().insert(answered);
            let took_ms = relay.now_ms().saturating_sub(request.arrived_ms);
            let labels = RequestLabels {
                route: request.authorized.route.name.clone(),
                status: response.status().as_u16(),
                reason: String::new(),
            };
            relay.metrics.count(labels, took_ms);
            if request.authorized.route.kind != RouteKind::Stream {
                relay.record_duration(&request.authorized.route.name, took_ms);
            }
            response
        }
        Ok(Err(refusal)) => request.refuse(relay, &refusal),
        Err(_) => request.refuse(relay, &Refusal::timed_out("time_over")),
    }
}

fn authorize(
    table: &RouteTable,
    headers: &HeaderMap,
    uri: &Uri,
    head: &CallerHeaders,
) -> Result<AuthorizedRequest, Problem> {
    let stated = headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let Some(host) = stated.or_else(|| uri.host()) else {
        return Err(bad_request("no_host", "The request names no host."));
    };
    table.authorize(host, uri.path(), head.key.as_deref()).map_err(|denial| {
        let (status, detail) = match denial {
            Denial::NoRoute => (StatusCode::NOT_FOUND, "No route covers the host and the path."),
            Denial::UnknownKey => (StatusCode::UNAUTHORIZED, "No customer holds the key."),
        };
        let detail = format!("{detail} Configuration version {}.", table.version());
        Problem::bad_request(status, &denial.to_string(), detail)
    })
}
