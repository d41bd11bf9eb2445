//! Checks the calls that the upstream received and the agent's reports to entries against its
//! guarantees.

use yuccatrail_core::{
    FastSet,
    agent::{Dispatch, Submission},
    attempt::AttemptLookup,
    capacity::WARM_COMPLETIONS,
    ids::AttemptId,
    outcome::{Execution, Refusal},
};

use crate::{COLD_LIMIT, CONCURRENCY, MAX_PROBE_AGE_MS};

/// Window in which the users count the requests to a limited upstream, in milliseconds.
const LIMIT_WINDOW_MS: u64 = 4_000;

/// Time and step at which a probe was sent.
#[derive(Clone, Copy)]
pub(crate) struct SentProbe {
    pub(crate) sent_ms: u64,
    pub(crate) sent_step: u64,
}

/// Calls that the upstream received and states that were reported to entries.
#[derive(Default)]
pub(crate) struct Oracle {
    pub(crate) dispatched: FastSet<AttemptId>,
    pub(crate) reported_not_run: FastSet<AttemptId>,
    pub(crate) running: Vec<Dispatch>,
    pub(crate) cold_starts: Vec<Dispatch>,
    pub(crate) is_warm: bool,
    pub(crate) completed_since_cold: u32,
    pub(crate) turned_cold_since_probe: bool,
    /// Latest probe that showed the upstream warm, until it becomes cold.
    pub(crate) warm_probe: Option<SentProbe>,
    /// Limit that the upstream states, in requests a second, and the number of calls before it did.
    pub(crate) limit: Option<(f64, usize)>,
    pub(crate) dispatch_times_ms: Vec<u64>,
    pub(crate) is_closed: bool,
    pub(crate) is_unconfirmed: bool,
}

impl Oracle {
    pub(crate) fn on_dispatch(
        &mut self,
        dispatch: Dispatch,
        submission: &Submission,
        arrival_step: u64,
        now_ms: u64,
    ) {
        assert!(self.dispatched.insert(dispatch.attempt), "an attempt was dispatched twice");
        assert!(
            !self.reported_not_run.contains(&dispatch.attempt),
            "an attempt was dispatched after it was reported as not run"
        );
        assert!(!self.is_closed, "an attempt was dispatched after the gate closed");
        assert!(
            !self.is_unconfirmed,
            "an attempt was dispatched after a pause without confirmed control state"
        );
        assert!(
            now_ms <= submission.dispatch_by_ms,
            "an attempt was dispatched after its dispatch limit"
        );
        self.dispatch_times_ms.push(now_ms);
        if let Some((per_s, first)) = self.limit {
            let is_recent = |it: &&u64| now_ms < **it + LIMIT_WINDOW_MS;
            let recent = self.dispatch_times_ms[first..].iter().filter(is_recent).count();
            let allowed = 1.5 * per_s * LIMIT_WINDOW_MS as f64 / 1_000.0 + 5.0;
            assert!(recent as f64 <= allowed, "{recent} calls under a limit of {per_s} a second");
        }
        if self.running.len() >= COLD_LIMIT {
            let shown = self.warm_probe.expect("a start beyond the cold limit needs a probe");
            assert!(
                now_ms <= shown.sent_ms + MAX_PROBE_AGE_MS,
                "a start relied on a probe that is too old"
            );
            assert!(
                arrival_step < shown.sent_step,
                "a start relied on a probe sent before the attempt arrived"
            );
        }
        self.running.push(dispatch);
        if !self.is_warm {
            self.cold_starts.push(dispatch);
        }
        let cold = self.cold_starts.iter().filter(|it| self.running.contains(it)).count();
        assert!(self.is_warm || cold <= COLD_LIMIT, "{cold} calls run on a cold upstream");
        assert!(
            self.running.len() <= CONCURRENCY.max(COLD_LIMIT),
            "more calls run than the concurrency limit allows"
        );
    }

    pub(crate) fn turn_cold(&mut self) {
        self.is_warm = false;
        self.turned_cold_since_probe = true;
        self.warm_probe = None;
        self.completed_since_cold = 0;
        self.cold_starts.clear();
    }

    /// Marks the upstream warm after enough calls have completed that began while it was cold.
    pub(crate) fn on_completed(&mut self, dispatch: Dispatch) {
        if self.cold_starts.contains(&dispatch) {
            self.completed_since_cold += 1;
        }
        self.is_warm |= self.completed_since_cold >= WARM_COMPLETIONS;
    }

    pub(crate) fn on_report(&mut self, attempt: AttemptId, lookup: &AttemptLookup) {
        let not_run = match lookup {
            AttemptLookup::NotRun(Refusal { execution, .. }) => *execution == Execution::NotRun,
            _ => return,
        };
        assert!(not_run, "a refusal before dispatch must report not run");
        assert!(
            !self.dispatched.contains(&attempt),
            "an attempt was reported as not run although it was dispatched"
        );
        self.reported_not_run.insert(attempt);
    }
}
