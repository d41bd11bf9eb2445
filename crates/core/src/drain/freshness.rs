//! Age of the control state, and detection of process pauses.

use super::Sabotage;
use crate::switch::MechanismSwitch;

/// Longest interval between two ticks that does not count as a pause, in milliseconds.
const PAUSE_LIMIT_MS: u64 = 500;

/// Time for which a process waits for a confirmation after a pause, in milliseconds.
const CONFIRMATION_GRACE_MS: u64 = 2_000;

/// Limits of pause detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessSettings {
    /// Longest interval between two ticks that does not count as a pause, in milliseconds.
    pub pause_limit_ms: u64,
    /// Time for which the process waits for a confirmation after a pause, in milliseconds. It must
    /// cover the exchanges by which control state propagates between processes.
    pub confirmation_grace_ms: u64,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        Self { pause_limit_ms: PAUSE_LIMIT_MS, confirmation_grace_ms: CONFIRMATION_GRACE_MS }
    }
}

/// Tracks the maximum age of a process's control state and detects pauses of the process.
///
/// Times come from a monotonic clock that keeps running while the process is paused. On instances
/// that may be suspended as a whole it must be the boot-time clock.
#[derive(Clone, Debug)]
pub struct Freshness {
    settings: FreshnessSettings,
    last_tick_ms: u64,
    /// End of the last pause; cleared once the control state is confirmed as of a later time.
    resumed_ms: Option<u64>,
    /// Latest time at which the control state is known to have been the newest.
    confirmed_as_of_ms: Option<u64>,
    mechanisms: MechanismSwitch<Sabotage>,
}

impl Freshness {
    /// Creates the tracker of a process that starts at `now_ms`.
    pub fn new(settings: FreshnessSettings, now_ms: u64) -> Self {
        Self {
            settings,
            last_tick_ms: now_ms,
            resumed_ms: None,
            confirmed_as_of_ms: None,
            mechanisms: MechanismSwitch::new(),
        }
    }

    /// Disables one safety mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.mechanisms.disable(mechanism);
    }

    /// Records that the process is running; must be called several times within the pause limit.
    ///
    /// If the process was paused since the last tick, returns the length of the pause in
    /// milliseconds; the caller then asks its peers for their control state immediately.
    pub fn tick(&mut self, now_ms: u64) -> Option<u64> {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = self.last_tick_ms.max(now_ms);
        if gap_ms <= self.settings.pause_limit_ms
            || self.mechanisms.is_disabled(Sabotage::PauseDetection)
        {
            return None;
        }
        self.resumed_ms = Some(now_ms);
        Some(gap_ms)
    }

    /// Records a reply after whose adoption the process holds everything that the sender of the
    /// reply holds.
    ///
    /// `sent_ms` is a time before the request was sent. `age_ms` is the age that the peer reported
    /// for its own control state, and zero if the platform replied.
    pub fn confirm(&mut self, sent_ms: u64, age_ms: u64) {
        let age_ms = match self.mechanisms.is_disabled(Sabotage::ConfirmationAge) {
            true => 0,
            false => age_ms,
        };
        let Some(as_of_ms) = sent_ms.checked_sub(age_ms) else {
            return;
        };
        self.confirmed_as_of_ms = self.confirmed_as_of_ms.max(Some(as_of_ms));
        if self.resumed_ms.is_some_and(|resumed_ms| as_of_ms >= resumed_ms) {
            self.resumed_ms = None;
        }
    }

    /// Returns an upper bound on the age of the control state, in milliseconds; `None` if it was
    /// never confirmed.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_as_of_ms.map(|it| now_ms.saturating_sub(it))
    }

    /// Tells whether the control state still has to be confirmed after a pause.
    pub fn awaits_confirmation(&self) -> bool {
        self.resumed_ms.is_some()
    }

    /// Tells whether the process may act on its control state.
    ///
    /// After a pause this requires a confirmation. If none arrives, because neither the platform
    /// nor a peer with recent control state can be reached, the process continues after the grace
    /// period.
    pub fn is_trusted(&mut self, now_ms: u64) -> bool {
        self.tick(now_ms);
        let Some(resumed_ms) = self.resumed_ms else {
            return true;
        };
        if now_ms.saturating_sub(resumed_ms) < self.settings.confirmation_grace_ms {
            return false;
        }
        self.resumed_ms = None;
        true
    }
}
