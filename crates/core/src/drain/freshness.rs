//! Age of the control state and detection of process pauses.

use super::Sabotage;
use crate::switch::MechanismSwitch;

/// Longest gap between two ticks that does not count as a pause, in milliseconds.
const PAUSE_LIMIT_MS: u64 = 500;

/// Time after a pause for which the process waits for a confirmation, in milliseconds.
const CONFIRMATION_GRACE_MS: u64 = 2_000;

/// Limits of pause detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessSettings {
    /// Longest gap between two ticks that does not count as a pause, in milliseconds.
    pub pause_limit_ms: u64,
    /// Time after a pause for which the process waits for a confirmation, in milliseconds. It has
    /// to cover the rounds in which control state spreads.
    pub confirmation_grace_ms: u64,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        Self { pause_limit_ms: PAUSE_LIMIT_MS, confirmation_grace_ms: CONFIRMATION_GRACE_MS }
    }
}

/// Tracks how old the control state of a process may be.
///
/// Times are those of a monotonic clock that goes on while the process is paused. On machines that
/// may be suspended as a whole this has to be the boot-time clock.
#[derive(Clone, Debug)]
pub struct Freshness {
    settings: FreshnessSettings,
    last_tick_ms: u64,
    /// End of the last pause, until the control state is confirmed as of a later time.
    woke_ms: Option<u64>,
    /// Latest time for which it is known that the control state held then was the newest.
    known_as_of_ms: Option<u64>,
    switch: MechanismSwitch<Sabotage>,
}

impl Freshness {
    /// Creates the tracker of a process that starts at `now_ms`.
    pub fn new(settings: FreshnessSettings, now_ms: u64) -> Self {
        Self {
            settings,
            last_tick_ms: now_ms,
            woke_ms: None,
            known_as_of_ms: None,
            switch: MechanismSwitch::new(),
        }
    }

    /// Turns one mechanism off.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.switch.disable(mechanism);
    }

    /// Notes that the process runs; called several times within the pause limit.
    ///
    /// Returns the length of the pause if the process was paused since the last tick, in
    /// milliseconds; it then asks its peers at once.
    pub fn tick(&mut self, now_ms: u64) -> Option<u64> {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = self.last_tick_ms.max(now_ms);
        if gap_ms <= self.settings.pause_limit_ms
            || self.switch.is_disabled(Sabotage::PauseDetection)
        {
            return None;
        }
        self.woke_ms = Some(now_ms);
        Some(gap_ms)
    }

    /// Notes an answer after whose adoption the process holds all that the answering side holds.
    ///
    /// `sent_ms` is the time before the question was sent. `age_ms` is the age that the answering
    /// peer stated for its own control state, and zero for the platform.
    pub fn confirm(&mut self, sent_ms: u64, age_ms: u64) {
        let age_ms = match self.switch.is_disabled(Sabotage::ConfirmationAge) {
            true => 0,
            false => age_ms,
        };
        let Some(as_of_ms) = sent_ms.checked_sub(age_ms) else {
            return;
        };
        self.known_as_of_ms = self.known_as_of_ms.max(Some(as_of_ms));
        if self.woke_ms.is_some_and(|woke_ms| as_of_ms >= woke_ms) {
            self.woke_ms = None;
        }
    }

    /// Upper bound on the age of the control state, in milliseconds; none if it was never
    /// confirmed.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.known_as_of_ms.map(|it| now_ms.saturating_sub(it))
    }

    /// Tells whether the process waits for a confirmation after a pause.
    pub fn awaits_confirmation(&self) -> bool {
        self.woke_ms.is_some()
    }

    /// Tells whether the process may act on its control state.
    ///
    /// After a pause that needs a confirmation. Where none comes, because neither the platform nor
    /// a peer with recent knowledge can be reached, the process goes on after the grace.
    pub fn is_trusted(&mut self, now_ms: u64) -> bool {
        self.tick(now_ms);
        let Some(woke_ms) = self.woke_ms else {
            return true;
        };
        if now_ms.saturating_sub(woke_ms) < self.settings.confirmation_grace_ms {
            return false;
        }
        self.woke_ms = None;
        true
    }
}
