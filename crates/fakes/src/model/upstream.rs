//! Modelled upstream: batch slowdown, cold start and falling over.

use crate::model::{US_PER_MS, US_PER_S, fleet::PoolSpec};

/// Time for which an upstream refuses connections after it stopped.
const RESTART_US: u64 = 3 * US_PER_S;

/// Time for which an upstream is cold after it restarted.
const COLD_US: u64 = 6 * US_PER_S;

/// Factor by which calls take longer on a cold upstream.
const COLD_FACTOR: f64 = 3.0;

/// Result of the start of a call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Start {
    /// The call runs for this time.
    Runs { run_us: u64 },
    /// The connection was refused.
    Refused,
    /// The upstream stopped under the load; these calls are lost.
    FellOver { lost: Vec<usize> },
}

/// One modelled upstream; calls are named by the positions of their attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstream {
    pub(crate) boot_id: u64,
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

    /// Starts a call whose duration varies by the factor `noise`.
    pub(crate) fn start(
        &mut self,
        now_us: u64,
        call: usize,
        spec: &PoolSpec,
        tokens: f64,
        noise: f64,
    ) -> Start {
        if self.is_down(now_us) {
            return Start::Refused;
        }
        let others = self.running.len();
        self.running.push(call);
        if self.is_cold(now_us) && self.running.len() > spec.limits.cold_concurrency as usize {
            return Start::FellOver { lost: self.restart(now_us) };
        }

        let cold_factor = if self.is_cold(now_us) { COLD_FACTOR } else { 1.0 };
        let run_ms = spec.run_ms(tokens, others) * noise * cold_factor * self.slow_factor;
        Start::Runs { run_us: (run_ms * US_PER_MS as f64) as u64 }
    }

    /// Ends a call; returns whether it was running.
    pub(crate) fn end(&mut self, call: usize) -> bool {
        let Some(position) = self.running.iter().position(|it| *it == call) else { return false };
        self.running.swap_remove(position);
        true
    }

    /// Stops and restarts the upstream; returns the calls that are lost.
    pub(crate) fn restart(&mut self, now_us: u64) -> Vec<usize> {
        self.boot_id += 1;
        self.down_until_us = now_us + RESTART_US;
        self.cold_until_us = self.down_until_us + COLD_US;
        std::mem::take(&mut self.running)
    }
}
