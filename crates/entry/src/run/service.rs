//! Idempotent service calls: a single stage whose response is forwarded unchanged.

use std::sync::Arc;

use yuccatrail_core::{
    accounting::{StageLabel, WorkOutcome},
    document::{Document, Service},
    ids::StageIndex,
    outcome::{Reason, Refusal},
};
use yuccatrail_rpc::messages::UpstreamCall;

use super::{
    RequestContext,
    attempt::Output,
    stage::{self, StageWork},
};
use crate::{
    entry::Entry,
    policy::{self, StageDemand},
};

/// Builds the single stage of a service call.
///
/// # Errors
///
/// Returns a refusal if the document does not define the service's pool.
pub(crate) fn stage_work<'a>(
    document: &'a Document,
    service: &Service,
    call: UpstreamCall,
) -> Result<StageWork<'a>, Refusal> {
    let Some(pool) = document.pool(&service.pool) else {
        return Err(Refusal::not_run(Reason::NoConfiguration, 0));
    };
    let demand = StageDemand { pool, max_tokens: 0 };
    Ok(StageWork { index: StageIndex(0), demand, prefix: None, call, sink: None })
}

/// Runs an idempotent call, with retries, until it has a complete output.
///
/// # Errors
///
/// Returns a refusal that states what is known about the execution over all attempts.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    document: &Document,
    request: &RequestContext,
    work: &StageWork<'_>,
) -> Result<Output, Refusal> {
    let _in_progress = entry.strikes.start(request.fingerprint, entry.clock.now_ms())?;
    let admitted = policy::admit(entry, document, request, &[work.demand])?;
    admitted.stage_sent();
    let output = stage::run(entry, request, work).await?;
    record_usage(entry, request, &output);
    Ok(output)
}

/// Records the usage of a completed call, which counts as wasted if the deadline has passed.
pub(crate) fn record_usage(entry: &Entry, request: &RequestContext, output: &Output) {
    let label = StageLabel {
        pipeline: request.target.clone(),
        customer: request.customer.clone(),
        stage: StageIndex(0),
    };
    let on_time = entry.clock.now_ms() <= request.deadline_ms;
    let outcome = if on_time { WorkOutcome::Used } else { WorkOutcome::Wasted };
    entry.metrics.on_attempt(&label, output.completion.usage, outcome);
}
