//! Token buckets, by which entries keep to their shares of rate limits.

/// Rate at which a bucket is filled, and its size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FillRate {
    /// Tokens a second.
    pub(crate) per_s: f64,
    /// Largest number of tokens, at least one.
    pub(crate) burst: f64,
}

/// A bucket from which each request takes a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TokenBucket {
    tokens: f64,
    updated_ms: u64,
}

impl TokenBucket {
    /// Creates a bucket with one token, which lets one request through.
    pub(crate) fn new() -> Self {
        Self { tokens: 1.0, updated_ms: 0 }
    }

    /// Returns the time until a token is available, in milliseconds; 0 if there is one, none if the
    /// bucket is never filled.
    pub(crate) fn wait_ms(&self, rate: FillRate, now_ms: u64) -> Option<u64> {
        let missing = 1.0 - self.filled(rate, now_ms);
        if missing <= 0.0 {
            return Some(0);
        }
        (rate.per_s > 0.0).then(|| (missing / rate.per_s * 1_000.0).ceil() as u64)
    }

    /// Takes the token of a request that is sent.
    pub(crate) fn take(&mut self, rate: FillRate, now_ms: u64) {
        self.tokens = self.filled(rate, now_ms) - 1.0;
        self.updated_ms = now_ms;
    }

    fn filled(&self, rate: FillRate, now_ms: u64) -> f64 {
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        (self.tokens + elapsed_s * rate.per_s).min(rate.burst)
    }
}
