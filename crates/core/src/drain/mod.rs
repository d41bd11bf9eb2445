//! Refusal of new work when an upstream, a data centre or a process is taken out of service.
//!
//! An agent checks its [`Gate`] before it accepts a call and again before it dispatches one. A
//! process that shuts down follows its [`GracefulShutdown`]. Neither aborts work in progress,
//! unless an operator has set a time limit for the shutdown.

mod freshness;
mod gate;
mod sabotage;
mod shutdown;

#[cfg(test)]
mod tests;

pub use freshness::{Freshness, FreshnessSettings};
pub use gate::{DispatchHold, Gate, GateChange, GateSettings};
pub use sabotage::Sabotage;
pub use shutdown::{GracefulShutdown, ShutdownPhase, ShutdownSettings};
