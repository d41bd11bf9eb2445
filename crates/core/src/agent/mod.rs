//! Decisions of one agent: which attempts it accepts, when each goes to the upstream, and what each
//! entry is told.
//!
//! [`AgentCore`] joins the slices that guard one upstream: the ledger of attempts, the queue, the
//! capacity, the gate for new work and the quarantine. Because every call for the upstream passes
//! this one state machine, its limits hold exactly, however many entries send work at once.

mod core;
mod dispatch;
mod probing;
mod settings;
mod stops;

#[cfg(feature = "sabotage")]
pub use self::settings::Sabotage;
pub use self::{
    core::{AgentCore, Dispatch, Submission},
    settings::AgentSettings,
    stops::{CallResult, ProbeResult, ProbeTicket},
};
