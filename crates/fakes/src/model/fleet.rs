//! Simulated fleets: pools, pipelines and customers.

use yuccatrail_core::{capacity::CapacityConfig, deadline::DeclaredEstimate};

/// A pool of identical upstreams.
#[derive(Clone, Debug)]
pub(crate) struct PoolSpec {
    pub(crate) name: &'static str,
    pub(crate) upstreams: usize,
    pub(crate) limits: CapacityConfig,
    pub(crate) max_queued: u32,
    /// Duration of a call that runs alone, without the time for its tokens.
    pub(crate) call_ms: f64,
    pub(crate) token_ms: f64,
    /// Fraction of its duration that a call takes longer for each other call in progress.
    pub(crate) slowdown: f64,
}

impl PoolSpec {
    /// Returns the duration in milliseconds of a call that runs beside `others` other calls.
    pub(crate) fn run_ms(&self, tokens: f64, others: usize) -> f64 {
        (self.call_ms + self.token_ms * tokens) * (1.0 + self.slowdown * others as f64)
    }

    /// Returns the duration in milliseconds of a call on an upstream at its concurrency limit.
    pub(crate) fn saturated_run_ms(&self, tokens: f64) -> f64 {
        self.run_ms(tokens, self.limits.concurrency as usize - 1)
    }

    pub(crate) fn declared_estimate(&self) -> DeclaredEstimate {
        DeclaredEstimate {
            estimate_ms: self.call_ms as u64,
            token_estimate_ms: self.token_ms.ceil() as u64,
        }
    }
}

/// A stage of a pipeline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageSpec {
    pub(crate) pool: usize,
    pub(crate) max_tokens: u32,
    pub(crate) idempotent: bool,
}

/// A pipeline, or a service as a pipeline of one stage.
#[derive(Clone, Debug)]
pub(crate) struct PipelineSpec {
    pub(crate) name: &'static str,
    pub(crate) deadline_ms: u64,
    pub(crate) stages: Vec<StageSpec>,
    /// Fraction of all arrivals that request this pipeline.
    pub(crate) arrival_fraction: f64,
}

/// A customer and its share of the capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CustomerSpec {
    pub(crate) name: &'static str,
    pub(crate) share: u32,
}

/// A simulated deployment.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Name in the results.
    pub name: &'static str,
    pub(crate) data_centres: usize,
    /// One-way delay of a message between data centres.
    pub(crate) hop_us: u64,
    pub(crate) pools: Vec<PoolSpec>,
    pub(crate) pipelines: Vec<PipelineSpec>,
    pub(crate) customers: Vec<CustomerSpec>,
}

/// Index of the generate pool, the bottleneck of every fleet.
pub(crate) const GENERATE: usize = 3;

/// Smallest fraction of `max_tokens` that a call generates.
pub(crate) const MIN_TOKEN_FRACTION: f64 = 0.25;

/// Mean fraction of `max_tokens` that a call generates.
const MEAN_TOKEN_FRACTION: f64 = (1.0 + MIN_TOKEN_FRACTION) / 2.0;

impl Fleet {
    /// Returns the fleet of an inspection cooperative.
    pub fn cooperative() -> Self {
        let services = [("work-orders", 5), ("tagging", 4), ("billing", 3), ("scheduling", 4)];
        Self::new("cooperative", 3, 1_500, services)
    }

    /// Returns the fleet of a handicap office.
    pub fn cenida() -> Self {
        let services = [("certificates", 5), ("registry", 4), ("results", 4), ("notices", 4)];
        Self::new("cenida", 4, 500, services)
    }

    fn new(
        name: &'static str,
        data_centres: usize,
        hop_us: u64,
        services: [(&'static str, usize); 4],
    ) -> Self {
        let mut pools = vec![
            pool("encode", 6, 16, 8.0, 0.0, 0.03),
            pool("retrieve", 6, 16, 30.0, 0.0, 0.03),
            pool("rerank", 6, 8, 40.0, 0.0, 0.05),
            pool("generate", 18, 8, 80.0, 8.0, 0.05),
        ];
        let mut pipelines =
            vec![pipeline("read-back", 3_000, 60, 0.6), pipeline("long-answer", 12_000, 300, 0.25)];
        for (service, upstreams) in services {
            let stage = |idempotent| StageSpec { pool: pools.len(), max_tokens: 0, idempotent };
            for idempotent in [true, false] {
                let stages = vec![stage(idempotent)];
                pipelines.push(PipelineSpec {
                    name: service,
                    deadline_ms: 1_000,
                    stages,
                    arrival_fraction: 0.15 / 8.0,
                });
            }
            pools.push(pool(service, upstreams, 4, 60.0, 0.0, 0.1));
        }
        let customers = vec![
            CustomerSpec { name: "large-1", share: 4 },
            CustomerSpec { name: "large-2", share: 4 },
            CustomerSpec { name: "small-1", share: 1 },
            CustomerSpec { name: "small-2", share: 1 },
            CustomerSpec { name: "small-3", share: 1 },
        ];
        Self { name, data_centres, hop_us, pools, pipelines, customers }
    }

    /// Returns the data centre of the upstream at a position of its pool.
    pub(crate) fn data_centre(&self, position: usize) -> usize {
        position % self.data_centres
    }

    /// Returns the requests per second that the fleet completes when its bottleneck is saturated.
    pub(crate) fn capacity_per_s(&self) -> f64 {
        let mut least = f64::MAX;
        for (index, pool) in self.pools.iter().enumerate() {
            let mut mean_ms = 0.0;
            for pipeline in &self.pipelines {
                for stage in pipeline.stages.iter().filter(|it| it.pool == index) {
                    let tokens = f64::from(stage.max_tokens) * MEAN_TOKEN_FRACTION;
                    mean_ms += pipeline.arrival_fraction * pool.saturated_run_ms(tokens);
                }
            }
            least = least.min(self.slots(index) * 1_000.0 / mean_ms);
        }
        least
    }

    /// Returns the number of calls that a pool can run concurrently.
    pub(crate) fn slots(&self, pool: usize) -> f64 {
        let pool = &self.pools[pool];
        pool.upstreams as f64 * f64::from(pool.limits.concurrency)
    }
}

fn pool(
    name: &'static str,
    upstreams: usize,
    concurrency: u32,
    call_ms: f64,
    token_ms: f64,
    slowdown: f64,
) -> PoolSpec {
    let limits = CapacityConfig { concurrency, cold_concurrency: 1 };
    PoolSpec { name, upstreams, limits, max_queued: 64, call_ms, token_ms, slowdown }
}

fn pipeline(
    name: &'static str,
    deadline_ms: u64,
    max_tokens: u32,
    arrival_fraction: f64,
) -> PipelineSpec {
    let stage = |pool, max_tokens| StageSpec { pool, max_tokens, idempotent: true };
    let stages = vec![stage(0, 0), stage(1, 0), stage(2, 0), stage(GENERATE, max_tokens)];
    PipelineSpec { name, deadline_ms, stages, arrival_fraction }
}
