//! Discrete-event simulation of a whole deployment in virtual time.
//!
//! Arrivals, network delays and upstreams are modelled; admission, routing, queueing, capacity and
//! hedging are the real implementations in the core crate. Runs are deterministic: the same
//! fleet, scenario, mode and seed give the same results.

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
