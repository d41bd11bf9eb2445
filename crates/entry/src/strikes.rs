//! Quarantine of requests during which upstreams crashed, and of the beginnings of their prompts.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use yuccatrail_core::{
    ids::Digest,
    outcome::{Reason, Refusal},
    quarantine::{
        Admission, CrashTracker, PartVerdict, Quarantine, QuarantineLimits, Strike, SuspectTracker,
    },
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
/// Retry-After of a request whose prompt prefix is quarantined, in milliseconds: the time for which
/// strikes against a prefix count.
const PREFIX_RETRY_AFTER_MS: u64 = 120_000;

/// Strikes known to the entry, and its requests in progress.
pub(crate) struct Strikes {
    state: Mutex<State>,
}

struct State {
    quarantine: Quarantine,
    tracker: SuspectTracker,
    /// Strikes against the prompt prefixes that requests share, beside those against requests.
    prefixes: CrashTracker,
}

impl Strikes {
    /// Creates a registry without strikes and requests.
    pub(crate) fn new() -> Arc<Self> {
        let limits = QuarantineLimits {
            strikes: DEFAULT_STRIKE_LIMIT,
            retention_ms: STRIKE_RETENTION_MS,
            max_strikes: MAX_STRIKES,
        };
        let state = State {
            quarantine: Quarantine::new(limits),
            tracker: SuspectTracker::new(),
            prefixes: CrashTracker::new(),
        };
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

    /// Decides about an attempt of a request by the strikes against the prefix of its prompt.
    ///
    /// # Errors
    ///
    /// Returns a refusal if requests with the prefix are quarantined, or if the prefix has strikes and
    /// an earlier attempt has failed.
    pub(crate) fn admit_prefix(
        &self,
        prefix: Option<Digest>,
        fingerprint: Digest,
        is_retry: bool,
        now_ms: u64,
    ) -> Result<(), Refusal> {
        let Some(prefix) = prefix else { return Ok(()) };
        match self.lock().prefixes.judge_parts(&[prefix], || fingerprint, now_ms) {
            PartVerdict::Refused => {
                Err(Refusal::not_run(Reason::Quarantined, PREFIX_RETRY_AFTER_MS))
            }
            PartVerdict::NoRetry if is_retry => Err(refusal_for(Admission::Exclusive)),
            _ => Ok(()),
        }
    }

    /// Counts the crashes against a request, whose output had not begun, against the prefix of its prompt
    /// too.
    pub(crate) fn strike_prefix(&self, prefix: Option<Digest>, fingerprint: Digest, now_ms: u64) {
        let Some(prefix) = prefix else { return };
        let mut state = self.lock();
        for strike in state.quarantine.strikes_against(fingerprint, now_ms) {
            state.prefixes.merge(&[Strike { fingerprint: prefix, ..strike }], now_ms);
        }
    }

    /// Records that an upstream completed a request with this prefix of its prompt.
    pub(crate) fn complete_prefix(&self, prefix: Option<Digest>, now_ms: u64) {
        if let Some(prefix) = prefix {
            self.lock().prefixes.on_parts_sound(&[prefix], now_ms);
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
            let mut state = self.lock();
            state.quarantine.merge(strikes, now_ms);
            state.prefixes.merge(strikes, now_ms);
        }
    }

    /// Returns the strikes to send to agents and other entries.
    pub(crate) fn recent(&self, now_ms: u64) -> Vec<Strike> {
        let state = self.lock();
        let mut strikes = state.quarantine.recent_strikes(now_ms);
        for strike in state.prefixes.recent_strikes(now_ms) {
            let is_same = |it: &Strike| {
                (it.fingerprint, it.agent, it.number)
                    == (strike.fingerprint, strike.agent, strike.number)
            };
            match strikes.iter_mut().find(|it| is_same(it)) {
                // Either registry may know that the strike no longer counts.
                Some(known) => known.cleared |= strike.cleared,
                None => strikes.push(strike),
            }
        }
        strikes
    }

    /// Removes expired strikes.
    pub(crate) fn expire(&self, now_ms: u64) {
        let mut state = self.lock();
        state.quarantine.expire(now_ms);
        state.prefixes.expire(now_ms);
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
