//! Hedging: a second attempt of an idempotent stage when the first takes unusually long.
//!
//! Hedges and retries share one budget, a fraction of the completed stages, so that a slow stage
//! does not receive a multiple of its load.

mod latency;
#[cfg(test)]
mod tests;

use derive_more::Display;

use crate::attempt::RetryBudget;
pub use crate::hedge::latency::RecentLatency;

/// Shortest delay after which a stage is hedged, in milliseconds.
///
/// The delay leaves time to detect that the upstream has crashed, so that a request that crashes
/// upstreams is not sent to a second one before its first strike is known.
const MIN_HEDGE_DELAY_MS: u64 = 100;

/// A running attempt for which a hedge is considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeQuery {
    /// Whether the call is idempotent.
    pub idempotent: bool,
    /// Whether a second attempt of the stage is already running.
    pub hedged: bool,
    /// Time at which the attempt was sent, in milliseconds.
    pub sent_ms: u64,
    /// Expected duration of the attempt, in milliseconds.
    pub expected_ms: u64,
    /// Latest finish of the stage, in milliseconds.
    pub finish_by_ms: u64,
    /// Whether another upstream has free capacity.
    pub other_has_capacity: bool,
}

/// Decision about hedging a running attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send a second attempt to another upstream now; the budget has been charged.
    #[display("hedge")]
    Hedge,
    /// Decide again at this time, in milliseconds.
    #[display("wait until {_0} ms")]
    WaitUntil(u64),
    /// Never hedge the attempt.
    #[display("no hedge: {_0}")]
    No(NoHedge),
}

/// Why an attempt is not hedged.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum NoHedge {
    /// The call is not idempotent.
    NotIdempotent,
    /// A second attempt is already running.
    AlreadyHedged,
    /// A second attempt is not expected to finish in time.
    TooLate,
    /// No other upstream has free capacity.
    NoRoom,
    /// The retry budget is exhausted.
    Budget,
}

/// Decides whether to hedge a running attempt, and charges the budget if so.
///
/// The caller has to cancel the other attempt as soon as one of the two completes.
pub fn decide(
    now_ms: u64,
    query: &HedgeQuery,
    latency: &RecentLatency,
    budget: &mut RetryBudget,
) -> HedgeDecision {
    if !query.idempotent {
        return HedgeDecision::No(NoHedge::NotIdempotent);
    }
    if query.hedged {
        return HedgeDecision::No(NoHedge::AlreadyHedged);
    }

    let delay_ms = latency.p95_ms(query.expected_ms).max(MIN_HEDGE_DELAY_MS);
    let hedge_at_ms = query.sent_ms.saturating_add(delay_ms);
    if hedge_at_ms.saturating_add(query.expected_ms) > query.finish_by_ms {
        return HedgeDecision::No(NoHedge::TooLate);
    }
    if now_ms < hedge_at_ms {
        return HedgeDecision::WaitUntil(hedge_at_ms);
    }
    if now_ms.saturating_add(query.expected_ms) > query.finish_by_ms {
        return HedgeDecision::No(NoHedge::TooLate);
    }
    if !query.other_has_capacity {
        return HedgeDecision::No(NoHedge::NoRoom);
    }
    if !budget.try_retry() {
        return HedgeDecision::No(NoHedge::Budget);
    }
    HedgeDecision::Hedge
}
