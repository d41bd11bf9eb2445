//! Whether beliefs may be old because the process did not run for a while.
//!
//! A process that was frozen wakes up with the lists of the time before and with requests that waited
//! in its sockets. It reads the lists again before it sends anything, unless the platform takes too
//! long: old beliefs serve callers better than none.

use crate::drain::{Freshness, FreshnessSettings};

/// Longest time without a sign of life of the own process that is no pause, in milliseconds. Rounds of
/// housekeeping come every 25; an entry short of processor time misses some tenths of a second.
const PAUSE_LIMIT_MS: u64 = 1_000;
/// Longest time for which requests wait for fresh lists, in milliseconds: two answers of a slow store.
const HOLD_LIMIT_MS: u64 = 500;

/// What is read again after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformData {
    /// Routes, customers and services.
    Configuration,
    /// Upstreams.
    Upstreams,
    /// Data centres that receive no work.
    Evacuations,
}

/// Number of beliefs.
const BELIEFS: usize = 3;

/// Whether each belief has been read again since the last pause.
#[derive(Debug)]
pub struct PlatformDataFreshness {
    /// One for each belief, in the order of their declaration.
    each: [Freshness; BELIEFS],
}

impl PlatformDataFreshness {
    /// Creates the state of a process that begins to run.
    pub fn new(now_ms: u64) -> Self {
        let settings = FreshnessSettings {
            pause_limit_ms: PAUSE_LIMIT_MS,
            confirmation_grace_ms: HOLD_LIMIT_MS,
        };
        Self { each: [(); BELIEFS].map(|()| Freshness::new(settings, now_ms)) }
    }

    /// Notes that the process runs; returns the length of the pause that has just ended, if there was
    /// one, in milliseconds.
    ///
    /// `now_ms` has to count the time for which the whole instance was suspended.
    pub fn tick(&mut self, now_ms: u64) -> Option<u64> {
        let mut pause_ms = None;
        for freshness in &mut self.each {
            pause_ms = freshness.tick(now_ms);
        }
        pause_ms
    }

    /// Notes that a belief was read as a whole from the platform.
    pub fn mark_refreshed(&mut self, belief: PlatformData, now_ms: u64) {
        self.each[belief as usize].confirm(now_ms, 0);
    }

    /// Tells whether requests have to wait for fresh beliefs.
    pub fn must_hold_requests(&mut self, now_ms: u64) -> bool {
        self.each.iter_mut().any(|it| !it.is_trusted(now_ms))
    }
}

#[cfg(test)]
mod tests;
