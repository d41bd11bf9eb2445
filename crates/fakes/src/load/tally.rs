//! Counts and latency histograms of a load.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::{
    call::{CallOutcome, Observation},
    plan::CallKind,
};

/// Longest latency that a histogram tells apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits that a histogram keeps.
const HISTOGRAM_DIGITS: u8 = 3;
/// Examples of wrong and of broken answers that are kept.
const MAX_EXAMPLES: usize = 5;
/// Outcome by which a problem document says that the request was not run.
pub const NOT_RUN: &str = "not_run";

/// Deadlines by which a right answer counts as on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadlines {
    /// Deadline of pipeline calls, in milliseconds.
    pub pipeline_ms: u64,
    /// Deadline of service calls, in milliseconds.
    pub service_ms: u64,
}

/// Why and how a request was refused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RefusalKind {
    /// Reason in the problem document.
    pub reason: String,
    /// What the problem document says about the execution.
    pub outcome: String,
}

/// Counts of one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerTally {
    /// Calls made.
    pub sent: u64,
    /// Right answers within the deadline.
    pub on_time: u64,
}

/// Counts and histograms of a load.
#[derive(Clone, Debug)]
pub struct Tally {
    deadlines: Deadlines,
    /// Calls made.
    pub sent: u64,
    /// Calls that were left out because too many were in progress.
    pub unsent: u64,
    /// Right answers within the deadline.
    pub on_time: u64,
    /// Right answers after the deadline.
    pub late: u64,
    /// Right answers by kind of call.
    pub correct_by_kind: BTreeMap<CallKind, u64>,
    /// Refused requests.
    pub refused: BTreeMap<RefusalKind, u64>,
    /// Complete answers that are not the expected ones.
    pub wrong: u64,
    /// Exchanges that broke.
    pub broken: u64,
    /// Examples of wrong and broken answers.
    pub examples: Vec<String>,
    /// Counts by customer.
    pub customers: BTreeMap<String, CustomerTally>,
    /// Identifiers of requests that were refused as not run.
    pub not_run: Vec<String>,
    /// Latency of right answers, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Time to the refusal of refused requests, in microseconds.
    pub refusal_us: Histogram<u64>,
    /// Time to the first text of streams, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time between the texts of streams, in microseconds.
    pub token_gap_us: Histogram<u64>,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new(deadlines: Deadlines) -> Self {
        Self {
            deadlines,
            sent: 0,
            unsent: 0,
            on_time: 0,
            late: 0,
            correct_by_kind: BTreeMap::new(),
            refused: BTreeMap::new(),
            wrong: 0,
            broken: 0,
            examples: Vec::new(),
            customers: BTreeMap::new(),
            not_run: Vec::new(),
            latency_us: histogram(),
            refusal_us: histogram(),
            first_token_us: histogram(),
            token_gap_us: histogram(),
        }
    }

    /// Adds what one caller saw.
    pub fn add(&mut self, observation: Observation) {
        self.sent += 1;
        let customer = self.customers.entry(observation.call.customer.clone()).or_default();
        customer.sent += 1;
        if let Some(first_us) = observation.first_token_us {
            self.first_token_us.saturating_record(first_us);
        }
        for gap_us in &observation.token_gaps_us {
            self.token_gap_us.saturating_record(*gap_us);
        }
        match observation.outcome {
            CallOutcome::Correct => self.add_correct(&observation),
            CallOutcome::Refused { reason, outcome } => {
                self.refusal_us.saturating_record(observation.latency_us);
                if outcome == NOT_RUN {
                    self.not_run.extend(observation.request_id);
                }
                *self.refused.entry(RefusalKind { reason, outcome }).or_default() += 1;
            }
            CallOutcome::Wrong(detail) => {
                self.wrong += 1;
                self.add_example(format!("wrong: {detail}"));
            }
            CallOutcome::Broken(detail) => {
                self.broken += 1;
                self.add_example(format!("broken: {detail}"));
            }
        }
    }

    /// Returns the part of all planned calls that got their answer on time.
    pub fn attainment(&self) -> f64 {
        let planned = self.sent + self.unsent;
        if planned == 0 { 0.0 } else { self.on_time as f64 / planned as f64 }
    }

    /// Returns the number of refused requests.
    pub fn refused_count(&self) -> u64 {
        self.refused.values().sum()
    }

    fn add_correct(&mut self, observation: &Observation) {
        self.latency_us.saturating_record(observation.latency_us);
        *self.correct_by_kind.entry(observation.call.kind).or_default() += 1;
        let deadline_ms = match observation.call.kind {
            CallKind::PipelinePlain | CallKind::PipelineStreamed => self.deadlines.pipeline_ms,
            CallKind::ServiceRead | CallKind::ServiceWrite => self.deadlines.service_ms,
        };
        if observation.latency_us > deadline_ms * 1000 {
            self.late += 1;
            return;
        }
        self.on_time += 1;
        self.customers.entry(observation.call.customer.clone()).or_default().on_time += 1;
    }

    fn add_example(&mut self, example: String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(example);
        }
    }
}

/// Creates an empty histogram of times in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, HISTOGRAM_DIGITS)
        .expect("the bounds of the histogram are valid")
}
