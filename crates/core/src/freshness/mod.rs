//! Detection of platform data that may be stale because the process was paused.
//!
//! A process that was frozen resumes with the lists from before the pause and with requests that
//! waited in its sockets. It reads the lists again before it sends anything, unless the platform takes
//! too long: stale lists serve callers better than none.

use crate::drain::{Freshness, FreshnessSettings};

/// Longest gap between two ticks that does not count as a pause, in milliseconds. Housekeeping ticks
/// every 25 ms; an entry short of CPU time may miss a few tenths of a second.
const PAUSE_LIMIT_MS: u64 = 1_000;
/// Longest time for which requests are held until the lists are read again, in milliseconds: two
/// responses of a slow platform store.
const HOLD_LIMIT_MS: u64 = 500;

/// Kind of platform data that is read again after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformData {
    /// Routes, customers and services.
    Configuration,
    /// Upstreams.
    Upstreams,
    /// Data centres that receive no work.
    Evacuations,
}

impl PlatformData {
    /// All kinds.
    pub const ALL: [Self; KINDS] = [Self::Configuration, Self::Upstreams, Self::Evacuations];
}

/// Number of kinds of platform data.
const KINDS: usize = 3;

/// Tracks whether each kind of platform data has been read again since the last pause.
#[derive(Debug)]
pub struct PlatformDataFreshness {
    /// One for each [`PlatformData`], in the order of declaration.
    each: [Freshness; KINDS],
}

impl PlatformDataFreshness {
    /// Creates the state of a process that starts at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        let settings = FreshnessSettings {
            pause_limit_ms: PAUSE_LIMIT_MS,
            confirmation_grace_ms: HOLD_LIMIT_MS,
        };
        Self { each: [(); KINDS].map(|()| Freshness::new(settings, now_ms)) }
    }

    /// Records that the process runs; returns the length of the pause that has just ended, if there
    /// was one, in milliseconds.
    ///
    /// `now_ms` has to include the time for which the whole instance was suspended.
    pub fn tick(&mut self, now_ms: u64) -> Option<u64> {
        let mut pause_ms = None;
        for freshness in &mut self.each {
            pause_ms = freshness.tick(now_ms);
        }
        pause_ms
    }

    /// Records that one kind of data was read in full from the platform.
    pub fn mark_refreshed(&mut self, data: PlatformData, now_ms: u64) {
        self.each[data as usize].confirm(now_ms, 0);
    }

    /// Tells whether requests have to wait until the platform data is read again.
    pub fn must_hold_requests(&mut self, now_ms: u64) -> bool {
        self.each.iter_mut().any(|it| !it.is_trusted(now_ms))
    }
}

#[cfg(test)]
mod tests;
