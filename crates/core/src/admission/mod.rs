//! Admission control of the entry.
//!
//! A request is refused immediately when the expected run time of its stages plus the queueing
//! delay in their pools exceeds the time left until its deadline. When pools are saturated,
//! requests of customers above their fair share are refused earlier than those of customers below
//! it.

mod fairness;
#[cfg(test)]
mod tests;

use slotmap::{SlotMap, new_key_type};

pub use crate::admission::fairness::CustomerKey;
use crate::{
    FastMap,
    admission::fairness::Fairness,
    deadline::{Plan, PoolKey, StageEstimates},
    outcome::{Reason, Refusal},
    routing::PoolLoad,
};

/// Messaging overhead of each stage, in milliseconds.
const STAGE_OVERHEAD_MS: u64 = 4;

/// Lower bound of the retry delay that a refused caller is given, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Upper bound of that retry delay, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// Thresholds for a customer within its fair share.
const WITHIN_SHARE: LoadShedding = LoadShedding { start_ratio: 0.8, full_ratio: 0.95 };

/// Thresholds for a customer that uses its whole fair share or more.
const ABOVE_SHARE: LoadShedding = LoadShedding { start_ratio: 0.2, full_ratio: 0.5 };

/// Usage of the fair share up to which the thresholds of [`WITHIN_SHARE`] apply unchanged.
const WITHIN_SHARE_USAGE: f64 = 0.95;

/// Weight of a new call in the moving average of the run time of offered calls.
const MEAN_CALL_WEIGHT: f64 = 0.02;

/// Upper bound of the estimated number of entries that send to a pool.
const MAX_ACTIVE_ENTRIES: u64 = 16;

new_key_type! {
    /// Identifies an admitted request.
    pub struct AdmissionKey;
}

/// One remaining stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageWork {
    /// Pool that runs the stage.
    pub pool: PoolKey,
    /// Maximum number of tokens that the stage generates.
    pub max_tokens: u32,
    /// Current load of the pool.
    pub load: PoolLoad,
}

/// A pipeline as the environment document declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredPipeline {
    /// Time from arrival to the end of the response, in milliseconds.
    pub deadline_ms: u64,
    /// Pool and maximum number of generated tokens of each stage.
    pub stages: Vec<(PoolKey, u32)>,
}

/// An admitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Key for [`Admission::on_stage_sent`] and [`Admission::finish`].
    pub key: AdmissionKey,
    /// Start and finish limits of the stages.
    pub plan: Plan,
}

#[derive(Clone, Debug)]
struct Request {
    /// Pool of each stage, in order.
    pools: Vec<PoolKey>,
    /// Number of stages that were sent to their pool.
    sent: usize,
}

/// Admission control of one entry.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    requests: SlotMap<AdmissionKey, Request>,
    /// Number of calls of admitted requests that have not been sent to the pool yet.
    upcoming: FastMap<PoolKey, u32>,
    /// Smallest slack of the declared pipelines that use a pool, in milliseconds.
    min_slack_ms: FastMap<PoolKey, u64>,
    /// Moving average of the expected run time of the calls offered to a pool, in milliseconds.
    ///
    /// Completed calls would be a biased sample: an entry that admits few requests sees few of
    /// them, and the long ones last.
    mean_call_ms: FastMap<PoolKey, f64>,
    fairness: Fairness,
}

/// Sums over the stages of a request.
#[derive(Clone, Copy, Debug, Default)]
struct StageTotals {
    /// Expected run time, in milliseconds.
    run_ms: u64,
    /// Run time that most requests don't exceed, in milliseconds.
    conservative_run_ms: u64,
    /// Expected queueing delay, in milliseconds.
    wait_ms: u64,
    /// Longest queueing delay that still lets every declared pipeline of the same pools meet its
    /// deadline, in milliseconds.
    max_wait_ms: u64,
}

impl Admission {
    /// Creates an admission control without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key of a customer, adding it if it is new, and updates its share.
    pub fn register_customer(&mut self, name: &str, share: u32) -> CustomerKey {
        self.fairness.register_customer(name, share)
    }

    /// Replaces the declared pipelines.
    ///
    /// The backlog of a pool is limited to what the pipeline with the smallest slack tolerates;
    /// otherwise requests with long deadlines would starve all others.
    pub fn set_pipelines(&mut self, estimates: &StageEstimates, pipelines: &[DeclaredPipeline]) {
        self.min_slack_ms.clear();
        for pipeline in pipelines {
            let mut need_ms = 0;
            for &(pool, max_tokens) in &pipeline.stages {
                need_ms += estimates.expected_ms(pool, max_tokens) + STAGE_OVERHEAD_MS;
            }
            let slack_ms = pipeline.deadline_ms.saturating_sub(need_ms);
            for &(pool, _) in &pipeline.stages {
                let min_ms = self.min_slack_ms.entry(pool).or_insert(slack_ms);
                *min_ms = slack_ms.min(*min_ms);
            }
        }
    }

    /// Admits a request or refuses it with
    /// [`Execution::NotRun`](crate::outcome::Execution::NotRun).
    ///
    /// # Errors
    ///
    /// `NoUpstream` when a pool has no upstream that may receive work, `DeadlineUnreachable` when
    /// the stages are not expected to finish by the deadline, `CustomerShare` when the deadline is
    /// reachable but the pools are backed up and part of the customer's requests is shed, which
    /// begins earlier for customers above their fair share.
    pub fn admit(
        &mut self,
        now_ms: u64,
        estimates: &StageEstimates,
        customer: CustomerKey,
        deadline_ms: u64,
        stages: &[StageWork],
    ) -> Result<Admitted, Refusal> {
        let mut expected_ms = Vec::with_capacity(stages.len());
        let mut totals = StageTotals { max_wait_ms: u64::MAX, ..StageTotals::default() };
        for stage in stages {
            if stage.load.upstreams == 0 {
                return Err(Refusal::not_run(Reason::NoUpstream, MIN_RETRY_AFTER_MS));
            }
            let run_ms = estimates.expected_ms(stage.pool, stage.max_tokens);
            totals.run_ms += run_ms + STAGE_OVERHEAD_MS;
            totals.conservative_run_ms +=
                estimates.conservative_ms(stage.pool, stage.max_tokens) + STAGE_OVERHEAD_MS;
            totals.wait_ms += self.wait_ms(stage, run_ms);
            if let Some(&slack_ms) = self.min_slack_ms.get(&stage.pool) {
                totals.max_wait_ms = totals.max_wait_ms.min(slack_ms);
            }
            expected_ms.push(run_ms + STAGE_OVERHEAD_MS);
        }

        let remaining_ms = deadline_ms.saturating_sub(now_ms);
        if let Some(reason) = self.refusal_reason(now_ms, customer, remaining_ms, totals) {
            return Err(Refusal::not_run(reason, retry_after_ms(remaining_ms, totals)));
        }

        self.fairness.on_admitted(now_ms, customer, totals.run_ms);
        let pools: Vec<PoolKey> = stages.iter().map(|it| it.pool).collect();
        for &pool in &pools {
            *self.upcoming.entry(pool).or_default() += 1;
        }
        let key = self.requests.insert(Request { pools, sent: 0 });
        Ok(Admitted { key, plan: Plan::new(now_ms, deadline_ms, &expected_ms) })
    }

    /// Records that the next stage of a request was sent to its pool for the first time.
    pub fn on_stage_sent(&mut self, key: AdmissionKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let Some(&pool) = request.pools.get(request.sent) else { return };
        request.sent += 1;
        self.decrement_upcoming(pool);
    }

    /// Removes a request that ended, whatever its outcome.
    pub fn finish(&mut self, key: AdmissionKey) {
        let Some(request) = self.requests.remove(key) else { return };
        for &pool in &request.pools[request.sent..] {
            self.decrement_upcoming(pool);
        }
    }

    /// Returns the number of admitted requests that have not finished.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    fn decrement_upcoming(&mut self, pool: PoolKey) {
        if let Some(upcoming) = self.upcoming.get_mut(&pool) {
            *upcoming = upcoming.saturating_sub(1);
        }
    }

    /// Returns the expected queueing delay of a call in the pool, in milliseconds.
    fn wait_ms(&mut self, stage: &StageWork, run_ms: u64) -> u64 {
        let mean_ms = self.mean_call_ms.entry(stage.pool).or_insert(run_ms as f64);
        *mean_ms += (run_ms as f64 - *mean_ms) * MEAN_CALL_WEIGHT;
        let mean_ms = mean_ms.ceil() as u64;

        let upcoming = self.upcoming.get(&stage.pool).copied().unwrap_or(0);
        let upcoming = u64::from(upcoming) * estimated_active_entries(&stage.load);
        let ahead = u64::from(stage.load.outstanding) + upcoming;
        let limit = u64::from(stage.load.limit.max(1));
        if ahead < limit {
            return 0;
        }
        (ahead - limit + 1) * mean_ms / limit
    }

    fn refusal_reason(
        &mut self,
        now_ms: u64,
        customer: CustomerKey,
        remaining_ms: u64,
        totals: StageTotals,
    ) -> Option<Reason> {
        let share_usage = self.fairness.on_offered(now_ms, customer, totals.run_ms);
        if totals.run_ms > remaining_ms {
            return Some(Reason::DeadlineUnreachable);
        }
        if totals.wait_ms == 0 {
            return None;
        }

        let slack_ms =
            remaining_ms.saturating_sub(totals.conservative_run_ms).min(totals.max_wait_ms);
        let wait_ratio = totals.wait_ms as f64 / slack_ms.max(1) as f64;
        if wait_ratio > WITHIN_SHARE.full_ratio {
            return Some(Reason::DeadlineUnreachable);
        }
        let fraction = LoadShedding::for_share_usage(share_usage).admitted_fraction(wait_ratio);
        if !self.fairness.should_admit(customer, fraction) {
            return Some(Reason::CustomerShare);
        }
        None
    }
}

/// Thresholds between which the fraction of refused requests rises linearly from none to all.
///
/// Entries learn of the backlog with a delay and estimate it differently. With a single threshold
/// the entry with the lowest estimate would admit everything and the others nothing.
#[derive(Clone, Copy, Debug)]
struct LoadShedding {
    /// Ratio of queueing delay to slack above which requests are refused.
    start_ratio: f64,
    /// Ratio of queueing delay to slack from which on all requests are refused.
    full_ratio: f64,
}

impl LoadShedding {
    /// Returns the thresholds for a customer with this usage of its fair share.
    fn for_share_usage(share_usage: f64) -> Self {
        let excess = (share_usage - WITHIN_SHARE_USAGE) / (1.0 - WITHIN_SHARE_USAGE);
        let excess = excess.clamp(0.0, 1.0);
        let interpolate = |within: f64, above: f64| within + (above - within) * excess;
        Self {
            start_ratio: interpolate(WITHIN_SHARE.start_ratio, ABOVE_SHARE.start_ratio),
            full_ratio: interpolate(WITHIN_SHARE.full_ratio, ABOVE_SHARE.full_ratio),
        }
    }

    /// Returns the fraction of the requests to admit.
    fn admitted_fraction(&self, wait_ratio: f64) -> f64 {
        ((self.full_ratio - wait_ratio) / (self.full_ratio - self.start_ratio)).clamp(0.0, 1.0)
    }
}

/// Estimates how many entries with the load of this one send to a pool.
///
/// Entries don't report calls that they have admitted but not sent, so the number of this entry's
/// own is multiplied by this estimate.
fn estimated_active_entries(load: &PoolLoad) -> u64 {
    let entries = u64::from(load.outstanding) / u64::from(load.own.max(1));
    entries.clamp(1, MAX_ACTIVE_ENTRIES)
}

/// Returns the time until the backlog is short enough for the request to be admitted, in
/// milliseconds.
fn retry_after_ms(remaining_ms: u64, totals: StageTotals) -> u64 {
    let slack_ms = remaining_ms.saturating_sub(totals.conservative_run_ms).min(totals.max_wait_ms);
    let excess_ms = totals.wait_ms.saturating_sub(slack_ms / 2);
    excess_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
}
