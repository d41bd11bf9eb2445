//! Division of a request's deadline over its stages.

mod estimates;
mod plan;
#[cfg(test)]
mod tests;

pub use crate::deadline::{
    estimates::{DeclaredEstimate, PoolKey, StageEstimates},
    plan::{Plan, StagePlan},
};

/// Returns the time by which a request has to be answered, in milliseconds.
///
/// The caller may ask for less than the declared time but not for more.
pub fn effective_deadline_ms(arrived_ms: u64, declared_ms: u64, requested_ms: Option<u64>) -> u64 {
    let allowed_ms = requested_ms.map_or(declared_ms, |it| it.min(declared_ms));
    arrived_ms.saturating_add(allowed_ms)
}
