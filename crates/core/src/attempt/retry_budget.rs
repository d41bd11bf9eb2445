//! Budget that limits retries and hedges to a fraction of the completed stages.

use crate::sabotage::{Mechanisms, Sabotage};

/// Cost of one retry in credits; a completed stage earns `retries_per_hundred` credits.
const RETRY_COST_CREDITS: u64 = 100;

/// Token bucket for retries and hedges that is refilled by completed stages.
///
/// After `n` completed stages at most `reserve + n * retries_per_hundred / 100` retries have been
/// granted. Every stage has one first attempt and earns credit only once, whichever of its attempts
/// completed it. The number of attempts therefore stays below `1 + retries_per_hundred / 100` times
/// the number of stages, plus the reserve.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credits: u64,
    max_credits: u64,
    credits_per_stage: u64,
    mechanisms: Mechanisms,
}

impl RetryBudget {
    /// Creates a budget with a full reserve.
    ///
    /// `reserve` is the maximum number of retries that can accumulate.
    pub fn new(retries_per_hundred: u32, reserve: u32) -> Self {
        let max_credits = u64::from(reserve) * RETRY_COST_CREDITS;
        Self {
            credits: max_credits,
            max_credits,
            credits_per_stage: u64::from(retries_per_hundred),
            mechanisms: Mechanisms::default(),
        }
    }

    /// Creates a budget with one safety mechanism disabled.
    #[cfg(feature = "sabotage")]
    pub fn with_sabotage(retries_per_hundred: u32, reserve: u32, sabotage: Sabotage) -> Self {
        let mechanisms = Mechanisms::without(sabotage);
        Self { mechanisms, ..Self::new(retries_per_hundred, reserve) }
    }

    /// Changes the number of retries earned per hundred completed stages.
    pub fn set_retries_per_hundred(&mut self, retries_per_hundred: u32) {
        self.credits_per_stage = u64::from(retries_per_hundred);
    }

    /// Records a completed attempt.
    ///
    /// `first_of_stage` is whether no attempt for the same stage of the same request completed
    /// before; later completions earn no credit.
    pub fn on_completed(&mut self, first_of_stage: bool) {
        if !first_of_stage && self.mechanisms.has(Sabotage::CreditOncePerStage) {
            return;
        }
        self.credits = (self.credits + self.credits_per_stage).min(self.max_credits);
    }

    /// Takes one retry from the budget; returns `false` if the budget is exhausted.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        if self.credits < RETRY_COST_CREDITS {
            return false;
        }
        self.credits -= RETRY_COST_CREDITS;
        true
    }
}
