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
//!
//! # Parts of prompts
//!
//! A part of a prompt may crash every upstream that begins to answer a request with it, whatever else
//! the request holds. No two of these requests need be alike, so each part that several requests may
//! share gets strikes of its own. Only a request that had not begun to be answered gives them, see
//! [`SOUND_EVENTS`], which leaves out most of those that only shared the upstream. A request that was
//! answered shows that all its parts are sound: their strikes before that time no longer count.
//!
//! The requests with a deadly part may have all their other parts in common as well, and share these with
//! sound requests. Parts with the same strikes explain the same crashes, so a request is refused for a
//! part only if it has all parts that explain its crashes. A request that lacks one of them runs; if it
//! is answered, its parts are sound, and if not, they have one crash more than the one that it lacks.
//! Each part that the first requests had in common can thus cost one more upstream.
//!
//! Once the strikes of a part that alone explained its crashes have expired, a single crash is enough to
//! refuse it again.

mod parts;
mod record;

use crate::{
    FastMap,
    ids::{Digest, Incarnation},
    quarantine::{Admission, Quarantine, QuarantineLimits, Strike},
    switch::MechanismSwitch,
};

pub use self::{
    parts::{PartVerdict, SOUND_EVENTS},
    record::{
        CrashRecord, Moment, RecordCall, RecordOutcome, RecordedCrash, RecordedSuspect, SuspectKind,
    },
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

/// Crashes and completions of requests, and of the parts of their prompts, as known to one entry.
#[derive(Clone, Debug)]
pub struct CrashTracker {
    quarantine: Quarantine,
    /// Time of the last completion of each request, in milliseconds.
    completed_ms_by_request: FastMap<RequestHash, u64>,
    parts: parts::PartHistory,
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
    /// Strikes against parts of prompts are not recorded.
    PartStrikes,
    /// An answered request does not show that its parts are sound.
    SoundParts,
    /// Crashes that were recorded before the start are ignored.
    Restore,
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
            parts: parts::PartHistory::default(),
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

    /// Returns whether crashes count against a request.
    pub fn has_strikes(&self, fingerprint: Digest, now_ms: u64) -> bool {
        self.quarantine.strike_count(fingerprint, now_ms) > 0
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
        if self.mechanisms.is_disabled(CrashSabotage::Merge) {
            return;
        }
        for &strike in strikes {
            let crashed_ms = now_ms.saturating_sub(strike.age_ms);
            let cleared =
                strike.cleared || self.parts.was_sound_since(strike.fingerprint, crashed_ms);
            self.quarantine.merge(&[Strike { cleared, ..strike }], now_ms);
        }
    }

    /// Returns the strikes to send to other entries, newest first.
    pub fn recent_strikes(&self, now_ms: u64) -> Vec<Strike> {
        self.quarantine.recent_strikes(now_ms)
    }

    /// Removes what has expired.
    pub fn expire(&mut self, now_ms: u64) {
        self.quarantine.expire(now_ms);
        self.parts.expire(now_ms);
    }
}

#[cfg(test)]
mod tests;
