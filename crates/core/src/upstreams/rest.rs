//! Rest that an upstream asks for when it rejects a call.

use derive_more::Display;

/// Longest rest that is granted, in milliseconds.
const MAX_REST_MS: u64 = 300_000;
/// Rest that is granted for a value that can't be read, in milliseconds.
const DEFAULT_REST_MS: u64 = 1_000;
/// Time after a rest in which the calls in progress rise to the number of slots, in milliseconds.
const RAMP_MS: u64 = 1_000;

/// How the time for which an upstream wants no calls was understood.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum RestRequest {
    /// As stated.
    Stated,
    /// Shortened to the longest rest that is granted.
    Shortened,
    /// Replaced by the default, because the value is negative or not a number.
    Replaced,
}

/// Rest of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rest {
    until_ms: u64,
}

impl Rest {
    /// Extends the rest to `seconds` from now.
    pub(crate) fn extend(&mut self, seconds: f64, now_ms: u64) -> RestRequest {
        let (rest_ms, request) = if seconds.is_nan() || seconds < 0.0 {
            (DEFAULT_REST_MS, RestRequest::Replaced)
        } else if seconds * 1_000.0 > MAX_REST_MS as f64 {
            (MAX_REST_MS, RestRequest::Shortened)
        } else {
            ((seconds * 1_000.0).ceil() as u64, RestRequest::Stated)
        };
        self.until_ms = self.until_ms.max(now_ms + rest_ms);
        request
    }

    /// Returns the remaining time of the rest, in milliseconds; 0 if it has ended.
    pub(crate) fn remaining_ms(self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms)
    }

    /// Returns how many calls may be in progress at an upstream with this many slots.
    ///
    /// All entries return at the same time, so each raises its calls step by step.
    pub(crate) fn max_in_flight(self, slots: u32, now_ms: u64) -> u32 {
        if self.until_ms == 0 {
            return u32::MAX;
        }
        if now_ms < self.until_ms {
            return 0;
        }
        let since_ms = now_ms - self.until_ms;
        if since_ms >= RAMP_MS {
            return u32::MAX;
        }
        (u64::from(slots) * since_ms / RAMP_MS).max(1) as u32
    }
}

#[cfg(test)]
mod tests;
