//! Outcome counts and latency histograms of a load.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::{
    call::{CallOutcome, Observation},
    plan::CallKind,
};

/// Largest value that a histogram records, in microseconds; longer times count as this value.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Precision of a histogram, in significant decimal digits.
const HISTOGRAM_DIGITS: u8 = 3;
/// Most descriptions of wrong or broken calls that are kept.
const MAX_EXAMPLES: usize = 5;
/// Outcome in a problem document that says that the request was not executed.
pub const NOT_RUN: &str = "not_run";

/// Deadlines within which a correct response counts as on time.
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
    /// Reason that the problem document gives.
    pub reason: String,
    /// Whether the request was executed, as the problem document says.
    pub outcome: String,
}

/// Call counts of one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerTally {
    /// Calls that were sent.
    pub sent: u64,
    /// Correct responses within the deadline.
    pub on_time: u64,
}

/// Outcome counts and latency histograms of a load.
#[derive(Clone, Debug)]
pub struct Tally {
    deadlines: Deadlines,
    /// Calls that were sent.
    pub sent: u64,
    /// Planned calls that were skipped because too many were in flight.
    pub unsent: u64,
    /// Correct responses within the deadline.
    pub on_time: u64,
    /// Correct responses after the deadline.
    pub late: u64,
    /// Correct responses by call kind, including late ones.
    pub correct_by_kind: BTreeMap<CallKind, u64>,
    /// Number of refused requests by reason and outcome.
    pub refused: BTreeMap<RefusalKind, u64>,
    /// Complete responses that were not as expected.
    pub wrong: u64,
    /// Failed HTTP exchanges, malformed or incomplete responses, and time-outs.
    pub broken: u64,
    /// Descriptions of the first calls counted as `wrong` or `broken`.
    pub examples: Vec<String>,
    /// Call counts by customer.
    pub customers: BTreeMap<String, CustomerTally>,
    /// Identifiers of refused requests that were reported as not run.
    pub not_run: Vec<String>,
    /// Latency of correct responses, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Latency of refusals, in microseconds.
    pub refusal_us: Histogram<u64>,
    /// Time to the first text of a stream, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time between consecutive texts of a stream, in microseconds.
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

    /// Adds a call.
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

    /// Returns the fraction of planned calls with a correct response within the deadline.
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

/// Creates an empty histogram for durations in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, HISTOGRAM_DIGITS)
        .expect("the bounds of the histogram are valid")
}
