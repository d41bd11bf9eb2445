//! Budget of repeated attempts as a fraction of the completed ones.

/// Parts into which one repeated attempt is divided.
const ATTEMPT: u32 = 100;

/// Repeated attempts that may be saved up.
const MAX_SAVED: u32 = 10;

/// Budget that hedges and retries of one pool share.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    per_hundred: u32,
    saved: u32,
}

impl RetryBudget {
    /// Creates a budget that earns `per_hundred` repeated attempts with each hundred completions.
    pub fn new(per_hundred: u32) -> Self {
        Self { per_hundred, saved: ATTEMPT }
    }

    /// Takes over a changed rate.
    pub fn set_per_hundred(&mut self, per_hundred: u32) {
        self.per_hundred = per_hundred;
    }

    /// Earns for a completed attempt.
    pub fn on_complete(&mut self) {
        self.saved = (self.saved + self.per_hundred).min(MAX_SAVED * ATTEMPT);
    }

    /// Spends one repeated attempt, if the budget covers it.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < ATTEMPT {
            return false;
        }
        self.saved -= ATTEMPT;
        true
    }
}
