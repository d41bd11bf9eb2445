//! Requests that crash the upstreams running them, where no agent stands beside an upstream.
//!
//! An entry sees only its own requests at an upstream, so it cannot tell whether one ran alone. It
//! goes by the number of upstreams that crashed while they ran a request, and by what completes: a
//! request that has completed lately, here or later anywhere, did not crash them. Entries pass
//! strikes and their clearing on to each other.
//!
//! # Bound on lost upstreams
//!
//! A request that always crashes its upstream takes down [`CRASH_LIMIT`] of them, and one more for each
//! copy that is sent before the last strike has reached its entry.

use crate::{
    FastMap,
    ids::{Digest, Incarnation},
    quarantine::{Admission, Quarantine, QuarantineLimits, Strike},
    switch::Switch,
};

/// Upstreams that crashed with a request before it is refused, as the users' rules allow.
pub const CRASH_LIMIT: u32 = 3;
/// Time for which a crash counts, in milliseconds; later the request gets another chance.
const RETENTION_MS: u64 = 120_000;
/// Largest number of strikes held, about those of one zone's upstreams that crash at once.
const MAX_STRIKES: usize = 1_024;
/// Time for which a completion speaks for a request, in milliseconds.
const COMPLETED_MS: u64 = 60_000;
/// Largest number of completions held, for the requests of a minute at one entry.
const MAX_COMPLETED: usize = 4_096;

/// Cheap name of a request, by which completions are remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestHash(pub u64);

/// What one entry knows of requests and the upstreams that crashed with them.
#[derive(Clone, Debug)]
pub struct CrashTracker {
    quarantine: Quarantine,
    /// Time of the last completion of each request, in milliseconds.
    completed: FastMap<RequestHash, u64>,
    switch: Switch<CrashSabotage>,
}

/// A mechanism that a test turns off to show that its oracle notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashSabotage {
    /// Strikes of other entries are ignored.
    Merge,
    /// A completion before a crash says nothing.
    EarlierCompletion,
    /// A completion after a crash says nothing.
    LaterCompletion,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl CrashTracker {
    /// Creates the knowledge of an entry that has seen no crash.
    pub fn new() -> Self {
        let limits = QuarantineLimits {
            strikes: CRASH_LIMIT,
            retention_ms: RETENTION_MS,
            max_strikes: MAX_STRIKES,
        };
        Self {
            quarantine: Quarantine::new(limits),
            completed: FastMap::default(),
            switch: Switch::new(),
        }
    }

    /// Switches one mechanism off.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, sabotage: CrashSabotage) {
        self.switch.turn_off(sabotage);
    }

    /// Tells whether nothing is held against any request, so that none needs its digest.
    pub fn is_empty(&self) -> bool {
        self.quarantine.is_empty()
    }

    /// Tells whether a request must not run because it crashed too many upstreams.
    pub fn is_refused(&self, fingerprint: Digest, now_ms: u64) -> bool {
        self.quarantine.admit(fingerprint, now_ms) == Admission::Refused
    }

    /// Notes that the run `upstream` crashed while it ran a request; returns whether that counts.
    pub fn on_crash(
        &mut self,
        upstream: Incarnation,
        fingerprint: Digest,
        request: RequestHash,
        now_ms: u64,
    ) -> bool {
        let completed_ms = self.completed.get(&request).copied();
        let has_completed = completed_ms.is_some_and(|it| now_ms < it + COMPLETED_MS);
        if has_completed && !self.switch.is_off(CrashSabotage::EarlierCompletion) {
            return false;
        }
        // A run of an upstream crashes once.
        !self.quarantine.on_crash(upstream, 1, &[fingerprint], now_ms).is_empty()
    }

    /// Notes that a request completed; `fingerprint` is only needed while strikes are held.
    pub fn on_complete(
        &mut self,
        request: RequestHash,
        fingerprint: impl FnOnce() -> Digest,
        now_ms: u64,
    ) {
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.retain(|_, it| now_ms < *it + COMPLETED_MS);
        }
        if self.completed.len() < MAX_COMPLETED {
            self.completed.insert(request, now_ms);
        }
        if !self.is_empty() && !self.switch.is_off(CrashSabotage::LaterCompletion) {
            self.quarantine.on_complete(fingerprint());
        }
    }

    /// Takes in strikes that another entry passed on.
    pub fn merge(&mut self, strikes: &[Strike], now_ms: u64) {
        if !self.switch.is_off(CrashSabotage::Merge) {
            self.quarantine.merge(strikes, now_ms);
        }
    }

    /// Returns the strikes to pass on to other entries.
    pub fn recent_strikes(&self, now_ms: u64) -> Vec<Strike> {
        self.quarantine.recent_strikes(now_ms)
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now_ms: u64) {
        self.quarantine.expire(now_ms);
    }
}

#[cfg(test)]
mod tests;
