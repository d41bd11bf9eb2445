//! Log line that summarizes the queue of one stage service at its owner.

use std::{mem, time::Duration};

use log::info;
use yuccatrail_core::batching::{Activity, Backlog, Batcher};

/// Interval between two lines about a queue with work, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// Counts of one queue since its last line.
#[derive(Debug, Default)]
pub(super) struct QueueLog {
    written_ms: u64,
    late_on_arrival: u64,
    plans: u64,
    planning: Duration,
}

impl QueueLog {
    /// Records work that was not queued because it could not meet its deadline.
    pub(super) fn record_late_on_arrival(&mut self) {
        self.late_on_arrival += 1;
    }

    /// Records the time that it took to choose the next calls.
    pub(super) fn record_planning(&mut self, took: Duration) {
        self.plans += 1;
        self.planning += took;
    }

    /// Writes the line if it is due, unless nothing has happened.
    pub(super) fn write_if_due(
        &mut self,
        batcher: &mut Batcher,
        service: &str,
        available: usize,
        now_ms: u64,
    ) {
        let since_ms = now_ms.saturating_sub(self.written_ms);
        if since_ms < INTERVAL_MS {
            return;
        }
        let counts = mem::replace(self, Self { written_ms: now_ms, ..Self::default() });
        let (activity, backlog) = (batcher.take_activity(), batcher.backlog(now_ms));
        let is_quiet = activity == Activity::default() && backlog == Backlog::default();
        if is_quiet && counts.late_on_arrival == 0 {
            return;
        }
        info!(
            service = service,
            since_ms = since_ms,
            stages = backlog.stages,
            late_stages = backlog.late_stages,
            pieces = backlog.pieces,
            calls = backlog.calls,
            available = available,
            completed = activity.completed,
            unused = activity.unused,
            no_room = activity.no_room,
            inputs_gone = activity.inputs_gone,
            expired = activity.expired,
            shed = activity.shed,
            late_at_upstream = activity.late_at_upstream,
            cancelled = activity.cancelled,
            late_on_arrival = counts.late_on_arrival,
            plans = counts.plans,
            ordered_plans = activity.ordered_plans,
            planning_ms = counts.planning.as_secs_f64() * 1_000.0;
            "stage queue"
        );
    }
}
