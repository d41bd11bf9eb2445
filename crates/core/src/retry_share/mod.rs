//! One entry's share of the retry budget of a service.
//!
//! The retries to each service in each window are limited to a fraction of the requests in the window
//! plus a fixed number, for all entries together. Each entry may use that fraction of its own requests
//! and its share of the fixed number, so that the sum stays within the limit without coordination.
//!
//! The sum also has to hold while entries restart and while their views of each other are old. An entry
//! that starts again does not know what its earlier run has sent, so it uses no part of the fixed number
//! for one window. An entry that does not know the others uses none either. One that is told of fewer
//! entries than before divides by the larger number for one window, in which those that have left may
//! have used theirs.

use std::sync::Arc;

use derive_more::Display;

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

/// Why a request is sent to a further upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum RetryCause {
    /// The upstream failed, or its response was lost.
    Failed,
    /// The upstream has rejected the request.
    Rejected,
    /// The results of its stages were gone, and the stages have to run again.
    InputsGone,
    /// Its stream broke off and goes on elsewhere.
    Resumed,
}

/// Number of entries that share a limit, as known now and within the last window.
#[derive(Clone, Debug, Default)]
struct EntryCounts {
    /// Number that is known now; none before the list of entries has arrived.
    current: Option<usize>,
    /// Larger numbers that were known before, each with the time at which it was replaced, in
    /// milliseconds.
    former: Vec<(usize, u64)>,
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
    /// Time from which the share of the fixed number may be used, in milliseconds.
    slack_from_ms: u64,
    entries: EntryCounts,
    services: FastMap<Arc<str>, Window>,
}

impl RetryShare {
    /// Creates the share of an entry that starts at `now_ms`; `is_first_start` tells whether no earlier
    /// run of it can have sent retries.
    pub fn new(limit: RetryLimit, is_first_start: bool, now_ms: u64) -> Self {
        let slack_from_ms = if is_first_start { now_ms } else { now_ms + limit.window_ms };
        let (entries, services) = (EntryCounts::default(), FastMap::default());
        Self { limit, slack_from_ms, entries, services }
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

    /// Sets the number of entries that share the limit, this one included.
    pub fn set_entries(&mut self, entries: usize, now_ms: u64) {
        self.entries.set(entries, now_ms, self.limit.window_ms);
    }

    /// Counts a retry if it may be sent and returns whether it may.
    pub fn take(&mut self, service: &Arc<str>, now_ms: u64) -> bool {
        let limit = self.limit;
        let slack_share = match self.entries.largest(now_ms, limit.window_ms) {
            Some(entries) if self.slack_from_ms <= now_ms => limit.slack / entries.max(1) as f64,
            _ => 0.0,
        };
        let window = self.services.entry(service.clone()).or_default();
        window.evict_old(now_ms, limit.window_ms);
        let allowed = USED_FRACTION * (limit.ratio * window.requests.len() as f64 + slack_share);
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push(now_ms);
        true
    }
}

impl EntryCounts {
    fn set(&mut self, entries: usize, now_ms: u64, window_ms: u64) {
        self.former.retain(|(_, replaced_ms)| now_ms < replaced_ms + window_ms);
        if let Some(former) = self.current.replace(entries).filter(|it| *it > entries) {
            self.former.push((former, now_ms));
        }
    }

    /// Returns the largest number that was known in the last window; none if none is known.
    fn largest(&self, now_ms: u64, window_ms: u64) -> Option<usize> {
        let recent = self.former.iter().filter(|(_, it)| now_ms < it + window_ms);
        let former = recent.map(|(entries, _)| *entries).max();
        Some(self.current?.max(former.unwrap_or(0)))
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
