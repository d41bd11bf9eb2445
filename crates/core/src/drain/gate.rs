//! Gate for new work at an agent.

use super::{Freshness, FreshnessSettings, Sabotage};
use crate::{control::ControlState, membership::InstanceState, outcome::Reason, switch::Switch};

/// What a gate stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateSettings {
    /// Name of the upstream.
    pub upstream: String,
    /// Data centre that the upstream stands in.
    pub data_centre: String,
    /// Limits of pause detection.
    pub freshness: FreshnessSettings,
}

/// Why a queued call may not be dispatched now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchHold {
    /// The call has to wait until the control state is confirmed or the grace has passed.
    Unconfirmed,
    /// The call is handed back as not run.
    Refused(Reason),
}

/// Effect of an event on the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateChange {
    /// The gate stays as it was.
    Unchanged,
    /// The gate accepts new work again.
    Opened,
    /// The gate has closed; every queued call is handed back as not run with this reason, at once.
    Closed(Reason),
}

/// Decides whether an agent takes new work for its upstream; work in progress is never affected.
#[derive(Clone, Debug)]
pub struct Gate {
    upstream: String,
    data_centre: String,
    freshness: Freshness,
    has_control_state: bool,
    is_data_centre_out: bool,
    is_leaving: bool,
    is_listed_leaving: bool,
    list_version: u64,
    is_stopping: bool,
    switch: Switch<Sabotage>,
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
            switch: Switch::new(),
        }
    }

    /// Turns one mechanism off.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.switch.turn_off(mechanism);
        self.freshness.sabotage(mechanism);
    }

    /// Takes over the control state of the process.
    pub fn set_control(&mut self, control: &ControlState) -> GateChange {
        let before = self.refusal();
        self.has_control_state = control.serving_document().is_ok();
        if let Some(operations) = control.operations()
            && !self.switch.is_off(Sabotage::Operations)
        {
            self.is_data_centre_out = operations.is_data_centre_out(&self.data_centre);
            self.is_leaving = operations.is_upstream_leaving(&self.upstream);
        }
        self.change_since(before)
    }

    /// Takes over the upstream's state in the instance list of version `list_version`.
    ///
    /// The list lags and may be read from different replicas, so an older version is ignored.
    pub fn set_listed(&mut self, list_version: u64, state: InstanceState) -> GateChange {
        let before = self.refusal();
        if list_version < self.list_version && !self.switch.is_off(Sabotage::ListVersion) {
            return GateChange::Unchanged;
        }
        self.list_version = list_version;
        self.is_listed_leaving = state == InstanceState::Leaving;
        self.change_since(before)
    }

    /// Notes that the process was told to stop, for good.
    pub fn stop(&mut self) -> GateChange {
        let before = self.refusal();
        self.is_stopping = true;
        self.change_since(before)
    }

    /// Notes that the process runs; returns true if it was paused since the last tick.
    pub fn tick(&mut self, now_ms: u64) -> bool {
        self.freshness.tick(now_ms).is_some()
    }

    /// Notes an answer about the control state; see [`Freshness::confirm`].
    pub fn confirm(&mut self, sent_ms: u64, age_ms: u64) {
        self.freshness.confirm(sent_ms, age_ms);
    }

    /// Tells whether queued calls wait for a confirmation after a pause.
    pub fn awaits_confirmation(&self) -> bool {
        self.freshness.awaits_confirmation()
    }

    /// Upper bound on the age of the control state, in milliseconds; none if it was never
    /// confirmed.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.freshness.age_ms(now_ms)
    }

    /// Tells whether the agent may take a new call into its queue.
    pub fn may_accept(&mut self, now_ms: u64) -> Result<(), Reason> {
        self.freshness.tick(now_ms);
        match self.refusal() {
            Some(reason) => Err(reason),
            None => Ok(()),
        }
    }

    /// Tells whether the agent may pass a queued call to the upstream; asked straight before it
    /// does.
    pub fn may_dispatch(&mut self, now_ms: u64) -> Result<(), DispatchHold> {
        if let Some(reason) = self.refusal() {
            return Err(DispatchHold::Refused(reason));
        }
        match self.freshness.is_trusted(now_ms) {
            true => Ok(()),
            false => Err(DispatchHold::Unconfirmed),
        }
    }

    /// Tells whether the agent refuses new work, for the load that it reports.
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

    fn change_since(&self, before: Option<Reason>) -> GateChange {
        match (before, self.refusal()) {
            (None, Some(_)) if self.switch.is_off(Sabotage::HandBack) => GateChange::Unchanged,
            (None, Some(reason)) => GateChange::Closed(reason),
            (Some(_), None) => GateChange::Opened,
            _ => GateChange::Unchanged,
        }
    }
}
