//! Records of the stand-ins, kept also over their restarts.

use yuccatrail_core::FastMap;

use crate::{
    stack::run::{Stack, StackError},
    upstream::state::UpstreamRecord,
};

/// Records of one upstream: those of ended processes and that of the running one.
#[derive(Clone, Debug, Default)]
struct History {
    ended: Vec<UpstreamRecord>,
    latest: Option<UpstreamRecord>,
}

/// Records of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    histories: Vec<History>,
}

/// Sums over the records of all upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Calls begun.
    pub calls: u64,
    /// Most calls in progress at one upstream.
    pub peak: u32,
    /// Most calls in progress at one cold upstream.
    pub cold_peak: u32,
    /// Times that a cold upstream was given more than it bears.
    pub overloads: u32,
    /// Calls begun, by idempotency key.
    pub runs_by_key: FastMap<String, u32>,
    /// Calls begun, by request identifier.
    pub runs_by_request: FastMap<String, u32>,
}

impl Observer {
    /// Creates an observer of `count` upstreams.
    pub fn new(count: usize) -> Self {
        Self { histories: vec![History::default(); count] }
    }

    /// Reads the records of all upstreams that answer.
    pub async fn read(&mut self, stack: &Stack) {
        for (history, pair) in self.histories.iter_mut().zip(&stack.upstreams) {
            // A crashed upstream keeps the record that was read last.
            if let Ok(record) = stack.record(pair).await {
                history.latest = Some(record);
            }
        }
    }

    /// Reads the records of all upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error when an upstream does not answer.
    pub async fn read_all(&mut self, stack: &Stack) -> Result<(), StackError> {
        for (history, pair) in self.histories.iter_mut().zip(&stack.upstreams) {
            history.latest = Some(stack.record(pair).await?);
        }
        Ok(())
    }

    /// Notes that the process of an upstream has ended and another one starts with a new record.
    pub fn on_restart(&mut self, index: usize) {
        let history = &mut self.histories[index];
        history.ended.extend(history.latest.take());
    }

    /// Sums up all records.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for history in &self.histories {
            for record in history.ended.iter().chain(&history.latest) {
                totals.add(record);
            }
        }
        totals
    }
}

impl Totals {
    fn add(&mut self, record: &UpstreamRecord) {
        self.calls += record.calls;
        self.peak = self.peak.max(record.peak);
        self.cold_peak = self.cold_peak.max(record.cold_peak);
        self.overloads += record.overloads;
        for (key, runs) in &record.runs_by_key {
            *self.runs_by_key.entry(key.clone()).or_default() += runs;
        }
        for (request, runs) in &record.runs_by_request {
            *self.runs_by_request.entry(request.clone()).or_default() += runs;
        }
    }
}
