//! Simulated entry: wraps the admission, routing and hedging of the core, or a plain baseline.

use rand::{Rng, rngs::StdRng};
use yuccatrail_core::{
    admission::{Admission, Admitted, CustomerKey, DeclaredPipeline, StageWork},
    attempt::RetryBudget,
    deadline::{PoolKey, StageEstimates},
    hedge::{HedgeDecision, HedgeQuery, RecentLatency, decide},
    outcome::{Refusal, Usage},
    routing::{
        AttemptEnd, ChoiceContext, ChoiceError, LoadReport, PoolView, RandomNumbers, UpstreamKey,
        choose,
    },
};

use crate::model::{
    fleet::{Fleet, StageSpec},
    sim::Mode,
};

/// Retries and hedges allowed for every hundred completed attempts.
const RETRIES_PER_HUNDRED: u32 = 20;
/// Retries and hedges that can accumulate unused.
const RETRY_RESERVE: u32 = 10;

/// State that an entry keeps for one pool.
struct PoolState {
    key: PoolKey,
    view: PoolView,
    /// Routing keys of the upstreams with their positions in the list of all upstreams.
    upstreams: Vec<(UpstreamKey, usize)>,
    budget: RetryBudget,
    latency: RecentLatency,
}

/// A simulated entry.
pub(crate) struct Entry {
    pub(crate) data_centre: usize,
    mode: Mode,
    admission: Admission,
    customers: Vec<CustomerKey>,
    estimates: StageEstimates,
    pools: Vec<PoolState>,
    /// Number of routing choices so far; the index for round robin.
    choices_made: u64,
}

/// A completed attempt, from which the entry updates its estimates.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Completed {
    pub(crate) upstream: usize,
    pub(crate) stage: StageSpec,
    pub(crate) expected_ms: u64,
    pub(crate) latency_ms: u64,
    pub(crate) usage: Usage,
}

impl Entry {
    /// Creates an entry; `upstreams` holds the pool and the data centre of each upstream.
    pub(crate) fn new(
        mode: Mode,
        data_centre: usize,
        fleet: &Fleet,
        upstreams: &[(usize, usize)],
    ) -> Self {
        let mut admission = Admission::new();
        let customer =
            |it: &crate::model::fleet::CustomerSpec| admission.register_customer(it.name, it.share);
        let customers = fleet.customers.iter().map(customer).collect();

        let mut estimates = StageEstimates::new();
        let mut pools = Vec::new();
        for (index, spec) in fleet.pools.iter().enumerate() {
            let mut view = PoolView::new();
            let mut keys = Vec::new();
            for (number, (_, at)) in upstreams.iter().enumerate().filter(|(_, it)| it.0 == index) {
                let is_local = *at == data_centre;
                let key = view.add(0, number as u64, is_local, spec.limits.cold_limit());
                keys.push((key, number));
            }
            pools.push(PoolState {
                key: estimates.register_pool(spec.name, spec.declared_estimate()),
                view,
                upstreams: keys,
                budget: RetryBudget::new(RETRIES_PER_HUNDRED, RETRY_RESERVE),
                latency: RecentLatency::new(),
            });
        }
        let mut declared = Vec::new();
        for pipeline in &fleet.pipelines {
            let stages = pipeline.stages.iter().map(|it| (pools[it.pool].key, it.max_tokens));
            let stages = stages.collect();
            declared.push(DeclaredPipeline { deadline_ms: pipeline.deadline_ms, stages });
        }
        admission.set_pipelines(&estimates, &declared);
        Self { data_centre, mode, admission, customers, estimates, pools, choices_made: 0 }
    }

    pub(crate) fn admit(
        &mut self,
        now_ms: u64,
        customer: usize,
        deadline_ms: u64,
        stages: &[StageSpec],
    ) -> Result<Admitted, Refusal> {
        let mut work = Vec::new();
        for stage in stages {
            let pool = &self.pools[stage.pool];
            let load = pool.view.load(now_ms);
            work.push(StageWork { pool: pool.key, max_tokens: stage.max_tokens, load });
        }
        let customer = self.customers[customer];
        self.admission.admit(now_ms, &self.estimates, customer, deadline_ms, &work)
    }

    pub(crate) fn admission(&mut self) -> &mut Admission {
        &mut self.admission
    }

    /// Chooses an upstream for a stage, excluding those in `tried`.
    pub(crate) fn choose(
        &mut self,
        now_ms: u64,
        stage: StageSpec,
        tried: &[usize],
        rng: &mut StdRng,
    ) -> Result<usize, ChoiceError> {
        let pool = &self.pools[stage.pool];
        let is_tried = |it: &&(UpstreamKey, usize)| tried.contains(&it.1);
        let tried: Vec<_> = pool.upstreams.iter().filter(is_tried).map(|it| it.0).collect();
        let candidates = pool.view.candidates(now_ms, None, &tried);
        let context = ChoiceContext {
            policy: self.mode.routing(),
            round_robin_index: self.choices_made,
            no_probe: !stage.idempotent,
            ..ChoiceContext::default()
        };
        self.choices_made += 1;
        let random =
            RandomNumbers { first: rng.next_u64(), second: rng.next_u64(), probe: rng.next_u64() };
        let key = choose(&candidates, &context, random)?.key;
        let chosen = pool.upstreams.iter().find(|it| it.0 == key);
        Ok(chosen.expect("every candidate is an upstream of the pool").1)
    }

    pub(crate) fn decay_estimates(&mut self) {
        self.estimates.decay_stale();
    }

    pub(crate) fn expected_ms(&self, stage: StageSpec) -> u64 {
        self.estimates.expected_ms(self.pools[stage.pool].key, stage.max_tokens)
    }

    pub(crate) fn conservative_ms(&self, stage: StageSpec) -> u64 {
        self.estimates.conservative_ms(self.pools[stage.pool].key, stage.max_tokens)
    }

    /// Decides whether to hedge an attempt; `tried` holds the upstreams of the stage's attempts.
    pub(crate) fn hedge(
        &mut self,
        now_ms: u64,
        pool: usize,
        tried: &[usize],
        query: HedgeQuery,
    ) -> HedgeDecision {
        let pool = &mut self.pools[pool];
        let candidates = pool.view.candidates(now_ms, None, &[]);
        let mut other_has_capacity = false;
        for candidate in &candidates {
            let upstream = pool.upstreams.iter().find(|it| it.0 == candidate.key);
            let is_other = upstream.is_some_and(|it| !tried.contains(&it.1));
            other_has_capacity |= is_other && candidate.has_capacity() && !candidate.load.cold;
        }
        let query = HedgeQuery { other_has_capacity, ..query };
        decide(now_ms, &query, &pool.latency, &mut pool.budget)
    }

    /// Takes a retry from the budget of the pool; the baseline retries without a budget.
    pub(crate) fn may_retry(&mut self, pool: usize) -> bool {
        self.mode == Mode::Baseline || self.pools[pool].budget.try_retry()
    }

    pub(crate) fn on_sent(&mut self, now_ms: u64, pool: usize, upstream: usize) {
        let key = self.key(pool, upstream);
        self.pools[pool].view.on_sent(now_ms, key);
    }

    pub(crate) fn on_load(&mut self, now_ms: u64, pool: usize, upstream: usize, load: LoadReport) {
        let key = self.key(pool, upstream);
        self.pools[pool].view.on_reply(now_ms, key, load);
    }

    pub(crate) fn on_end(&mut self, now_ms: u64, pool: usize, upstream: usize, end: AttemptEnd) {
        // The baseline never ejects an upstream, so failures are not reported to the pool view.
        let end = if self.mode == Mode::Baseline { AttemptEnd::NotRun } else { end };
        let key = self.key(pool, upstream);
        self.pools[pool].view.on_end(now_ms, key, end);
    }

    pub(crate) fn on_completed(&mut self, now_ms: u64, it: Completed) {
        let pool = &mut self.pools[it.stage.pool];
        pool.budget.on_completed(true);
        pool.latency.on_complete(it.latency_ms, it.expected_ms);
        self.estimates.on_complete(pool.key, it.stage.max_tokens, it.usage);
        let ratio = it.usage.engine_ms as f64 / it.expected_ms.max(1) as f64;
        self.on_end(now_ms, it.stage.pool, it.upstream, AttemptEnd::Completed { ratio });
    }

    pub(crate) fn set_withdrawn(&mut self, pool: usize, upstream: usize, withdrawn: bool) {
        let key = self.key(pool, upstream);
        self.pools[pool].view.set_withdrawn(key, withdrawn);
    }

    fn key(&self, pool: usize, upstream: usize) -> UpstreamKey {
        let found = self.pools[pool].upstreams.iter().find(|it| it.1 == upstream);
        found.expect("the upstream belongs to the pool").0
    }
}
