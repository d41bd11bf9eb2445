//! Results of one simulation run.

use std::collections::BTreeMap;

use serde::Serialize;
use yuccatrail_core::accounting::CostLedger;

/// Request counts.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that the entry admitted.
    pub accepted: u64,
    /// Requests whose last stage completed by the deadline.
    pub on_time: u64,
}

/// Resources that the attempts of one stage consumed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    /// Attempts that the upstreams ran.
    pub attempts: u64,
    /// Time on upstreams, in milliseconds.
    pub engine_ms: u64,
    /// Part of `engine_ms` that did not contribute to a request completed on time, in milliseconds.
    pub wasted_ms: u64,
    /// Time in the queues of agents, in milliseconds.
    pub queued_ms: u64,
}

/// Results of one simulation run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Requests that arrived within the measurement window.
    pub all: Counts,
    /// Requests that arrived within the measurement window, by customer.
    pub customers: BTreeMap<&'static str, Counts>,
    /// Requests that arrived within the measurement window, by pipeline.
    pub pipelines: BTreeMap<&'static str, Counts>,
    /// Refused and failed requests that arrived within the measurement window, by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Work of generate stages in requests completed on time within the measurement window, as a
    /// fraction of what the generate pool can do in that time.
    pub goodput_part: f64,
    /// Median latency of requests completed on time, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile latency of requests completed on time, in milliseconds.
    pub p99_ms: u64,
    /// Attempts that ran per request stage that ran, over the whole run.
    pub load_factor: f64,
    /// Times that a cold upstream crashed because of too many calls, over the whole run.
    pub fell_over: u64,
    /// Requests that had neither completed nor failed when the run ended.
    pub lost: u64,
    /// Attempts that agents accepted in a data centre after it had been out for longer than a
    /// notice takes to reach every process.
    pub taken_while_out: u64,
    /// Cost by `pipeline/stage`, over the whole run.
    pub cost: BTreeMap<String, Cost>,
}

impl Outcome {
    /// Returns the fraction of accepted requests that completed on time.
    pub fn attainment(&self) -> f64 {
        fraction(self.all.on_time, self.all.accepted)
    }

    /// Returns the fraction of offered requests that the entry refused.
    pub fn refused_part(&self) -> f64 {
        1.0 - fraction(self.all.accepted, self.all.offered)
    }

    /// Returns the fraction of offered requests that completed on time.
    pub fn served_part(&self) -> f64 {
        fraction(self.all.on_time, self.all.offered)
    }

    /// Returns the fraction of the small customers' requests that completed on time.
    pub fn small_served_part(&self) -> f64 {
        let small = self.customers.iter().filter(|(name, _)| name.starts_with("small"));
        let mut sum = Counts::default();
        for (_, counts) in small {
            sum.offered += counts.offered;
            sum.on_time += counts.on_time;
        }
        fraction(sum.on_time, sum.offered)
    }

    /// Returns the fraction of engine time that did not contribute to a request completed on time.
    pub fn wasted_part(&self) -> f64 {
        let engine_ms = self.cost.values().map(|it| it.engine_ms).sum();
        fraction(self.cost.values().map(|it| it.wasted_ms).sum(), engine_ms)
    }

    /// Sums up the costs of the ledger over all customers.
    pub(crate) fn set_cost(&mut self, ledger: &CostLedger) {
        for (label, cost) in ledger.stages() {
            let sum = self.cost.entry(format!("{}/{}", label.pipeline, label.stage)).or_default();
            sum.attempts += cost.attempts;
            sum.engine_ms += cost.engine_ms;
            sum.wasted_ms += cost.wasted_ms;
            sum.queued_ms += cost.queued_ms;
        }
    }
}

fn fraction(count: u64, total: u64) -> f64 {
    if total == 0 { 1.0 } else { count as f64 / total as f64 }
}
