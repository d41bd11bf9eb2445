//! Run-time estimates and the division of a request's deadline among its stages.

mod estimates;
mod plan;
#[cfg(test)]
mod tests;

pub use crate::deadline::{
    estimates::{DeclaredEstimate, PoolKey, StageEstimates},
    plan::{Plan, StagePlan},
};

/// Returns the deadline of a request, in milliseconds.
///
/// The caller may request a shorter time than the declared one, but not a longer one.
pub fn effective_deadline_ms(arrived_ms: u64, declared_ms: u64, requested_ms: Option<u64>) -> u64 {
    let allowed_ms = requested_ms.map_or(declared_ms, |it| it.min(declared_ms));
    arrived_ms.saturating_add(allowed_ms)
}
