//! One stage of a request, with retries on other upstreams.

use std::sync::Arc;

use bytes::Bytes;
use log::info;
use yuccatrail_core::{
    document::Pool,
    ids::{AttemptId, StageIndex},
    outcome::{Execution, Reason, Refusal},
};
use yuccatrail_rpc::messages::UpstreamCall;

use super::{
    RequestContext,
    attempt::{self, AttemptPlan, Output},
};
use crate::{entry::Entry, link::Link};

/// Attempts of one stage, over all upstreams.
const MAX_ATTEMPTS: u16 = 4;
/// Time after which a caller may try again when no upstream is left, in milliseconds.
const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 500;

/// Work of one stage.
pub(crate) struct StageWork<'a> {
    /// Position in the pipeline.
    pub(crate) index: StageIndex,
    /// Pool that runs the stage.
    pub(crate) pool: &'a Pool,
    /// Whether the call may be repeated.
    pub(crate) idempotent: bool,
    /// Expected run time, in milliseconds.
    pub(crate) estimate_ms: u64,
    /// The upstream call.
    pub(crate) call: UpstreamCall,
}

/// Runs a stage to its complete output.
///
/// # Errors
///
/// Returns a refusal that covers all attempts of the stage.
pub(crate) async fn run(
    entry: &Entry,
    request: &RequestContext,
    work: StageWork<'_>,
    mut on_chunk: impl FnMut(&Bytes) + Send,
) -> Result<Output, Refusal> {
    let mut execution = Execution::NotRun;
    let mut tried: Vec<String> = Vec::new();
    let mut last = Refusal::not_run(Reason::NoUpstream, NO_UPSTREAM_RETRY_AFTER_MS);
    for number in 0..MAX_ATTEMPTS {
        let Some(link) = choose(entry, work.pool, &tried) else { break };
        let id =
            AttemptId { request: request.id, stage: work.index, number, entry: entry.incarnation };
        let plan = AttemptPlan {
            id,
            pool: work.pool.name.clone(),
            idempotent: work.idempotent,
            estimate_ms: work.estimate_ms,
            call: work.call.clone(),
        };
        info!(attempt:% = id, pool:% = work.pool.name, upstream:% = link.instance.name; "upstream chosen");
        let mut delivered = false;
        let mut deliver = |chunk: &Bytes| {
            delivered = true;
            on_chunk(chunk);
        };
        let refusal = match attempt::run(entry, &link, request, plan, &mut deliver).await {
            Ok(output) => return Ok(output),
            Err(refusal) => refusal,
        };
        info!(attempt:% = id, reason:% = refusal.reason, execution:% = refusal.execution; "attempt ended");
        execution = execution.and(refusal.execution);
        last = refusal;
        tried.push(link.instance.name.clone());
        // Output that the caller has seen cannot be replaced by that of another run.
        if delivered || refusal.reason == Reason::DeadlineExpired {
            break;
        }
        if !work.idempotent && refusal.execution != Execution::NotRun {
            break;
        }
    }
    Err(Refusal { execution, ..last })
}

fn choose(entry: &Entry, pool: &Pool, tried: &[String]) -> Option<Arc<Link>> {
    let mut best: Option<(u32, Arc<Link>)> = None;
    for link in entry.fleet.pool(&pool.name) {
        if tried.contains(&link.instance.name) {
            continue;
        }
        let Some(report) = link.report() else { continue };
        let load = report.feedback.load.queued + link.in_flight();
        if best.as_ref().is_some_and(|it| it.0 <= load) {
            continue;
        }
        best = Some((load, link));
    }
    best.map(|it| it.1)
}
