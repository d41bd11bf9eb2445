//! Run-time estimates of calls by pool, updated from completed calls.

use slotmap::{SlotMap, new_key_type};

use crate::{FastMap, outcome::Usage};

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Mean deviations by which a conservative estimate exceeds the expected time.
const CONSERVATIVE_DEVIATIONS: f64 = 1.0;

/// Limit of the relative error, and of the ratio of actual to modelled time, of a single sample.
const MAX_SAMPLE_RATIO: f64 = 8.0;

/// Fraction of the difference to the declared estimates that one decay step removes.
const STALE_DECAY: f64 = 0.1;

new_key_type! {
    /// Identifies a pool within one entry.
    pub struct PoolKey;
}

/// Initial run-time estimate of a pool, from the environment document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeclaredEstimate {
    /// Expected time of a call without its generated tokens, in milliseconds.
    pub estimate_ms: u64,
    /// Expected time per generated token, in milliseconds.
    pub token_estimate_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    declared: DeclaredEstimate,
    /// Time of a call without its generated tokens, in milliseconds.
    call_ms: f64,
    /// Time per generated token, in milliseconds.
    token_ms: f64,
    /// Mean ratio of generated tokens to the maximum that the call allows.
    token_fraction: f64,
    /// Mean absolute deviation of the run time, relative to the expected one.
    deviation: f64,
    /// Mean time that calls waited in the agent, in milliseconds.
    mean_queued_ms: f64,
    /// Whether a call completed since the last decay step.
    has_new_sample: bool,
}

impl Estimate {
    fn new(declared: DeclaredEstimate) -> Self {
        Self {
            declared,
            call_ms: declared.estimate_ms.max(1) as f64,
            token_ms: declared.token_estimate_ms as f64,
            token_fraction: 1.0,
            deviation: 0.0,
            mean_queued_ms: 0.0,
            has_new_sample: false,
        }
    }

    fn decay_toward_declared(&mut self) {
        let declared = Self::new(self.declared);
        let toward = |from: f64, to: f64| from + (to - from) * STALE_DECAY;
        self.call_ms = toward(self.call_ms, declared.call_ms);
        self.token_ms = toward(self.token_ms, declared.token_ms);
        self.token_fraction = toward(self.token_fraction, declared.token_fraction);
        self.deviation = toward(self.deviation, declared.deviation);
        self.mean_queued_ms = toward(self.mean_queued_ms, declared.mean_queued_ms);
    }

    fn run_ms_for_tokens(&self, tokens: f64) -> f64 {
        self.call_ms + self.token_ms * tokens
    }
}

/// Run-time estimates of calls by pool.
#[derive(Clone, Debug, Default)]
pub struct StageEstimates {
    pools: SlotMap<PoolKey, Estimate>,
    keys_by_name: FastMap<String, PoolKey>,
}

impl StageEstimates {
    /// Creates estimates without any pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key of a pool, adding it if it is new; a changed declaration resets its
    /// estimates.
    pub fn register_pool(&mut self, name: &str, declared: DeclaredEstimate) -> PoolKey {
        if let Some(&key) = self.keys_by_name.get(name) {
            if self.pools[key].declared != declared {
                self.pools[key] = Estimate::new(declared);
            }
            return key;
        }
        let key = self.pools.insert(Estimate::new(declared));
        self.keys_by_name.insert(name.to_owned(), key);
        key
    }

    /// Returns the expected run time of a call limited to `max_tokens`, in milliseconds.
    pub fn expected_ms(&self, pool: PoolKey, max_tokens: u32) -> u64 {
        let estimate = &self.pools[pool];
        let tokens = f64::from(max_tokens) * estimate.token_fraction;
        estimate.run_ms_for_tokens(tokens).ceil() as u64
    }

    /// Returns a run time that most calls limited to `max_tokens` don't exceed, in milliseconds.
    pub fn conservative_ms(&self, pool: PoolKey, max_tokens: u32) -> u64 {
        let estimate = &self.pools[pool];
        let factor = 1.0 + CONSERVATIVE_DEVIATIONS * estimate.deviation;
        (self.expected_ms(pool, max_tokens) as f64 * factor).ceil() as u64
    }

    /// Returns the mean time that recent calls waited in the agent, in milliseconds.
    pub fn mean_queued_ms(&self, pool: PoolKey) -> u64 {
        self.pools[pool].mean_queued_ms as u64
    }

    /// Updates the estimates from a completed call that was limited to `max_tokens`.
    pub fn on_complete(&mut self, pool: PoolKey, max_tokens: u32, usage: Usage) {
        let expected_ms = self.expected_ms(pool, max_tokens).max(1) as f64;
        let estimate = &mut self.pools[pool];
        estimate.has_new_sample = true;
        let actual_ms = usage.engine_ms.max(1) as f64;
        let relative_error = (actual_ms / expected_ms - 1.0).abs().min(MAX_SAMPLE_RATIO);
        estimate.deviation += (relative_error - estimate.deviation) * SAMPLE_WEIGHT;
        estimate.mean_queued_ms +=
            (usage.queued_ms as f64 - estimate.mean_queued_ms) * SAMPLE_WEIGHT;

        // The time per call and the time per token change by the same factor, because one call does
        // not show how its run time divides between them.
        let modelled_ms = estimate.run_ms_for_tokens(usage.tokens as f64).max(1.0);
        let ratio = (actual_ms / modelled_ms).min(MAX_SAMPLE_RATIO);
        let factor = 1.0 + (ratio - 1.0) * SAMPLE_WEIGHT;
        estimate.call_ms = (estimate.call_ms * factor).max(1.0);
        estimate.token_ms *= factor;
        if max_tokens > 0 {
            let fraction = (usage.tokens as f64 / f64::from(max_tokens)).min(1.0);
            estimate.token_fraction += (fraction - estimate.token_fraction) * SAMPLE_WEIGHT;
        }
    }

    /// Moves estimates without new samples toward the declared ones; to be called once a second.
    ///
    /// Estimates that grew while a pool was slow could otherwise cause the refusal of every
    /// request, so that no call would ever correct them.
    pub fn decay_stale(&mut self) {
        for estimate in self.pools.values_mut() {
            if !estimate.has_new_sample {
                estimate.decay_toward_declared();
            }
            estimate.has_new_sample = false;
        }
    }
}
