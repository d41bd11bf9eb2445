//! Whether beliefs may be old because the process did not run for a while.
//!
//! A process that was frozen wakes up with the lists of the time before and with requests that waited
//! in its sockets. It reads the lists again before it sends anything, unless the platform takes too
//! long: old beliefs serve callers better than none.

use crate::FastSet;

/// Time without a sign of life of the own process that counts as a pause, in milliseconds. Rounds of
/// housekeeping come every 25; an entry short of processor time misses some tenths of a second.
const MIN_PAUSE_MS: u64 = 1_000;
/// Longest time for which requests wait for fresh lists, in milliseconds: two answers of a slow store.
const HOLD_LIMIT_MS: u64 = 500;

/// What is read again after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Belief {
    /// Routes, customers and services.
    Configuration,
    /// Upstreams.
    Upstreams,
    /// Data centres that receive no work.
    Evacuations,
}

const ALL: [Belief; 3] = [Belief::Configuration, Belief::Upstreams, Belief::Evacuations];

/// What a sign of life of the own process showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Its length, in milliseconds.
    pub length_ms: u64,
}

/// Beliefs that have not been read again since the last pause.
#[derive(Debug)]
pub struct Freshness {
    last_sign_ms: u64,
    woke_ms: u64,
    old: FastSet<Belief>,
}

impl Freshness {
    /// Creates the state of a process that begins to run.
    pub fn new(now_ms: u64) -> Self {
        Self { last_sign_ms: now_ms, woke_ms: now_ms, old: FastSet::default() }
    }

    /// Notes that the process runs; returns the pause that has just ended, if there was one.
    ///
    /// `now_ms` has to count the time for which the whole instance was suspended.
    pub fn note_sign(&mut self, now_ms: u64) -> Option<Pause> {
        let length_ms = now_ms.saturating_sub(self.last_sign_ms);
        self.last_sign_ms = now_ms;
        if length_ms < MIN_PAUSE_MS {
            return None;
        }
        self.woke_ms = now_ms;
        self.old.extend(ALL);
        Some(Pause { length_ms })
    }

    /// Notes that a belief was read as a whole from the platform.
    pub fn renew(&mut self, belief: Belief) {
        self.old.remove(&belief);
    }

    /// Tells whether requests have to wait for fresh beliefs.
    pub fn has_to_wait(&self, now_ms: u64) -> bool {
        !self.old.is_empty() && now_ms < self.woke_ms + HOLD_LIMIT_MS
    }
}

#[cfg(test)]
mod tests;
