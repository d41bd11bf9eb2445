//! Quarantine at entries whose upstreams have no agent.
//!
//! An entry sees only its own requests at an upstream, so it cannot tell whether a request was
//! alone there. It relies on the number of upstreams that crashed while running a request, and on
//! completions: a request that completed recently at this entry before the crash, or later at any
//! entry, is not the cause. Entries propagate strikes and their clearing to each other.
//!
//! # Bound on crashed upstreams
//!
//! A request that always crashes its upstream crashes [`CRASH_LIMIT`] of them, and one more for
//! each copy that is sent before the last strike has reached its entry.

use crate::{
    FastMap,
    ids::{Digest, Incarnation},
    quarantine::{Admission, Quarantine, QuarantineLimits, Strike},
    switch::MechanismSwitch,
};

/// Number of upstream crashes after which a request is refused: as many as the requirements on the
/// service allow.
pub const CRASH_LIMIT: u32 = 3;
/// Time for which a crash counts, in milliseconds; afterwards the request may run again.
const STRIKE_RETENTION_MS: u64 = 120_000;
/// Maximum number of strikes held; about as many as arise when the upstreams of one data centre
/// crash at once.
const MAX_STRIKES: usize = 1_024;
/// Time after a completion during which crashes are not attributed to the request, in milliseconds.
const COMPLETION_RETENTION_MS: u64 = 60_000;
/// Maximum number of completions held, for the requests of one minute at one entry.
const MAX_COMPLETIONS: usize = 4_096;

/// Cheap hash of a request, by which completions are recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestHash(pub u64);

/// Crashes and completions of requests, as known to one entry.
#[derive(Clone, Debug)]
pub struct CrashTracker {
    quarantine: Quarantine,
    /// Time of the last completion of each request, in milliseconds.
    completed_ms_by_request: FastMap<RequestHash, u64>,
    mechanisms: MechanismSwitch<CrashSabotage>,
}

/// Mechanism that a test disables to show that its oracle detects the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashSabotage {
    /// Strikes of other entries are ignored.
    Merge,
    /// A completion before a crash has no effect.
    EarlierCompletion,
    /// A completion after a crash has no effect.
    LaterCompletion,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl CrashTracker {
    /// Creates a tracker without crashes and completions.
    pub fn new() -> Self {
        let limits = QuarantineLimits {
            strikes: CRASH_LIMIT,
            retention_ms: STRIKE_RETENTION_MS,
            max_strikes: MAX_STRIKES,
        };
        Self {
            quarantine: Quarantine::new(limits),
            completed_ms_by_request: FastMap::default(),
            mechanisms: MechanismSwitch::new(),
        }
    }

    /// Disables one mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, sabotage: CrashSabotage) {
        self.mechanisms.disable(sabotage);
    }

    /// Returns whether no strikes are held, so that no request needs its digest computed.
    pub fn is_empty(&self) -> bool {
        self.quarantine.is_empty()
    }

    /// Returns whether a request must not run because too many upstreams crashed while running it.
    pub fn is_refused(&self, fingerprint: Digest, now_ms: u64) -> bool {
        self.quarantine.admit(fingerprint, now_ms) == Admission::Refused
    }

    /// Records that the upstream incarnation `upstream` crashed while running a request; returns
    /// whether the crash counts against the request.
    pub fn on_crash(
        &mut self,
        upstream: Incarnation,
        fingerprint: Digest,
        request: RequestHash,
        now_ms: u64,
    ) -> bool {
        let completed_ms = self.completed_ms_by_request.get(&request).copied();
        let has_completed = completed_ms.is_some_and(|it| now_ms < it + COMPLETION_RETENTION_MS);
        if has_completed && !self.mechanisms.is_disabled(CrashSabotage::EarlierCompletion) {
            return false;
        }
        // An incarnation of an upstream crashes only once.
        !self.quarantine.on_crash(upstream, 1, &[fingerprint], now_ms).is_empty()
    }

    /// Records that a request completed; `fingerprint` is only called while strikes are held.
    pub fn on_complete(
        &mut self,
        request: RequestHash,
        fingerprint: impl FnOnce() -> Digest,
        now_ms: u64,
    ) {
        if self.completed_ms_by_request.len() >= MAX_COMPLETIONS {
            self.completed_ms_by_request.retain(|_, it| now_ms < *it + COMPLETION_RETENTION_MS);
        }
        if self.completed_ms_by_request.len() < MAX_COMPLETIONS {
            self.completed_ms_by_request.insert(request, now_ms);
        }
        if !self.is_empty() && !self.mechanisms.is_disabled(CrashSabotage::LaterCompletion) {
            self.quarantine.on_complete(fingerprint());
        }
    }

    /// Merges strikes received from another entry.
    pub fn merge(&mut self, strikes: &[Strike], now_ms: u64) {
        if !self.mechanisms.is_disabled(CrashSabotage::Merge) {
            self.quarantine.merge(strikes, now_ms);
        }
    }

    /// Returns the strikes to send to other entries, newest first.
    pub fn recent_strikes(&self, now_ms: u64) -> Vec<Strike> {
        self.quarantine.recent_strikes(now_ms)
    }

    /// Removes expired strikes.
    pub fn expire(&mut self, now_ms: u64) {
        self.quarantine.expire(now_ms);
    }
}

#[cfg(test)]
mod tests;
