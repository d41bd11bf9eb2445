//! One stage of a request, with retries and hedged attempts on other upstreams.

use std::{pin::Pin, sync::Arc, time::Duration};

use futures::future::{Either, select};
use log::info;
use yuccatrail_core::{
    accounting::{StageLabel, WorkOutcome},
    hedge::{HedgeDecision, HedgeQuery, decide},
    ids::{AttemptId, Digest, StageIndex},
    membership::UpstreamKey,
    outcome::{Execution, Reason, Refusal},
    routing::{ChoiceContext, RandomNumbers},
};
use yuccatrail_rpc::messages::UpstreamCall;

use super::{
    ChunkSink, Failure, RequestContext,
    attempt::{self, AttemptPlan, Output},
    in_flight::InFlightAttempt,
};
use crate::{entry::Entry, fleet::ChosenUpstream, policy::StageDemand};

/// Maximum number of attempts of a stage, over all upstreams.
const MAX_ATTEMPTS: u16 = 6;
/// Time after the deadline for which the outcome of a non-idempotent call is still awaited, in
/// milliseconds.
const OUTCOME_GRACE_MS: u64 = 30_000;
/// Delay before an upstream is chosen again when none can accept the attempt.
const CHOICE_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for an upstream to become available once a request has started, in milliseconds.
const MAX_UPSTREAM_WAIT_MS: u64 = 1_500;
/// Retry-After when no upstream can accept the attempt, in milliseconds.
const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 500;

/// A stage to run.
#[derive(Clone)]
pub(crate) struct StageWork<'a> {
    /// Position in the pipeline, from zero.
    pub(crate) index: StageIndex,
    /// Pool that runs the stage and maximum number of tokens.
    pub(crate) demand: StageDemand<'a>,
    /// Hash of the prompt prefix, for routing by prefix affinity.
    pub(crate) prefix: Option<u64>,
    /// HTTP call to the upstream.
    pub(crate) call: UpstreamCall,
    /// Receives the chunks as they arrive, if the stage is streamed. A streamed stage is never
    /// hedged, and not retried once output was delivered.
    pub(crate) sink: Option<ChunkSink>,
}

impl StageWork<'_> {
    /// Returns the digest of the prompt prefix for the pool that reads it.
    fn prefix_digest(&self) -> Option<Digest> {
        let prefix = self.prefix?;
        Some(Digest::of(format!("{}\n{prefix}", self.demand.pool.name).as_bytes()))
    }
}

/// State of a running stage.
struct StageRun<'a> {
    entry: &'a Arc<Entry>,
    request: &'a RequestContext,
    work: &'a StageWork<'a>,
    tried: Vec<UpstreamKey>,
    next_attempt_number: u16,
    started_ms: u64,
    estimate_ms: u64,
    /// Whether the call must not serve as a probe of an ejected or cold upstream, because it cannot
    /// be retried.
    no_probe: bool,
}

type AttemptFuture<'a> = Pin<Box<dyn Future<Output = Result<Output, Failure>> + Send + 'a>>;

/// Runs an idempotent stage, with retries and hedges, until it has a complete output.
///
/// # Errors
///
/// Returns a refusal that states what is known about the execution over all attempts.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    request: &RequestContext,
    work: &StageWork<'_>,
) -> Result<Output, Refusal> {
    let estimate_ms = entry.policy.expected_ms(work.demand);
    let started_ms = entry.clock.now_ms();
    let mut run = StageRun {
        entry,
        request,
        work,
        tried: Vec::new(),
        next_attempt_number: 0,
        started_ms,
        estimate_ms,
        no_probe: false,
    };
    let mut execution = Execution::NotRun;
    let mut last = Refusal::not_run(Reason::NoUpstream, NO_UPSTREAM_RETRY_AFTER_MS);
    while run.next_attempt_number < MAX_ATTEMPTS {
        let (now_ms, is_retry) = (entry.clock.now_ms(), run.next_attempt_number > 0);
        let prefix = work.prefix_digest();
        let admitted = entry
            .strikes
            .admit_prefix(prefix, request.fingerprint, is_retry, now_ms)
            .and_then(|()| entry.strikes.admit_attempt(request.fingerprint, now_ms));
        let exclusive = match admitted {
            Ok(exclusive) => exclusive,
            Err(refusal) => {
                last = refusal;
                break;
            }
        };
        let (chosen, id) = match run.choose(exclusive) {
            Ok(chosen) => chosen,
            Err(reason) if run.should_wait(reason) => {
                tokio::time::sleep(CHOICE_RETRY_INTERVAL).await;
                run.tried.clear();
                continue;
            }
            Err(reason) => {
                // The refusal of an earlier attempt is more specific than a missing upstream.
                if run.next_attempt_number == 0 {
                    last = Refusal::not_run(reason, NO_UPSTREAM_RETRY_AFTER_MS);
                }
                break;
            }
        };
        let failure = match run.attempt_with_hedge(chosen, id, exclusive).await {
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

/// Runs one attempt of a non-idempotent call, without retries and hedges.
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
    let exclusive = entry.strikes.admit_attempt(request.fingerprint, entry.clock.now_ms())?;
    let estimate_ms = entry.policy.expected_ms(work.demand);
    let mut run = StageRun {
        entry,
        request,
        work,
        tried: std::mem::take(tried),
        next_attempt_number: number,
        started_ms: entry.clock.now_ms(),
        estimate_ms,
        no_probe: true,
    };
    let chosen = run.choose(exclusive);
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
    fn choose(&mut self, exclusive: bool) -> Result<(ChosenUpstream, AttemptId), Reason> {
        let pool = &self.work.demand.pool.name;
        let chosen = match exclusive {
            true => self.entry.fleet.choose_exclusive(pool, self.request.fingerprint),
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
            number: self.next_attempt_number,
            entry: self.entry.incarnation,
        };
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(reason) => {
                info!(attempt:% = id, pool = pool.as_str(), reason:% = reason; "no upstream chosen");
                return Err(reason);
            }
        };
        self.next_attempt_number += 1;
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

    /// Runs an attempt, and hedges it with a second one if it takes unusually long.
    async fn attempt_with_hedge(
        &mut self,
        chosen: ChosenUpstream,
        id: AttemptId,
        exclusive: bool,
    ) -> Result<Output, Failure> {
        let sent_ms = self.entry.clock.now_ms();
        let deadline_ms = self.request.deadline_ms;
        let primary = self.attempt(chosen, id, true, deadline_ms);
        if exclusive || self.work.sink.is_some() {
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
        first_completed(primary, secondary).await
    }

    /// Waits until the attempt should be hedged; returns false if it must not be hedged.
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
            let decision = self.entry.policy.with_recent_latency(pool, |latency| {
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

    /// Returns the future of one attempt, which records its end even when it is dropped.
    fn attempt(
        &self,
        chosen: ChosenUpstream,
        id: AttemptId,
        idempotent: bool,
        dispatch_by_ms: u64,
    ) -> AttemptFuture<'a> {
        let (entry, request, work) = (self.entry, self.request, self.work);
        let estimate_ms = self.estimate_ms;
        let mut in_flight = InFlightAttempt::new(entry.fleet.clone(), chosen.key, estimate_ms);
        // The outcome of a non-idempotent call also decides the response to later copies.
        let await_until_ms = match idempotent {
            true => request.deadline_ms,
            false => request.deadline_ms + OUTCOME_GRACE_MS,
        };
        let plan = AttemptPlan {
            id,
            pool: work.demand.pool.name.clone(),
            idempotent,
            dispatch_by_ms,
            await_until_ms,
            estimate_ms: entry.policy.conservative_ms(work.demand),
            call: work.call.clone(),
            sink: work.sink.clone(),
        };
        Box::pin(async move {
            let result = attempt::run(entry, &chosen.link, request, plan).await;
            let latency_ms = in_flight.elapsed_ms();
            in_flight.record_end(&result);
            match &result {
                Ok(output) => {
                    let usage = output.completion.usage;
                    entry.policy.on_complete(work.demand, usage, latency_ms);
                    entry.strikes.complete(request.fingerprint);
                    entry.strikes.complete_prefix(work.prefix_digest(), entry.clock.now_ms());
                    entry.retry_budget().on_completed(true);
                }
                Err(failure) => {
                    record_failure(entry, request, work, id, failure);
                    if !failure.delivered && failure.refusal.execution != Execution::NotRun {
                        let (prefix, now_ms) = (work.prefix_digest(), entry.clock.now_ms());
                        entry.strikes.strike_prefix(prefix, request.fingerprint, now_ms);
                    }
                    // The caller may resend the request through another entry as soon as it has the
                    // response, so the agents have to know the strikes before.
                    if !entry.strikes.against(request.fingerprint, entry.clock.now_ms()).is_empty()
                    {
                        entry.fleet.propagate_strikes().await;
                    }
                }
            }
            result
        })
    }

    /// Returns whether to choose again after a delay when no upstream can accept the attempt.
    ///
    /// A request that has started waits, so that its completed stages are not wasted. One that has
    /// not started is refused at once, unless a cold upstream is about to have capacity.
    fn should_wait(&self, reason: Reason) -> bool {
        let now_ms = self.entry.clock.now_ms();
        if now_ms + self.estimate_ms > self.request.deadline_ms {
            return false;
        }
        let has_started = self.work.index.0 > 0 || self.next_attempt_number > 0;
        match reason {
            Reason::Cold => true,
            _ => has_started && now_ms < self.started_ms + MAX_UPSTREAM_WAIT_MS,
        }
    }

    /// Returns whether another attempt may follow a failed one.
    ///
    /// Takes a retry from the budget unless the failed attempt is known not to have run.
    fn may_retry(&self, failure: &Failure) -> bool {
        let refusal = failure.refusal;
        let now_ms = self.entry.clock.now_ms();
        if now_ms + self.estimate_ms > self.request.deadline_ms {
            return false;
        }
        match refusal.reason {
            Reason::DeadlineExpired | Reason::Quarantined | Reason::DeadlineUnreachable => false,
            _ if refusal.execution == Execution::NotRun => true,
            // Delivered output cannot be replaced by the output of another run.
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

fn record_failure(
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

/// Returns the first complete output of two attempts, or a failure that covers both.
async fn first_completed(
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
