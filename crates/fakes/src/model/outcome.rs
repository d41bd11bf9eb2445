//! Figures of one run.

use std::collections::BTreeMap;

use serde::Serialize;
use yuccatrail_core::accounting::CostLedger;

/// Counts of requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that the entry took on.
    pub accepted: u64,
    /// Requests whose whole answer came before the deadline.
    pub on_time: u64,
}

/// Cost of one stage.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    /// Attempts that ran.
    pub attempts: u64,
    /// Time at upstreams, in milliseconds.
    pub engine_ms: u64,
    /// Part of it that served no answer in time, in milliseconds.
    pub wasted_ms: u64,
    /// Time waited in agents, in milliseconds.
    pub queued_ms: u64,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// All requests that arrived in the measured time.
    pub all: Counts,
    /// The same by customer.
    pub customers: BTreeMap<&'static str, Counts>,
    /// The same by pipeline.
    pub pipelines: BTreeMap<&'static str, Counts>,
    /// Requests that were not answered in time, by reason, in the measured time.
    pub reasons: BTreeMap<String, u64>,
    /// Work of generate stages that was answered on time, relative to the fleet's, in the measured
    /// time.
    pub goodput_part: f64,
    /// Median time to the answer of the requests on time, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the same, in milliseconds.
    pub p99_ms: u64,
    /// Attempts that ran for each stage of a request that ran, over the whole run.
    pub load_factor: f64,
    /// Times that an upstream fell over under load in a cold start, over the whole run.
    pub fell_over: u64,
    /// Requests without an end when the run was over.
    pub lost: u64,
    /// Attempts that a data centre took on more than the allowed time after it was taken out.
    pub taken_while_out: u64,
    /// Cost by pipeline and stage, over the whole run.
    pub cost: BTreeMap<String, Cost>,
}

impl Outcome {
    /// Returns the part of the accepted requests that were answered on time.
    pub fn attainment(&self) -> f64 {
        part(self.all.on_time, self.all.accepted)
    }

    /// Returns the part of the requests that the entry refused.
    pub fn refused_part(&self) -> f64 {
        1.0 - part(self.all.accepted, self.all.offered)
    }

    /// Returns the part of all requests that were answered on time.
    pub fn served_part(&self) -> f64 {
        part(self.all.on_time, self.all.offered)
    }

    /// Returns the part of the small customers' requests that were answered on time.
    pub fn small_served_part(&self) -> f64 {
        let small = self.customers.iter().filter(|(name, _)| name.starts_with("small"));
        let mut sum = Counts::default();
        for (_, counts) in small {
            sum.offered += counts.offered;
            sum.on_time += counts.on_time;
        }
        part(sum.on_time, sum.offered)
    }

    /// Returns the part of the engine time that served no answer in time.
    pub fn wasted_part(&self) -> f64 {
        let engine_ms = self.cost.values().map(|it| it.engine_ms).sum();
        part(self.cost.values().map(|it| it.wasted_ms).sum(), engine_ms)
    }

    /// Takes over the cost that the ledger counted.
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

fn part(some: u64, all: u64) -> f64 {
    if all == 0 { 1.0 } else { some as f64 / all as f64 }
}
