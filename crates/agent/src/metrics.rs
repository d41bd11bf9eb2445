//! Metrics of the agent.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use yuccatrail_core::{agent::CallResult, outcome::Reason, routing::LoadReport};

/// Label for the reason of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

/// Label for the result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

/// Metrics of the agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Metrics {
    /// Attempts dispatched to the upstream.
    pub(crate) dispatched: Counter,
    /// Strikes against requests that were in progress when the upstream crashed.
    pub(crate) strikes: Counter,
    ended: Family<ResultLabel, Counter>,
    refused: Family<ReasonLabel, Counter>,
    running: Gauge,
    queued: Gauge,
    limit: Gauge,
    cold: Gauge,
    draining: Gauge,
}

impl Metrics {
    /// Creates the metrics and registers them in `registry`.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "dispatched",
            "Attempts passed to the upstream",
            metrics.dispatched.clone(),
        );
        registry.register("strikes", "Strikes given to requests", metrics.strikes.clone());
        registry.register("ended", "Calls to the upstream by result", metrics.ended.clone());
        registry.register("refused", "Attempts refused by reason", metrics.refused.clone());
        registry.register("running", "Calls in progress at the upstream", metrics.running.clone());
        registry.register("queued", "Attempts that wait for the upstream", metrics.queued.clone());
        registry.register(
            "limit",
            "Calls that the upstream may run at once",
            metrics.limit.clone(),
        );
        registry.register("cold", "Whether the upstream is in a cold start", metrics.cold.clone());
        registry.register("draining", "Whether new work is refused", metrics.draining.clone());
        metrics
    }

    /// Counts a refused attempt.
    pub(crate) fn count_refused(&self, reason: Reason) {
        self.refused.get_or_create(&ReasonLabel { reason: reason.to_string() }).inc();
    }

    /// Counts a call to the upstream that has ended.
    pub(crate) fn count_ended(&self, result: &CallResult) {
        let result = match result {
            CallResult::Completed { .. } => "completed",
            CallResult::Rejected { .. } => "rejected",
            CallResult::NotConnected => "not_connected",
            CallResult::Lost => "lost",
            CallResult::Cancelled => "cancelled",
        };
        self.ended.get_or_create(&ResultLabel { result }).inc();
    }

    /// Sets the gauges to the current load.
    pub(crate) fn set_load(&self, load: LoadReport) {
        self.running.set(load.running.into());
        self.queued.set(load.queued.into());
        self.limit.set(load.limit.into());
        self.cold.set(load.cold.into());
        self.draining.set(load.draining.into());
    }
}
