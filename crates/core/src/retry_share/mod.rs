//! One entry's share of the retry budget of a service.
//!
//! The retries to each service in each window are limited to a fraction of the requests in the window
//! plus a fixed number, for all entries together. Each entry may use that fraction of its own requests
//! and its share of the fixed number, so that the sum stays within the limit without coordination.

use std::sync::Arc;

use crate::FastMap;

/// Fraction of the budget that is used; the rest covers requests that entries count differently.
const USED_FRACTION: f64 = 0.75;

/// Limit on the retries to each service, for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries for each request in the window.
    pub ratio: f64,
    /// Additional retries in each window, for all entries together.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Window {
    /// Times of the requests in the window, in milliseconds.
    requests: Vec<u64>,
    /// Times of the retries in the window, in milliseconds.
    retries: Vec<u64>,
}

/// Sliding-window counters of the requests and retries of one entry, for each service.
#[derive(Debug)]
pub struct RetryShare {
    limit: RetryLimit,
    services: FastMap<Arc<str>, Window>,
}

impl RetryShare {
    /// Creates a share without requests and retries.
    pub fn new(limit: RetryLimit) -> Self {
        Self { limit, services: FastMap::default() }
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&mut self, service: &Arc<str>, now_ms: u64) {
        let window_ms = self.limit.window_ms;
        let window = self.services.entry(service.clone()).or_default();
        window.evict_old(now_ms, window_ms);
        window.requests.push(now_ms);
    }

    /// Counts a retry if it may be sent and returns whether it may, where `entries` entries share the
    /// limit.
    pub fn take(&mut self, service: &Arc<str>, entries: usize, now_ms: u64) -> bool {
        let limit = self.limit;
        let window = self.services.entry(service.clone()).or_default();
        window.evict_old(now_ms, limit.window_ms);
        let slack_share = limit.slack / entries.max(1) as f64;
        let allowed = USED_FRACTION * (limit.ratio * window.requests.len() as f64 + slack_share);
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push(now_ms);
        true
    }
}

impl Window {
    fn evict_old(&mut self, now_ms: u64, window_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(window_ms);
        self.requests.retain(|it| *it >= oldest_ms);
        self.retries.retain(|it| *it >= oldest_ms);
    }
}

#[cfg(test)]
mod tests;
