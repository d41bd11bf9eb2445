//! Results of a load, as JSON and as a table.

use std::{collections::BTreeMap, fmt::Write};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::tally::Tally;

/// Quantiles of a distribution of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median in microseconds.
    pub p50_us: u64,
    /// 95th percentile in microseconds.
    pub p95_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// Largest value in microseconds.
    pub max_us: u64,
}

/// Results of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls that were sent.
    pub sent: u64,
    /// Planned calls that were skipped because too many were in flight.
    pub unsent: u64,
    /// Correct responses within the deadline.
    pub on_time: u64,
    /// Correct responses after the deadline.
    pub late: u64,
    /// Number of refused requests by `reason/outcome`.
    pub refused: BTreeMap<String, u64>,
    /// Complete responses that were not as expected.
    pub wrong: u64,
    /// Failed HTTP exchanges, malformed or incomplete responses, and time-outs.
    pub broken: u64,
    /// Fraction of the planned calls with a correct response within the deadline.
    pub attainment: f64,
    /// Fraction of each customer's sent calls with a correct response within the deadline.
    pub attainment_by_customer: BTreeMap<String, f64>,
    /// Latency of correct responses.
    pub latency: Quantiles,
    /// Latency of refusals.
    pub refusal: Quantiles,
    /// Time to the first text of a stream.
    pub first_token: Quantiles,
    /// Time between consecutive texts of a stream.
    pub token_gap: Quantiles,
    /// Descriptions of the first calls counted as `wrong` or `broken`.
    pub examples: Vec<String>,
}

impl Quantiles {
    /// Computes the quantiles of a histogram whose values are in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p95_us: histogram.value_at_quantile(0.95),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

impl LoadReport {
    /// Creates the report of a tally.
    pub fn of(tally: &Tally) -> Self {
        let mut refused = BTreeMap::new();
        for (kind, count) in &tally.refused {
            refused.insert(format!("{}/{}", kind.reason, kind.outcome), *count);
        }
        let mut attainment_by_customer = BTreeMap::new();
        for (name, customer) in &tally.customers {
            let attainment = customer.on_time as f64 / customer.sent.max(1) as f64;
            attainment_by_customer.insert(name.clone(), attainment);
        }
        Self {
            sent: tally.sent,
            unsent: tally.unsent,
            on_time: tally.on_time,
            late: tally.late,
            refused,
            wrong: tally.wrong,
            broken: tally.broken,
            attainment: tally.attainment(),
            attainment_by_customer,
            latency: Quantiles::of(&tally.latency_us),
            refusal: Quantiles::of(&tally.refusal_us),
            first_token: Quantiles::of(&tally.first_token_us),
            token_gap: Quantiles::of(&tally.token_gap_us),
            examples: tally.examples.clone(),
        }
    }

    /// Formats the report as a table.
    pub fn table(&self) -> String {
        let mut table = String::new();
        let counts = [
            ("sent", self.sent),
            ("on time", self.on_time),
            ("late", self.late),
            ("refused", self.refused.values().sum()),
            ("wrong", self.wrong),
            ("broken", self.broken),
            ("unsent", self.unsent),
        ];
        for (name, count) in counts {
            let _ = writeln!(table, "{name:<12}{count:>10}");
        }
        for (name, count) in &self.refused {
            let _ = writeln!(table, "  {name:<30}{count:>8}");
        }
        let _ = writeln!(table, "attainment  {:>9.2}%", self.attainment * 100.0);
        let times = [
            ("answer", &self.latency),
            ("refusal", &self.refusal),
            ("first token", &self.first_token),
            ("token gap", &self.token_gap),
        ];
        let _ =
            writeln!(table, "{:<12}{:>8}{:>12}{:>12}{:>12}", "ms", "count", "p50", "p95", "p99");
        for (name, times) in times {
            let _ = writeln!(
                table,
                "{name:<12}{:>8}{:>12.2}{:>12.2}{:>12.2}",
                times.count,
                millis(times.p50_us),
                millis(times.p95_us),
                millis(times.p99_us)
            );
        }
        for example in &self.examples {
            let _ = writeln!(table, "{example}");
        }
        table
    }
}

fn millis(us: u64) -> f64 {
    us as f64 / 1000.0
}
