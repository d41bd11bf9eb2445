//! Expected durations of calls by pool, learned from completed calls.

use slotmap::{SlotMap, new_key_type};

use crate::{FastMap, outcome::Usage};

/// Weight of a new sample in the averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Multiple of the mean deviation that a safe estimate adds.
const SAFE_DEVIATIONS: f64 = 1.0;

/// Largest factor by which one sample may pull the averages.
const MAX_PULL: f64 = 8.0;

/// Part of the way back to the declared estimates that one relaxation goes.
const RELAXATION: f64 = 0.1;

new_key_type! {
    /// Identifies a pool within one entry.
    pub struct PoolKey;
}

/// Estimates that the environment document declares for a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeclaredEstimate {
    /// Expected time of a call apart from its tokens, in milliseconds.
    pub estimate_ms: u64,
    /// Expected time of one generated token, in milliseconds.
    pub token_estimate_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    seed: DeclaredEstimate,
    call_ms: f64,
    token_ms: f64,
    /// Part of the allowed tokens that calls use.
    token_part: f64,
    /// Mean absolute deviation relative to the expected time.
    deviation: f64,
    queue_ms: f64,
    /// Whether a call completed since the last relaxation.
    is_fresh: bool,
}

impl Estimate {
    fn new(seed: DeclaredEstimate) -> Self {
        Self {
            seed,
            call_ms: seed.estimate_ms.max(1) as f64,
            token_ms: seed.token_estimate_ms as f64,
            token_part: 1.0,
            deviation: 0.0,
            queue_ms: 0.0,
            is_fresh: false,
        }
    }

    fn relax(&mut self) {
        let declared = Self::new(self.seed);
        let toward = |from: f64, to: f64| from + (to - from) * RELAXATION;
        self.call_ms = toward(self.call_ms, declared.call_ms);
        self.token_ms = toward(self.token_ms, declared.token_ms);
        self.token_part = toward(self.token_part, declared.token_part);
        self.deviation = toward(self.deviation, declared.deviation);
        self.queue_ms = toward(self.queue_ms, declared.queue_ms);
    }

    fn for_tokens(&self, tokens: f64) -> f64 {
        self.call_ms + self.token_ms * tokens
    }
}

/// Expected durations of calls by pool.
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

    /// Returns the key of a pool; a changed seed starts its estimates anew.
    pub fn register_pool(&mut self, name: &str, seed: DeclaredEstimate) -> PoolKey {
        if let Some(&key) = self.keys_by_name.get(name) {
            if self.pools[key].seed != seed {
                self.pools[key] = Estimate::new(seed);
            }
            return key;
        }
        let key = self.pools.insert(Estimate::new(seed));
        self.keys_by_name.insert(name.to_owned(), key);
        key
    }

    /// Returns the expected time at the upstream of a call limited to `max_tokens`.
    pub fn expected_ms(&self, pool: PoolKey, max_tokens: u32) -> u64 {
        let estimate = &self.pools[pool];
        let tokens = f64::from(max_tokens) * estimate.token_part;
        estimate.for_tokens(tokens).ceil() as u64
    }

    /// Returns a time at the upstream that most calls limited to `max_tokens` don't exceed.
    pub fn conservative_ms(&self, pool: PoolKey, max_tokens: u32) -> u64 {
        let estimate = &self.pools[pool];
        let factor = 1.0 + SAFE_DEVIATIONS * estimate.deviation;
        (self.expected_ms(pool, max_tokens) as f64 * factor).ceil() as u64
    }

    /// Returns the average time that recent calls waited in the agent.
    pub fn mean_queued_ms(&self, pool: PoolKey) -> u64 {
        self.pools[pool].queue_ms as u64
    }

    /// Learns from a completed call that was limited to `max_tokens`.
    pub fn on_complete(&mut self, pool: PoolKey, max_tokens: u32, usage: Usage) {
        let expected_ms = self.expected_ms(pool, max_tokens).max(1) as f64;
        let estimate = &mut self.pools[pool];
        estimate.is_fresh = true;
        let actual_ms = usage.engine_ms.max(1) as f64;
        let off = (actual_ms / expected_ms - 1.0).abs().min(MAX_PULL);
        estimate.deviation += (off - estimate.deviation) * SAMPLE_WEIGHT;
        estimate.queue_ms += (usage.queued_ms as f64 - estimate.queue_ms) * SAMPLE_WEIGHT;

        // Both parts move by the same factor, because a call does not tell them apart.
        let fitted_ms = estimate.for_tokens(usage.tokens as f64).max(1.0);
        let pull = (actual_ms / fitted_ms).min(MAX_PULL);
        let factor = 1.0 + (pull - 1.0) * SAMPLE_WEIGHT;
        estimate.call_ms = (estimate.call_ms * factor).max(1.0);
        estimate.token_ms *= factor;
        if max_tokens > 0 {
            let part = (usage.tokens as f64 / f64::from(max_tokens)).min(1.0);
            estimate.token_part += (part - estimate.token_part) * SAMPLE_WEIGHT;
        }
    }
    /// Moves estimates that rest on no recent call towards the declared ones; call it once a second.
    ///
    /// Estimates that grew while a pool was slow could otherwise refuse every request, so that no
    /// call would ever correct them.
    pub fn decay_stale(&mut self) {
        for estimate in self.pools.values_mut() {
            if !estimate.is_fresh {
                estimate.relax();
            }
            estimate.is_fresh = false;
        }
    }
}
