//! Status of one roll-out in the platform, and the next write of it.

use crate::rollout::RolloutState;

/// Time for which an own write or read is newer than a list with a lower revision, in milliseconds. A
/// lower revision after that is one of a restored platform.
const LIST_DELAY_MS: u64 = 1_500;
/// First delay of a repeated write, in milliseconds; doubles with each failure.
const FIRST_BACKOFF_MS: u64 = 100;
/// Longest delay of a repeated write, in milliseconds; with 1,600, five lost responses made a verdict three
/// seconds late.
const MAX_BACKOFF_MS: u64 = 400;
/// Time after which a write without an outcome counts as one with an unknown outcome, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 10_000;

/// What is known of the status in the platform.
#[derive(Debug)]
pub(crate) struct StatusWriter {
    /// Number of the revision on which the next write is conditional.
    pub(crate) revision: u64,
    /// State of the order in the platform.
    pub(crate) stored: Option<RolloutState>,
    pub(crate) needs_read: bool,
    /// Time at which a write or read told the revision.
    told_ms: Option<u64>,
    /// Revision and time of a write without an outcome.
    in_flight: Option<(u64, u64)>,
    retry_at_ms: u64,
    backoff_ms: u64,
}

impl StatusWriter {
    pub(crate) fn new(revision: u64, stored: Option<RolloutState>) -> Self {
        Self {
            revision,
            stored,
            needs_read: false,
            told_ms: None,
            in_flight: None,
            retry_at_ms: 0,
            backoff_ms: FIRST_BACKOFF_MS,
        }
    }

    /// Tells whether a listed object with `revision` is older than what a write or read has told.
    pub(crate) fn is_outdated(&self, revision: u64, now_ms: u64) -> bool {
        revision < self.revision && self.told_ms.is_some_and(|it| now_ms < it + LIST_DELAY_MS)
    }

    /// Returns whether a write of `wanted` can start now.
    pub(crate) fn can_write(&mut self, wanted: RolloutState, now_ms: u64) -> bool {
        if let Some((_, since_ms)) = self.in_flight {
            if now_ms < since_ms + WRITE_TIMEOUT_MS {
                return false;
            }
            self.end_unknown(now_ms);
        }
        self.stored != Some(wanted) && !self.needs_read && now_ms >= self.retry_at_ms
    }

    pub(crate) fn begin(&mut self, now_ms: u64) {
        self.in_flight = Some((self.revision, now_ms));
    }

    /// Ends the write that was conditional on `revision`; tells whether it was the one in flight.
    pub(crate) fn end(&mut self, revision: u64) -> bool {
        let is_own = self.in_flight.is_some_and(|it| it.0 == revision);
        if is_own {
            self.in_flight = None;
        }
        is_own
    }

    /// Takes over what a write or a read has told.
    pub(crate) fn record(&mut self, revision: u64, stored: Option<RolloutState>, now_ms: u64) {
        self.revision = revision;
        self.stored = stored;
        self.told_ms = Some(now_ms);
        self.needs_read = false;
    }

    /// Takes over a listed object.
    pub(crate) fn record_listed(&mut self, revision: u64, stored: Option<RolloutState>) {
        self.revision = revision;
        self.stored = stored;
    }

    pub(crate) fn reset_backoff(&mut self) {
        self.backoff_ms = FIRST_BACKOFF_MS;
        self.retry_at_ms = 0;
    }

    /// Records that a write may or may not have been executed.
    pub(crate) fn end_unknown(&mut self, now_ms: u64) {
        self.in_flight = None;
        self.needs_read = true;
        self.retry_at_ms = now_ms + self.backoff_ms;
        self.backoff_ms = (2 * self.backoff_ms).min(MAX_BACKOFF_MS);
    }
}
