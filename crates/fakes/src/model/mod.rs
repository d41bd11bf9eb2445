//! Experiments in virtual time with the decisions of the core.
//!
//! Arrivals and upstreams are modelled; admission, routing, queueing, capacity and hedging are the
//! real ones. Every run is determined by its scenario and seed.

mod agent;
mod entry;
mod fleet;
mod outcome;
mod scenario;
mod sim;
mod upstream;

pub use crate::model::{
    fleet::Fleet,
    outcome::Outcome,
    scenario::{Scenario, scenarios},
    sim::{Mode, run},
};

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;
