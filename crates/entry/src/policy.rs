//! Admission of requests and learned estimates.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::info;
use yuccatrail_core::{
    FastMap,
    admission::{Admission, AdmissionKey, DeclaredPipeline, StageWork},
    deadline::{DeclaredEstimate, PoolKey, StageEstimates},
    document::{Document, Pool},
    hedge::RecentLatency,
    outcome::{Refusal, Usage},
};

use crate::{
    entry::Entry,
    run::{RequestContext, stage_call},
};

/// Admission of requests and learned estimates.
pub(crate) struct Policy {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    admission: Admission,
    estimates: StageEstimates,
    latency: FastMap<PoolKey, RecentLatency>,
}

/// One stage for admission.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageDemand<'a> {
    /// Pool that runs the stage.
    pub(crate) pool: &'a Pool,
    /// Longest text that the stage produces, in tokens.
    pub(crate) max_tokens: u32,
}

/// An admitted request; it ends when the value is dropped.
pub(crate) struct AdmittedRequest {
    entry: Arc<Entry>,
    key: AdmissionKey,
}

impl Policy {
    /// Creates a policy that has learned nothing.
    pub(crate) fn new() -> Self {
        Self { state: Mutex::default() }
    }

    /// Takes over the pipelines of the document in force.
    pub(crate) fn apply_document(&self, document: &Document) {
        let mut state = self.lock();
        let mut pipelines = Vec::with_capacity(document.pipelines.len());
        for pipeline in &document.pipelines {
            let mut stages = Vec::with_capacity(pipeline.stages.len());
            for stage in &pipeline.stages {
                let Some(pool) = document.pool(&stage.pool) else { continue };
                stages.push((state.pool(pool), stage_call::declared_tokens(pool, stage)));
            }
            pipelines.push(DeclaredPipeline { deadline_ms: pipeline.deadline_ms, stages });
        }
        let State { admission, estimates, .. } = &mut *state;
        admission.set_pipelines(estimates, &pipelines);
    }

    /// Moves estimates of pools without recent calls back towards the declared ones.
    pub(crate) fn relax(&self) {
        self.lock().estimates.decay_stale();
    }

    /// Returns the run time that most calls of a stage do not exceed, in milliseconds.
    pub(crate) fn safe_ms(&self, demand: StageDemand<'_>) -> u64 {
        let mut state = self.lock();
        let key = state.pool(demand.pool);
        state.estimates.conservative_ms(key, demand.max_tokens)
    }

    /// Returns the expected run time of a stage, in milliseconds.
    pub(crate) fn expected_ms(&self, demand: StageDemand<'_>) -> u64 {
        let mut state = self.lock();
        let key = state.pool(demand.pool);
        state.estimates.expected_ms(key, demand.max_tokens)
    }

    /// Returns the latency that 95 in 100 recent attempts do not exceed.
    pub(crate) fn with_latency<T>(&self, pool: &Pool, read: impl FnOnce(&RecentLatency) -> T) -> T {
        let mut state = self.lock();
        let key = state.pool(pool);
        read(state.latency.entry(key).or_default())
    }

    /// Learns from a completed attempt.
    pub(crate) fn on_complete(&self, demand: StageDemand<'_>, usage: Usage, latency_ms: u64) {
        let mut state = self.lock();
        let key = state.pool(demand.pool);
        let expected_ms = state.estimates.expected_ms(key, demand.max_tokens);
        state.estimates.on_complete(key, demand.max_tokens, usage);
        state.latency.entry(key).or_default().on_complete(latency_ms, expected_ms);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn pool(&mut self, pool: &Pool) -> PoolKey {
        let seed = DeclaredEstimate {
            estimate_ms: pool.estimate_ms,
            token_estimate_ms: pool.token_estimate_ms,
        };
        self.estimates.register_pool(&pool.name, seed)
    }
}

/// Admits a request or refuses it as not run.
///
/// # Errors
///
/// Returns a refusal when the stages do not fit before the deadline.
pub(crate) fn admit(
    entry: &Arc<Entry>,
    document: &Document,
    request: &RequestContext,
    demands: &[StageDemand<'_>],
) -> Result<AdmittedRequest, Refusal> {
    let share = document.customer(&request.customer).map_or(1, |it| it.share);
    let mut loads = Vec::with_capacity(demands.len());
    for demand in demands {
        loads.push(entry.fleet.pool_load(&demand.pool.name));
    }
    let now_ms = entry.clock.now_ms();
    let mut state = entry.policy.lock();
    let mut stages = Vec::with_capacity(demands.len());
    for (demand, load) in demands.iter().zip(loads) {
        let pool = state.pool(demand.pool);
        stages.push(StageWork { pool, max_tokens: demand.max_tokens, load });
    }
    let State { admission, estimates, .. } = &mut *state;
    let customer = admission.register_customer(&request.customer, share);
    let admitted = admission.admit(now_ms, estimates, customer, request.deadline_ms, &stages);
    let admitted = admitted.inspect_err(|refusal| {
        info!(request:% = request.id, reason:% = refusal.reason; "request not admitted: {stages:?}");
    })?;
    Ok(AdmittedRequest { entry: entry.clone(), key: admitted.key })
}

impl AdmittedRequest {
    /// Notes that the next stage is sent to its pool.
    pub(crate) fn stage_sent(&self) {
        self.entry.policy.lock().admission.on_stage_sent(self.key);
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.entry.policy.lock().admission.finish(self.key);
    }
}
