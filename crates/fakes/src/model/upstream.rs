//! Simulated upstream: slowdown by concurrent calls, cold start and crash under overload.

use crate::model::{US_PER_MS, US_PER_S, fleet::PoolSpec};

/// Time for which an upstream refuses connections while it restarts.
const RESTART_US: u64 = 3 * US_PER_S;

/// Time for which an upstream is cold after it accepts connections again.
const COLD_US: u64 = 6 * US_PER_S;

/// Factor on the duration of calls on a cold upstream.
const COLD_FACTOR: f64 = 3.0;

/// Result of starting a call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum StartResult {
    /// The call runs for `run_us`.
    Started { run_us: u64 },
    /// The connection was refused.
    Refused,
    /// A cold upstream got more calls than it can bear and crashed; `lost` holds its calls.
    Overloaded { lost: Vec<usize> },
}

/// A simulated upstream; calls are identified by the indices of their attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstream {
    pub(crate) boot_id: u64,
    /// Factor on the duration of all calls.
    pub(crate) slow_factor: f64,
    pub(crate) running: Vec<usize>,
    down_until_us: u64,
    cold_until_us: u64,
}

impl Upstream {
    pub(crate) fn new() -> Self {
        Self { slow_factor: 1.0, ..Self::default() }
    }

    pub(crate) fn is_down(&self, now_us: u64) -> bool {
        now_us < self.down_until_us
    }

    pub(crate) fn is_cold(&self, now_us: u64) -> bool {
        now_us < self.cold_until_us
    }

    /// Starts a call; `noise` is a random factor on its duration.
    pub(crate) fn start(
        &mut self,
        now_us: u64,
        call: usize,
        spec: &PoolSpec,
        tokens: f64,
        noise: f64,
    ) -> StartResult {
        if self.is_down(now_us) {
            return StartResult::Refused;
        }
        let others = self.running.len();
        self.running.push(call);
        if self.is_cold(now_us) && self.running.len() > spec.limits.cold_concurrency as usize {
            return StartResult::Overloaded { lost: self.restart(now_us) };
        }

        let cold_factor = if self.is_cold(now_us) { COLD_FACTOR } else { 1.0 };
        let run_ms = spec.run_ms(tokens, others) * noise * cold_factor * self.slow_factor;
        StartResult::Started { run_us: (run_ms * US_PER_MS as f64) as u64 }
    }

    /// Removes a call that completed or was cancelled; returns whether it was running.
    pub(crate) fn end(&mut self, call: usize) -> bool {
        let Some(position) = self.running.iter().position(|it| *it == call) else { return false };
        self.running.swap_remove(position);
        true
    }

    /// Restarts the upstream, which is cold afterwards; returns the calls that are lost.
    pub(crate) fn restart(&mut self, now_us: u64) -> Vec<usize> {
        self.boot_id += 1;
        self.down_until_us = now_us + RESTART_US;
        self.cold_until_us = self.down_until_us + COLD_US;
        std::mem::take(&mut self.running)
    }
}
