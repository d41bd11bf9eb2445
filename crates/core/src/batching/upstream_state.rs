//! State that the queue keeps of each upstream: load, stored results, speed and backoff.

use std::{collections::VecDeque, sync::Arc};

use crate::{FastMap, stage_graph::ResultHandle, upstreams::UpstreamKey};

/// Weight of a new observation in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.5;
/// Time in which the slowdown decays halfway to 1, in milliseconds.
const SLOWDOWN_HALF_LIFE_MS: f64 = 4_000.0;
/// Limit to which an observed slowdown is clamped.
const MAX_SLOWDOWN: f64 = 20.0;
/// Backoff after a failed call, in milliseconds; doubles with each consecutive failure.
const INITIAL_BACKOFF_MS: u64 = 200;
/// Longest backoff after consecutive failures, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;

/// An upstream that may be called now.
#[derive(Clone, Debug)]
pub struct AvailableUpstream {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Data centre of the upstream.
    pub data_centre: Arc<str>,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    /// Calls in progress.
    pub(crate) calls: u32,
    /// Time at which the last call is expected to end, in milliseconds.
    pub(crate) busy_until_ms: f64,
    /// Memory that the results of calls in progress will need, in bytes.
    pub(crate) reserved_bytes: u64,
    /// Sizes of the stored results, in bytes.
    stored: FastMap<ResultHandle, u64>,
    stored_bytes: u64,
    /// Stored and released results with the time at which they expire, in this order.
    expiries: VecDeque<(u64, ResultHandle)>,
    slowdown: f64,
    slowdown_at_ms: u64,
    failures: u32,
    /// Time before which the upstream receives no call, in milliseconds.
    pub(crate) backoff_until_ms: u64,
}

impl UpstreamState {
    pub(crate) fn new() -> Self {
        Self {
            calls: 0,
            busy_until_ms: 0.0,
            reserved_bytes: 0,
            stored: FastMap::default(),
            stored_bytes: 0,
            expiries: VecDeque::new(),
            slowdown: 1.0,
            slowdown_at_ms: 0,
            failures: 0,
            backoff_until_ms: 0,
        }
    }

    pub(crate) fn is_backing_off(&self, now_ms: u64) -> bool {
        now_ms < self.backoff_until_ms
    }

    /// Returns the ratio of the actual to the nominal duration of a call; 1 when there is no recent
    /// observation.
    pub(crate) fn slowdown(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.slowdown_at_ms) as f64;
        1.0 + (self.slowdown - 1.0) * 0.5_f64.powf(age_ms / SLOWDOWN_HALF_LIFE_MS)
    }

    pub(crate) fn record_success(&mut self, took_ms: f64, nominal_ms: f64, now_ms: u64) {
        let observed = (took_ms / nominal_ms.max(1.0)).clamp(1.0, MAX_SLOWDOWN);
        let slowdown = self.slowdown(now_ms);
        self.slowdown = slowdown + SLOWDOWN_WEIGHT * (observed - slowdown);
        self.slowdown_at_ms = now_ms;
        self.failures = 0;
    }

    pub(crate) fn record_failure(&mut self, now_ms: u64) {
        let backoff_ms = (INITIAL_BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.backoff_until_ms = now_ms + backoff_ms;
    }

    pub(crate) fn back_off(&mut self, until_ms: u64) {
        self.backoff_until_ms = self.backoff_until_ms.max(until_ms);
    }

    /// Records a result that expires after those recorded before.
    pub(crate) fn store(&mut self, handle: ResultHandle, bytes: u64, expires_ms: u64) {
        self.stored_bytes += bytes;
        self.stored_bytes -= self.stored.insert(handle.clone(), bytes).unwrap_or(0);
        self.expiries.push_back((expires_ms, handle));
    }

    /// Forgets a result; returns whether it was stored.
    pub(crate) fn release(&mut self, handle: &str) -> bool {
        let Some(bytes) = self.stored.remove(handle) else { return false };
        self.stored_bytes -= bytes;
        true
    }

    pub(crate) fn free_bytes(&mut self, capacity_bytes: u64, now_ms: u64) -> u64 {
        while let Some((_, handle)) = self.expiries.pop_front_if(|it| it.0 <= now_ms) {
            self.release(&handle);
        }
        capacity_bytes.saturating_sub(self.stored_bytes + self.reserved_bytes)
    }
}
