//! Latency that entry and agent add to a call, measured with one caller.

use std::time::Duration;

use super::{
    closed_loop::{self, ClosedLoopResult},
    direct::{self, StageAddresses},
    report::{AddedLatency, Comparison},
};
use crate::{
    load::report::Quantiles,
    stack::{
        caller::Caller,
        expected,
        run::{Stack, StackError},
    },
    upstream::engine,
};

/// Number of stage calls in one run of the demo pipeline.
const STAGE_CALLS: f64 = 4.0;
/// Duration of each warm-up before the first round; it opens connections and warms the upstreams.
const WARM_UP_DURATION: Duration = Duration::from_millis(1500);

/// Compares direct calls with calls through entry and agents in `rounds` rounds.
///
/// Direct and indirect calls alternate within each round.
///
/// # Errors
///
/// Returns an error when the stack has no upstream in a pool that the calls need.
pub async fn measure(
    stack: &Stack,
    rounds: usize,
    duration: Duration,
) -> Result<Vec<Comparison>, StackError> {
    let caller = Caller::new("lone-star");
    let stages = stage_addresses(stack)?;
    let service = upstream_address(stack, "work-orders")?;
    service_through_entry(stack, &caller, WARM_UP_DURATION).await;
    pipeline_through_entry(stack, &caller, WARM_UP_DURATION).await;
    let mut comparisons = Vec::new();
    for _ in 0..rounds {
        let direct_caller = caller.clone();
        let direct_service = closed_loop::run(1, duration, move |number| {
            let caller = direct_caller.clone();
            async move { direct::call_service(&caller, service, number).await }
        })
        .await;
        let through = service_through_entry(stack, &caller, duration).await;
        comparisons.push(compare("service call", 1.0, &direct_service, &through));
        let direct_caller = caller.clone();
        let direct_pipeline = closed_loop::run(1, duration, move |number| {
            let caller = direct_caller.clone();
            async move { direct::run_pipeline(&caller, stages, &format!("riser {number}")).await }
        })
        .await;
        let through = pipeline_through_entry(stack, &caller, duration).await;
        comparisons.push(compare("pipeline", STAGE_CALLS, &direct_pipeline, &through));
    }
    Ok(comparisons)
}

async fn service_through_entry(
    stack: &Stack,
    caller: &Caller,
    duration: Duration,
) -> ClosedLoopResult {
    let entry = stack.entry(0);
    let caller = caller.clone();
    closed_loop::run(1, duration, move |number| {
        let caller = caller.clone();
        async move {
            let path = format!("/order/{number}");
            let target = format!("/v1/services/work-orders{path}");
            let response = caller.send(entry, "GET", &target, &[], "").await;
            direct::check_response(response, |it| *it == engine::serve_call("GET", &path, ""))
        }
    })
    .await
}

async fn pipeline_through_entry(
    stack: &Stack,
    caller: &Caller,
    duration: Duration,
) -> ClosedLoopResult {
    let entry = stack.entry(0);
    let caller = caller.clone();
    closed_loop::run(1, duration, move |number| {
        let caller = caller.clone();
        async move {
            let input = format!("riser {number}");
            let response = caller.pipeline(entry, "read-back", &input).await;
            let expected = expected::pipeline(&input).text;
            direct::check_response(response, |it| it["output"]["text"] == expected.as_str())
        }
    })
    .await
}

fn compare(
    call: &str,
    stage_calls: f64,
    direct: &ClosedLoopResult,
    through: &ClosedLoopResult,
) -> Comparison {
    let direct_latency = Quantiles::of(&direct.latency_us);
    let through_latency = Quantiles::of(&through.latency_us);
    let added =
        |direct_us: u64, through_us: u64| (through_us as f64 - direct_us as f64) / stage_calls;
    Comparison {
        call: call.to_owned(),
        direct: direct_latency,
        through: through_latency,
        added_per_stage: AddedLatency {
            p50_us: added(direct_latency.p50_us, through_latency.p50_us),
            p99_us: added(direct_latency.p99_us, through_latency.p99_us),
        },
        errors: direct.errors.values().chain(through.errors.values()).sum(),
    }
}

fn stage_addresses(stack: &Stack) -> Result<StageAddresses, StackError> {
    Ok(StageAddresses {
        encoder: upstream_address(stack, "encoders")?,
        retriever: upstream_address(stack, "retrievers")?,
        reranker: upstream_address(stack, "rerankers")?,
        engine: upstream_address(stack, "engines")?,
    })
}

fn upstream_address(stack: &Stack, pool: &str) -> Result<std::net::SocketAddr, StackError> {
    for pair in &stack.upstreams {
        if pair.plan.pool == pool {
            return Ok(pair.upstream.address);
        }
    }
    Err(StackError::NotReached { what: format!("an upstream in pool {pool}") })
}
