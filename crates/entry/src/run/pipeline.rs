//! A pipeline request: all stages in order under one deadline.

use yuccatrail_core::{
    document::{Document, Pipeline, PoolKind},
    ids::StageIndex,
    outcome::{Execution, Reason, Refusal, Usage},
};

use super::{
    RequestContext,
    stage::{self, StageWork},
    stage_call::{self, PipelineData, PipelineInput},
};
use crate::entry::Entry;

/// Complete answer of a pipeline.
#[derive(Clone, Debug)]
pub(crate) struct PipelineAnswer {
    /// Data after the last stage.
    pub(crate) data: PipelineData,
    /// Resources that each stage consumed, in order.
    pub(crate) usage: Vec<Usage>,
}

/// Runs all stages; `on_text` receives generated text of the last stage as it arrives.
///
/// # Errors
///
/// Returns a refusal that covers all stages.
pub(crate) async fn run(
    entry: &Entry,
    document: &Document,
    pipeline: &Pipeline,
    request: &RequestContext,
    input: &PipelineInput,
    on_text: impl Fn(String) + Send + Sync,
) -> Result<PipelineAnswer, Refusal> {
    let mut data = PipelineData::default();
    let mut usage = Vec::new();
    let last = pipeline.stages.len() - 1;
    for (index, stage) in pipeline.stages.iter().enumerate() {
        let Some(pool) = document.pool(&stage.pool) else {
            return Err(Refusal::not_run(Reason::NoConfiguration, 0));
        };
        let tokens = match pool.kind {
            PoolKind::Generate => u64::from(stage_call::max_tokens(stage, input)),
            _ => 0,
        };
        let work = StageWork {
            index: StageIndex(index as u8),
            pool,
            idempotent: true,
            estimate_ms: pool.estimate_ms + tokens * pool.token_estimate_ms,
            call: stage_call::build(pool, stage, input, &data),
        };
        let streams = index == last && pool.kind == PoolKind::Generate;
        let output = stage::run(entry, request, work, |chunk| {
            if !streams {
                return;
            }
            if let Ok(text) = stage_call::chunk_text(chunk) {
                on_text(text);
            }
        })
        .await
        .map_err(|it| after_stages(it, index))?;
        let accepted = stage_call::absorb(pool, &output.chunks, &mut data);
        if accepted.is_err() || output.completion.status >= 400 {
            let execution = Execution::Failed;
            return Err(Refusal { reason: Reason::UpstreamError, execution, retry_after_ms: 0 });
        }
        usage.push(output.completion.usage);
    }
    Ok(PipelineAnswer { data, usage })
}

/// Corrects what is known about a request whose earlier stages did run.
fn after_stages(refusal: Refusal, completed: usize) -> Refusal {
    if completed == 0 {
        return refusal;
    }
    Refusal { execution: refusal.execution.and(Execution::Failed), ..refusal }
}
