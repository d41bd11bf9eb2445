//! Results of scenario runs, as JSON and as a table.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::{load::report::LoadReport, measure::machine::Machine};

/// Result of one run of a scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScenarioResult {
    /// Name of the scenario.
    pub name: String,
    /// Random seed of the load.
    pub seed: u64,
    /// Results of the load as the callers observed them.
    pub load: LoadReport,
    /// Calls that the stand-ins started, without those of the warm-up.
    pub calls: u64,
    /// Calls that did not contribute to a correct response.
    pub wasted_calls: u64,
    /// Most calls in progress at once on one stand-in.
    pub peak: u32,
    /// Most calls in progress at once on one cold stand-in.
    pub cold_peak: u32,
    /// Times that a cold stand-in got more concurrent calls than it can bear.
    pub overloads: u32,
    /// Number of crashes of stand-ins.
    pub crashes: u32,
    /// Outcomes of the requests that were sent repeatedly.
    pub resends: Vec<String>,
    /// Violations of the system's guarantees.
    pub violations: Vec<String>,
}

/// Results of all scenario runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScenarioReport {
    /// Hardware, build and start time of the runs.
    pub machine: Machine,
    /// Results by run, in the order of the runs.
    pub results: Vec<ScenarioResult>,
}

impl ScenarioReport {
    /// Returns the total number of violations.
    pub fn violation_count(&self) -> usize {
        self.results.iter().map(|it| it.violations.len()).sum()
    }

    /// Formats the results as a table, followed by the details of each run.
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
    for outcome in &result.resends {
        let _ = writeln!(table, "  sent again: {outcome}");
    }
    for violation in &result.violations {
        let _ = writeln!(table, "  VIOLATION: {violation}");
    }
}
