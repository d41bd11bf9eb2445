//! Recent latency of a pool, relative to the expected one.

use std::collections::VecDeque;

/// Samples that are kept.
const MAX_SAMPLES: usize = 256;

/// Samples below which the default applies.
const MIN_SAMPLES: usize = 20;

/// Ratio of actual to expected latency while there are too few samples.
const DEFAULT_P95_RATIO: f64 = 3.0;

/// Recent ratios of actual to expected latency in one pool.
#[derive(Clone, Debug, Default)]
pub struct RecentLatency {
    ratios: VecDeque<f64>,
}

impl RecentLatency {
    /// Creates a record without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the latency of a completed attempt from its sending to its answer.
    pub fn on_complete(&mut self, latency_ms: u64, expected_ms: u64) {
        if self.ratios.len() == MAX_SAMPLES {
            self.ratios.pop_front();
        }
        self.ratios.push_back(latency_ms as f64 / expected_ms.max(1) as f64);
    }

    /// Returns the 95th percentile of the latency of attempts expected to take `expected_ms`.
    pub fn p95_ms(&self, expected_ms: u64) -> u64 {
        (self.p95_ratio() * expected_ms as f64).ceil() as u64
    }

    fn p95_ratio(&self) -> f64 {
        if self.ratios.len() < MIN_SAMPLES {
            return DEFAULT_P95_RATIO;
        }
        let mut sorted: Vec<f64> = self.ratios.iter().copied().collect();
        let position = sorted.len() * 95 / 100;
        let (_, ratio, _) = sorted.select_nth_unstable_by(position, f64::total_cmp);
        *ratio
    }
}
