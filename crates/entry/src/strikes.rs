//! Quarantine of requests during which upstreams crashed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use yuccatrail_core::{
    ids::Digest,
    outcome::{Reason, Refusal},
    quarantine::{Admission, Quarantine, QuarantineLimits, Strike, SuspectTracker},
};

/// Time until a strike expires, in milliseconds.
const STRIKE_RETENTION_MS: u64 = 3_600_000;
/// Maximum number of strikes held.
const MAX_STRIKES: usize = 10_000;
/// Number of strikes from which on a request is refused, until a document sets another.
const DEFAULT_STRIKE_LIMIT: u32 = 2;
/// Retry-After for a copy of a suspect of which another copy is in progress, in milliseconds.
const SUSPECT_RETRY_AFTER_MS: u64 = 1_000;
/// Retry-After of a quarantined request, in milliseconds.
const QUARANTINED_RETRY_AFTER_MS: u64 = STRIKE_RETENTION_MS;

/// Strikes known to the entry, and its requests in progress.
pub(crate) struct Strikes {
    state: Mutex<State>,
}

struct State {
    quarantine: Quarantine,
    tracker: SuspectTracker,
}

impl Strikes {
    /// Creates a registry without strikes and requests.
    pub(crate) fn new() -> Arc<Self> {
        let limits = QuarantineLimits {
            strikes: DEFAULT_STRIKE_LIMIT,
            retention_ms: STRIKE_RETENTION_MS,
            max_strikes: MAX_STRIKES,
        };
        let state = State { quarantine: Quarantine::new(limits), tracker: SuspectTracker::new() };
        Arc::new(Self { state: Mutex::new(state) })
    }

    /// Sets the number of strikes from which on a request is refused.
    pub(crate) fn set_limit(&self, strikes: u32) {
        self.lock().quarantine.set_strike_limit(strikes);
    }

    /// Starts a request; it counts as in progress until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is quarantined, or if it is a suspect and another copy is
    /// in progress.
    pub(crate) fn start(
        self: &Arc<Self>,
        fingerprint: Digest,
        now_ms: u64,
    ) -> Result<InProgressGuard, Refusal> {
        let mut state = self.lock();
        let admission = state.quarantine.admit(fingerprint, now_ms);
        if state.tracker.start(fingerprint, admission) {
            return Ok(InProgressGuard { strikes: self.clone(), fingerprint });
        }
        Err(refusal_for(admission))
    }

    /// Returns whether the next attempt of a started request has to run exclusively.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is quarantined, or if it is a suspect and other copies are
    /// in progress.
    pub(crate) fn admit_attempt(&self, fingerprint: Digest, now_ms: u64) -> Result<bool, Refusal> {
        let state = self.lock();
        match state.quarantine.admit(fingerprint, now_ms) {
            Admission::Normal => Ok(false),
            Admission::Exclusive if state.tracker.in_progress(fingerprint) <= 1 => Ok(true),
            admission => Err(refusal_for(admission)),
        }
    }

    /// Returns the strikes that count against a request, to be sent with its submits.
    pub(crate) fn against(&self, fingerprint: Digest, now_ms: u64) -> Vec<Strike> {
        self.lock().quarantine.strikes_against(fingerprint, now_ms)
    }

    /// Clears the strikes of a request that an upstream completed.
    pub(crate) fn complete(&self, fingerprint: Digest) {
        self.lock().quarantine.on_complete(fingerprint);
    }

    /// Merges strikes received from an agent or another entry.
    pub(crate) fn merge(&self, strikes: &[Strike], now_ms: u64) {
        if !strikes.is_empty() {
            self.lock().quarantine.merge(strikes, now_ms);
        }
    }

    /// Returns the strikes to send to agents and other entries.
    pub(crate) fn recent(&self, now_ms: u64) -> Vec<Strike> {
        self.lock().quarantine.recent_strikes(now_ms)
    }

    /// Removes expired strikes.
    pub(crate) fn expire(&self, now_ms: u64) {
        self.lock().quarantine.expire(now_ms);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request as in progress until dropped.
pub(crate) struct InProgressGuard {
    strikes: Arc<Strikes>,
    fingerprint: Digest,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.strikes.lock().tracker.finish(self.fingerprint);
    }
}

fn refusal_for(admission: Admission) -> Refusal {
    match admission {
        Admission::Refused => Refusal::not_run(Reason::Quarantined, QUARANTINED_RETRY_AFTER_MS),
        Admission::Exclusive | Admission::Normal => {
            Refusal::not_run(Reason::Busy, SUSPECT_RETRY_AFTER_MS)
        }
    }
}
