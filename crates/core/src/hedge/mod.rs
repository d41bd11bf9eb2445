//! Second attempts of idempotent stages that take unusually long.
//!
//! Hedges and retries spend the same budget, a fraction of the completed attempts, so that a slow
//! stage does not receive a multiple of its load.

mod latency;
#[cfg(test)]
mod tests;

use derive_more::Display;

use crate::attempt::RetryBudget;
pub use crate::hedge::latency::RecentLatency;

/// Shortest time after which a stage is hedged, in milliseconds.
///
/// It leaves time to learn that the upstream has stopped, so that a request that stops upstreams is
/// not sent to a second one before its first strike is known.
const MIN_HEDGE_DELAY_MS: u64 = 100;

/// Attempt that may be hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeQuery {
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// Whether the attempt already has a second one beside it.
    pub hedged: bool,
    /// Time at which the attempt was sent, in milliseconds.
    pub sent_ms: u64,
    /// Expected duration of the attempt, in milliseconds.
    pub expected_ms: u64,
    /// Time by which the stage has to finish, in milliseconds.
    pub finish_by_ms: u64,
    /// Whether another upstream has room.
    pub other_has_room: bool,
}

/// What to do about a running attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send a second attempt to another upstream now; the budget has been charged.
    #[display("hedge")]
    Hedge,
    /// Ask again at this time, in milliseconds.
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
    /// The call may not be repeated.
    NotIdempotent,
    /// There is a second attempt already.
    AlreadyHedged,
    /// A second attempt would not finish in time.
    TooLate,
    /// No other upstream has room.
    NoRoom,
    /// The budget is spent.
    Budget,
}

/// Decides about a second attempt for one that runs, and charges the budget for it.
///
/// The attempt that loses has to be cancelled as soon as the other one completes.
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
    if !query.other_has_room {
        return HedgeDecision::No(NoHedge::NoRoom);
    }
    if !budget.try_retry() {
        return HedgeDecision::No(NoHedge::Budget);
    }
    HedgeDecision::Hedge
}
