//! Definitions of all scenarios.

use super::scenario::{Action, Event, Scenario};
use crate::{
    load::{
        plan::{CallKind, Mix, Phase},
        tally::Deadlines,
    },
    platform,
    stack::plan::{DEMO_DOCUMENT, StackPlan},
    upstream::state::UpstreamSwitches,
};

/// Duration of a call at a stand-in, in milliseconds.
const DELAY_MS: u64 = 40;
/// Time between two generated tokens, in milliseconds.
const TOKEN_DELAY_MS: u64 = 5;
/// Concurrency limit of the agents.
const CONCURRENCY: u32 = 4;
/// Duration of a call at a slow stand-in, in milliseconds.
const SLOW_DELAY_MS: u64 = 600;
/// Concurrent calls that a cold stand-in can bear; more make it restart.
const COLD_CONCURRENCY: u32 = 1;
/// Completed calls after which a cold stand-in is warm.
const COLD_CALLS: u32 = 10;
/// Deadline of pipelines, in milliseconds.
const PIPELINE_DEADLINE_MS: u64 = 2_000;
/// Deadline of service calls, in milliseconds.
const SERVICE_DEADLINE_MS: u64 = 1_500;
/// Calls per second well below the capacity of the stack; the engines can run 66 pipelines per
/// second.
const STEADY_RATE: f64 = 50.0;
/// Calls per second at three times the capacity of the engines.
const BACKLOG_RATE: f64 = 330.0;
/// Calls per second while one customer floods the system.
const FLOOD_RATE: f64 = 300.0;
/// Input that makes an engine crash.
const POISON: &str = "poison riser";
/// Number of entries.
const ENTRIES: usize = 2;
/// Number of upstreams in each pool.
const UPSTREAMS: usize = 2;
/// Number of upstreams in each pool in scenarios where a third of them is slow or where agents or
/// engines crash.
const FAULT_UPSTREAMS: usize = 3;
/// Pools of the demo document.
const POOLS: [&str; 5] = ["encoders", "retrievers", "rerankers", "engines", "work-orders"];

/// Returns all scenarios.
pub fn all() -> Vec<Scenario> {
    vec![
        steady(),
        monday_backlog(),
        flood(),
        slow_stage(),
        cold_pool(),
        data_centre_out(),
        platform_down("platform-down", platform::Outage::Unavailable),
        platform_down("platform-hangs", platform::Outage::Hang),
        agents_killed(),
        poison(),
    ]
}

fn steady() -> Scenario {
    scenario("steady", UPSTREAMS, vec![phase(6.0, STEADY_RATE)], Vec::new())
}

fn monday_backlog() -> Scenario {
    let phases = vec![phase(1.0, STEADY_RATE), phase(4.0, BACKLOG_RATE), phase(3.0, STEADY_RATE)];
    scenario("monday-backlog", UPSTREAMS, phases, Vec::new())
}

fn flood() -> Scenario {
    let mut flooded = phase(5.0, FLOOD_RATE);
    let customers = [("lone-star", 1), ("hill-country", 9)];
    flooded.mix = Mix::new(&call_kinds(), &customers);
    scenario("flood", UPSTREAMS, vec![phase(1.0, STEADY_RATE), flooded], Vec::new())
}

fn slow_stage() -> Scenario {
    let slow = UpstreamSwitches { delay_ms: SLOW_DELAY_MS, ..UpstreamSwitches::default() };
    let action = Action::Switch { pool: "rerankers", count: 1, switches: slow };
    let events = vec![Event::new(1_500, action)];
    scenario("slow-stage", FAULT_UPSTREAMS, vec![phase(7.0, STEADY_RATE)], events)
}

fn cold_pool() -> Scenario {
    let events = vec![Event::new(2_000, Action::MakeCold("engines"))];
    let mut scenario = scenario("cold-pool", UPSTREAMS, vec![phase(8.0, STEADY_RATE)], events);
    scenario.stack.change_pool_switches("engines", |it| {
        it.cold_bearable = COLD_CONCURRENCY;
        it.cold_calls = COLD_CALLS;
    });
    scenario
}

fn data_centre_out() -> Scenario {
    let events = vec![
        Event::new(2_000, Action::DataCentreOut("north")),
        Event::new(7_000, Action::DataCentreIn("north")),
    ];
    scenario("data-centre-out", UPSTREAMS, vec![phase(10.0, STEADY_RATE / 2.0)], events)
}

fn platform_down(name: &'static str, outage: platform::Outage) -> Scenario {
    let down = platform::PlatformSwitches {
        outage: Some(outage),
        ..platform::PlatformSwitches::default()
    };
    let events = vec![Event::new(0, Action::Platform(down))];
    scenario(name, UPSTREAMS, vec![phase(6.0, STEADY_RATE)], events)
}

fn agents_killed() -> Scenario {
    let events = vec![
        Event::new(2_000, Action::KillAgents { count: 2 }),
        Event::new(4_000, Action::RestartAgents),
    ];
    scenario("agents-killed", FAULT_UPSTREAMS, vec![phase(8.0, STEADY_RATE)], events)
}

fn poison() -> Scenario {
    let resend = Action::Resend { input: POISON, times: 6 };
    let events = vec![Event::new(1_500, resend)];
    let mut scenario = scenario("poison", FAULT_UPSTREAMS, vec![phase(8.0, STEADY_RATE)], events);
    scenario.stack.change_pool_switches("engines", |it| it.crash_on = Some(POISON.to_owned()));
    scenario
}

fn scenario(
    name: &'static str,
    upstreams: usize,
    phases: Vec<Phase>,
    events: Vec<Event>,
) -> Scenario {
    let mut stack = StackPlan::sized(ENTRIES, upstreams);
    stack.document = document();
    for pool in POOLS {
        stack.change_pool_switches(pool, |it| {
            it.delay_ms = DELAY_MS;
            it.token_delay_ms = TOKEN_DELAY_MS;
        });
    }
    let deadlines =
        Deadlines { pipeline_ms: PIPELINE_DEADLINE_MS, service_ms: SERVICE_DEADLINE_MS };
    Scenario { name, stack, phases, events, deadlines }
}

/// Returns the demo document with the limits and deadlines of the scenarios.
fn document() -> String {
    DEMO_DOCUMENT
        .replace("cold_concurrency = 2", &format!("cold_concurrency = {COLD_CONCURRENCY}"))
        .replace("\nconcurrency = 32", &format!("\nconcurrency = {CONCURRENCY}"))
        .replace("deadline_ms = 8000", &format!("deadline_ms = {PIPELINE_DEADLINE_MS}"))
        .replace("deadline_ms = 4000", &format!("deadline_ms = {SERVICE_DEADLINE_MS}"))
        .replace("\nestimate_ms = 20", &format!("\nestimate_ms = {DELAY_MS}"))
}

fn phase(seconds: f64, rate_per_second: f64) -> Phase {
    Phase {
        seconds,
        rate_per_second,
        mix: Mix::new(&call_kinds(), &[("lone-star", 4), ("hill-country", 1)]),
    }
}

fn call_kinds() -> [(CallKind, u32); 4] {
    [
        (CallKind::PipelinePlain, 3),
        (CallKind::PipelineStreamed, 3),
        (CallKind::ServiceRead, 3),
        (CallKind::ServiceWrite, 1),
    ]
}
