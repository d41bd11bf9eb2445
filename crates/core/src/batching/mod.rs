//! Batches of pieces for the upstreams of one stage service.
//!
//! Answers the load at which a call of one piece would waste most of an upstream's time: a call has
//! a fixed cost, so pieces of all requests wait in one queue and are taken together when an upstream
//! comes free. Pieces that can still be on time go first, the earliest aim first; then those that are
//! late already, by their deadlines. A piece that can't meet its deadline is given back at once.
//! A slow upstream gets pieces only where no faster one would finish them earlier.

mod batcher;
mod upstream_state;
mod fill;
mod inputs;
mod order;
mod unreachable;

pub use batcher::{
    Batcher, CallKey, CallResult, GroupKey, GroupOutcome, PieceResult, PlannedCall, Settled,
};
pub use order::{PieceSource, PreferredDataCentre, StageWork};
pub use upstream_state::AvailableUpstream;

#[cfg(test)]
mod tests;
