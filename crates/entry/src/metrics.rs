//! Prometheus metrics of the entry.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric, MetricEncoder, text},
    metrics::{MetricType, counter::Counter},
    registry::Registry,
};
use yuccatrail_core::{
    accounting::{
        Attainment, CostLedger, RequestLabel, RequestOutcome, StageCost, StageLabel, WorkOutcome,
    },
    outcome::Usage,
};
use yuccatrail_platform::Client;

/// Counters of the entry and its cost ledger.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Output pages that match no attempt in progress.
    pub(crate) mismatched_pages: Counter,
    /// Retries that were taken from the retry budget.
    pub(crate) retries: Counter,
    /// Hedged attempts.
    pub(crate) hedges: Counter,
    ledger: Arc<Mutex<CostLedger>>,
    registry: Arc<Registry>,
}

/// Name, help text and value of one exported cost.
type Column = (&'static str, &'static str, fn(&StageCost) -> u64);

/// Collector that exports the cost ledger and the number of platform calls.
#[derive(Debug)]
struct LedgerCollector {
    ledger: Arc<Mutex<CostLedger>>,
    platform: Client,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub(crate) fn new(platform: Client) -> Self {
        let mut registry = Registry::with_prefix("yuccatrail_entry");
        let ledger = Arc::new(Mutex::new(CostLedger::new()));
        let (mismatched_pages, retries, hedges) =
            (Counter::default(), Counter::default(), Counter::default());
        let help = "Pages of output that matched no live attempt";
        registry.register("mismatched_pages", help, mismatched_pages.clone());
        registry.register("retries", "Attempts beyond the first of a stage", retries.clone());
        registry.register("hedges", "Second attempts beside a slow one", hedges.clone());
        registry.register_collector(Box::new(LedgerCollector { ledger: ledger.clone(), platform }));
        Self { mismatched_pages, retries, hedges, ledger, registry: Arc::new(registry) }
    }

    /// Counts an attempt that ran, with its usage.
    pub(crate) fn on_attempt(&self, label: &StageLabel, usage: Usage, outcome: WorkOutcome) {
        lock(&self.ledger).on_attempt(label, usage, outcome);
    }

    /// Counts a request by its outcome.
    pub(crate) fn on_request(&self, label: &RequestLabel, outcome: RequestOutcome) {
        lock(&self.ledger).on_request(label, outcome);
    }

    /// Encodes all metrics as OpenMetrics text; returns `None` if that fails.
    pub(crate) fn encode(&self) -> Option<String> {
        let mut body = String::new();
        text::encode(&mut body, &self.registry).ok()?;
        Some(body)
    }
}

impl Collector for LedgerCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let ledger = lock(&self.ledger);
        let columns: [Column; 5] = [
            ("stage_attempts", "Attempts that ran", |it| it.attempts),
            ("stage_engine_ms", "Time at upstreams in milliseconds", |it| it.engine_ms),
            ("stage_tokens", "Tokens produced", |it| it.tokens),
            ("stage_queued_ms", "Time waiting in agents in milliseconds", |it| it.queued_ms),
            ("stage_wasted_ms", "Time at upstreams that served no answer in time", |it| {
                it.wasted_ms
            }),
        ];
        for (name, help, value) in columns {
            let mut metric = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
            for (label, cost) in ledger.stages() {
                encode_stage(&mut metric, label, value(cost))?;
            }
        }
        let help = "Ends of requests by outcome and reason";
        let mut metric = encoder.encode_descriptor("requests", help, None, MetricType::Counter)?;
        for (label, attainment) in ledger.requests() {
            encode_request(&mut metric, label, attainment)?;
        }
        drop(ledger);
        let counts = self.platform.counts();
        let help = "Platform calls by kind";
        let mut metric =
            encoder.encode_descriptor("platform_calls", help, None, MetricType::Counter)?;
        for (kind, count) in
            [("read", counts.reads), ("write", counts.writes), ("watch", counts.watches)]
        {
            encode_counter(&mut metric, &[("kind", kind)], count)?;
        }
        Ok(())
    }
}

fn encode_stage(
    metric: &mut MetricEncoder<'_>,
    label: &StageLabel,
    value: u64,
) -> Result<(), std::fmt::Error> {
    let stage = label.stage.to_string();
    let labels =
        [("pipeline", label.pipeline.as_str()), ("customer", &label.customer), ("stage", &stage)];
    encode_counter(metric, &labels, value)
}

fn encode_request(
    metric: &mut MetricEncoder<'_>,
    label: &RequestLabel,
    attainment: &Attainment,
) -> Result<(), std::fmt::Error> {
    let mut rows = vec![
        ("on_time", String::new(), attainment.on_time),
        ("late", String::new(), attainment.late),
    ];
    for (reason, count) in &attainment.failed {
        rows.push(("failed", reason.to_string(), *count));
    }
    for (reason, count) in &attainment.refused {
        rows.push(("refused", reason.to_string(), *count));
    }
    for (outcome, reason, count) in rows {
        let labels = [
            ("pipeline", label.pipeline.as_str()),
            ("customer", label.customer.as_str()),
            ("end", outcome),
            ("reason", reason.as_str()),
        ];
        encode_counter(metric, &labels, count)?;
    }
    Ok(())
}

fn encode_counter(
    metric: &mut MetricEncoder<'_>,
    labels: &[(&str, &str)],
    value: u64,
) -> Result<(), std::fmt::Error> {
    let labels = labels.to_vec();
    let counter = prometheus_client::metrics::counter::ConstCounter::new(value);
    counter.encode(metric.encode_family(&labels)?)
}

fn lock(ledger: &Mutex<CostLedger>) -> MutexGuard<'_, CostLedger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}
