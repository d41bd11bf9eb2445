//! Most service calls a second through one entry, and the processor time that each takes.

use std::time::Duration;

use super::{closed_loop, direct, report::Throughput};
use crate::{
    load::report::Quantiles,
    measure::usage::Usage,
    stack::{caller::Caller, process::Process, run::Stack},
    upstream::engine,
};

/// Processor time of all processes of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct Snapshot {
    entries: Usage,
    agents: Usage,
    upstreams: Usage,
    own: Usage,
}

/// Measures one round with `callers` callers.
pub async fn measure(stack: &Stack, callers: usize, length: Duration) -> Throughput {
    let entry = stack.entry(0);
    let caller = Caller::new("lone-star");
    let before = Snapshot::take(stack);
    let result = closed_loop::run(callers, length, move |number| {
        let caller = caller.clone();
        async move {
            let path = format!("/order/{number}");
            let target = format!("/v1/services/work-orders{path}");
            let answer = caller.send(entry, "GET", &target, &[], "").await;
            direct::expect(answer, |it| *it == engine::serve_call("GET", &path, ""))
        }
    })
    .await;
    let after = Snapshot::take(stack);
    let calls = result.latency_us.len().max(1) as f64;
    let per_call = |later: Usage, earlier: Usage| later.since(earlier).cpu_us as f64 / calls;
    Throughput {
        callers,
        per_second: result.per_second(),
        latency: Quantiles::of(&result.latency_us),
        faults: result.faults,
        entry_cpu_us: per_call(after.entries, before.entries),
        agent_cpu_us: per_call(after.agents, before.agents),
        upstream_cpu_us: per_call(after.upstreams, before.upstreams),
        caller_cpu_us: per_call(after.own, before.own),
    }
}

impl Snapshot {
    fn take(stack: &Stack) -> Self {
        let mut snapshot = Self { own: read(Some(std::process::id())), ..Self::default() };
        for entry in &stack.entries {
            snapshot.entries = snapshot.entries.plus(usage(entry));
        }
        for pair in &stack.upstreams {
            snapshot.agents = snapshot.agents.plus(usage(&pair.agent));
            snapshot.upstreams = snapshot.upstreams.plus(usage(&pair.upstream));
        }
        snapshot
    }
}

/// Reads the usage of a child process; one that has ended counts as nothing.
pub fn usage(process: &Process) -> Usage {
    read(process.id())
}

fn read(id: Option<u32>) -> Usage {
    id.and_then(|it| Usage::read(it).ok()).unwrap_or_default()
}
