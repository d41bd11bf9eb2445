//! The `scenarios` subcommand: runs the real processes under load and injected faults.

use std::{path::PathBuf, process::ExitCode};

use bpaf::{Parser, construct, long};
use yuccatrail_fakes::{
    measure::machine::Machine,
    scenarios::{
        list,
        report::{ScenarioReport, ScenarioResult},
        run,
        scenario::Scenario,
    },
};

/// Maximum number of repetitions of each scenario.
const MAX_REPEAT: u64 = 20;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    names: Vec<String>,
    seed: u64,
    repeat: u64,
    json: Option<PathBuf>,
}

/// Returns the parser of the arguments.
pub(crate) fn arguments() -> impl Parser<Arguments> {
    let names = long("only")
        .help("Name of a scenario to run; repeatable; all by default")
        .argument::<String>("NAME")
        .many();
    let seed = long("seed")
        .help("Seed of the first repetition; each further one takes the next number")
        .argument("NUMBER")
        .fallback(1)
        .display_fallback();
    let repeat = long("repeat")
        .help("Repetitions of each scenario, up to 20")
        .argument("NUMBER")
        .guard(|it| *it > 0 && *it <= MAX_REPEAT, "repeat must be between 1 and 20")
        .fallback(1)
        .display_fallback();
    let json = long("json").help("File for the results as JSON").argument("FILE").optional();
    construct!(Arguments { names, seed, repeat, json })
}

/// Runs the scenarios; fails when one violates a guarantee or is aborted.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    let scenarios = selected(&arguments.names);
    if scenarios.is_empty() {
        eprintln!("no scenario has any of these names");
        return ExitCode::FAILURE;
    }
    let mut report = ScenarioReport { machine: Machine::describe(), results: Vec::new() };
    for scenario in &scenarios {
        for seed in arguments.seed..arguments.seed + arguments.repeat {
            let result = match run::run(scenario, seed).await {
                Ok(result) => result,
                Err(error) => aborted_run(scenario, seed, &error.to_string()),
            };
            eprintln!("{} with seed {seed}: {} violations", result.name, result.violations.len());
            report.results.push(result);
        }
    }
    print!("{}", report.table());
    let written = super::write_json(arguments.json.as_deref(), &report);
    if report.violation_count() > 0 {
        return ExitCode::FAILURE;
    }
    written
}

fn selected(names: &[String]) -> Vec<Scenario> {
    let mut scenarios = list::all();
    scenarios.retain(|it| names.is_empty() || names.iter().any(|name| name == it.name));
    scenarios
}

/// Returns the result of a run that was aborted by an error, as a violation.
fn aborted_run(scenario: &Scenario, seed: u64, error: &str) -> ScenarioResult {
    ScenarioResult {
        name: scenario.name.to_owned(),
        seed,
        violations: vec![format!("run aborted: {error}")],
        ..ScenarioResult::default()
    }
}
