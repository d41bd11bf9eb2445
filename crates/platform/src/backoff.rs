//! Delays between calls while the platform is not available.

use std::time::Duration;

/// Limits of the delay between failed calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Longest delay after the first failure, in milliseconds.
    pub first_ms: u64,
    /// Longest delay after any failure, in milliseconds.
    pub max_ms: u64,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self { first_ms: 100, max_ms: 5_000 }
    }
}

/// Delay that doubles with each failure in a row.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    next_ms: u64,
}

impl Backoff {
    /// Creates a backoff that has seen no failure.
    pub fn new(settings: BackoffSettings) -> Self {
        Self { settings, next_ms: settings.first_ms }
    }

    /// Returns the delay after one more failure.
    ///
    /// The delay lies between half of its limit and the limit, placed by `jitter` between 0 and 1,
    /// so that many processes do not return at the same moment. It is never shorter than
    /// `retry_after_ms`.
    pub fn fail(&mut self, retry_after_ms: Option<u64>, jitter: f64) -> Duration {
        let limit_ms = self.next_ms.min(self.settings.max_ms);
        self.next_ms = limit_ms.saturating_mul(2);
        let floor = Duration::from_millis(retry_after_ms.unwrap_or(0));
        let delay = Duration::from_millis(limit_ms).mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0));
        delay.max(floor)
    }

    /// Forgets the failures after a success.
    pub fn reset(&mut self) {
        self.next_ms = self.settings.first_ms;
    }
}
