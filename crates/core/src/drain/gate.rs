//! Gate for new work at an agent.

use super::{Freshness, FreshnessSettings, Sabotage};
use crate::{
    control::ControlState, membership::InstanceState, outcome::Reason, switch::MechanismSwitch,
};

/// Settings of a gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateSettings {
    /// Name of the upstream.
    pub upstream: String,
    /// Data centre that the upstream runs in.
    pub data_centre: String,
    /// Limits of pause detection.
    pub freshness: FreshnessSettings,
}

/// Why a queued call may not be dispatched now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchHold {
    /// The call has to wait until the control state is confirmed or the grace period is over.
    Unconfirmed,
    /// The call is refused as not run.
    Refused(Reason),
}

/// Effect of an event on the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateChange {
    /// The gate is open or closed as before.
    Unchanged,
    /// The gate accepts new work again.
    Opened,
    /// The gate has closed; every queued call must immediately be refused as not run with this
    /// reason.
    Closed(Reason),
}

/// Decides whether an agent accepts new work for its upstream; work in progress is never affected.
#[derive(Clone, Debug)]
pub struct Gate {
    upstream: String,
    data_centre: String,
    freshness: Freshness,
    has_control_state: bool,
    is_data_centre_out: bool,
    /// Whether the operational state lists the upstream as leaving.
    is_leaving: bool,
    /// Whether the instance list shows the upstream as leaving.
    is_listed_leaving: bool,
    list_version: u64,
    is_stopping: bool,
    mechanisms: MechanismSwitch<Sabotage>,
}

impl Gate {
    /// Creates the gate of an agent that starts at `now_ms` and holds no control state.
    pub fn new(settings: GateSettings, now_ms: u64) -> Self {
        Self {
            upstream: settings.upstream,
            data_centre: settings.data_centre,
            freshness: Freshness::new(settings.freshness, now_ms),
            has_control_state: false,
            is_data_centre_out: false,
            is_leaving: false,
            is_listed_leaving: false,
            list_version: 0,
            is_stopping: false,
            mechanisms: MechanismSwitch::new(),
        }
    }

    /// Disables one safety mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.mechanisms.disable(mechanism);
        self.freshness.sabotage(mechanism);
    }

    /// Applies the control state of the process.
    pub fn set_control(&mut self, control: &ControlState) -> GateChange {
        let before = self.refusal();
        self.has_control_state = control.serving_document().is_ok();
        if let Some(operations) = control.operations()
            && !self.mechanisms.is_disabled(Sabotage::Operations)
        {
            self.is_data_centre_out = operations.is_data_centre_out(&self.data_centre);
            self.is_leaving = operations.is_upstream_leaving(&self.upstream);
        }
        self.change_from(before)
    }

    /// Applies the upstream's state in the instance list of version `list_version`.
    ///
    /// The list may be stale and may be read from different replicas, so an older version is
    /// ignored.
    pub fn set_listed(&mut self, list_version: u64, state: InstanceState) -> GateChange {
        let before = self.refusal();
        if list_version < self.list_version && !self.mechanisms.is_disabled(Sabotage::ListVersion) {
            return GateChange::Unchanged;
        }
        self.list_version = list_version;
        self.is_listed_leaving = state == InstanceState::Leaving;
        self.change_from(before)
    }

    /// Closes the gate permanently because the process is shutting down.
    pub fn stop(&mut self) -> GateChange {
        let before = self.refusal();
        self.is_stopping = true;
        self.change_from(before)
    }

    /// Records that the process is running; returns true if it was paused since the last tick.
    pub fn tick(&mut self, now_ms: u64) -> bool {
        self.freshness.tick(now_ms).is_some()
    }

    /// Records a confirmation of the control state; see [`Freshness::confirm`].
    pub fn confirm(&mut self, sent_ms: u64, age_ms: u64) {
        self.freshness.confirm(sent_ms, age_ms);
    }

    /// Tells whether queued calls wait for the control state to be confirmed after a pause.
    pub fn awaits_confirmation(&self) -> bool {
        self.freshness.awaits_confirmation()
    }

    /// Returns an upper bound on the age of the control state, in milliseconds; `None` if it was
    /// never confirmed.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.freshness.age_ms(now_ms)
    }

    /// Tells whether the agent may accept a new call into its queue.
    pub fn may_accept(&mut self, now_ms: u64) -> Result<(), Reason> {
        self.freshness.tick(now_ms);
        match self.refusal() {
            Some(reason) => Err(reason),
            None => Ok(()),
        }
    }

    /// Tells whether the agent may dispatch a queued call to the upstream; must be checked
    /// immediately before the dispatch.
    pub fn may_dispatch(&mut self, now_ms: u64) -> Result<(), DispatchHold> {
        if let Some(reason) = self.refusal() {
            return Err(DispatchHold::Refused(reason));
        }
        match self.freshness.is_trusted(now_ms) {
            true => Ok(()),
            false => Err(DispatchHold::Unconfirmed),
        }
    }

    /// Tells whether the agent refuses new work; reported with its load.
    pub fn is_draining(&self) -> bool {
        self.refusal().is_some()
    }

    fn refusal(&self) -> Option<Reason> {
        if self.is_stopping {
            return Some(Reason::Stopping);
        }
        if !self.has_control_state {
            return Some(Reason::NoConfiguration);
        }
        if self.is_leaving || self.is_listed_leaving {
            return Some(Reason::Leaving);
        }
        if self.is_data_centre_out {
            return Some(Reason::DataCentreOut);
        }
        None
    }

    fn change_from(&self, before: Option<Reason>) -> GateChange {
        match (before, self.refusal()) {
            (None, Some(_)) if self.mechanisms.is_disabled(Sabotage::RefuseQueued) => {
                GateChange::Unchanged
            }
            (None, Some(reason)) => GateChange::Closed(reason),
            (Some(_), None) => GateChange::Opened,
            _ => GateChange::Unchanged,
        }
    }
}
