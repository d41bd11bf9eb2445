//! Types that define a scenario.

use crate::{
    load::{plan::Phase, tally::Deadlines},
    platform,
    stack::plan::StackPlan,
    upstream,
};

/// Processes, load and events of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// Processes to start.
    pub stack: StackPlan,
    /// Phases of the load, in order.
    pub phases: Vec<Phase>,
    /// Faults and operations, ordered by time.
    pub events: Vec<Event>,
    /// Deadlines in the environment document.
    pub deadlines: Deadlines,
}

/// A fault or operation at one point in time.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time after the start of the load, in milliseconds.
    pub at_ms: u64,
    /// The fault or operation.
    pub action: Action,
}

/// A fault or operation.
#[derive(Clone, Debug)]
pub enum Action {
    /// An operator takes a data centre out of service.
    DataCentreOut(&'static str),
    /// An operator returns a data centre to service.
    DataCentreIn(&'static str),
    /// Injected faults of the platform stand-in change.
    Platform(platform::PlatformSwitches),
    /// Behaviour of upstreams of a pool changes.
    Switch {
        /// Name of the pool.
        pool: &'static str,
        /// Number of upstreams that change.
        count: usize,
        /// New behaviour.
        switches: upstream::state::UpstreamSwitches,
    },
    /// All upstreams of a pool turn cold, as after a restart.
    MakeCold(&'static str),
    /// Agents are killed without a graceful shutdown.
    KillAgents {
        /// Number of agents, spread evenly over all upstreams.
        count: usize,
    },
    /// Killed agents are started again on their previous addresses.
    RestartAgents,
    /// A caller sends the same pipeline request several times, one after the other.
    Resend {
        /// Input of the pipeline request.
        input: &'static str,
        /// Number of times that the request is sent.
        times: u32,
    },
}

impl Event {
    /// Creates an event.
    pub fn new(at_ms: u64, action: Action) -> Self {
        Self { at_ms, action }
    }
}
