//! Exponential backoff with jitter for failed calls.

use std::time::Duration;

/// Settings of a [`Backoff`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Maximum delay after the first failure, in milliseconds.
    pub first_ms: u64,
    /// Maximum delay after any failure, in milliseconds.
    pub max_ms: u64,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self { first_ms: 100, max_ms: 5_000 }
    }
}

/// Delay that doubles with each consecutive failure.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    next_limit_ms: u64,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub fn new(settings: BackoffSettings) -> Self {
        Self { settings, next_limit_ms: settings.first_ms }
    }

    /// Records a failure and returns the delay before the next call.
    ///
    /// The delay lies between half of the current limit (`jitter` 0) and the limit (`jitter` 1), so
    /// that many processes do not retry at the same moment. It is never shorter than
    /// `retry_after_ms`.
    pub fn fail(&mut self, retry_after_ms: Option<u64>, jitter: f64) -> Duration {
        let limit_ms = self.next_limit_ms.min(self.settings.max_ms);
        self.next_limit_ms = limit_ms.saturating_mul(2);
        let floor = Duration::from_millis(retry_after_ms.unwrap_or(0));
        let delay = Duration::from_millis(limit_ms).mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0));
        delay.max(floor)
    }

    /// Resets the delay after a success.
    pub fn reset(&mut self) {
        self.next_limit_ms = self.settings.first_ms;
    }
}
