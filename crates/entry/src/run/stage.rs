//! One stage of a request, with retries and hedges on other upstreams.

use std::{pin::Pin, sync::Arc, time::Duration};

use futures::future::{Either, select};
use log::info;
use yuccatrail_core::{
    accounting::{StageLabel, WorkOutcome},
    hedge::{HedgeDecision, HedgeQuery, decide},
    ids::{AttemptId, StageIndex},
    membership::UpstreamKey,
    outcome::{Execution, Reason, Refusal},
    routing::{ChoiceContext, RandomNumbers},
};
use yuccatrail_rpc::messages::UpstreamCall;

use super::{
    ChunkSink, Failure, RequestContext,
    attempt::{self, AttemptPlan, Output},
    begun::Begun,
};
use crate::{entry::Entry, fleet::Chosen, policy::StageDemand};

/// Attempts of one stage, over all upstreams.
const MAX_ATTEMPTS: u16 = 6;
/// Time after the deadline for which the outcome of a call that may not be repeated is awaited, in
/// milliseconds.
const OUTCOME_WAIT_MS: u64 = 30_000;
/// Time between two choices while no upstream can take the attempt.
const CHOICE_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for an upstream to become reachable in a request that has begun, in milliseconds.
const REACHABLE_WAIT_MS: u64 = 1_500;
/// Time after which a caller may try again when no upstream is left, in milliseconds.
const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 500;

/// Work of one stage.
#[derive(Clone)]
pub(crate) struct StageWork<'a> {
    /// Position in the pipeline.
    pub(crate) index: StageIndex,
    /// Pool and size of the work.
    pub(crate) demand: StageDemand<'a>,
    /// Hash of the prompt prefix, if the stage has one worth keeping together.
    pub(crate) prefix: Option<u64>,
    /// The upstream call.
    pub(crate) call: UpstreamCall,
    /// Receives the chunks as they arrive; such a stage is neither hedged nor retried once begun.
    pub(crate) sink: Option<ChunkSink>,
}

/// A stage while it runs.
struct StageRun<'a> {
    entry: &'a Arc<Entry>,
    request: &'a RequestContext,
    work: &'a StageWork<'a>,
    tried: Vec<UpstreamKey>,
    next_number: u16,
    begun_ms: u64,
    estimate_ms: u64,
    /// Whether the call is too precious to try out an ejected or cold upstream with.
    no_probe: bool,
}

type AttemptFuture<'a> = Pin<Box<dyn Future<Output = Result<Output, Failure>> + Send + 'a>>;

/// Runs an idempotent stage to its complete output.
///
/// # Errors
///
/// Returns a refusal that covers all attempts of the stage.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    request: &RequestContext,
    work: &StageWork<'_>,
) -> Result<Output, Refusal> {
    let estimate_ms = entry.policy.expected_ms(work.demand);
    let begun_ms = entry.clock.now_ms();
    let mut run = StageRun {
        entry,
        request,
        work,
        tried: Vec::new(),
        next_number: 0,
        begun_ms,
        estimate_ms,
        no_probe: false,
    };
    let mut execution = Execution::NotRun;
    let mut last = Refusal::not_run(Reason::NoUpstream, NO_UPSTREAM_RETRY_AFTER_MS);
    while run.next_number < MAX_ATTEMPTS {
        let alone = match entry.strikes.admit_attempt(request.fingerprint, entry.clock.now_ms()) {
            Ok(alone) => alone,
            Err(refusal) => {
                last = refusal;
                break;
            }
        };
        let (chosen, id) = match run.choose(alone) {
            Ok(chosen) => chosen,
            Err(reason) if run.may_wait(reason) => {
                tokio::time::sleep(CHOICE_INTERVAL).await;
                run.tried.clear();
                continue;
            }
            Err(reason) => {
                // The refusal of an earlier attempt says more than that nothing is left to try.
                if run.next_number == 0 {
                    last = Refusal::not_run(reason, NO_UPSTREAM_RETRY_AFTER_MS);
                }
                break;
            }
        };
        let failure = match run.attempt_hedged(chosen, id, alone).await {
            Ok(output) => return Ok(output),
            Err(failure) => failure,
        };
        execution = execution.and(failure.refusal.execution);
        last = failure.refusal;
        if !run.may_retry(&failure) {
            break;
        }
    }
    Err(Refusal { execution, ..last })
}

/// Runs one attempt of a call that may not be repeated.
///
/// # Errors
///
/// Returns a failure that states what is known about the execution.
pub(crate) async fn run_once(
    entry: &Arc<Entry>,
    request: &RequestContext,
    work: &StageWork<'_>,
    number: u16,
    tried: &mut Vec<UpstreamKey>,
    dispatch_by_ms: u64,
) -> Result<Output, Failure> {
    let alone = entry.strikes.admit_attempt(request.fingerprint, entry.clock.now_ms())?;
    let estimate_ms = entry.policy.expected_ms(work.demand);
    let mut run = StageRun {
        entry,
        request,
        work,
        tried: std::mem::take(tried),
        next_number: number,
        begun_ms: entry.clock.now_ms(),
        estimate_ms,
        no_probe: true,
    };
    let chosen = run.choose(alone);
    *tried = run.tried.clone();
    let (chosen, id) = match chosen {
        Ok(chosen) => chosen,
        Err(reason) => {
            return Err(Refusal::not_run(reason, NO_UPSTREAM_RETRY_AFTER_MS).into());
        }
    };
    run.attempt(chosen, id, false, dispatch_by_ms).await
}

impl<'a> StageRun<'a> {
    fn choose(&mut self, alone: bool) -> Result<(Chosen, AttemptId), Reason> {
        let pool = &self.work.demand.pool.name;
        let chosen = match alone {
            true => self.entry.fleet.choose_alone(pool, self.request.fingerprint),
            false => {
                let context = ChoiceContext {
                    prefix: self.work.prefix,
                    no_probe: self.no_probe,
                    ..ChoiceContext::default()
                };
                let [first, second, probe] = rand::random();
                let random = RandomNumbers { first, second, probe };
                self.entry.fleet.choose(pool, &self.tried, context, random)
            }
        };
        let id = AttemptId {
            request: self.request.id,
            stage: self.work.index,
            number: self.next_number,
            entry: self.entry.incarnation,
        };
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(reason) => {
                info!(attempt:% = id, pool = pool.as_str(), reason:% = reason; "no upstream chosen");
                return Err(reason);
            }
        };
        self.next_number += 1;
        info!(
            attempt:% = id,
            pool = pool.as_str(),
            upstream = chosen.link.name.as_str(),
            candidates = chosen.considered,
            reason:% = chosen.reason;
            "upstream chosen"
        );
        self.tried.push(chosen.key);
        Ok((chosen, id))
    }

    /// Runs an attempt, and a second one beside it when it takes unusually long.
    async fn attempt_hedged(
        &mut self,
        chosen: Chosen,
        id: AttemptId,
        alone: bool,
    ) -> Result<Output, Failure> {
        let sent_ms = self.entry.clock.now_ms();
        let deadline_ms = self.request.deadline_ms;
        let primary = self.attempt(chosen, id, true, deadline_ms);
        if alone || self.work.sink.is_some() {
            return primary.await;
        }
        let hedge = Box::pin(self.wait_for_hedge(sent_ms));
        let primary = match select(primary, hedge).await {
            Either::Left((result, _)) => return result,
            Either::Right((false, primary)) => return primary.await,
            Either::Right((true, primary)) => primary,
        };
        let Ok((second, second_id)) = self.choose(false) else { return primary.await };
        self.entry.metrics.hedges.inc();
        info!(attempt:% = second_id, beside:% = id; "hedging a slow attempt");
        let secondary = self.attempt(second, second_id, true, deadline_ms);
        first_complete(primary, secondary).await
    }

    /// Waits until the attempt is to be hedged; returns false if it never is.
    async fn wait_for_hedge(&self, sent_ms: u64) -> bool {
        let pool = self.work.demand.pool;
        loop {
            let now_ms = self.entry.clock.now_ms();
            let load = self.entry.fleet.pool_load(&pool.name);
            let query = HedgeQuery {
                idempotent: true,
                hedged: false,
                sent_ms,
                expected_ms: self.estimate_ms,
                finish_by_ms: self.request.deadline_ms,
                other_has_capacity: load.upstreams > 1 && load.outstanding < load.limit,
            };
            let decision = self.entry.policy.with_latency(pool, |latency| {
                decide(now_ms, &query, latency, &mut self.entry.retry_budget())
            });
            match decision {
                HedgeDecision::Hedge => return true,
                HedgeDecision::No(_) => return false,
                HedgeDecision::WaitUntil(at_ms) => {
                    tokio::time::sleep(Duration::from_millis(at_ms - now_ms)).await;
                }
            }
        }
    }

    /// Returns the future of one attempt, which accounts for itself however it ends.
    fn attempt(
        &self,
        chosen: Chosen,
        id: AttemptId,
        idempotent: bool,
        dispatch_by_ms: u64,
    ) -> AttemptFuture<'a> {
        let (entry, request, work) = (self.entry, self.request, self.work);
        let estimate_ms = self.estimate_ms;
        let mut begun = Begun::new(entry.fleet.clone(), chosen.key, estimate_ms);
        // The outcome of a call that may not be repeated matters to later copies as well.
        let await_until_ms = match idempotent {
            true => request.deadline_ms,
            false => request.deadline_ms + OUTCOME_WAIT_MS,
        };
        let plan = AttemptPlan {
            id,
            pool: work.demand.pool.name.clone(),
            idempotent,
            dispatch_by_ms,
            await_until_ms,
            estimate_ms: entry.policy.safe_ms(work.demand),
            call: work.call.clone(),
            sink: work.sink.clone(),
        };
        Box::pin(async move {
            let result = attempt::run(entry, &chosen.link, request, plan).await;
            let latency_ms = begun.elapsed_ms();
            begun.ends(&result);
            match &result {
                Ok(output) => {
                    let usage = output.completion.usage;
                    entry.policy.on_complete(work.demand, usage, latency_ms);
                    entry.strikes.complete(request.fingerprint);
                    entry.retry_budget().on_completed(true);
                }
                Err(failure) => {
                    report_failure(entry, request, work, id, failure);
                    // Its caller may resend it through another entry as soon as it is answered.
                    if !entry.strikes.against(request.fingerprint, entry.clock.now_ms()).is_empty()
                    {
                        entry.fleet.pass_on_strikes().await;
                    }
                }
            }
            result
        })
    }

    /// Decides whether to choose again shortly when no upstream can take the attempt.
    ///
    /// A request whose earlier stages have run is worth a wait; one that has not begun is refused at
    /// once, unless a cold upstream is about to have room.
    fn may_wait(&self, reason: Reason) -> bool {
        let now_ms = self.entry.clock.now_ms();
        if now_ms + self.estimate_ms > self.request.deadline_ms {
            return false;
        }
        let has_begun = self.work.index.0 > 0 || self.next_number > 0;
        match reason {
            Reason::Cold => true,
            _ => has_begun && now_ms < self.begun_ms + REACHABLE_WAIT_MS,
        }
    }

    /// Decides whether another attempt may follow a failed one.
    fn may_retry(&self, failure: &Failure) -> bool {
        let refusal = failure.refusal;
        let now_ms = self.entry.clock.now_ms();
        if now_ms + self.estimate_ms > self.request.deadline_ms {
            return false;
        }
        match refusal.reason {
            Reason::DeadlineExpired | Reason::Quarantined | Reason::DeadlineUnreachable => false,
            _ if refusal.execution == Execution::NotRun => true,
            // Output that the caller has seen cannot be replaced by that of another run.
            _ if self.work.sink.is_some() && failure.delivered => false,
            _ => {
                let allowed = self.entry.retry_budget().try_retry();
                if allowed {
                    self.entry.metrics.retries.inc();
                }
                allowed
            }
        }
    }
}

fn report_failure(
    entry: &Entry,
    request: &RequestContext,
    work: &StageWork<'_>,
    id: AttemptId,
    failure: &Failure,
) {
    let refusal = failure.refusal;
    info!(attempt:% = id, reason:% = refusal.reason, execution:% = refusal.execution; "attempt ended");
    let Some(usage) = failure.usage else { return };
    let label = StageLabel {
        pipeline: request.target.clone(),
        customer: request.customer.clone(),
        stage: work.index,
    };
    entry.metrics.on_attempt(&label, usage, WorkOutcome::Wasted);
}

/// Returns the first complete output of two attempts, or the failure of both.
async fn first_complete(
    primary: AttemptFuture<'_>,
    secondary: AttemptFuture<'_>,
) -> Result<Output, Failure> {
    let (first, other) = match select(primary, secondary).await {
        Either::Left((result, other)) => (result, other),
        Either::Right((result, other)) => (result, other),
    };
    let first = match first {
        Ok(output) => return Ok(output),
        Err(failure) => failure,
    };
    let second = match other.await {
        Ok(output) => return Ok(output),
        Err(failure) => failure,
    };
    let execution = first.refusal.execution.and(second.refusal.execution);
    Err(Failure { refusal: Refusal { execution, ..second.refusal }, ..second })
}
