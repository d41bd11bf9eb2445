//! Log lines and metrics of roll-outs.

use log::info;
use yuccatrail_core::rollout::{
    Answers, RolloutDirective, RolloutEvent, RolloutObject, RolloutOrder, RolloutPhase,
    RolloutReport,
};

use crate::relay::{
    metrics::{ServiceLabels, VerdictLabels, VersionLabels},
    state::Relay,
};

/// Shortest time between two log lines on the phase and the evidence of one roll-out, in milliseconds,
/// which bounds the volume while a phase changes back and forth.
const PHASE_LOG_INTERVAL_MS: u64 = 500;
/// Interval at which the evidence is logged while the phase does not change, in milliseconds.
const EVIDENCE_LOG_INTERVAL_MS: u64 = 5_000;
/// Time for which reports of other entries are kept while the order is not known here, in milliseconds;
/// the bound within which a change of the platform reaches each entry.
const AWAIT_ORDER_MS: u64 = 2_000;

/// Sums of the answers of one version over all routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Total {
    answers: u32,
    failed: u32,
}

/// What was logged and counted of a service's roll-out.
#[derive(Debug)]
pub(super) struct Reported {
    created_ms: u64,
    has_order: bool,
    /// Share of the last directive, with the identifiers of the canary upstreams.
    share: f64,
    canary: Vec<String>,
    /// Order and phase that were logged last.
    logged: Option<(RolloutOrder, Option<RolloutPhase>)>,
    logged_ms: u64,
}

impl Reported {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            created_ms: now_ms,
            has_order: false,
            share: 0.0,
            canary: Vec::new(),
            logged: None,
            logged_ms: 0,
        }
    }

    /// Tells whether the order has not arrived yet, and may still.
    pub(super) fn is_awaiting_order(&self, now_ms: u64) -> bool {
        !self.has_order && now_ms < self.created_ms + AWAIT_ORDER_MS
    }

    /// Remembers the share of a directive.
    pub(super) fn record_directive(&mut self, directive: &RolloutDirective) {
        self.share = directive.share;
        if self.canary != directive.canary {
            self.canary.clone_from(&directive.canary);
        }
    }

    /// Updates the metrics and logs the phase if it has changed.
    pub(super) fn update(
        &mut self,
        relay: &Relay,
        object: &RolloutObject,
        report: Option<&RolloutReport>,
        now_ms: u64,
    ) {
        self.has_order = true;
        let order = &object.order;
        let phase = relay.upstreams().rollouts().phase(&order.service, now_ms);
        self.update_metrics(relay, order, phase, report);
        let current = (order.clone(), phase);
        let is_changed = self.logged.as_ref() != Some(&current);
        let interval_ms = if is_changed { PHASE_LOG_INTERVAL_MS } else { EVIDENCE_LOG_INTERVAL_MS };
        let has_verdict = object.state().is_some_and(|it| it.is_verdict());
        if !is_changed && has_verdict || now_ms < self.logged_ms + interval_ms {
            return;
        }
        self.logged = Some(current);
        self.logged_ms = now_ms;
        let (old, new) = report.map(totals).unwrap_or_default();
        info!(
            service:% = order.service,
            to:% = order.to,
            phase:? = phase,
            state:? = object.state(),
            share = self.share,
            canary:? = self.canary,
            age_ms = report.map_or(0, |it| it.age_ms),
            started = report.map_or(0, |it| it.started),
            new_started = report.map_or(0, |it| it.new_started),
            old_answers = old.answers,
            old_failed = old.failed,
            new_answers = new.answers,
            new_failed = new.failed,
            old_in_use = report.map_or(0, |it| it.old_in_use),
            usual_duration_ms = report.map_or(0, |it| it.usual_duration_ms);
            "roll-out phase and own evidence"
        );
    }

    fn update_metrics(
        &self,
        relay: &Relay,
        order: &RolloutOrder,
        phase: Option<RolloutPhase>,
        report: Option<&RolloutReport>,
    ) {
        let metrics = &relay.metrics.rollouts;
        let labels = ServiceLabels { service: order.service.to_string() };
        let phase_number = phase.map_or(-1, |it| it as i64);
        metrics.phase.get_or_create(&labels).set(phase_number);
        metrics.share.get_or_create(&labels).set(self.share);
        let Some(report) = report else { return };
        let (old, new) = totals(report);
        let old_started = report.started.saturating_sub(report.new_started);
        let versions = [("old", old_started, old), ("new", report.new_started, new)];
        for (version, started, total) in versions {
            let labels = version_labels(&order.service, version);
            metrics.started.get_or_create(&labels).set(started as i64);
            metrics.answers.get_or_create(&labels).set(i64::from(total.answers));
            metrics.failures.get_or_create(&labels).set(i64::from(total.failed));
        }
    }

    /// Logs the facts that the owner's decider reports, and counts its verdicts.
    pub(super) fn log_events(&self, relay: &Relay, events: Vec<RolloutEvent>) {
        for event in events {
            log_event(relay, event);
        }
    }
}

/// Removes the metrics of a service without an order, except for the counters.
pub(super) fn forget(relay: &Relay, service: &str) {
    let metrics = &relay.metrics.rollouts;
    let labels = ServiceLabels { service: service.to_owned() };
    metrics.phase.remove(&labels);
    metrics.share.remove(&labels);
    for version in ["old", "new"] {
        let labels = version_labels(service, version);
        metrics.started.remove(&labels);
        metrics.answers.remove(&labels);
        metrics.failures.remove(&labels);
    }
}

fn version_labels(service: &str, version: &'static str) -> VersionLabels {
    VersionLabels { service: service.to_owned(), version }
}

/// Returns the sums of a report for the old and the new version.
fn totals(report: &RolloutReport) -> (Total, Total) {
    let (mut old, mut new) = (Total::default(), Total::default());
    for route in &report.routes {
        old.add(&route.old);
        new.add(&route.new);
    }
    (old, new)
}

impl Total {
    fn add(&mut self, answers: &Answers) {
        self.answers = self.answers.saturating_add(answers.total);
        self.failed = self.failed.saturating_add(answers.failed);
    }
}

fn log_event(relay: &Relay, event: RolloutEvent) {
    match event {
        RolloutEvent::OrderSeen { order } => log_order(&order, "decides on a roll-out"),
        RolloutEvent::OrderRemoved { order } => {
            log_order(&order, "order of a roll-out removed or replaced");
        }
        RolloutEvent::PhaseEntered { order, phase, share, age_ms } => info!(
            service:% = order.service,
            to:% = order.to,
            phase:? = phase,
            share = share,
            age_ms = age_ms;
            "roll-out enters a phase"
        ),
        RolloutEvent::CanaryReplaced { order, upstream, age_ms } => info!(
            service:% = order.service,
            to:% = order.to,
            upstream:% = upstream,
            age_ms = age_ms;
            "upstream looks bad alone, another one of its version replaces it"
        ),
        RolloutEvent::VerdictReached { order, state, reason, inputs } => {
            let labels = VerdictLabels {
                service: order.service.to_string(),
                state: format!("{state:?}"),
                reason: format!("{reason:?}"),
            };
            relay.metrics.rollouts.verdicts.get_or_create(&labels).inc();
            info!(
                service:% = order.service,
                to:% = order.to,
                state:? = state,
                reason:? = reason,
                age_ms = inputs.age_ms,
                duration_ms = order.duration_ms,
                oldest_report_ms = inputs.oldest_report_ms,
                reporting_entries = inputs.reporting_entries,
                old_answers = inputs.old_answers,
                old_bad = inputs.old_bad,
                new_answers = inputs.new_answers,
                new_bad = inputs.new_bad,
                log_evidence = inputs.log_evidence,
                warm_slots = inputs.warm_slots,
                old_slots = inputs.old_slots;
                "verdict on a roll-out"
            );
        }
        RolloutEvent::VerdictAdopted { order, state } => info!(
            service:% = order.service, to:% = order.to, state:? = state;
            "verdict on a roll-out adopted from the platform"
        ),
        RolloutEvent::VerdictLost { order, state } => info!(
            service:% = order.service, to:% = order.to, state:? = state;
            "platform has lost the verdict on a roll-out, writing it again"
        ),
        RolloutEvent::WriteUnknown { order, state } => info!(
            service:% = order.service, to:% = order.to, state:? = state;
            "reading the roll-out again, a write may have been executed"
        ),
    }
}

fn log_order(order: &RolloutOrder, message: &'static str) {
    info!(
        service:% = order.service,
        to:% = order.to,
        duration_ms = order.duration_ms,
        created_at = order.created_at;
        "{message}"
    );
}
