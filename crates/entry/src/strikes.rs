//! Quarantine of requests at the entry.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use yuccatrail_core::{
    ids::Digest,
    outcome::{Reason, Refusal},
    quarantine::{Admission, Quarantine, QuarantineLimits, Strike, SuspectTracker},
};

/// Time for which a strike counts, in milliseconds.
const RETENTION_MS: u64 = 3_600_000;
/// Largest number of strikes held.
const MAX_STRIKES: usize = 10_000;
/// Strikes after which a request is refused, until a document states another number.
const STRIKE_LIMIT: u32 = 2;
/// Time after which a copy of a suspect may be sent again, in milliseconds.
const SUSPECT_RETRY_AFTER_MS: u64 = 1_000;
/// Time after which a quarantined request may be sent again, in milliseconds.
const QUARANTINED_RETRY_AFTER_MS: u64 = RETENTION_MS;

/// Strikes known to the entry and requests in progress.
pub(crate) struct Strikes {
    state: Mutex<State>,
}

struct State {
    quarantine: Quarantine,
    tracker: SuspectTracker,
}

impl Strikes {
    /// Creates the state of an entry that knows no strikes.
    pub(crate) fn new() -> Arc<Self> {
        let limits = QuarantineLimits {
            strikes: STRIKE_LIMIT,
            retention_ms: RETENTION_MS,
            max_strikes: MAX_STRIKES,
        };
        let state = State { quarantine: Quarantine::new(limits), tracker: SuspectTracker::new() };
        Arc::new(Self { state: Mutex::new(state) })
    }

    /// Takes over the number of strikes after which a request is refused.
    pub(crate) fn set_limit(&self, strikes: u32) {
        self.lock().quarantine.set_strike_limit(strikes);
    }

    /// Starts a request; it counts as in progress until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns a refusal for a quarantined request and for a second copy of a suspect.
    pub(crate) fn start(
        self: &Arc<Self>,
        fingerprint: Digest,
        now_ms: u64,
    ) -> Result<InProgress, Refusal> {
        let mut state = self.lock();
        let admission = state.quarantine.admit(fingerprint, now_ms);
        if state.tracker.start(fingerprint, admission) {
            return Ok(InProgress { strikes: self.clone(), fingerprint });
        }
        Err(refusal(admission))
    }

    /// Decides how the next attempt of a started request may run.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request is quarantined, or suspected while other copies run.
    pub(crate) fn admit_attempt(&self, fingerprint: Digest, now_ms: u64) -> Result<bool, Refusal> {
        let state = self.lock();
        match state.quarantine.admit(fingerprint, now_ms) {
            Admission::Normal => Ok(false),
            Admission::Exclusive if state.tracker.in_progress(fingerprint) <= 1 => Ok(true),
            admission => Err(refusal(admission)),
        }
    }

    /// Returns the strikes against a request, which a submit carries.
    pub(crate) fn against(&self, fingerprint: Digest, now_ms: u64) -> Vec<Strike> {
        self.lock().quarantine.strikes_against(fingerprint, now_ms)
    }

    /// Clears a request that completed.
    pub(crate) fn complete(&self, fingerprint: Digest) {
        self.lock().quarantine.on_complete(fingerprint);
    }

    /// Takes in strikes that another process passed on.
    pub(crate) fn merge(&self, strikes: &[Strike], now_ms: u64) {
        if !strikes.is_empty() {
            self.lock().quarantine.merge(strikes, now_ms);
        }
    }

    /// Returns the strikes to pass on.
    pub(crate) fn recent(&self, now_ms: u64) -> Vec<Strike> {
        self.lock().quarantine.recent_strikes(now_ms)
    }

    /// Forgets strikes that no longer count.
    pub(crate) fn expire(&self, now_ms: u64) {
        self.lock().quarantine.expire(now_ms);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in progress.
pub(crate) struct InProgress {
    strikes: Arc<Strikes>,
    fingerprint: Digest,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.strikes.lock().tracker.finish(self.fingerprint);
    }
}

fn refusal(admission: Admission) -> Refusal {
    match admission {
        Admission::Refused => Refusal::not_run(Reason::Quarantined, QUARANTINED_RETRY_AFTER_MS),
        Admission::Exclusive | Admission::Normal => {
            Refusal::not_run(Reason::Busy, SUSPECT_RETRY_AFTER_MS)
        }
    }
}
