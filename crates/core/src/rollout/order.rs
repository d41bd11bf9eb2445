//! Orders of operators, as read from the platform, and the status that the system writes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Order to move a service to another software version; all fields together identify it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: Arc<str>,
    /// Version to move to.
    pub to: Arc<str>,
    /// Time from the order to its deadline, in milliseconds.
    pub duration_ms: u64,
    /// Number of the platform's revision at which the object was created.
    pub created_at: u64,
}

/// State of a roll-out in the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RolloutState {
    /// There is no verdict yet.
    Running,
    /// All traffic has moved; the old upstreams stop.
    Completed,
    /// The new version is not used any more; its upstreams drain.
    RolledBack,
}

impl RolloutState {
    /// Tells whether the state is a verdict.
    pub fn is_verdict(self) -> bool {
        self != Self::Running
    }
}

/// Status of a roll-out in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// State of the roll-out.
    pub state: RolloutState,
    /// Version that the state speaks of; that of an earlier order if it is not the order's.
    pub to: Arc<str>,
}

/// A roll-out as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutObject {
    /// The order.
    pub order: RolloutOrder,
    /// Status that was written last; none before the first.
    pub status: Option<RolloutStatus>,
    /// Number of the revision of the object's last change, on which the next write is conditional.
    pub revision: u64,
}

impl RolloutObject {
    /// Returns the state of the order; none if the status is missing or that of another order.
    pub fn state(&self) -> Option<RolloutState> {
        self.status.as_ref().filter(|it| it.to == self.order.to).map(|it| it.state)
    }
}

/// Bounds on what a new version may receive before it has proved itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Part of all requests of the service between the order and its deadline.
    pub share: f64,
    /// Number of requests beyond that part.
    pub slack: f64,
    /// Time after the 50th bad answer from which a bad version receives nothing, in milliseconds.
    pub rollback_ms: u64,
}
