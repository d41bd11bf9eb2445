//! Admission of requests, and estimates of run times and latencies.

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

/// Admission of requests, and estimates of run times and latencies.
pub(crate) struct Policy {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    admission: Admission,
    estimates: StageEstimates,
    latency: FastMap<PoolKey, RecentLatency>,
}

/// Demand of one stage, as input of admission and estimates.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageDemand<'a> {
    /// Pool that runs the stage.
    pub(crate) pool: &'a Pool,
    /// Maximum number of tokens that the stage generates.
    pub(crate) max_tokens: u32,
}

/// An admitted request, in progress until dropped.
pub(crate) struct AdmittedRequest {
    entry: Arc<Entry>,
    key: AdmissionKey,
}

impl Policy {
    /// Creates a policy without pipelines and samples.
    pub(crate) fn new() -> Self {
        Self { state: Mutex::default() }
    }

    /// Applies the pipelines of the environment document in force.
    pub(crate) fn apply_document(&self, document: &Document) {
        let mut state = self.lock();
        let mut pipelines = Vec::with_capacity(document.pipelines.len());
        for pipeline in &document.pipelines {
            let mut stages = Vec::with_capacity(pipeline.stages.len());
            for stage in &pipeline.stages {
                let Some(pool) = document.pool(&stage.pool) else { continue };
                stages.push((state.register_pool(pool), stage_call::declared_tokens(pool, stage)));
            }
            pipelines.push(DeclaredPipeline { deadline_ms: pipeline.deadline_ms, stages });
        }
        let State { admission, estimates, .. } = &mut *state;
        admission.set_pipelines(estimates, &pipelines);
    }

    /// Moves estimates of pools without recent calls toward the declared ones; to be called once a
    /// second.
    pub(crate) fn decay_estimates(&self) {
        self.lock().estimates.decay_stale();
    }

    /// Returns a run time that most calls of the stage do not exceed, in milliseconds.
    pub(crate) fn conservative_ms(&self, demand: StageDemand<'_>) -> u64 {
        let mut state = self.lock();
        let key = state.register_pool(demand.pool);
        state.estimates.conservative_ms(key, demand.max_tokens)
    }

    /// Returns the expected run time of the stage, in milliseconds.
    pub(crate) fn expected_ms(&self, demand: StageDemand<'_>) -> u64 {
        let mut state = self.lock();
        let key = state.register_pool(demand.pool);
        state.estimates.expected_ms(key, demand.max_tokens)
    }

    /// Returns the result of `read` for the recent latency of a pool, the 95th percentile of recent
    /// attempts.
    pub(crate) fn with_recent_latency<T>(
        &self,
        pool: &Pool,
        read: impl FnOnce(&RecentLatency) -> T,
    ) -> T {
        let mut state = self.lock();
        let key = state.register_pool(pool);
        read(state.latency.entry(key).or_default())
    }

    /// Updates the estimates with a completed attempt.
    pub(crate) fn on_complete(&self, demand: StageDemand<'_>, usage: Usage, latency_ms: u64) {
        let mut state = self.lock();
        let key = state.register_pool(demand.pool);
        let expected_ms = state.estimates.expected_ms(key, demand.max_tokens);
        state.estimates.on_complete(key, demand.max_tokens, usage);
        state.latency.entry(key).or_default().on_complete(latency_ms, expected_ms);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn register_pool(&mut self, pool: &Pool) -> PoolKey {
        let declared = DeclaredEstimate {
            estimate_ms: pool.estimate_ms,
            token_estimate_ms: pool.token_estimate_ms,
        };
        self.estimates.register_pool(&pool.name, declared)
    }
}

/// Admits a request or refuses it as not run.
///
/// # Errors
///
/// Returns a refusal if a pool has no upstream, or if the stages are not expected to complete by
/// the deadline, given the load of the pools and the customer's share.
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
        let pool = state.register_pool(demand.pool);
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
    /// Records that the next stage is sent to its pool.
    pub(crate) fn stage_sent(&self) {
        self.entry.policy.lock().admission.on_stage_sent(self.key);
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.entry.policy.lock().admission.finish(self.key);
    }
}
