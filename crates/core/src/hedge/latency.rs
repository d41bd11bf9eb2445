//! Recent latency of a pool, relative to the expected latency.

use std::collections::VecDeque;

/// Number of samples kept.
const MAX_SAMPLES: usize = 256;

/// Number of samples below which [`DEFAULT_P95_RATIO`] applies.
const MIN_SAMPLES: usize = 20;

/// 95th percentile of the ratio of actual to expected latency while there are too few samples.
const DEFAULT_P95_RATIO: f64 = 3.0;

/// Ratios of actual to expected latency of the latest attempts in one pool.
#[derive(Clone, Debug, Default)]
pub struct RecentLatency {
    /// At most [`MAX_SAMPLES`], the oldest first.
    ratios: VecDeque<f64>,
}

impl RecentLatency {
    /// Creates a record without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the latency of a completed attempt, from its submit to its completion.
    pub fn on_complete(&mut self, latency_ms: u64, expected_ms: u64) {
        if self.ratios.len() == MAX_SAMPLES {
            self.ratios.pop_front();
        }
        self.ratios.push_back(latency_ms as f64 / expected_ms.max(1) as f64);
    }

    /// Returns the 95th percentile of the latency of attempts expected to take `expected_ms`, in
    /// milliseconds.
    pub fn p95_ms(&self, expected_ms: u64) -> u64 {
        (self.p95_ratio() * expected_ms as f64).ceil() as u64
    }

    fn p95_ratio(&self) -> f64 {
        if self.ratios.len() < MIN_SAMPLES {
            return DEFAULT_P95_RATIO;
        }
        let mut sorted: Vec<f64> = self.ratios.iter().copied().collect();
        let index = sorted.len() * 95 / 100;
        let (_, ratio, _) = sorted.select_nth_unstable_by(index, f64::total_cmp);
        *ratio
    }
}
