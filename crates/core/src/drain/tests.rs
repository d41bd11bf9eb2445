//! Tests of the gate for new work and of graceful shutdowns.

use std::sync::Arc;

use super::*;
use crate::{
    control::{ConfigRecord, ControlState, ControlUpdate, OperationsChange, OperationsRecord},
    ids::Digest,
    membership::InstanceState,
    outcome::Reason,
};

fn gate() -> Gate {
    let settings = GateSettings {
        upstream: "engine-1".to_owned(),
        data_centre: "east".to_owned(),
        freshness: FreshnessSettings::default(),
    };
    Gate::new(settings, 0)
}

fn control(changes: &[OperationsChange]) -> ControlState {
    let mut operations = OperationsRecord::initial();
    for change in changes {
        operations = operations.with_change(change).unwrap();
    }
    let config = ConfigRecord { version: 1, digest: Digest::of(b""), text: Arc::from("") };
    let mut state = ControlState::new();
    state.adopt(ControlUpdate { config: Some(config), operations: Some(operations) });
    state
}

fn open_gate() -> Gate {
    let mut gate = gate();
    assert_eq!(gate.set_control(&control(&[])), GateChange::Opened);
    gate
}

#[test]
fn gate_refuses_all_work_without_control_state() {
    let mut gate = gate();
    assert_eq!(gate.may_accept(0), Err(Reason::NoConfiguration));
    gate.set_control(&control(&[]));
    assert_eq!(gate.may_accept(0), Ok(()));
    assert_eq!(gate.may_dispatch(0), Ok(()));
}

#[test]
fn gate_closes_when_its_upstream_or_data_centre_is_taken_out() {
    let mut gate = open_gate();
    let other = control(&[OperationsChange::DataCentreOut("west".to_owned())]);
    assert_eq!(gate.set_control(&other), GateChange::Unchanged);
    let own = control(&[OperationsChange::DataCentreOut("east".to_owned())]);
    assert_eq!(gate.set_control(&own), GateChange::Closed(Reason::DataCentreOut));
    assert_eq!(gate.may_dispatch(0), Err(DispatchHold::Refused(Reason::DataCentreOut)));
    assert_eq!(gate.set_control(&other), GateChange::Opened);
    let leaving = control(&[OperationsChange::UpstreamLeave("engine-1".to_owned())]);
    assert_eq!(gate.set_control(&leaving), GateChange::Closed(Reason::Leaving));
}

#[test]
fn gate_ignores_an_older_instance_list() {
    let mut gate = open_gate();
    assert_eq!(gate.set_listed(5, InstanceState::Leaving), GateChange::Closed(Reason::Leaving));
    assert_eq!(gate.set_listed(4, InstanceState::Live), GateChange::Unchanged);
    assert_eq!(gate.may_accept(0), Err(Reason::Leaving));
    assert_eq!(gate.set_listed(6, InstanceState::Live), GateChange::Opened);
}

#[test]
fn queued_work_waits_after_a_pause_until_control_state_is_confirmed() {
    let mut gate = open_gate();
    assert!(!gate.tick(500));
    assert_eq!(gate.may_dispatch(5_000), Err(DispatchHold::Unconfirmed));
    // The request was sent before the pause.
    gate.confirm(400, 0);
    assert_eq!(gate.may_dispatch(5_010), Err(DispatchHold::Unconfirmed));
    // The peer's own control state was last confirmed before the end of the pause.
    gate.confirm(5_020, 100);
    assert_eq!(gate.may_dispatch(5_030), Err(DispatchHold::Unconfirmed));
    gate.confirm(5_020, 20);
    assert_eq!(gate.may_dispatch(5_040), Ok(()));
}

#[test]
fn dispatch_resumes_after_the_grace_period_without_confirmation() {
    let mut gate = open_gate();
    assert!(gate.tick(5_000));
    for now_ms in [5_500, 6_000, 6_500, 6_999] {
        assert_eq!(gate.may_dispatch(now_ms), Err(DispatchHold::Unconfirmed));
    }
    assert_eq!(gate.may_dispatch(7_000), Ok(()));
}

#[test]
fn stopped_gate_never_opens_again() {
    let mut gate = open_gate();
    assert_eq!(gate.stop(), GateChange::Closed(Reason::Stopping));
    assert_eq!(gate.set_control(&control(&[])), GateChange::Unchanged);
    assert_eq!(gate.may_accept(0), Err(Reason::Stopping));
}

#[test]
fn shutdown_finishes_once_no_call_is_in_progress() {
    let mut shutdown =
        GracefulShutdown::new(ShutdownSettings { notice_ms: 100, time_limit_ms: None });
    assert_eq!(shutdown.advance(0, 0), ShutdownPhase::Running);
    shutdown.begin(1_000);
    assert!(!shutdown.is_ready());
    assert_eq!(shutdown.advance(1_050, 0), ShutdownPhase::Draining);
    assert_eq!(shutdown.advance(900_000, 1), ShutdownPhase::Draining);
    assert_eq!(shutdown.advance(900_001, 0), ShutdownPhase::Finished { cut: 0 });
}

#[test]
fn shutdown_reports_the_calls_aborted_at_the_time_limit() {
    let mut shutdown =
        GracefulShutdown::new(ShutdownSettings { notice_ms: 0, time_limit_ms: Some(50) });
    shutdown.begin(0);
    shutdown.begin(40);
    assert_eq!(shutdown.advance(49, 3), ShutdownPhase::Draining);
    assert_eq!(shutdown.advance(50, 3), ShutdownPhase::Finished { cut: 3 });
}
