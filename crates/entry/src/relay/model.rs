//! Requests of streaming routes: runs their stages, then calls a model upstream that responds with
//! an event stream.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use hyper::Response;
use log::info;
use yuccatrail_adapter::result_holder;
use yuccatrail_core::{
    batching::{GroupOutcome, PieceSource, PreferredDataCentre, StageWork},
    retry_share::RetryCause,
    stage_graph::{ReadyStage, ResultHandle, StageGraph},
    upstreams::{Affinity, SelectionCriteria, UpstreamKey},
};

use crate::relay::{
    release::HeldResults,
    request::{CallerRequest, Refusal, ResponseBody},
    retries::take_retry,
    sabotage::Mechanism,
    state::{InProgressGuard, Relay},
    stream::{self, ModelCall},
};

/// Prompt tokens that a model upstream processes per millisecond; the users' engines process 40 to
/// 51.
const PROMPT_TOKENS_PER_MS: f64 = 40.0;
/// Time to first event at a model upstream excluding prompt processing, in milliseconds.
const MODEL_OVERHEAD_MS: f64 = 60.0;
/// Number of times that lost results are recomputed for one request; its deadline limits it
/// further.
const MAX_RESTARTS: u32 = 1;
/// Most pieces of one stage of a request; the memory for their results is taken before the first one runs.
const MAX_PIECES: usize = 1_024;
/// Size from which the computation of a result is delayed, in bytes.
const LARGE_RESULT_BYTES: u64 = 100_000;
/// Fraction of its slack by which a stage is delayed; the rest covers errors of the estimates.
const SLACK_FRACTION: f64 = 0.7;
/// Minimum Retry-After when stages are at capacity, in milliseconds.
const MIN_STAGE_RETRY_MS: u64 = 200;

/// Serves a request of a streaming route.
pub(crate) async fn serve(
    relay: &Arc<Relay>,
    request: &Arc<CallerRequest>,
    in_progress: InProgressGuard,
) -> Result<Response<ResponseBody>, Refusal> {
    let route = &request.authorized.route;
    if request.head.pieces.iter().any(|it| *it > MAX_PIECES) {
        return Err(Refusal::gone("too_many_pieces"));
    }
    let mut graph = StageGraph::new(&route.stages, &request.head.pieces);
    let mut held = HeldResults::new(relay.clone());
    let data_centre = predicted_data_centre(relay, request);
    refuse_unreachable_deadline(relay, request, &graph)?;
    let mut restarts = 0;
    loop {
        tokio::select! {
            ran = run_stages(relay, request, &mut graph, &mut held, data_centre.as_ref()) => ran?,
            () = relay.until_unsent_refused() => return Err(Refusal::stopping()),
        }
        if !graph.is_done() {
            // The model would read the results of some stages only.
            return Err(Refusal::gone("stages_never_ready"));
        }
        let call = ModelCall {
            relay: relay.clone(),
            request: request.clone(),
            affinity: affinity(request),
            inputs: graph.final_results(),
        };
        match stream::open(call).await {
            Ok(opened) => return Ok(opened.into_response(held, in_progress)),
            Err(stream::OpenError::InputGone) if restarts < MAX_RESTARTS => {
                // The next model call is a retry, without which the stages would run in vain.
                if !take_retry(relay, request, RetryCause::InputsGone) {
                    return Err(Refusal::busy("results_gone", MIN_STAGE_RETRY_MS));
                }
                info!(id:% = request.id; "stage result no longer exists, rerunning all stages");
                restarts += 1;
                held.release_all();
                graph = StageGraph::new(&route.stages, &request.head.pieces);
            }
            Err(stream::OpenError::InputGone) => {
                return Err(Refusal::busy("results_gone", MIN_STAGE_RETRY_MS));
            }
            Err(stream::OpenError::Refused(refusal)) => return Err(refusal),
        }
    }
}

/// Returns the prompt prefix that requests share, for prefix-cache affinity: all parts but the
/// last, which belongs to this request alone.
pub(crate) fn affinity(request: &CallerRequest) -> Option<Affinity> {
    let parts = &request.head.prompt_parts;
    let shared = parts.len().checked_sub(2)?;
    Some(Affinity { prefix: parts[shared].0.clone() })
}

/// Returns the data centre in which the model call will probably run, so that results are computed
/// there.
fn predicted_data_centre(relay: &Relay, request: &CallerRequest) -> Option<Arc<str>> {
    let affinity = affinity(request);
    let version = request.origin.as_ref().map(|it| it.version.as_ref());
    let criteria = selection_criteria(relay, request, affinity.as_ref(), version, &[]);
    let upstreams = relay.upstreams();
    let key = upstreams.choose(&criteria, relay.now_ms())?;
    upstreams.get(key).map(|it| it.record.data_centre.clone())
}

/// Returns the criteria for choosing a model upstream; `version` is the software version that began the
/// stream, if it has begun.
pub(crate) fn selection_criteria<'a>(
    relay: &'a Relay,
    request: &'a CallerRequest,
    affinity: Option<&'a Affinity>,
    version: Option<&'a str>,
    excluded: &'a [UpstreamKey],
) -> SelectionCriteria<'a> {
    SelectionCriteria {
        service: &request.service,
        model: request.head.model.as_deref(),
        version: version.filter(|_| !Mechanism::OwnVersion.is_off()),
        data_centre: Some(&relay.settings.data_centre),
        affinity,
        tokens: request.head.token_demand,
        excluded,
    }
}

/// Returns the expected time from the end of the last stage to the first event, in milliseconds.
pub(crate) fn model_ms(request: &CallerRequest) -> f64 {
    let own_tokens = request.head.prompt_parts.last().map_or(0, |it| it.1);
    MODEL_OVERHEAD_MS + own_tokens as f64 / PROMPT_TOKENS_PER_MS
}

/// Refuses a request whose stages and model call are not expected to meet its deadline.
fn refuse_unreachable_deadline(
    relay: &Relay,
    request: &CallerRequest,
    graph: &StageGraph,
) -> Result<(), Refusal> {
    let stages = &request.authorized.route.stages;
    let now_ms = relay.now_ms();
    let soft_deadline_ms = request.soft_deadline_ms();
    let needed_ms = graph.remaining_ms(|stage| {
        let (service, pieces) = (&stages[stage].service, graph.pieces(stage));
        relay.stages.estimate_ms(relay, service, pieces, soft_deadline_ms).unwrap_or(0.0)
    });
    let needed_ms = needed_ms + MODEL_OVERHEAD_MS;
    let remaining_ms = request.remaining_ms(now_ms) as f64;
    if needed_ms <= remaining_ms {
        return Ok(());
    }
    info!(
        id:% = request.id,
        needed_ms = needed_ms as u64,
        remaining_ms = remaining_ms as u64;
        "stages can't meet the deadline"
    );
    let retry_after_ms = ((needed_ms - remaining_ms) as u64).max(MIN_STAGE_RETRY_MS);
    Err(Refusal::busy("stages_full", retry_after_ms))
}

/// Runs all stages and stores their results in the graph.
async fn run_stages(
    relay: &Arc<Relay>,
    request: &CallerRequest,
    graph: &mut StageGraph,
    held: &mut HeldResults,
    data_centre: Option<&Arc<str>>,
) -> Result<(), Refusal> {
    let mut running = FuturesUnordered::new();
    let mut restarts = 0;
    let mut took_ms = vec![0; request.authorized.route.stages.len()];
    loop {
        for ready in graph.start_ready() {
            let work = stage_work(relay, request, graph, &ready, data_centre);
            let delay = start_delay(relay, request, graph, &ready);
            let service = request.authorized.route.stages[ready.stage].service.clone();
            let inputs = ready.inputs.unwrap_or_default();
            running.push(async move {
                tokio::time::sleep(delay).await;
                let began_ms = relay.now_ms();
                let outcome = relay.stages.run(relay, &service, work).await;
                let took_ms = relay.now_ms().saturating_sub(began_ms);
                (ready.stage, inputs, outcome, took_ms)
            });
        }
        let Some((stage, inputs, (end, handles), stage_ms)) = running.next().await else {
            log_late_stages(relay, request, &took_ms, restarts);
            return Ok(());
        };
        took_ms[stage] += stage_ms;
        held.hold(&handles);
        match end {
            GroupOutcome::Completed => {
                release_consumed_inputs(graph, held, stage, &inputs);
                graph.finish(stage, handles);
            }
            GroupOutcome::Late => return Err(Refusal::busy("stage_late", MIN_STAGE_RETRY_MS)),
            GroupOutcome::InputGone if restarts < MAX_RESTARTS => {
                info!(id:% = request.id, stage = stage; "stage input no longer exists, rerunning the stages before");
                restarts += 1;
                graph.restart_inputs(stage);
            }
            GroupOutcome::InputGone => {
                return Err(Refusal::busy("results_gone", MIN_STAGE_RETRY_MS));
            }
            GroupOutcome::Failed => return Err(Refusal::busy("stage_failed", MIN_STAGE_RETRY_MS)),
        }
    }
}

/// Logs which stages took how long if the request can't be answered on time any more.
fn log_late_stages(relay: &Relay, request: &CallerRequest, took_ms: &[u64], restarts: u32) {
    let now_ms = relay.now_ms();
    if now_ms <= request.soft_deadline_ms() {
        return;
    }
    info!(
        id:% = request.id,
        route:% = request.authorized.route.name,
        waited_ms = now_ms.saturating_sub(request.arrived_ms),
        stages_ms:? = took_ms,
        restarts = restarts;
        "stages finished too late"
    );
}

/// Returns how long the start of a stage is delayed while a longer parallel chain runs.
///
/// A large result occupies memory at its upstream until the parallel chains are done too, so it is
/// computed as late as the slack allows.
fn start_delay(
    relay: &Relay,
    request: &CallerRequest,
    graph: &StageGraph,
    ready: &ReadyStage,
) -> Duration {
    let stages = &request.authorized.route.stages;
    if stages[ready.stage].result_bytes < LARGE_RESULT_BYTES {
        return Duration::ZERO;
    }
    let soft_deadline_ms = request.soft_deadline_ms();
    let time_ms = |it: usize| {
        let (service, pieces) = (&stages[it].service, graph.pieces(it));
        relay.stages.estimate_ms(relay, service, pieces, soft_deadline_ms).unwrap_or(0.0)
    };
    let slack_ms = graph.slack_ms(ready.stage, &time_ms) * SLACK_FRACTION;
    Duration::from_millis(slack_ms as u64)
}

/// Releases the inputs of a finished stage unless another stage still reads them.
fn release_consumed_inputs(
    graph: &mut StageGraph,
    held: &mut HeldResults,
    stage: usize,
    inputs: &[ResultHandle],
) {
    if !inputs.is_empty() && !graph.has_other_reader(stage) {
        held.release(inputs);
        graph.mark_inputs_released(stage);
    }
}

fn stage_work(
    relay: &Relay,
    request: &CallerRequest,
    graph: &StageGraph,
    ready: &ReadyStage,
    data_centre: Option<&Arc<str>>,
) -> StageWork {
    let stages = &request.authorized.route.stages;
    let nominal_ms = |it: usize| relay.stages.duration_ms(&stages[it].service, graph.pieces(it));
    let loaded_ms = |it: usize| relay.stages.loaded_ms(&stages[it].service);
    let model_ms = model_ms(request);
    let min_following_ms = (graph.following_ms(ready.stage, &nominal_ms) + model_ms) as u64;
    let usual_ms = relay.upstreams().usual_first_event_ms(&request.service, model_ms);
    let loaded_following_ms = (graph.following_ms(ready.stage, &loaded_ms) + usual_ms) as u64;
    let source = match &ready.inputs {
        Some(inputs) => PieceSource::Inputs(inputs.clone()),
        None => PieceSource::Key(request.head.piece_key.clone().unwrap_or_else(|| {
            info!(id:% = request.id, stage = ready.stage; "request has no piece key");
            String::new()
        })),
    };
    StageWork {
        request_id: request.id.clone(),
        stage: ready.stage,
        pieces: ready.pieces,
        source,
        is_only_reader: !graph.has_other_reader(ready.stage),
        result_bytes: stages[ready.stage].result_bytes,
        priority: request.authorized.priority,
        soft_deadline_ms: request.soft_deadline_ms().saturating_sub(loaded_following_ms),
        deadline_ms: request.deadline_ms.saturating_sub(min_following_ms),
        preferred_data_centre: PreferredDataCentre::choose(bytes_by_data_centre(
            relay,
            request,
            graph,
            ready,
            data_centre,
        )),
    }
}

/// Returns the bytes that one piece of a stage moves from or to each data centre: its inputs where
/// they are held, and its result in `reader`, the data centre of the model upstream.
fn bytes_by_data_centre(
    relay: &Relay,
    request: &CallerRequest,
    graph: &StageGraph,
    ready: &ReadyStage,
    reader: Option<&Arc<str>>,
) -> Vec<(Arc<str>, u64)> {
    let stages = &request.authorized.route.stages;
    let stage = &stages[ready.stage];
    let mut shares: Vec<(Arc<str>, u64)> = Vec::new();
    shares.extend(reader.map(|it| (it.clone(), stage.result_bytes)));
    let sizes = stage
        .after
        .iter()
        .flat_map(|it| std::iter::repeat_n(stages[*it].result_bytes, graph.pieces(*it)));
    let upstreams = relay.upstreams();
    for (input, bytes) in ready.inputs.iter().flatten().zip(sizes) {
        let data_centre = result_holder(input).and_then(|it| upstreams.data_centre_at(it));
        shares.extend(data_centre.map(|it| (it.clone(), bytes)));
    }
    shares
}
