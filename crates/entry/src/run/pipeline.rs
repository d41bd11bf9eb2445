//! A pipeline request: all stages in order under one deadline.

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
    ChunkSink, RequestContext, after_stages,
    stage::{self, StageWork},
    stage_call::{self, PipelineData, PipelineInput},
};
use crate::{
    entry::Entry,
    policy::{self, StageDemand},
};

/// Length of the prompt prefix that is kept together, in bytes.
const PREFIX_BYTES: usize = 512;

/// Complete answer of a pipeline.
#[derive(Clone, Debug)]
pub(crate) struct PipelineAnswer {
    /// Data after the last stage.
    pub(crate) data: PipelineData,
    /// Resources that each stage consumed, in order.
    pub(crate) usage: Vec<Usage>,
}

/// Runs all stages; `sink` receives the chunks of a last stage that generates text.
///
/// # Errors
///
/// Returns a refusal that covers all stages.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    document: &Document,
    pipeline: &Pipeline,
    request: &RequestContext,
    input: &PipelineInput,
    sink: Option<ChunkSink>,
) -> Result<PipelineAnswer, Refusal> {
    let demands = demands(document, pipeline, input)?;
    let _in_progress = entry.strikes.start(request.fingerprint, entry.clock.now_ms())?;
    let admitted = policy::admit(entry, document, request, &demands)?;
    let mut data = PipelineData::default();
    let mut usage = Vec::new();
    let last = pipeline.stages.len() - 1;
    for (index, stage) in pipeline.stages.iter().enumerate() {
        let demand = demands[index];
        let streams = index == last && demand.pool.kind == PoolKind::Generate;
        let call = stage_call::build(demand.pool, stage, input, &data);
        let work = StageWork {
            index: StageIndex(index as u8),
            demand,
            prefix: (demand.pool.kind == PoolKind::Generate).then(|| prefix(&call.body)),
            call,
            sink: sink.clone().filter(|_| streams),
        };
        admitted.stage_sent();
        let result = stage::run(entry, request, &work).await;
        let output = match result {
            Ok(output) => output,
            Err(refusal) => {
                account(entry, request, &usage, WorkOutcome::Wasted);
                return Err(after_stages(refusal, index));
            }
        };
        usage.push(output.completion.usage);
        let accepted = stage_call::absorb(demand.pool, &output.chunks, &mut data);
        if accepted.is_err() || output.completion.status >= 400 {
            account(entry, request, &usage, WorkOutcome::Wasted);
            let execution = Execution::Failed;
            return Err(Refusal { reason: Reason::UpstreamError, execution, retry_after_ms: 0 });
        }
    }
    let on_time = entry.clock.now_ms() <= request.deadline_ms;
    account(entry, request, &usage, if on_time { WorkOutcome::Used } else { WorkOutcome::Wasted });
    Ok(PipelineAnswer { data, usage })
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

fn account(entry: &Entry, request: &RequestContext, usage: &[Usage], worth: WorkOutcome) {
    for (index, usage) in usage.iter().enumerate() {
        let label = StageLabel {
            pipeline: request.target.clone(),
            customer: request.customer.clone(),
            stage: StageIndex(index as u8),
        };
        entry.metrics.on_attempt(&label, *usage, worth);
    }
}

fn prefix(body: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    body[..body.len().min(PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}
