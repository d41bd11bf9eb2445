//! Decision whether the entry takes on a request.
//!
//! A request is refused at once when its remaining stages, together with the work that waits before
//! them, don't fit before its deadline. When pools are saturated, customers above their share are
//! refused earlier than those below.

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

/// Time that messages take for each stage, in milliseconds.
const STAGE_OVERHEAD_MS: u64 = 4;

/// Bounds of the time after which a refused caller may try again, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// Wait relative to the slack, for a customer within its share.
const WITHIN_SHARE: Thinning = Thinning { starts: 0.8, refuses_all: 0.95 };

/// Wait relative to the slack, for a customer above its share.
const ABOVE_SHARE: Thinning = Thinning { starts: 0.2, refuses_all: 0.5 };

/// Use of the share up to which a customer counts as fully within it.
const WITHIN_SHARE_USE: f64 = 0.95;

/// Weight of a new request in the average size of the calls that a pool is offered.
const CALL_WEIGHT: f64 = 0.02;

/// Largest number of entries that this entry's own upcoming work stands for.
const MAX_ENTRIES_IN_USE: u64 = 16;

new_key_type! {
    /// Identifies an admitted request.
    pub struct AdmissionKey;
}

/// One remaining stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageWork {
    /// Pool that runs the stage.
    pub pool: PoolKey,
    /// Longest text that the stage produces, in tokens.
    pub max_tokens: u32,
    /// Load of the pool.
    pub load: PoolLoad,
}

/// A pipeline as the environment document declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredPipeline {
    /// Time from arrival to the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Pool and longest text in tokens of each stage.
    pub stages: Vec<(PoolKey, u32)>,
}

/// An admitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Key for [`Admission::on_stage_sent`] and [`Admission::finish`].
    pub key: AdmissionKey,
    /// Times of the stages.
    pub plan: Plan,
}

#[derive(Clone, Debug)]
struct Request {
    pools: Vec<PoolKey>,
    sent: usize,
}

/// Admission of requests at one entry.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    requests: SlotMap<AdmissionKey, Request>,
    /// Calls of admitted requests that are yet to be sent to a pool.
    upcoming: FastMap<PoolKey, u32>,
    /// Least slack of the declared pipelines that use a pool, in milliseconds.
    least_slack_ms: FastMap<PoolKey, u64>,
    /// Average run time of the calls that a pool is offered, in milliseconds.
    ///
    /// Completed calls would say less: an entry that admits little sees few, and the long ones last.
    mean_call_ms: FastMap<PoolKey, f64>,
    fairness: Fairness,
}

/// Time that the stages of a request need.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    run_ms: u64,
    safe_ms: u64,
    wait_ms: u64,
    /// Longest wait that leaves every pipeline of the same pools a chance.
    bearable_wait_ms: u64,
}

impl Admission {
    /// Creates an admission without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key of a customer and takes over its current share.
    pub fn register_customer(&mut self, name: &str, share: u32) -> CustomerKey {
        self.fairness.register_customer(name, share)
    }

    /// Takes over the declared pipelines.
    ///
    /// Backlog in a pool is kept so short that the pipeline with the least slack still fits;
    /// otherwise requests with long deadlines would shut out all others.
    pub fn set_pipelines(&mut self, estimates: &StageEstimates, pipelines: &[DeclaredPipeline]) {
        self.least_slack_ms.clear();
        for pipeline in pipelines {
            let mut need_ms = 0;
            for &(pool, max_tokens) in &pipeline.stages {
                need_ms += estimates.expected_ms(pool, max_tokens) + STAGE_OVERHEAD_MS;
            }
            let slack_ms = pipeline.deadline_ms.saturating_sub(need_ms);
            for &(pool, _) in &pipeline.stages {
                let least_ms = self.least_slack_ms.entry(pool).or_insert(slack_ms);
                *least_ms = slack_ms.min(*least_ms);
            }
        }
    }

    /// Admits a request or refuses it as not run.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when a pool has no upstream that may receive work, `DeadlineUnreachable` when
    /// the stages don't fit, `CustomerShare` when they would fit for a customer within its share.
    pub fn admit(
        &mut self,
        now_ms: u64,
        estimates: &StageEstimates,
        customer: CustomerKey,
        deadline_ms: u64,
        stages: &[StageWork],
    ) -> Result<Admitted, Refusal> {
        let mut expected_ms = Vec::with_capacity(stages.len());
        let mut need = Need { bearable_wait_ms: u64::MAX, ..Need::default() };
        for stage in stages {
            if stage.load.upstreams == 0 {
                return Err(Refusal::not_run(Reason::NoUpstream, MIN_RETRY_AFTER_MS));
            }
            let run_ms = estimates.expected_ms(stage.pool, stage.max_tokens);
            need.run_ms += run_ms + STAGE_OVERHEAD_MS;
            need.safe_ms +=
                estimates.conservative_ms(stage.pool, stage.max_tokens) + STAGE_OVERHEAD_MS;
            need.wait_ms += self.wait_ms(stage, run_ms);
            if let Some(&slack_ms) = self.least_slack_ms.get(&stage.pool) {
                need.bearable_wait_ms = need.bearable_wait_ms.min(slack_ms);
            }
            expected_ms.push(run_ms + STAGE_OVERHEAD_MS);
        }

        let remaining_ms = deadline_ms.saturating_sub(now_ms);
        if let Some(reason) = self.refusal(now_ms, customer, remaining_ms, need) {
            return Err(Refusal::not_run(reason, retry_after_ms(remaining_ms, need)));
        }

        self.fairness.on_admitted(now_ms, customer, need.run_ms);
        let pools: Vec<PoolKey> = stages.iter().map(|it| it.pool).collect();
        for &pool in &pools {
            *self.upcoming.entry(pool).or_default() += 1;
        }
        let key = self.requests.insert(Request { pools, sent: 0 });
        Ok(Admitted { key, plan: Plan::new(now_ms, deadline_ms, &expected_ms) })
    }

    /// Notes that the next stage of a request was sent to its pool for the first time.
    pub fn on_stage_sent(&mut self, key: AdmissionKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let Some(&pool) = request.pools.get(request.sent) else { return };
        request.sent += 1;
        self.leave(pool);
    }

    /// Ends a request, whatever its outcome.
    pub fn finish(&mut self, key: AdmissionKey) {
        let Some(request) = self.requests.remove(key) else { return };
        for &pool in &request.pools[request.sent..] {
            self.leave(pool);
        }
    }

    /// Returns the number of admitted requests that have not finished.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    fn leave(&mut self, pool: PoolKey) {
        if let Some(upcoming) = self.upcoming.get_mut(&pool) {
            *upcoming = upcoming.saturating_sub(1);
        }
    }

    /// Returns the time for which a call would wait in the pool.
    fn wait_ms(&mut self, stage: &StageWork, run_ms: u64) -> u64 {
        let mean_ms = self.mean_call_ms.entry(stage.pool).or_insert(run_ms as f64);
        *mean_ms += (run_ms as f64 - *mean_ms) * CALL_WEIGHT;
        let mean_ms = mean_ms.ceil() as u64;

        let upcoming = self.upcoming.get(&stage.pool).copied().unwrap_or(0);
        let upcoming = u64::from(upcoming) * entries_in_use(&stage.load);
        let ahead = u64::from(stage.load.outstanding) + upcoming;
        let limit = u64::from(stage.load.projected_limit.max(1));
        if ahead < limit {
            return 0;
        }
        (ahead - limit + 1) * mean_ms / limit
    }

    fn refusal(
        &mut self,
        now_ms: u64,
        customer: CustomerKey,
        remaining_ms: u64,
        need: Need,
    ) -> Option<Reason> {
        let share_use = self.fairness.offer(now_ms, customer, need.run_ms);
        if need.run_ms > remaining_ms {
            return Some(Reason::DeadlineUnreachable);
        }
        if need.wait_ms == 0 {
            return None;
        }

        let slack_ms = remaining_ms.saturating_sub(need.safe_ms).min(need.bearable_wait_ms);
        let strain = need.wait_ms as f64 / slack_ms.max(1) as f64;
        if strain > WITHIN_SHARE.refuses_all {
            return Some(Reason::DeadlineUnreachable);
        }
        let part = Thinning::for_use(share_use).admitted_part(strain);
        if !self.fairness.thin(customer, part) {
            return Some(Reason::CustomerShare);
        }
        None
    }
}

/// Refuses a growing part of the requests while the wait grows.
///
/// Entries see the backlog late and estimate it differently. With a single threshold the entry with
/// the lowest estimate would admit everything and the others nothing.
#[derive(Clone, Copy, Debug)]
struct Thinning {
    /// Wait relative to the slack at which the first requests are refused.
    starts: f64,
    /// Wait relative to the slack at which all requests are refused.
    refuses_all: f64,
}

impl Thinning {
    /// Returns the thinning for a customer with this use of its share.
    fn for_use(share_use: f64) -> Self {
        let excess = (share_use - WITHIN_SHARE_USE) / (1.0 - WITHIN_SHARE_USE);
        let excess = excess.clamp(0.0, 1.0);
        let between = |within: f64, above: f64| within + (above - within) * excess;
        Self {
            starts: between(WITHIN_SHARE.starts, ABOVE_SHARE.starts),
            refuses_all: between(WITHIN_SHARE.refuses_all, ABOVE_SHARE.refuses_all),
        }
    }

    /// Returns the part of the requests to admit.
    fn admitted_part(&self, strain: f64) -> f64 {
        ((self.refuses_all - strain) / (self.refuses_all - self.starts)).clamp(0.0, 1.0)
    }
}

/// Returns how many entries of this one's load seem to send to a pool.
///
/// What the others have admitted and not sent is not reported, so this entry's own stands for it.
fn entries_in_use(load: &PoolLoad) -> u64 {
    let entries = u64::from(load.outstanding) / u64::from(load.own_outstanding.max(1));
    entries.clamp(1, MAX_ENTRIES_IN_USE)
}

/// Returns the time in which the backlog shrinks far enough for the request to fit.
fn retry_after_ms(remaining_ms: u64, need: Need) -> u64 {
    let slack_ms = remaining_ms.saturating_sub(need.safe_ms).min(need.bearable_wait_ms);
    let excess_ms = need.wait_ms.saturating_sub(slack_ms / 2);
    excess_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
}
