//! One entry's part of the retries that all entries may send to a service.
//!
//! The users bound retries per service and window: a part of the requests of the window, and a fixed
//! number for all entries together. Each entry spends its part of its own requests and its share of
//! the fixed number, so that the sum keeps the bound without any exchange.

use std::sync::Arc;

use crate::FastMap;

/// Part of the bound that is used; the rest covers requests that entries count differently.
const USED_PART: f64 = 0.75;

/// Bound on retries for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries for each request of the window.
    pub ratio: f64,
    /// Retries beyond that in each window, for all entries.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Window {
    /// Times of requests in the window, in milliseconds.
    requests: Vec<u64>,
    retries: Vec<u64>,
}

/// Counts the requests and retries of one entry.
#[derive(Debug)]
pub struct RetryShare {
    limit: RetryLimit,
    services: FastMap<Arc<str>, Window>,
}

impl RetryShare {
    /// Creates a share that has seen nothing.
    pub fn new(limit: RetryLimit) -> Self {
        Self { limit, services: FastMap::default() }
    }

    /// Replaces the bound.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&mut self, service: &Arc<str>, now_ms: u64) {
        let window_ms = self.limit.window_ms;
        let window = self.services.entry(service.clone()).or_default();
        window.forget_old(now_ms, window_ms);
        window.requests.push(now_ms);
    }

    /// Counts a retry and returns whether it may be sent, with `entries` sharing the bound.
    pub fn take(&mut self, service: &Arc<str>, entries: usize, now_ms: u64) -> bool {
        let limit = self.limit;
        let window = self.services.entry(service.clone()).or_default();
        window.forget_old(now_ms, limit.window_ms);
        let share = limit.slack / entries.max(1) as f64;
        let allowed = USED_PART * (limit.ratio * window.requests.len() as f64 + share);
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push(now_ms);
        true
    }
}

impl Window {
    fn forget_old(&mut self, now_ms: u64, window_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(window_ms);
        self.requests.retain(|it| *it >= oldest_ms);
        self.retries.retain(|it| *it >= oldest_ms);
    }
}

#[cfg(test)]
mod tests;
