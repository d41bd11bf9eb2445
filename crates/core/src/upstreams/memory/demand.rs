//! Tokens that a request needs at a model upstream.

/// Multiple of the stated estimate of an output that is reserved. The estimate is right at the median only;
/// with lengths that spread log-normally with sigma 1, the mean is 1.65 times the median.
const HINT_FACTOR: u64 = 2;
/// Output that is reserved for a request that states neither a maximum nor an estimate, in tokens.
const UNSTATED_OUTPUT_TOKENS: u64 = 1_000;

/// Tokens that a request holds at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenDemand {
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of output tokens to reserve.
    pub output: u64,
}

impl TokenDemand {
    /// Returns the demand of a request that states its prompt, and possibly the maximum and an estimate of
    /// its output.
    pub fn new(prompt: u64, max_output: Option<u64>, estimated_output: Option<u64>) -> Self {
        let estimate = estimated_output.map(|it| it.saturating_mul(HINT_FACTOR));
        let output = match (max_output, estimate) {
            (Some(max), Some(estimate)) => max.min(estimate),
            (Some(tokens), None) | (None, Some(tokens)) => tokens,
            (None, None) => UNSTATED_OUTPUT_TOKENS,
        };
        Self { prompt, output }
    }

    /// Returns all tokens.
    pub fn tokens(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}
