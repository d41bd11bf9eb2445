//! Tests of leases, fencing and commands.

use super::*;

const SETTINGS: LeaseSettings =
    LeaseSettings { duration_ms: 1_000, margin_ms: 200, interval_ms: 250 };

fn manager(holder: u128) -> LeaseManager {
    LeaseManager::new(SETTINGS, HolderId(holder))
}

fn lease(holder: u128, fence: u64, write_number: u64) -> Lease {
    Lease { holder: HolderId(holder), fence: FencingToken(fence), write_number, duration_ms: 1_000 }
}

#[test]
fn missing_lease_is_acquired_with_validity_from_before_the_write() {
    let mut manager = manager(1);
    assert_eq!(manager.tick(0), LeaseAction::Read);
    manager.handle(10, LeaseEvent::Missing);
    let write = LeaseAction::Write { if_revision: None, lease: lease(1, 1, 1) };
    assert_eq!(manager.tick(10), write);
    assert_eq!(manager.valid_token(20), None);
    manager.handle(500, LeaseEvent::Written { revision: 1 });
    assert_eq!(manager.valid_token(809), Some(FencingToken(1)));
    assert_eq!(manager.valid_token(810), None);
}

#[test]
fn write_without_response_is_confirmed_by_reading_the_record() {
    let mut manager = manager(1);
    manager.tick(0);
    manager.handle(0, LeaseEvent::Missing);
    manager.tick(0);
    manager.handle(100, LeaseEvent::AnswerLost);
    assert_eq!(manager.tick(100), LeaseAction::Read);
    manager.handle(110, LeaseEvent::Read { revision: 1, lease: lease(1, 1, 1) });
    assert_eq!(manager.valid_token(799), Some(FencingToken(1)));
    assert_eq!(manager.valid_token(800), None);
}

#[test]
fn lease_of_another_holder_is_taken_over_once_unchanged_for_its_duration() {
    let mut manager = manager(2);
    let mut now_ms = 0;
    while now_ms < 1_000 {
        assert_eq!(manager.tick(now_ms), LeaseAction::Read);
        manager.handle(now_ms, LeaseEvent::Read { revision: 4, lease: lease(1, 7, 3) });
        now_ms += 250;
    }
    let write = LeaseAction::Write { if_revision: Some(4), lease: lease(2, 8, 1) };
    assert_eq!(manager.tick(1_000), write);
    manager.handle(1_010, LeaseEvent::Conflict);
    assert_eq!(manager.tick(1_010), LeaseAction::Read);
}

#[test]
fn renewal_keeps_the_token_and_acquisition_after_expiry_increases_it() {
    let mut manager = manager(1);
    manager.tick(0);
    manager.handle(0, LeaseEvent::Missing);
    manager.tick(0);
    manager.handle(0, LeaseEvent::Written { revision: 1 });
    let renewal = LeaseAction::Write { if_revision: Some(1), lease: lease(1, 1, 2) };
    assert_eq!(manager.tick(250), renewal);
    manager.handle(260, LeaseEvent::Written { revision: 2 });
    assert_eq!(manager.valid_token(5_000), None);
    let acquisition = LeaseAction::Write { if_revision: Some(2), lease: lease(1, 2, 3) };
    assert_eq!(manager.tick(5_000), acquisition);
}

#[test]
fn release_writes_a_lease_of_zero_duration() {
    let mut manager = manager(1);
    manager.tick(0);
    manager.handle(0, LeaseEvent::Missing);
    manager.tick(0);
    manager.handle(0, LeaseEvent::Written { revision: 1 });
    let released = Lease { duration_ms: 0, ..lease(1, 1, 2) };
    let write = LeaseAction::Write { if_revision: Some(1), lease: released };
    assert_eq!(manager.release(), Some(write));
}

#[test]
fn guard_refuses_unknown_or_stale_tokens_and_a_second_command_in_flight() {
    let mut guard = FenceGuard::new(0, 0);
    assert_eq!(guard.begin(0, FencingToken(5)), Err(FenceError::TokenUnknown));
    guard.record_token(FencingToken(4));
    assert_eq!(guard.begin(0, FencingToken(5)), Ok(()));
    assert_eq!(guard.begin(0, FencingToken(5)), Err(FenceError::CommandPending));
    guard.end(0, true);
    let highest = FencingToken(5);
    assert_eq!(guard.begin(0, FencingToken(4)), Err(FenceError::StaleToken { highest }));
}

#[test]
fn next_command_waits_until_an_unanswered_one_can_no_longer_arrive() {
    let mut guard = FenceGuard::new(0, 100);
    guard.record_token(FencingToken(1));
    assert_eq!(guard.begin(99, FencingToken(1)), Err(FenceError::CommandPending));
    assert_eq!(guard.begin(100, FencingToken(1)), Ok(()));
    guard.end(150, false);
    assert_eq!(guard.begin(249, FencingToken(2)), Err(FenceError::CommandPending));
    assert_eq!(guard.begin(250, FencingToken(2)), Ok(()));
}

fn desired() -> DesiredPool {
    DesiredPool {
        pool: "models".to_owned(),
        fence: FencingToken(3),
        model: "writer".to_owned(),
        model_version: "2".to_owned(),
        adapters: vec!["reports".to_owned()],
        roles: RoleCounts { prefill: 1, decode: 0 },
        max_loading: 1,
    }
}

fn observed(name: &str, version: &str) -> ObservedUpstream {
    ObservedUpstream {
        name: name.to_owned(),
        model: Some("writer".to_owned()),
        model_version: Some(version.to_owned()),
        ..ObservedUpstream::default()
    }
}

fn command(upstream: &str, action: CommandAction) -> Command {
    Command { upstream: upstream.to_owned(), fence: FencingToken(3), action }
}

#[test]
fn model_loads_are_limited_to_max_loading() {
    let commands = plan_commands(&desired(), &[observed("a", "1"), observed("b", "1")]);
    let action = CommandAction::LoadModel { model: "writer".to_owned(), version: "2".to_owned() };
    assert_eq!(commands, [command("a", action)]);
    let loading = ObservedUpstream { is_loading: true, ..observed("a", "2") };
    assert!(plan_commands(&desired(), &[loading, observed("b", "1")]).is_empty());
}

#[test]
fn adapters_are_reconciled_and_no_role_changes_needlessly() {
    let outdated = ObservedUpstream { adapters: vec!["drafts".to_owned()], ..observed("a", "2") };
    let prefill = ObservedUpstream {
        adapters: vec!["reports".to_owned()],
        role: Role::Prefill,
        ..observed("b", "2")
    };
    let commands = plan_commands(&desired(), &[outdated, prefill]);
    let unload = CommandAction::UnloadAdapter { adapter: "drafts".to_owned() };
    let load = CommandAction::LoadAdapter { adapter: "reports".to_owned() };
    assert_eq!(commands, [command("a", unload), command("a", load)]);
}
