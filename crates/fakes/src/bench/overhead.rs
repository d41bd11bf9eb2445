//! Latency that entry and agent add to a call, with one caller.

use std::time::Duration;

use super::{
    closed_loop::{self, ClosedLoop},
    direct::{self, StageAddresses},
    report::{Added, Compared},
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

/// Number of stages of the demo pipeline.
const STAGES: f64 = 4.0;
/// Length of the calls made before the first round, which open connections and warm the upstreams.
const WARM_UP: Duration = Duration::from_millis(1500);

/// Measures `rounds` rounds, in which direct calls and calls through the system take turns.
///
/// # Errors
///
/// Returns an error when the stack has no upstream for a stage.
pub async fn measure(
    stack: &Stack,
    rounds: usize,
    length: Duration,
) -> Result<Vec<Compared>, StackError> {
    let caller = Caller::new("lone-star");
    let stages = stage_addresses(stack)?;
    let service = upstream_address(stack, "work-orders")?;
    through_service(stack, &caller, WARM_UP).await;
    through_pipeline(stack, &caller, WARM_UP).await;
    let mut compared = Vec::new();
    for _ in 0..rounds {
        let direct_caller = caller.clone();
        let direct_service = closed_loop::run(1, length, move |number| {
            let caller = direct_caller.clone();
            async move { direct::service(&caller, service, number).await }
        })
        .await;
        let through = through_service(stack, &caller, length).await;
        compared.push(compare("service call", 1.0, &direct_service, &through));
        let direct_caller = caller.clone();
        let direct_pipeline = closed_loop::run(1, length, move |number| {
            let caller = direct_caller.clone();
            async move { direct::pipeline(&caller, stages, &format!("riser {number}")).await }
        })
        .await;
        let through = through_pipeline(stack, &caller, length).await;
        compared.push(compare("pipeline", STAGES, &direct_pipeline, &through));
    }
    Ok(compared)
}

async fn through_service(stack: &Stack, caller: &Caller, length: Duration) -> ClosedLoop {
    let entry = stack.entry(0);
    let caller = caller.clone();
    closed_loop::run(1, length, move |number| {
        let caller = caller.clone();
        async move {
            let path = format!("/order/{number}");
            let target = format!("/v1/services/work-orders{path}");
            let answer = caller.send(entry, "GET", &target, &[], "").await;
            direct::expect(answer, |it| *it == engine::serve_call("GET", &path, ""))
        }
    })
    .await
}

async fn through_pipeline(stack: &Stack, caller: &Caller, length: Duration) -> ClosedLoop {
    let entry = stack.entry(0);
    let caller = caller.clone();
    closed_loop::run(1, length, move |number| {
        let caller = caller.clone();
        async move {
            let input = format!("riser {number}");
            let answer = caller.pipeline(entry, "read-back", &input).await;
            let expected = expected::pipeline(&input).text;
            direct::expect(answer, |it| it["output"]["text"] == expected.as_str())
        }
    })
    .await
}

fn compare(what: &str, stage_calls: f64, direct: &ClosedLoop, through: &ClosedLoop) -> Compared {
    let direct_times = Quantiles::of(&direct.latency_us);
    let through_times = Quantiles::of(&through.latency_us);
    let added =
        |direct_us: u64, through_us: u64| (through_us as f64 - direct_us as f64) / stage_calls;
    Compared {
        what: what.to_owned(),
        direct: direct_times,
        through: through_times,
        added_per_stage: Added {
            p50_us: added(direct_times.p50_us, through_times.p50_us),
            p99_us: added(direct_times.p99_us, through_times.p99_us),
        },
        faults: direct.faults.values().chain(through.faults.values()).sum(),
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
