//! Monotonic clock of the process.

use std::time::{Duration, Instant};

/// Monotonic clock in milliseconds since its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that shows zero now.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the clock's creation, in milliseconds.
    pub fn now_ms(self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the instant at which the clock shows `at_ms`.
    pub fn instant_at(self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
