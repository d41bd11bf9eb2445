//! Counters of resource cost by stage and of deadline attainment by pipeline and customer.

#[cfg(test)]
mod tests;

use crate::{
    FastMap,
    ids::StageIndex,
    outcome::{Reason, Usage},
};

/// Identifies a pipeline stage and customer in the cost counters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StageLabel {
    /// Name of the pipeline or service.
    pub pipeline: String,
    /// Name of the customer.
    pub customer: String,
    /// Position of the stage in the pipeline.
    pub stage: StageIndex,
}

/// Identifies a pipeline and customer in the attainment counters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestLabel {
    /// Name of the pipeline or service.
    pub pipeline: String,
    /// Name of the customer.
    pub customer: String,
}

/// Whether the work of an attempt contributed to a timely response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The result contributed to a response that met the deadline.
    Used,
    /// The attempt failed or was abandoned, or the response missed the deadline.
    Wasted,
}

/// Total cost of the attempts of one stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageCost {
    /// Number of attempts that ran.
    pub attempts: u64,
    /// Time spent at upstreams, in milliseconds.
    pub engine_ms: u64,
    /// Number of generated tokens.
    pub tokens: u64,
    /// Time spent in the queues of agents, in milliseconds.
    pub queued_ms: u64,
    /// Part of [`engine_ms`](Self::engine_ms) that contributed to no timely response, in
    /// milliseconds.
    pub wasted_ms: u64,
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was complete by the deadline.
    OnTime,
    /// The response was complete after the deadline.
    Late,
    /// The request got no complete response although it may have run.
    Failed(Reason),
    /// The request was refused without having run.
    Refused(Reason),
}

/// Numbers of requests of one pipeline and customer by outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attainment {
    /// Requests whose response met the deadline.
    pub on_time: u64,
    /// Requests whose response missed the deadline.
    pub late: u64,
    /// Requests that may have run but got no complete response, by reason.
    pub failed: FastMap<Reason, u64>,
    /// Requests that were refused without having run, by reason.
    pub refused: FastMap<Reason, u64>,
}

impl Attainment {
    /// Returns the number of requests that were not refused.
    pub fn accepted(&self) -> u64 {
        self.on_time + self.late + self.failed.values().sum::<u64>()
    }

    /// Returns the fraction of the accepted requests whose response met the deadline; one if there
    /// are none.
    pub fn on_time_fraction(&self) -> f64 {
        match self.accepted() {
            0 => 1.0,
            accepted => self.on_time as f64 / accepted as f64,
        }
    }
}

/// Monotonic counters of cost and attainment.
#[derive(Clone, Debug, Default)]
pub struct CostLedger {
    stages: FastMap<StageLabel, StageCost>,
    requests: FastMap<RequestLabel, Attainment>,
}

impl CostLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts an attempt that ran, once the outcome of its work is known.
    pub fn on_attempt(&mut self, label: &StageLabel, usage: Usage, outcome: WorkOutcome) {
        if !self.stages.contains_key(label) {
            self.stages.insert(label.clone(), StageCost::default());
        }
        let Some(cost) = self.stages.get_mut(label) else { return };
        cost.attempts += 1;
        cost.engine_ms += usage.engine_ms;
        cost.tokens += usage.tokens;
        cost.queued_ms += usage.queued_ms;
        if outcome == WorkOutcome::Wasted {
            cost.wasted_ms += usage.engine_ms;
        }
    }

    /// Counts a finished request by its outcome.
    pub fn on_request(&mut self, label: &RequestLabel, outcome: RequestOutcome) {
        if !self.requests.contains_key(label) {
            self.requests.insert(label.clone(), Attainment::default());
        }
        let Some(attainment) = self.requests.get_mut(label) else { return };
        match outcome {
            RequestOutcome::OnTime => attainment.on_time += 1,
            RequestOutcome::Late => attainment.late += 1,
            RequestOutcome::Failed(reason) => *attainment.failed.entry(reason).or_default() += 1,
            RequestOutcome::Refused(reason) => *attainment.refused.entry(reason).or_default() += 1,
        }
    }

    /// Returns the cost by stage, sorted by label.
    pub fn stages(&self) -> Vec<(&StageLabel, &StageCost)> {
        let mut stages: Vec<_> = self.stages.iter().collect();
        stages.sort_unstable_by_key(|(label, _)| *label);
        stages
    }

    /// Returns the attainment by pipeline and customer, sorted by label.
    pub fn requests(&self) -> Vec<(&RequestLabel, &Attainment)> {
        let mut requests: Vec<_> = self.requests.iter().collect();
        requests.sort_unstable_by_key(|(label, _)| *label);
        requests
    }
}
