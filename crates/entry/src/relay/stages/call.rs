//! One call to a stage upstream with a batch of pieces.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use log::{info, warn};
use yuccatrail_adapter::{STAGE_PATH, StageCallItem, decode_stage_results, encode_stage_call};
use yuccatrail_core::batching::{Batcher, CallResult, PieceResult, PlannedCall};

use crate::relay::{
    attempt::{Attempt, AttemptError},
    metrics::ServiceLabels,
    rollouts::Evidence,
    state::Relay,
};

/// Multiple of its expected duration after which a call times out.
const CALL_TIMEOUT_FACTOR: u64 = 6;
/// Minimum timeout of a call, in milliseconds; a call queued behind two others takes a second.
const MIN_CALL_TIMEOUT_MS: u64 = 2_000;
/// Time after which an upstream has read the inputs of a call, in milliseconds: the transfer of a
/// few megabytes takes 1 ms, the latency to another data centre a few, a lost packet up to
/// 100 ms.
const INPUT_READ_MS: u64 = 120;

/// A call to an upstream with a batch of pieces.
pub(super) struct StageCall {
    pub(super) service: Arc<str>,
    pub(super) planned: PlannedCall,
    /// Encoded request; none if encoding failed.
    body: Option<Bytes>,
    /// Timeout of the call, in milliseconds.
    limit_ms: u64,
    /// Number of pieces left in the queue when the call was formed.
    waiting: usize,
}

impl StageCall {
    pub(super) fn new(
        batcher: &Batcher,
        service: &Arc<str>,
        planned: PlannedCall,
        now_ms: u64,
    ) -> Self {
        let mut items = Vec::with_capacity(planned.pieces.len());
        for (group, piece) in &planned.pieces {
            let Some(work) = batcher.work(*group) else { continue };
            items.push(StageCallItem {
                request_id: &work.request_id,
                stage: work.stage,
                piece: *piece,
                remaining_ms: work.deadline_ms.saturating_sub(now_ms),
                source: &work.source,
            });
        }
        let body = encode_stage_call(&items);
        if let Err(error) = &body {
            warn!(service:% = service, error:% = error; "failed to encode stage call");
        }
        let expected_ms = planned.expected_end_ms.saturating_sub(now_ms);
        let limit_ms = (expected_ms * CALL_TIMEOUT_FACTOR).max(MIN_CALL_TIMEOUT_MS);
        Self {
            service: service.clone(),
            planned,
            body: body.ok(),
            limit_ms,
            waiting: batcher.waiting(),
        }
    }
}

/// Makes a call, logs it and reports its result to the queue.
pub(super) async fn make_call(relay: Arc<Relay>, call: StageCall) {
    let labels = ServiceLabels { service: call.service.to_string() };
    relay.metrics.stage_calls.get_or_create(&labels).inc();
    relay.metrics.stage_pieces.get_or_create(&labels).inc_by(call.planned.pieces.len() as u64);
    let started_ms = relay.now_ms();
    let sending = async {
        let mut sending = std::pin::pin!(send_call(&relay, &call));
        tokio::select! {
            result = &mut sending => return result,
            () = tokio::time::sleep(Duration::from_millis(INPUT_READ_MS)) => {}
        }
        relay.stages.release_read_inputs(&relay, &call);
        sending.await
    };
    let result = sending.await;
    let outcome = match &result {
        CallResult::Answered(_) => "answered",
        CallResult::Full => "full",
        CallResult::Failed => "failed",
    };
    info!(
        service:% = call.service,
        upstream:? = call.planned.upstream,
        pieces = call.planned.pieces.len(),
        waiting = call.waiting,
        took_ms = relay.now_ms().saturating_sub(started_ms),
        expected_ms = call.planned.expected_end_ms.saturating_sub(started_ms),
        outcome = outcome;
        "stage call"
    );
    relay.stages.finish(&relay, &call, result);
}

async fn send_call(relay: &Arc<Relay>, call: &StageCall) -> CallResult {
    let Some(body) = call.body.clone() else { return CallResult::Failed };
    let Some(mut attempt) = Attempt::begin(relay, call.planned.upstream) else {
        return CallResult::Full;
    };
    // An upstream that does not answer in time is known to be slow.
    let limit = Duration::from_millis(call.limit_ms);
    let posted = tokio::time::timeout(limit, attempt.post(STAGE_PATH, body)).await;
    let (status, mut meta, body) = match posted {
        Ok(Ok(response)) => response,
        Err(_) => {
            attempt.record_stage_answer(call.planned.pieces.len());
            warn!(service:% = call.service, limit_ms = call.limit_ms; "stage call timed out");
            return CallResult::Failed;
        }
        Ok(Err(error)) => {
            log_failure(&attempt, &error);
            attempt.fail();
            return CallResult::Failed;
        }
    };
    if meta.is_not_run {
        // Nothing would tell a copy of the rejection from the response to the next call.
        meta.closes_connection = true;
        attempt.finish(&meta);
        return CallResult::Full;
    }
    let detail = match decode_stage_results(&body, call.planned.pieces.len()) {
        Ok(results) if attempt.repeats_results(handles(&results)) => {
            "it names a result of an earlier response".to_owned()
        }
        Ok(results) if status.is_success() => {
            // Nor a copy of a response that names no result.
            meta.closes_connection |= handles(&results).next().is_none();
            attempt.record_stage_answer(call.planned.pieces.len());
            attempt.finish(&meta);
            return CallResult::Answered(results);
        }
        Ok(_) => format!("status {status}"),
        Err(detail) => format!("status {status}: {detail}"),
    };
    if status.is_server_error() {
        attempt.record_evidence(&call.service, Evidence::Failure);
    }
    log_failure(&attempt, &AttemptError::Damaged(detail));
    attempt.fail();
    CallResult::Failed
}

/// Returns the handles of the results that a response names.
fn handles(results: &[PieceResult]) -> impl Iterator<Item = &str> {
    results.iter().filter_map(|it| match it {
        PieceResult::Completed(handle) => Some(handle.as_str()),
        _ => None,
    })
}

fn log_failure(attempt: &Attempt, error: &AttemptError) {
    warn!(
        service:% = attempt.record.service,
        upstream:% = attempt.record.id,
        error:% = error;
        "stage call failed"
    );
}
