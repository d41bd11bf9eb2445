//! Decisions of one agent: which attempts it accepts, when it dispatches each to the upstream, and
//! what it reports to the entries.
//!
//! [`AgentCore`] combines the modules that protect one upstream: the attempt ledger, the queue, the
//! capacity limit, the gate for new work and the quarantine. Every call to the upstream goes
//! through this one state machine, so its limits are exact regardless of how many entries submit
//! work concurrently.

mod core;
mod dispatch;
mod probing;
mod request_limit;
mod settings;
mod crash_detection;

#[cfg(feature = "sabotage")]
pub use self::settings::Sabotage;
pub use self::{
    core::{AgentCore, Dispatch, Submission},
    crash_detection::{CallResult, ProbeResult, ProbeTicket},
    settings::AgentSettings,
};
