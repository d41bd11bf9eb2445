//! Closed-loop throughput of service calls through one entry, and the processor time per call.

use std::time::Duration;

use super::{closed_loop, direct, report::Throughput};
use crate::{
    load::report::Quantiles,
    measure::usage::Usage,
    stack::{caller::Caller, process::Process, run::Stack},
    upstream::engine,
};

/// Total usage of all processes of each kind.
#[derive(Clone, Copy, Debug, Default)]
struct UsageSnapshot {
    entries: Usage,
    agents: Usage,
    upstreams: Usage,
    callers: Usage,
}

/// Measures one round of service calls with `callers` concurrent callers.
pub async fn measure(stack: &Stack, callers: usize, duration: Duration) -> Throughput {
    let entry = stack.entry(0);
    let caller = Caller::new("lone-star");
    let before = UsageSnapshot::take(stack);
    let result = closed_loop::run(callers, duration, move |number| {
        let caller = caller.clone();
        async move {
            let path = format!("/order/{number}");
            let target = format!("/v1/services/work-orders{path}");
            let response = caller.send(entry, "GET", &target, &[], "").await;
            direct::check_response(response, |it| *it == engine::serve_call("GET", &path, ""))
        }
    })
    .await;
    let after = UsageSnapshot::take(stack);
    let calls = result.latency_us.len().max(1) as f64;
    let per_call = |later: Usage, earlier: Usage| later.since(earlier).cpu_us as f64 / calls;
    Throughput {
        callers,
        per_second: result.per_second(),
        latency: Quantiles::of(&result.latency_us),
        errors: result.errors,
        entry_cpu_us: per_call(after.entries, before.entries),
        agent_cpu_us: per_call(after.agents, before.agents),
        upstream_cpu_us: per_call(after.upstreams, before.upstreams),
        caller_cpu_us: per_call(after.callers, before.callers),
    }
}

impl UsageSnapshot {
    fn take(stack: &Stack) -> Self {
        let mut snapshot = Self { callers: usage_of(Some(std::process::id())), ..Self::default() };
        for entry in &stack.entries {
            snapshot.entries = snapshot.entries.plus(process_usage(entry));
        }
        for pair in &stack.upstreams {
            snapshot.agents = snapshot.agents.plus(process_usage(&pair.agent));
            snapshot.upstreams = snapshot.upstreams.plus(process_usage(&pair.upstream));
        }
        snapshot
    }
}

/// Reads the usage of a child process; zero if it has ended.
pub fn process_usage(process: &Process) -> Usage {
    usage_of(process.id())
}

fn usage_of(id: Option<u32>) -> Usage {
    id.and_then(|it| Usage::read(it).ok()).unwrap_or_default()
}
