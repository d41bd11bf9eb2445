//! Cost by stage and deadline attainment by pipeline and customer.

#[cfg(test)]
mod tests;

use crate::{
    FastMap,
    ids::StageIndex,
    outcome::{Reason, Usage},
};

/// Names the stage of a pipeline on behalf of a customer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StageLabel {
    /// Pipeline or service.
    pub pipeline: String,
    /// Customer.
    pub customer: String,
    /// Stage of the pipeline.
    pub stage: StageIndex,
}

/// Names a pipeline on behalf of a customer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestLabel {
    /// Pipeline or service.
    pub pipeline: String,
    /// Customer.
    pub customer: String,
}

/// Whether the work of an attempt served its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The result went into an answer that was on time.
    Used,
    /// The attempt failed or was abandoned, or the answer was late.
    Wasted,
}

/// Cost of the attempts of one stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageCost {
    /// Attempts that ran.
    pub attempts: u64,
    /// Time that they spent at upstreams, in milliseconds.
    pub engine_ms: u64,
    /// Tokens that they produced.
    pub tokens: u64,
    /// Time that they waited in agents, in milliseconds.
    pub queued_ms: u64,
    /// Part of the time at upstreams that served no answer in time, in milliseconds.
    pub wasted_ms: u64,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer was given before the deadline.
    OnTime,
    /// The whole answer was given after the deadline.
    Late,
    /// The request ended without an answer although it may have run.
    Failed(Reason),
    /// The request was refused as not run.
    Refused(Reason),
}

/// Ends of the requests of one pipeline and customer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attainment {
    /// Requests answered before their deadline.
    pub on_time: u64,
    /// Requests answered after their deadline.
    pub late: u64,
    /// Requests that may have run but got no answer, by reason.
    pub failed: FastMap<Reason, u64>,
    /// Requests that were refused as not run, by reason.
    pub refused: FastMap<Reason, u64>,
}

impl Attainment {
    /// Returns the number of requests that were taken on.
    pub fn accepted(&self) -> u64 {
        self.on_time + self.late + self.failed.values().sum::<u64>()
    }

    /// Returns the part of the accepted requests that were answered on time.
    pub fn on_time_fraction(&self) -> f64 {
        match self.accepted() {
            0 => 1.0,
            accepted => self.on_time as f64 / accepted as f64,
        }
    }
}

/// Counters of cost and attainment, which only grow.
#[derive(Clone, Debug, Default)]
pub struct CostLedger {
    stages: FastMap<StageLabel, StageCost>,
    requests: FastMap<RequestLabel, Attainment>,
}

impl CostLedger {
    /// Creates a ledger without entries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts an attempt that ran, once the worth of its work is known.
    pub fn on_attempt(&mut self, label: &StageLabel, usage: Usage, worth: WorkOutcome) {
        if !self.stages.contains_key(label) {
            self.stages.insert(label.clone(), StageCost::default());
        }
        let Some(cost) = self.stages.get_mut(label) else { return };
        cost.attempts += 1;
        cost.engine_ms += usage.engine_ms;
        cost.tokens += usage.tokens;
        cost.queued_ms += usage.queued_ms;
        if worth == WorkOutcome::Wasted {
            cost.wasted_ms += usage.engine_ms;
        }
    }

    /// Counts the end of a request.
    pub fn on_request(&mut self, label: &RequestLabel, end: RequestOutcome) {
        if !self.requests.contains_key(label) {
            self.requests.insert(label.clone(), Attainment::default());
        }
        let Some(attainment) = self.requests.get_mut(label) else { return };
        match end {
            RequestOutcome::OnTime => attainment.on_time += 1,
            RequestOutcome::Late => attainment.late += 1,
            RequestOutcome::Failed(reason) => *attainment.failed.entry(reason).or_default() += 1,
            RequestOutcome::Refused(reason) => *attainment.refused.entry(reason).or_default() += 1,
        }
    }

    /// Returns the cost by stage, in the order of the labels.
    pub fn stages(&self) -> Vec<(&StageLabel, &StageCost)> {
        let mut stages: Vec<_> = self.stages.iter().collect();
        stages.sort_unstable_by_key(|(label, _)| *label);
        stages
    }

    /// Returns the attainment by pipeline and customer, in the order of the labels.
    pub fn requests(&self) -> Vec<(&RequestLabel, &Attainment)> {
        let mut requests: Vec<_> = self.requests.iter().collect();
        requests.sort_unstable_by_key(|(label, _)| *label);
        requests
    }
}
