//! Results of the benchmark as JSON and as tables.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::closed_loop::Faults;
use crate::{load::report::Quantiles, measure::machine::Machine};

/// Latency added for each stage call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Added {
    /// At the median, in microseconds.
    pub p50_us: f64,
    /// At the 99th percentile, in microseconds.
    pub p99_us: f64,
}

/// Direct calls and calls through the system in one round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Compared {
    /// What was called.
    pub what: String,
    /// Latency of direct calls.
    pub direct: Quantiles,
    /// Latency through entry and agents.
    pub through: Quantiles,
    /// Difference, divided by the number of stage calls.
    pub added_per_stage: Added,
    /// Calls without the right answer.
    pub faults: u64,
}

/// One round of most calls a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Throughput {
    /// Callers, each with one call in progress.
    pub callers: usize,
    /// Right answers a second.
    pub per_second: f64,
    /// Latency of right answers.
    pub latency: Quantiles,
    /// Calls without the right answer, by what came instead.
    pub faults: Faults,
    /// Processor time of the entry for each call, in microseconds.
    pub entry_cpu_us: f64,
    /// Processor time of all agents for each call, in microseconds.
    pub agent_cpu_us: f64,
    /// Processor time of all upstream stand-ins for each call, in microseconds.
    pub upstream_cpu_us: f64,
    /// Processor time of the callers for each call, in microseconds.
    pub caller_cpu_us: f64,
}

/// Results of the benchmark.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BenchReport {
    /// Where and when it ran.
    pub machine: Machine,
    /// Rounds with one caller.
    pub overhead: Vec<Compared>,
    /// Rounds with many callers.
    pub throughput: Vec<Throughput>,
}

impl Throughput {
    /// Returns the calls a second that one core of processor time in entry and agent carries.
    pub fn per_core(&self) -> f64 {
        1_000_000.0 / (self.entry_cpu_us + self.agent_cpu_us)
    }
}

impl BenchReport {
    /// Formats the tables.
    pub fn table(&self) -> String {
        let mut table = format!("{}\n\n", self.machine);
        self.write_overhead(&mut table);
        self.write_throughput(&mut table);
        table
    }

    fn write_overhead(&self, table: &mut String) {
        let _ = writeln!(table, "one caller, ms:");
        let _ = writeln!(
            table,
            "{:<14}{:>10}{:>10}{:>10}{:>10}{:>18}{:>18}{:>8}",
            "", "direct", "p99", "through", "p99", "added/stage p50", "added/stage p99", "faults"
        );
        for round in &self.overhead {
            let _ = writeln!(
                table,
                "{:<14}{:>10.3}{:>10.3}{:>10.3}{:>10.3}{:>18.3}{:>18.3}{:>8}",
                round.what,
                millis(round.direct.p50_us),
                millis(round.direct.p99_us),
                millis(round.through.p50_us),
                millis(round.through.p99_us),
                round.added_per_stage.p50_us / 1000.0,
                round.added_per_stage.p99_us / 1000.0,
                round.faults
            );
        }
    }

    fn write_throughput(&self, table: &mut String) {
        let _ = writeln!(table, "\nservice calls through one entry, processor time in us a call:");
        let _ = writeln!(
            table,
            "{:>8}{:>12}{:>10}{:>10}{:>8}{:>10}{:>10}{:>10}{:>10}{:>12}",
            "callers",
            "calls/s",
            "p50 ms",
            "p99 ms",
            "faults",
            "entry",
            "agent",
            "upstream",
            "caller",
            "calls/core"
        );
        for round in &self.throughput {
            let _ = writeln!(
                table,
                "{:>8}{:>12.0}{:>10.2}{:>10.2}{:>8}{:>10.1}{:>10.1}{:>10.1}{:>10.1}{:>12.0}",
                round.callers,
                round.per_second,
                millis(round.latency.p50_us),
                millis(round.latency.p99_us),
                round.faults.values().sum::<u64>(),
                round.entry_cpu_us,
                round.agent_cpu_us,
                round.upstream_cpu_us,
                round.caller_cpu_us,
                round.per_core()
            );
            for (fault, count) in &round.faults {
                let _ = writeln!(table, "          {count} x {fault}");
            }
        }
    }
}

fn millis(us: u64) -> f64 {
    us as f64 / 1000.0
}
