//! Tracks an attempt in flight in the load and health statistics of its upstream.

use std::sync::Arc;

use yuccatrail_core::{membership::UpstreamKey, outcome::Execution, routing::AttemptEnd};

use super::{Failure, attempt::Output};
use crate::fleet::Fleet;

/// An attempt that counts as in flight at its upstream until this value is dropped.
pub(crate) struct InFlightAttempt {
    fleet: Arc<Fleet>,
    key: UpstreamKey,
    sent_ms: u64,
    estimate_ms: u64,
    end: Option<AttemptEnd>,
}

impl InFlightAttempt {
    /// Starts to track an attempt that is sent now.
    pub(crate) fn new(fleet: Arc<Fleet>, key: UpstreamKey, estimate_ms: u64) -> Self {
        let sent_ms = fleet.clock.now_ms();
        Self { fleet, key, sent_ms, estimate_ms, end: None }
    }

    /// Returns the time since the attempt was sent, in milliseconds.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.fleet.clock.now_ms().saturating_sub(self.sent_ms)
    }

    /// Sets the end to be recorded on drop.
    pub(crate) fn record_end(&mut self, result: &Result<Output, Failure>) {
        self.end = Some(attempt_end(result, self.estimate_ms));
    }

    /// Returns the end to record for an attempt that was dropped while in flight.
    fn abandoned_end(&self) -> AttemptEnd {
        AttemptEnd::Abandoned { ratio: self.elapsed_ms() as f64 / self.estimate_ms.max(1) as f64 }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let end = self.end.unwrap_or_else(|| self.abandoned_end());
        self.fleet.on_attempt_end(self.key, end);
    }
}

fn attempt_end(result: &Result<Output, Failure>, estimate_ms: u64) -> AttemptEnd {
    match result {
        Ok(output) => {
            let engine_ms = output.completion.usage.engine_ms as f64;
            AttemptEnd::Completed { ratio: engine_ms / estimate_ms.max(1) as f64 }
        }
        Err(failure) if failure.refusal.execution == Execution::NotRun => AttemptEnd::NotRun,
        Err(_) => AttemptEnd::Failed,
    }
}
