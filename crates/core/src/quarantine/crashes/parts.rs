//! Parts of prompts that crash the upstreams which begin to answer a request with them.

use crate::{
    FastMap,
    ids::{Digest, Incarnation},
    quarantine::crashes::{CRASH_LIMIT, CrashSabotage, CrashTracker},
};

/// Number of whole events from which on a request has begun to be answered, so that its parts are sound.
pub const SOUND_EVENTS: u64 = 4;
/// Strikes from which on a request with the part is not sent to a second upstream after a crash.
const RETRY_LIMIT: u32 = 2;
/// Time in which all entries learn of a strike, in milliseconds; before that another part may turn out
/// to explain the same crashes.
const SETTLING_MS: u64 = 5_000;
/// Time for which it is known that a part was sound, in milliseconds.
const SOUND_RETENTION_MS: u64 = 60_000;
/// Maximum number of sound parts held.
const MAX_SOUND_PARTS: usize = 4_096;
/// Time for which a part that was refused is refused again after a single crash, in milliseconds.
const REFUSED_RETENTION_MS: u64 = 3_600_000;
/// Maximum number of parts held that were refused.
const MAX_REFUSED_PARTS: usize = 256;

/// What the strikes against the parts of a prompt allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartVerdict {
    /// No part has a strike.
    Clear,
    /// A part has a strike.
    Struck,
    /// A part has so many strikes that a request with it that crashed an upstream must not be sent to
    /// another one.
    NoRetry,
    /// A part has so many strikes that no request with it may be sent.
    Refused,
}

/// When parts were sound or refused.
#[derive(Clone, Debug, Default)]
pub(super) struct PartHistory {
    sound_ms: FastMap<Digest, u64>,
    /// Time at which each part was last known to be refused.
    pub(super) refused_ms: FastMap<Digest, u64>,
}

impl PartHistory {
    /// Tells whether a request with the part was answered at this entry at a time or later.
    pub(super) fn was_sound_since(&self, part: Digest, time_ms: u64) -> bool {
        self.sound_ms.get(&part).is_some_and(|it| *it >= time_ms)
    }

    /// Removes what has expired.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.sound_ms.retain(|_, it| now_ms < *it + SOUND_RETENTION_MS);
        self.refused_ms.retain(|_, it| now_ms < *it + REFUSED_RETENTION_MS);
    }

    /// Remembers a part that is refused beyond the time for which its strikes count.
    fn remember_refusal(&mut self, part: Digest, now_ms: u64) {
        if self.refused_ms.contains_key(&part) || self.refused_ms.len() < MAX_REFUSED_PARTS {
            self.refused_ms.insert(part, now_ms);
        }
    }
}

impl CrashTracker {
    /// Records that the upstream incarnation `upstream` crashed before it had answered a request with
    /// these parts.
    pub fn on_part_crash(&mut self, upstream: Incarnation, parts: &[Digest], now_ms: u64) {
        if self.mechanisms.is_disabled(CrashSabotage::PartStrikes) {
            return;
        }
        for &part in parts {
            self.quarantine.on_crash(upstream, 1, &[part], now_ms);
        }
    }

    /// Records that an upstream has begun to answer a request with these parts.
    pub fn on_parts_sound(&mut self, parts: &[Digest], now_ms: u64) {
        if self.mechanisms.is_disabled(CrashSabotage::SoundParts) {
            return;
        }
        for &part in parts {
            let is_known = self.parts.sound_ms.contains_key(&part);
            if is_known || self.parts.sound_ms.len() < MAX_SOUND_PARTS {
                self.parts.sound_ms.insert(part, now_ms);
            }
            self.parts.refused_ms.remove(&part);
            self.quarantine.on_complete(part);
        }
    }

    /// Decides about a request with these parts and this fingerprint, which is only called if a part has
    /// reached the limit.
    pub fn judge_parts(
        &mut self,
        parts: &[Digest],
        fingerprint: impl FnOnce() -> Digest,
        now_ms: u64,
    ) -> PartVerdict {
        let mut suspected = Vec::new();
        let mut most_strikes = 0;
        for &part in parts {
            let strikes = self.quarantine.strike_count(part, now_ms);
            most_strikes = most_strikes.max(strikes);
            if strikes > 0 && self.parts.refused_ms.contains_key(&part) {
                self.parts.remember_refusal(part, now_ms);
                return PartVerdict::Refused;
            }
            if strikes >= CRASH_LIMIT {
                suspected.push(part);
            }
        }
        if !suspected.is_empty() {
            let fingerprint = fingerprint();
            for part in suspected {
                let equal_suspects = self.quarantine.equal_suspects(part, now_ms);
                let has_settled = self.quarantine.has_settled(part, SETTLING_MS, now_ms);
                if equal_suspects.is_empty() && has_settled {
                    self.parts.remember_refusal(part, now_ms);
                }
                if equal_suspects.iter().all(|it| parts.contains(it) || *it == fingerprint) {
                    return PartVerdict::Refused;
                }
            }
        }
        match most_strikes {
            0 => PartVerdict::Clear,
            RETRY_LIMIT.. => PartVerdict::NoRetry,
            _ => PartVerdict::Struck,
        }
    }
}
