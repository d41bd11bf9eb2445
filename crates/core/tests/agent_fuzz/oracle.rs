//! What the upstream saw and what the entries were told, checked against the agent's promises.

use yuccatrail_core::{
    FastSet,
    agent::{Dispatch, Submission},
    attempt::AttemptLookup,
    capacity::WARM_COMPLETIONS,
    ids::AttemptId,
    outcome::{Execution, Refusal},
};

use crate::{COLD_LIMIT, CONCURRENCY, EVIDENCE_AGE_MS};

/// When a probe was sent that showed a warm upstream.
#[derive(Clone, Copy)]
pub(crate) struct ShownWarm {
    pub(crate) sent_ms: u64,
    pub(crate) sent_step: u64,
}

/// What the upstream saw and what the entries were told.
#[derive(Default)]
pub(crate) struct Oracle {
    pub(crate) dispatched: FastSet<AttemptId>,
    pub(crate) told_not_run: FastSet<AttemptId>,
    pub(crate) running: Vec<Dispatch>,
    pub(crate) cold_starts: Vec<Dispatch>,
    pub(crate) is_warm: bool,
    pub(crate) completed_since_cold: u32,
    pub(crate) turned_since_probe: bool,
    pub(crate) shown_warm: Option<ShownWarm>,
    pub(crate) is_closed: bool,
    pub(crate) is_unconfirmed: bool,
}

impl Oracle {
    pub(crate) fn on_dispatch(
        &mut self,
        dispatch: Dispatch,
        submission: &Submission,
        arrived_step: u64,
        now_ms: u64,
    ) {
        assert!(self.dispatched.insert(dispatch.attempt), "dispatched twice");
        assert!(!self.told_not_run.contains(&dispatch.attempt), "dispatched after not-run");
        assert!(!self.is_closed, "new work after the gate closed");
        assert!(!self.is_unconfirmed, "new work after a pause without confirmation");
        assert!(now_ms <= submission.dispatch_by_ms, "dispatched after its limit");
        if self.running.len() >= COLD_LIMIT {
            let shown = self.shown_warm.expect("a start beyond the cold limit without a probe");
            assert!(now_ms <= shown.sent_ms + EVIDENCE_AGE_MS, "a start on an old probe");
            assert!(arrived_step < shown.sent_step, "a start on a probe from before its arrival");
        }
        self.running.push(dispatch);
        if !self.is_warm {
            self.cold_starts.push(dispatch);
        }
        let cold = self.cold_starts.iter().filter(|it| self.running.contains(it)).count();
        assert!(self.is_warm || cold <= COLD_LIMIT, "{cold} calls in a cold start");
        assert!(self.running.len() <= CONCURRENCY.max(COLD_LIMIT), "too many calls");
    }

    pub(crate) fn turn_cold(&mut self) {
        self.is_warm = false;
        self.turned_since_probe = true;
        self.shown_warm = None;
        self.completed_since_cold = 0;
        self.cold_starts.clear();
    }

    /// Enough completed calls that began in the cold start show warmth.
    pub(crate) fn on_completed(&mut self, dispatch: Dispatch) {
        if self.cold_starts.contains(&dispatch) {
            self.completed_since_cold += 1;
        }
        self.is_warm |= self.completed_since_cold >= WARM_COMPLETIONS;
    }

    pub(crate) fn on_told(&mut self, attempt: AttemptId, lookup: &AttemptLookup) {
        let not_run = match lookup {
            AttemptLookup::NotRun(Refusal { execution, .. }) => *execution == Execution::NotRun,
            _ => return,
        };
        assert!(not_run, "a refusal before dispatch says not-run");
        assert!(!self.dispatched.contains(&attempt), "told not-run although dispatched");
        self.told_not_run.insert(attempt);
    }
}
