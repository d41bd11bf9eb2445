//! Pipeline requests: all stages run in order under one deadline.

use std::{
    hash::{Hash, Hasher},
    sync::Arc,
};

use rustc_hash::FxHasher;
use yuccatrail_core::{
    accounting::{StageLabel, WorkOutcome},
    document::{Document, Pipeline, PoolKind},
    ids::StageIndex,
    outcome::{Execution, Reason, Refusal, Usage},
};

use super::{
    ChunkSink, RequestContext,
    stage::{self, StageWork},
    stage_call::{self, PipelineData, PipelineInput},
    with_completed_stages,
};
use crate::{
    entry::Entry,
    policy::{self, StageDemand},
};

/// Maximum length of the prompt prefix that is hashed for prefix affinity, in bytes.
const MAX_PREFIX_BYTES: usize = 512;

/// Complete response of a pipeline.
#[derive(Clone, Debug)]
pub(crate) struct PipelineResponse {
    /// Pipeline data after the last stage.
    pub(crate) data: PipelineData,
    /// Resources consumed by each stage, in the order of the stages.
    pub(crate) usage: Vec<Usage>,
}

/// Runs all stages; `sink` receives the chunks of the last stage if it generates text.
///
/// # Errors
///
/// Returns a refusal that states what is known about the execution over all stages.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    document: &Document,
    pipeline: &Pipeline,
    request: &RequestContext,
    input: &PipelineInput,
    sink: Option<ChunkSink>,
) -> Result<PipelineResponse, Refusal> {
    let demands = demands(document, pipeline, input)?;
    let _in_progress = entry.strikes.start(request.fingerprint, entry.clock.now_ms())?;
    let admitted = policy::admit(entry, document, request, &demands)?;
    let mut data = PipelineData::default();
    let mut usage = Vec::new();
    let last = pipeline.stages.len() - 1;
    for (index, stage) in pipeline.stages.iter().enumerate() {
        let demand = demands[index];
        let is_streamed = index == last && demand.pool.kind == PoolKind::Generate;
        let call = stage_call::build(demand.pool, stage, input, &data);
        let work = StageWork {
            index: StageIndex(index as u8),
            demand,
            prefix: (demand.pool.kind == PoolKind::Generate).then(|| prefix_hash(&call.body)),
            call,
            sink: sink.clone().filter(|_| is_streamed),
        };
        admitted.stage_sent();
        let result = stage::run(entry, request, &work).await;
        let output = match result {
            Ok(output) => output,
            Err(refusal) => {
                record_usage(entry, request, &usage, WorkOutcome::Wasted);
                return Err(with_completed_stages(refusal, index));
            }
        };
        usage.push(output.completion.usage);
        let applied = stage_call::apply_response(demand.pool, &output.chunks, &mut data);
        if applied.is_err() || output.completion.status >= 400 {
            record_usage(entry, request, &usage, WorkOutcome::Wasted);
            let execution = Execution::Failed;
            return Err(Refusal { reason: Reason::UpstreamError, execution, retry_after_ms: 0 });
        }
    }
    let on_time = entry.clock.now_ms() <= request.deadline_ms;
    record_usage(
        entry,
        request,
        &usage,
        if on_time { WorkOutcome::Used } else { WorkOutcome::Wasted },
    );
    Ok(PipelineResponse { data, usage })
}

fn demands<'a>(
    document: &'a Document,
    pipeline: &Pipeline,
    input: &PipelineInput,
) -> Result<Vec<StageDemand<'a>>, Refusal> {
    let mut demands = Vec::with_capacity(pipeline.stages.len());
    for stage in &pipeline.stages {
        let Some(pool) = document.pool(&stage.pool) else {
            return Err(Refusal::not_run(Reason::NoConfiguration, 0));
        };
        let max_tokens = stage_call::max_tokens(pool, stage, input);
        demands.push(StageDemand { pool, max_tokens });
    }
    Ok(demands)
}

fn record_usage(entry: &Entry, request: &RequestContext, usage: &[Usage], outcome: WorkOutcome) {
    for (index, usage) in usage.iter().enumerate() {
        let label = StageLabel {
            pipeline: request.target.clone(),
            customer: request.customer.clone(),
            stage: StageIndex(index as u8),
        };
        entry.metrics.on_attempt(&label, *usage, outcome);
    }
}

fn prefix_hash(body: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    body[..body.len().min(MAX_PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}
