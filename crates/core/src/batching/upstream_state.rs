//! What the queue knows of one stage upstream.

use std::sync::Arc;

use crate::{stage_graph::ResultHandle, upstreams::UpstreamKey};

/// Part of a new observation in the moving average of the pace.
const PACE_WEIGHT: f64 = 0.5;
/// Time in which the pace returns half of the way to normal, in milliseconds.
const PACE_HALF_LIFE_MS: f64 = 4_000.0;
/// Largest pace that is remembered.
const MAX_PACE: f64 = 20.0;
/// First pause after a failed call, in milliseconds; doubles with each failure in a row.
const FIRST_PAUSE_MS: u64 = 200;
/// Longest pause after failed calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_000;

/// An upstream that may be called now.
#[derive(Clone, Debug)]
pub struct AvailableUpstream {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Data centre that the upstream stands in.
    pub data_centre: Arc<str>,
}

#[derive(Clone, Debug)]
struct HeldResult {
    handle: ResultHandle,
    bytes: u64,
    expires_ms: u64,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    /// Calls in progress.
    pub(crate) calls: u32,
    /// Time at which the last call is expected to end, in milliseconds.
    pub(crate) busy_until_ms: f64,
    /// Bytes that results of calls in progress will need.
    pub(crate) reserved_bytes: u64,
    held: Vec<HeldResult>,
    pace: f64,
    pace_at_ms: u64,
    failures: u32,
    /// No call goes there before this time, in milliseconds.
    pub(crate) paused_until_ms: u64,
}

impl UpstreamState {
    pub(crate) fn new() -> Self {
        Self {
            calls: 0,
            busy_until_ms: 0.0,
            reserved_bytes: 0,
            held: Vec::new(),
            pace: 1.0,
            pace_at_ms: 0,
            failures: 0,
            paused_until_ms: 0,
        }
    }

    pub(crate) fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Returns how many times longer than stated a call takes.
    pub(crate) fn pace(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.pace_at_ms) as f64;
        1.0 + (self.pace - 1.0) * 0.5_f64.powf(age_ms / PACE_HALF_LIFE_MS)
    }

    pub(crate) fn note_success(&mut self, took_ms: f64, stated_ms: f64, now_ms: u64) {
        let observed = (took_ms / stated_ms.max(1.0)).clamp(1.0, MAX_PACE);
        let pace = self.pace(now_ms);
        self.pace = pace + PACE_WEIGHT * (observed - pace);
        self.pace_at_ms = now_ms;
        self.failures = 0;
    }

    pub(crate) fn note_failure(&mut self, now_ms: u64) {
        let pause_ms = (FIRST_PAUSE_MS << self.failures.min(8)).min(MAX_PAUSE_MS);
        self.failures += 1;
        self.paused_until_ms = now_ms + pause_ms;
    }

    pub(crate) fn pause(&mut self, until_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(until_ms);
    }

    pub(crate) fn hold(&mut self, handle: ResultHandle, bytes: u64, expires_ms: u64) {
        self.held.push(HeldResult { handle, bytes, expires_ms });
    }

    pub(crate) fn release(&mut self, handle: &str) -> bool {
        let before = self.held.len();
        self.held.retain(|it| it.handle != handle);
        self.held.len() != before
    }

    pub(crate) fn free_bytes(&mut self, room_bytes: u64, now_ms: u64) -> u64 {
        self.held.retain(|it| it.expires_ms > now_ms);
        let held: u64 = self.held.iter().map(|it| it.bytes).sum();
        room_bytes.saturating_sub(held + self.reserved_bytes)
    }
}
