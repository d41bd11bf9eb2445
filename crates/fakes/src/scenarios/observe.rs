//! Records of the stand-ins, kept across restarts of their processes.

use yuccatrail_core::FastMap;

use crate::{
    stack::run::{Stack, StackError},
    upstream::state::UpstreamRecord,
};

/// Records of one upstream: those of its ended processes and that of the running process.
#[derive(Clone, Debug, Default)]
struct UpstreamHistory {
    ended: Vec<UpstreamRecord>,
    latest: Option<UpstreamRecord>,
}

/// Collects the records of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    histories: Vec<UpstreamHistory>,
}

/// Sums over the records of all upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Calls started.
    pub calls: u64,
    /// Most calls in progress at once on one upstream.
    pub peak: u32,
    /// Most calls in progress at once on one cold upstream.
    pub cold_peak: u32,
    /// Times that a cold upstream got more concurrent calls than it can bear.
    pub overloads: u32,
    /// Calls started, by idempotency key.
    pub runs_by_key: FastMap<String, u32>,
    /// Calls started, by request identifier.
    pub runs_by_request: FastMap<String, u32>,
}

impl Observer {
    /// Creates an observer for `count` upstreams without any records.
    pub fn new(count: usize) -> Self {
        Self { histories: vec![UpstreamHistory::default(); count] }
    }

    /// Reads the records of all upstreams that are reachable.
    pub async fn read(&mut self, stack: &Stack) {
        for (history, pair) in self.histories.iter_mut().zip(&stack.upstreams) {
            // For a crashed upstream, the record that was read last stays.
            if let Ok(record) = stack.record(pair).await {
                history.latest = Some(record);
            }
        }
    }

    /// Reads the records of all upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error when an upstream is not reachable.
    pub async fn read_all(&mut self, stack: &Stack) -> Result<(), StackError> {
        for (history, pair) in self.histories.iter_mut().zip(&stack.upstreams) {
            history.latest = Some(stack.record(pair).await?);
        }
        Ok(())
    }

    /// Keeps the record of an upstream process that ended; its successor starts a new record.
    pub fn on_restart(&mut self, index: usize) {
        let history = &mut self.histories[index];
        history.ended.extend(history.latest.take());
    }

    /// Sums up the records of all processes.
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
