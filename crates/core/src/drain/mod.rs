//! Refusal of new work while an upstream, a data centre or a process goes out of service.
//!
//! An agent asks its [`Gate`] before it accepts and before it dispatches a call. A process that is
//! told to stop follows its [`GracefulShutdown`]. Neither ever cuts work in progress, except when an
//! operator has set a time limit for the stop.

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
