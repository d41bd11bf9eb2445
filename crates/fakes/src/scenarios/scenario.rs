//! Parts of a scenario.

use crate::{
    load::{plan::Phase, tally::Deadlines},
    platform,
    stack::plan::StackPlan,
    upstream,
};

/// Processes, load and faults of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// Processes to start.
    pub stack: StackPlan,
    /// Load, in phases.
    pub phases: Vec<Phase>,
    /// Faults and operations, in order of their times.
    pub events: Vec<Event>,
    /// Deadlines of the document.
    pub deadlines: Deadlines,
}

/// A fault or operation at a time after the start of the load.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time after the start of the load, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    pub action: Action,
}

/// A fault or operation.
#[derive(Clone, Debug)]
pub enum Action {
    /// Operators take a data centre out.
    DataCentreOut(&'static str),
    /// Operators bring a data centre back.
    DataCentreIn(&'static str),
    /// The platform's faults change.
    Platform(platform::PlatformSwitches),
    /// Upstreams of a pool change their behaviour.
    Switch {
        /// The pool.
        pool: &'static str,
        /// Number of upstreams that change.
        count: usize,
        /// Their new behaviour.
        switches: upstream::state::UpstreamSwitches,
    },
    /// All upstreams of a pool turn cold.
    MakeCold(&'static str),
    /// Agents end without warning.
    KillAgents {
        /// Number of agents, spread over the pools.
        count: usize,
    },
    /// Ended agents start again on their addresses.
    RestartAgents,
    /// A caller sends one request, and sends it again after each failure.
    Resend {
        /// Input of the pipeline request.
        input: &'static str,
        /// Number of times that it is sent.
        times: u32,
    },
}

impl Event {
    /// Creates an event.
    pub fn new(at_ms: u64, action: Action) -> Self {
        Self { at_ms, action }
    }
}
