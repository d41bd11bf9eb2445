//! Results of scenarios as JSON and as a table.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::{load::report::LoadReport, measure::machine::Machine};

/// Result of one run of a scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScenarioResult {
    /// Name of the scenario.
    pub name: String,
    /// Seed of the load.
    pub seed: u64,
    /// What the callers saw.
    pub load: LoadReport,
    /// Calls that the stand-ins began.
    pub calls: u64,
    /// Calls that no right answer needed.
    pub wasted_calls: u64,
    /// Most calls in progress at one stand-in.
    pub peak: u32,
    /// Most calls in progress at one cold stand-in.
    pub cold_peak: u32,
    /// Times that a cold stand-in was given more than it bears.
    pub overloads: u32,
    /// Stand-ins that crashed.
    pub crashes: u32,
    /// Answers to a request that was sent again and again.
    pub resends: Vec<String>,
    /// Violations of promises.
    pub violations: Vec<String>,
}

/// Results of all runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScenarioReport {
    /// Where and when they ran.
    pub machine: Machine,
    /// The runs.
    pub results: Vec<ScenarioResult>,
}

impl ScenarioReport {
    /// Returns the number of violations in all runs.
    pub fn violation_count(&self) -> usize {
        self.results.iter().map(|it| it.violations.len()).sum()
    }

    /// Formats the tables.
    pub fn table(&self) -> String {
        let mut table = format!("{}\n\n", self.machine);
        let _ = writeln!(
            table,
            "{:<16}{:>6}{:>7}{:>9}{:>9}{:>7}{:>9}{:>7}{:>7}{:>10}{:>11}{:>9}{:>9}",
            "scenario",
            "seed",
            "sent",
            "on time",
            "small",
            "late",
            "refused",
            "wrong",
            "peak",
            "cold peak",
            "overloads",
            "crashes",
            "wasted"
        );
        for result in &self.results {
            let load = &result.load;
            let smallest =
                load.attainment_by_customer.values().copied().fold(f64::INFINITY, f64::min);
            let wasted = result.wasted_calls as f64 / result.calls.max(1) as f64;
            let _ = writeln!(
                table,
                "{:<16}{:>6}{:>7}{:>8.1}%{:>8.1}%{:>7}{:>9}{:>7}{:>7}{:>10}{:>11}{:>9}{:>8.1}%",
                result.name,
                result.seed,
                load.sent + load.unsent,
                load.attainment * 100.0,
                smallest * 100.0,
                load.late,
                load.refused.values().sum::<u64>(),
                load.wrong + load.broken,
                result.peak,
                result.cold_peak,
                result.overloads,
                result.crashes,
                wasted * 100.0
            );
        }
        for result in &self.results {
            write_details(&mut table, result);
        }
        table
    }
}

fn write_details(table: &mut String, result: &ScenarioResult) {
    if result.load.refused.is_empty() && result.violations.is_empty() && result.resends.is_empty() {
        return;
    }
    let _ = writeln!(table, "\n{} with seed {}:", result.name, result.seed);
    for (kind, count) in &result.load.refused {
        let _ = writeln!(table, "  refused {kind}: {count}");
    }
    for answer in &result.resends {
        let _ = writeln!(table, "  sent again: {answer}");
    }
    for violation in &result.violations {
        let _ = writeln!(table, "  VIOLATION: {violation}");
    }
}
