//! Batches the pieces of stages into calls to the upstreams of one stage service.
//!
//! A call has a fixed cost, so under load calls with a single piece would waste most of an
//! upstream's time. The pieces of all requests therefore wait in one queue, and an upstream that
//! becomes free takes a batch of them. Stages that have started go first, since their results take up
//! memory until the stage is done. Otherwise pieces that can still meet their soft deadline go first,
//! by soft deadline; then the late ones, by deadline. Work that can't meet its deadline is rejected at
//! once. A slow upstream gets pieces only where no faster one would finish them earlier.

mod activity;
mod batcher;
mod upstream_state;
mod fill;
mod inputs;
mod work;
mod load_shedding;
mod planning;

pub use activity::{Activity, Backlog};
pub use batcher::{
    Batcher, CallKey, CallResult, GroupKey, GroupOutcome, PieceResult, PlannedCall, Settled,
};
pub use upstream_state::AvailableUpstream;
pub use work::{PieceSource, PreferredDataCentre, StageWork};

#[cfg(test)]
mod tests;
