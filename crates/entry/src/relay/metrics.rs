//! Prometheus metrics of a relay.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Bucket bounds of the latency histogram, in seconds; target latencies lie between 0.15 and 3.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 1.5, 2.5, 4.0, 8.0, 20.0];

/// Labels of a request whose response has begun.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    /// Name of the route; empty if none matches the request.
    pub(crate) route: String,
    /// HTTP status of the response.
    pub(crate) status: u16,
    /// Reason of a refusal or failure; empty for an upstream's response.
    pub(crate) reason: String,
}

/// Label of metrics by service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    /// Name of the service.
    pub(crate) service: String,
}

/// Labels of retries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RetryLabels {
    /// Name of the service.
    pub(crate) service: String,
    /// Why the request was sent once more.
    pub(crate) cause: String,
}

/// Labels of metrics by software version during a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct VersionLabels {
    /// Name of the service.
    pub(crate) service: String,
    /// `old` or `new`.
    pub(crate) version: &'static str,
}

/// Labels of a verdict on a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct VerdictLabels {
    /// Name of the service.
    pub(crate) service: String,
    /// The verdict.
    pub(crate) state: String,
    /// Why.
    pub(crate) reason: String,
}

/// Metrics of roll-outs; numbers of calls and answers are this entry's since the order.
#[derive(Debug, Default)]
pub(crate) struct RolloutMetrics {
    /// Number of the phase in their order, from 0; -1 without one.
    pub(crate) phase: Family<ServiceLabels, Gauge>,
    /// Part of new requests that goes to the new version.
    pub(crate) share: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    /// Calls started.
    pub(crate) started: Family<VersionLabels, Gauge>,
    /// Complete answers of warm upstreams.
    pub(crate) answers: Family<VersionLabels, Gauge>,
    /// Answers that were failures.
    pub(crate) failures: Family<VersionLabels, Gauge>,
    /// Verdicts that this entry has reached.
    pub(crate) verdicts: Family<VerdictLabels, Counter>,
}

impl RolloutMetrics {
    fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("rollout");
        registry.register("phase", "Phase of the roll-out, 0 to 5", self.phase.clone());
        registry.register("share", "Part of new requests for the new version", self.share.clone());
        registry.register("started", "Calls started since the order", self.started.clone());
        registry.register("answers", "Complete answers since the order", self.answers.clone());
        registry.register("failures", "Failures since the order", self.failures.clone());
        registry.register("verdicts", "Verdicts of this entry", self.verdicts.clone());
    }
}

/// Counters and histograms of a relay.
#[derive(Debug)]
pub(crate) struct RelayMetrics {
    /// Connections opened to upstreams.
    pub(crate) connections: Counter,
    /// Calls of stage services.
    pub(crate) stage_calls: Family<ServiceLabels, Counter>,
    /// Pieces in those calls.
    pub(crate) stage_pieces: Family<ServiceLabels, Counter>,
    /// Calls to a further upstream for the same request.
    pub(crate) retries: Family<RetryLabels, Counter>,
    /// Metrics of roll-outs.
    pub(crate) rollouts: RolloutMetrics,
    /// Tokens that this entry's requests hold at model upstreams.
    pub(crate) memory_held_tokens: Family<ServiceLabels, Gauge>,
    /// Tokens that they may hold.
    pub(crate) memory_share_tokens: Family<ServiceLabels, Gauge>,
    /// Age of the oldest load report that the limit uses, in milliseconds.
    pub(crate) memory_report_age_ms: Family<ServiceLabels, Gauge>,
    /// Requests refused because no model upstream had room.
    pub(crate) memory_refusals: Family<ServiceLabels, Counter>,
    /// Bytes that the bodies of requests in progress hold.
    pub(crate) request_body_bytes: Gauge,
    /// Larger response bodies and incomplete events that are held now, in bytes.
    pub(crate) response_bytes: Gauge,
    /// Open connections of callers.
    pub(crate) caller_connections: Gauge,
    /// Writes of this entry's record of crashes.
    pub(crate) crash_record_writes: Counter,
    requests: Family<RequestLabels, Counter>,
    first_bytes: Family<ServiceLabels, Histogram>,
    registry: Registry,
}

impl RelayMetrics {
    /// Creates the metrics and registers them, those of roll-outs only if the settings enable them.
    pub(crate) fn new(has_rollouts: bool) -> Self {
        let mut registry = Registry::with_prefix("yuccatrail_relay");
        let connections = Counter::default();
        let stage_calls = Family::default();
        let stage_pieces = Family::default();
        let retries = Family::default();
        let memory_held_tokens = Family::default();
        let memory_share_tokens = Family::default();
        let memory_report_age_ms = Family::default();
        let memory_refusals = Family::default();
        let request_body_bytes = Gauge::default();
        let response_bytes = Gauge::default();
        let caller_connections = Gauge::default();
        let requests = Family::default();
        let first_bytes: Family<ServiceLabels, Histogram> =
            Family::new_with_constructor(|| Histogram::new(LATENCY_BOUNDS_S));
        registry.register("connections", "Connections opened", connections.clone());
        registry.register("stage_calls", "Calls of stage services", stage_calls.clone());
        registry.register("stage_pieces", "Pieces in stage calls", stage_pieces.clone());
        registry.register("retries", "Calls to a second upstream", retries.clone());
        let help = "Tokens that requests hold at model upstreams";
        registry.register("model_memory_held_tokens", help, memory_held_tokens.clone());
        let help = "Tokens that requests may hold at model upstreams";
        registry.register("model_memory_share_tokens", help, memory_share_tokens.clone());
        let help = "Age of the oldest load report in use, in milliseconds";
        registry.register("model_memory_report_age_ms", help, memory_report_age_ms.clone());
        let help = "Requests refused because no model upstream had room";
        registry.register("model_memory_refusals", help, memory_refusals.clone());
        let help = "Bytes that the bodies of requests in progress hold";
        registry.register("request_body_bytes", help, request_body_bytes.clone());
        let help = "Bytes of larger responses and incomplete events that are held now";
        registry.register("response_bytes", help, response_bytes.clone());
        let help = "Open connections of callers";
        registry.register("caller_connections", help, caller_connections.clone());
        let crash_record_writes = Counter::default();
        let help = "Writes of this entry's record of crashes";
        registry.register("crash_record_writes", help, crash_record_writes.clone());
        registry.register("requests", "Finished requests", requests.clone());
        let help = "Time from a request's arrival to the first bytes of its answer, in seconds";
        registry.register("first_bytes_seconds", help, first_bytes.clone());
        let rollouts = RolloutMetrics::default();
        if has_rollouts {
            rollouts.register(&mut registry);
        }
        Self {
            connections,
            stage_calls,
            stage_pieces,
            retries,
            rollouts,
            memory_held_tokens,
            memory_share_tokens,
            memory_report_age_ms,
            memory_refusals,
            request_body_bytes,
            response_bytes,
            caller_connections,
            crash_record_writes,
            requests,
            first_bytes,
            registry,
        }
    }

    /// Counts a request whose response has begun, with the time since its arrival.
    pub(crate) fn count(&self, labels: RequestLabels, took_ms: u64) {
        let service = ServiceLabels { service: labels.route.clone() };
        self.first_bytes.get_or_create(&service).observe(took_ms as f64 / 1_000.0);
        self.requests.get_or_create(&labels).inc();
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub(crate) fn encode(&self) -> String {
        let mut output = String::new();
        if let Err(error) = text::encode(&mut output, &self.registry) {
            log::error!(error:% = error; "failed to encode metrics");
        }
        output
    }
}
