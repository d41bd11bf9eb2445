//! Simulates every scenario with the policies of the core and with a baseline, and prints a table.

use std::{fs, io, path::PathBuf};

use bpaf::Bpaf;
use serde::Serialize;
use yuccatrail_fakes::model::{Fleet, Mode, Outcome, run, scenarios};

/// Compares the policies of the core with a baseline in a simulation.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Settings {
    /// Seed of the random arrivals and call durations.
    #[bpaf(fallback(1))]
    seed: u64,
    /// Prefix of the names of the scenarios to run; all by default.
    #[bpaf(fallback(String::new()))]
    scenario: String,
    /// Also run with random and with round-robin routing.
    all_policies: bool,
    /// Source revision to record in the results.
    #[bpaf(fallback("unknown".to_owned()))]
    revision: String,
    /// File to write the results to, as JSON.
    output: Option<PathBuf>,
}

#[derive(Serialize)]
struct Results {
    version: &'static str,
    revision: String,
    seed: u64,
    runs: Vec<Run>,
}

#[derive(Serialize)]
struct Run {
    fleet: &'static str,
    scenario: &'static str,
    mode: String,
    attainment: f64,
    refused_part: f64,
    served_part: f64,
    small_served_part: f64,
    wasted_part: f64,
    outcome: Outcome,
}

fn main() -> io::Result<()> {
    let settings = settings().run();
    let mut runs = Vec::new();
    print_header();
    for fleet in [Fleet::cooperative(), Fleet::cenida()] {
        for scenario in scenarios() {
            if !scenario.name.starts_with(&settings.scenario) {
                continue;
            }
            for mode in modes(settings.all_policies) {
                let outcome = run(&fleet, &scenario, mode, settings.seed);
                let run = Run::new(fleet.name, scenario.name, mode, outcome);
                run.print();
                runs.push(run);
            }
        }
    }

    let Some(path) = settings.output else { return Ok(()) };
    let version = env!("CARGO_PKG_VERSION");
    let results = Results { version, revision: settings.revision, seed: settings.seed, runs };
    fs::write(path, serde_json::to_vec_pretty(&results)?)
}

fn modes(all_policies: bool) -> Vec<Mode> {
    match all_policies {
        true => vec![Mode::Managed, Mode::ManagedRandom, Mode::ManagedRoundRobin, Mode::Baseline],
        false => vec![Mode::Managed, Mode::Baseline],
    }
}

fn print_header() {
    println!(
        "{:11} {:18} {:8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>6} {:>5}",
        "fleet",
        "scenario",
        "mode",
        "offered",
        "attain%",
        "refus%",
        "served%",
        "small%",
        "goodput%",
        "waste%",
        "load",
        "p99_ms",
        "fell",
        "lost"
    );
}

impl Run {
    fn new(fleet: &'static str, scenario: &'static str, mode: Mode, outcome: Outcome) -> Self {
        Self {
            fleet,
            scenario,
            mode: mode.to_string(),
            attainment: outcome.attainment(),
            refused_part: outcome.refused_part(),
            served_part: outcome.served_part(),
            small_served_part: outcome.small_served_part(),
            wasted_part: outcome.wasted_part(),
            outcome,
        }
    }

    fn print(&self) {
        let outcome = &self.outcome;
        println!(
            "{:11} {:18} {:8} {:8} {:8.2} {:8.2} {:8.2} {:8.2} {:8.1} {:7.2} {:7.3} {:7} {:6} {:5}",
            self.fleet,
            self.scenario,
            self.mode,
            outcome.all.offered,
            self.attainment * 100.0,
            self.refused_part * 100.0,
            self.served_part * 100.0,
            self.small_served_part * 100.0,
            outcome.goodput_part * 100.0,
            self.wasted_part * 100.0,
            outcome.load_factor,
            outcome.p99_ms,
            outcome.fell_over,
            outcome.lost
        );
    }
}
