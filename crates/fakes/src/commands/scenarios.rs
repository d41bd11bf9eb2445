//! The `scenarios` subcommand: the real processes under load and faults.

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

/// Most repetitions of each scenario.
const MAX_REPEAT: u64 = 20;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    only: Vec<String>,
    seed: u64,
    repeat: u64,
    json: Option<PathBuf>,
}

/// Parses the arguments.
pub(crate) fn arguments() -> impl Parser<Arguments> {
    let only = long("only")
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
    construct!(Arguments { only, seed, repeat, json })
}

/// Runs the scenarios; fails when a promise is violated.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    let scenarios = selected(&arguments.only);
    if scenarios.is_empty() {
        eprintln!("no scenario has that name");
        return ExitCode::FAILURE;
    }
    let mut report = ScenarioReport { machine: Machine::describe(), results: Vec::new() };
    for scenario in &scenarios {
        for seed in arguments.seed..arguments.seed + arguments.repeat {
            let result = match run::run(scenario, seed).await {
                Ok(result) => result,
                Err(error) => failed(scenario, seed, &error.to_string()),
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

fn selected(only: &[String]) -> Vec<Scenario> {
    let mut scenarios = list::all();
    scenarios.retain(|it| only.is_empty() || only.iter().any(|name| name == it.name));
    scenarios
}

/// Describes a run that broke off.
fn failed(scenario: &Scenario, seed: u64, error: &str) -> ScenarioResult {
    ScenarioResult {
        name: scenario.name.to_owned(),
        seed,
        violations: vec![format!("the run broke off: {error}")],
        ..ScenarioResult::default()
    }
}
