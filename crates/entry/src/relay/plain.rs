//! Requests of non-streaming routes, to which an upstream responds with a single body.

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use log::{info, warn};
use yuccatrail_adapter::{ResponseMeta, forwarded_headers};
use yuccatrail_core::{
    quarantine::PartVerdict,
    retry_share::RetryCause,
    upstreams::{SelectionCriteria, UpstreamKey},
};
use yuccatrail_runtime::http::BodyFraming;

use crate::relay::{
    attempt::{Attempt, AttemptError, check_seal},
    buffers::HeldResponse,
    crashes::LostResponse,
    request::{CallerRequest, Refusal, ResponseBody, no_upstream_refusal},
    retries::take_retry,
    rollouts::Evidence,
    sabotage::Mechanism,
    state::Relay,
};

/// Minimum timeout of an attempt before another upstream is called, in milliseconds.
const MIN_TRY_TIMEOUT_MS: u64 = 200;
/// Multiple of the route's target latency after which an idempotent call is retried at another
/// upstream.
const TRY_TIMEOUT_FACTOR: f64 = 1.5;
/// Number of upstreams to try before a call is refused.
const MAX_TRIES: usize = 6;
/// Retry-After when no upstream accepts the call, in milliseconds; the duration of a few calls.
const BUSY_RETRY_MS: u64 = 200;

/// Result of an attempt that got a response.
enum TryOutcome {
    /// A response to forward.
    Response(Response<ResponseBody>),
    /// A server error of the upstream, forwarded if no later attempt gets a better response.
    Failure(Response<ResponseBody>),
    /// The upstream states that it did not run the call.
    NotRun,
}

/// Serves a request of a non-streaming route.
pub(crate) async fn serve(
    relay: &Arc<Relay>,
    request: &Arc<CallerRequest>,
) -> Result<Response<ResponseBody>, Refusal> {
    let route = &request.authorized.route;
    let is_sent_once = !Mechanism::SendOnce.is_off();
    let max_runs = if is_sent_once { route.max_runs() } else { route.max_attempts };
    let mut tried: Vec<UpstreamKey> = Vec::new();
    let mut runs = 0;
    // Why the next call would be a retry; none before a call has reached an upstream.
    let mut retry_cause = None;
    let mut failure = None;
    while tried.len() < MAX_TRIES && (runs == 0 || runs < max_runs) {
        relay.wait_until_fresh().await;
        if relay.crashes.judge_parts(request, relay.now_ms()) == PartVerdict::Refused {
            return Err(Refusal::crashing("part_crashes_upstreams"));
        }
        let Some(mut attempt) = begin_next_attempt(relay, request, &tried) else { break };
        if retry_cause.is_some_and(|it| !take_retry(relay, request, it)) {
            break;
        }
        tried.push(attempt.key);
        log_choice(relay, request, &attempt, tried.len());
        let limit_ms = try_timeout_ms(request, runs + 1 < max_runs, relay.now_ms());
        let limit = Duration::from_millis(limit_ms);
        let outcome = tokio::time::timeout(limit, try_once(relay, request, &mut attempt)).await;
        let outcome = match outcome {
            Ok(Ok(response)) => confirm_end(relay, request, &attempt).await.map(|()| response),
            Ok(Err(error)) => Err(error),
            Err(_) => {
                // The call took at least as long, which shows a slow version.
                let evidence = Evidence::Plain { took_ms: limit_ms };
                attempt.record_evidence(&request.authorized.route.name, evidence);
                Err(AttemptError::Lost(format!("none within {limit_ms} ms")))
            }
        };
        match outcome {
            Ok((result, meta)) => {
                attempt.finish(&meta);
                match result {
                    TryOutcome::Response(response) => {
                        let now_ms = relay.now_ms();
                        relay.crashes.record_completed(request, now_ms);
                        if response.status().is_success() {
                            relay.crashes.record_sound(request, now_ms);
                        }
                        return Ok(response);
                    }
                    TryOutcome::Failure(response) => {
                        runs += 1;
                        retry_cause = Some(RetryCause::Failed);
                        failure = Some(response);
                    }
                    TryOutcome::NotRun => retry_cause = Some(RetryCause::Rejected),
                }
            }
            // The upstream is sound, and another one's response would find no memory either.
            Err(AttemptError::NoMemory) => {
                return Err(Refusal::busy("response_memory_full", BUSY_RETRY_MS));
            }
            Err(error) => {
                warn!(
                    id:% = request.id,
                    upstream:% = attempt.record.id,
                    error:% = error;
                    "attempt failed"
                );
                let upstream = attempt.record.clone();
                attempt.fail();
                if !matches!(error, AttemptError::Unreachable(_)) {
                    runs += 1;
                    retry_cause = Some(RetryCause::Failed);
                }
                if matches!(error, AttemptError::Lost(_)) {
                    let (relay, request) = (relay.clone(), request.clone());
                    let lost = LostResponse { relay, request, upstream, events: 0 };
                    if !lost.allows_retry().await {
                        break;
                    }
                }
                if request.remaining_ms(relay.now_ms()) == 0 {
                    return Err(Refusal::timed_out("time_over"));
                }
            }
        }
    }
    if let Some(response) = failure {
        return Ok(response);
    }
    Err(no_upstream_refusal(relay, &request.service, !tried.is_empty(), BUSY_RETRY_MS))
}

fn log_choice(relay: &Relay, request: &CallerRequest, attempt: &Attempt, number: usize) {
    info!(
        id:% = request.id,
        upstream:% = attempt.record.id,
        in_progress = relay.upstreams().get(attempt.key).map_or(0, |it| it.in_flight),
        list_sequence = attempt.record.sequence,
        attempt = number;
        "upstream chosen"
    );
}

fn begin_next_attempt(
    relay: &Arc<Relay>,
    request: &CallerRequest,
    tried: &[UpstreamKey],
) -> Option<Attempt> {
    let criteria = SelectionCriteria {
        service: &request.service,
        data_centre: Some(&relay.settings.data_centre),
        excluded: tried,
        ..SelectionCriteria::default()
    };
    Attempt::begin_chosen(relay, &criteria)
}

fn try_timeout_ms(request: &CallerRequest, may_repeat: bool, now_ms: u64) -> u64 {
    let remaining_ms = request.remaining_ms(now_ms);
    if !may_repeat {
        return remaining_ms;
    }
    let scaled_ms = request.authorized.route.target_latency_ms as f64 * TRY_TIMEOUT_FACTOR;
    (scaled_ms as u64).max(MIN_TRY_TIMEOUT_MS).min(remaining_ms)
}

async fn try_once(
    relay: &Relay,
    request: &CallerRequest,
    attempt: &mut Attempt,
) -> Result<(TryOutcome, ResponseMeta), AttemptError> {
    let upstream_request = request.upstream_request(&attempt.record, relay.now_ms(), None, None);
    let (response, mut meta) = request.send(attempt, &upstream_request).await?;
    let (parts, body) = response.into_parts();
    if meta.is_not_run {
        meta.closes_connection |= !relay.response_buffers.skip(body).await;
        return Ok((TryOutcome::NotRun, meta));
    }
    // What ran once only is not repeated, so its response is worth waiting for.
    let waits_for_memory = !request.authorized.route.is_repeatable();
    let body = relay.response_buffers.read(body, waits_for_memory).await?;
    check_seal(parts.status, &meta)?;
    let evidence = match parts.status.is_server_error() {
        true => Evidence::Failure,
        false => Evidence::Plain { took_ms: relay.now_ms().saturating_sub(attempt.started_ms()) },
    };
    attempt.record_evidence(&request.authorized.route.name, evidence);
    let response = forward_response(parts.status, &parts.headers, body);
    let outcome = if parts.status.is_server_error() {
        TryOutcome::Failure(response)
    } else {
        TryOutcome::Response(response)
    };
    let took_ms = relay.now_ms().saturating_sub(request.arrived_ms);
    info!(
        id:% = request.id,
        route:% = request.authorized.route.name,
        upstream:% = attempt.record.id,
        status = parts.status.as_u16(),
        framing:% = BodyFraming::of(parts.status, &parts.headers),
        took_ms = took_ms;
        "upstream responded"
    );
    Ok((outcome, meta))
}

/// Waits until the response is known to be whole. That is no work of the upstream and does not count towards
/// the timeout of the attempt.
async fn confirm_end(
    relay: &Relay,
    request: &CallerRequest,
    attempt: &Attempt,
) -> Result<(), AttemptError> {
    let limit_ms = relay.upstreams().confirmation_ms(attempt.key);
    attempt.confirm_end(limit_ms, request.remaining_ms(relay.now_ms())).await
}

fn forward_response(
    status: StatusCode,
    headers: &hyper::HeaderMap,
    body: HeldResponse,
) -> Response<ResponseBody> {
    let body = body.map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = forwarded_headers(headers);
    response
}
