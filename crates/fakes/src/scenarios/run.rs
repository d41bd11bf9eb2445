//! Execution of one scenario.

use yuccatrail_platform::Kind;

use super::{
    check,
    drive::{Driver, DriverReport},
    observe::{Observer, Totals},
    report::ScenarioResult,
    scenario::Scenario,
};
use crate::{
    load::{
        plan::CallKind,
        report::LoadReport,
        run::{self, LoadSettings},
        tally::Tally,
    },
    stack::run::{Stack, StackError, entry_instance},
};

/// Number of pipeline requests, and of service calls, before the load, to warm up the upstreams.
const WARM_UP_CALLS: u64 = 40;

/// Starts the processes, runs the load and the events, shuts down and checks the records.
///
/// # Errors
///
/// Returns an error when a process does not start or an event cannot be applied.
pub async fn run(scenario: &Scenario, seed: u64) -> Result<ScenarioResult, StackError> {
    let mut stack = Stack::start(scenario.stack.clone()).await?;
    register_entries(&stack, scenario).await?;
    warm_up(&stack).await;
    let mut observer = Observer::new(stack.upstreams.len());
    observer.read_all(&stack).await?;
    let before = observer.totals();
    let settings = LoadSettings {
        entries: stack.entries.iter().map(|it| it.address).collect(),
        phases: scenario.phases.clone(),
        seed,
        key_prefix: scenario.name.to_owned(),
        deadlines: scenario.deadlines,
    };
    let load = tokio::spawn(async move { run::run(&settings).await });
    let driver = Driver::new(&mut stack, &mut observer);
    let (tally, mut driver_report) = driver.run(&scenario.events, load).await?;
    observer.read_all(&stack).await?;
    if let Err(error) = stack.close().await {
        driver_report.errors.push(format!("graceful shutdown: {error}"));
    }
    Ok(build_result(scenario, seed, &tally, &observer.totals(), &before, driver_report))
}

/// Registers the entries in the platform, so that they exchange state.
async fn register_entries(stack: &Stack, scenario: &Scenario) -> Result<(), StackError> {
    for (entry, data_centre) in stack.entries.iter().zip(&scenario.stack.entries) {
        let record = entry_instance(entry, data_centre);
        stack.client.create(Kind::Instances, &record.name, &record).await?;
    }
    Ok(())
}

/// Sends calls through all entries in turn, so that every upstream gets some.
async fn warm_up(stack: &Stack) {
    for number in 0..WARM_UP_CALLS {
        let entry = stack.entry(number as usize % stack.entries.len());
        let input = format!("warm up {number}");
        // Failures are expected while the system is cold, so responses are ignored.
        let _ = stack.caller.pipeline(entry, "read-back", &input).await;
        let path = "/v1/services/work-orders/order/0";
        let _ = stack.caller.send(entry, "GET", path, &[], "").await;
    }
}

fn build_result(
    scenario: &Scenario,
    seed: u64,
    tally: &Tally,
    totals: &Totals,
    before: &Totals,
    driver_report: DriverReport,
) -> ScenarioResult {
    let calls = totals.calls - before.calls;
    ScenarioResult {
        name: scenario.name.to_owned(),
        seed,
        load: LoadReport::of(tally),
        calls,
        wasted_calls: calls.saturating_sub(useful_calls(tally)),
        peak: totals.peak,
        cold_peak: totals.cold_peak,
        overloads: totals.overloads,
        crashes: driver_report.crashes,
        resends: driver_report.resends.clone(),
        violations: check::violations(tally, totals, &driver_report),
    }
}

/// Counts the upstream calls that the correct responses needed.
fn useful_calls(tally: &Tally) -> u64 {
    let mut calls = 0;
    for (kind, count) in &tally.correct_by_kind {
        let stages = match kind {
            CallKind::PipelinePlain | CallKind::PipelineStreamed => 4,
            CallKind::ServiceRead | CallKind::ServiceWrite => 1,
        };
        calls += count * stages;
    }
    calls
}
