//! Results of the benchmark, written as JSON and as text tables.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::closed_loop::ErrorCounts;
use crate::{load::report::Quantiles, measure::machine::Machine};

/// Latency that entry and agent add to each stage call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddedLatency {
    /// Difference of the medians, in microseconds.
    pub p50_us: f64,
    /// Difference of the 99th percentiles, in microseconds.
    pub p99_us: f64,
}

/// Latency of direct calls and of calls through entry and agents in one round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Kind of call: `service call` or `pipeline`.
    #[serde(rename = "what")]
    pub call: String,
    /// Latency of direct calls.
    pub direct: Quantiles,
    /// Latency of calls through entry and agents.
    pub through: Quantiles,
    /// Latency of `through` minus `direct`, divided by the number of stage calls.
    pub added_per_stage: AddedLatency,
    /// Failed calls, direct and through entry and agents.
    #[serde(rename = "faults")]
    pub errors: u64,
}

/// Results of one throughput round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Throughput {
    /// Concurrent callers, each with one call in flight.
    pub callers: usize,
    /// Successful calls per second.
    pub per_second: f64,
    /// Latency of successful calls.
    pub latency: Quantiles,
    /// Failed calls by error.
    #[serde(rename = "faults")]
    pub errors: ErrorCounts,
    /// Processor time of the entry per successful call, in microseconds.
    pub entry_cpu_us: f64,
    /// Processor time of all agents per successful call, in microseconds.
    pub agent_cpu_us: f64,
    /// Processor time of all upstream stand-ins per successful call, in microseconds.
    pub upstream_cpu_us: f64,
    /// Processor time of the benchmark process itself per successful call, in microseconds.
    pub caller_cpu_us: f64,
}

/// Results of a benchmark run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BenchReport {
    /// Machine, build and start time of the run.
    pub machine: Machine,
    /// Latency rounds, with one caller.
    pub overhead: Vec<Comparison>,
    /// Throughput rounds, with many callers.
    pub throughput: Vec<Throughput>,
}

impl Throughput {
    /// Returns the calls per second that one core of processor time in entry and agents serves.
    pub fn per_core(&self) -> f64 {
        1_000_000.0 / (self.entry_cpu_us + self.agent_cpu_us)
    }
}

impl BenchReport {
    /// Formats the results as text tables.
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
                round.call,
                us_to_ms(round.direct.p50_us),
                us_to_ms(round.direct.p99_us),
                us_to_ms(round.through.p50_us),
                us_to_ms(round.through.p99_us),
                round.added_per_stage.p50_us / 1000.0,
                round.added_per_stage.p99_us / 1000.0,
                round.errors
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
                us_to_ms(round.latency.p50_us),
                us_to_ms(round.latency.p99_us),
                round.errors.values().sum::<u64>(),
                round.entry_cpu_us,
                round.agent_cpu_us,
                round.upstream_cpu_us,
                round.caller_cpu_us,
                round.per_core()
            );
            for (error, count) in &round.errors {
                let _ = writeln!(table, "          {count} x {error}");
            }
        }
    }
}

fn us_to_ms(us: u64) -> f64 {
    us as f64 / 1000.0
}
