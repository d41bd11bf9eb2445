//! Tests of leases, fences and orders.

use super::*;

const SETTINGS: LeaseSettings =
    LeaseSettings { duration_ms: 1_000, margin_ms: 200, interval_ms: 250 };

fn keeper(token: u128) -> LeaseKeeper {
    LeaseKeeper::new(SETTINGS, HolderToken(token))
}

fn lease(holder: u128, fence: u64, write_number: u64) -> Lease {
    Lease {
        holder: HolderToken(holder),
        fence: FencingNumber(fence),
        write_number,
        duration_ms: 1_000,
    }
}

#[test]
fn acquires_a_missing_lease_and_counts_from_before_the_write() {
    let mut keeper = keeper(1);
    assert_eq!(keeper.tick(0), LeaseAction::Read);
    keeper.handle(10, LeaseEvent::Missing);
    let write = LeaseAction::Write { if_revision: None, lease: lease(1, 1, 1) };
    assert_eq!(keeper.tick(10), write);
    assert_eq!(keeper.may_act(20), None);
    keeper.handle(500, LeaseEvent::Written { revision: 1 });
    assert_eq!(keeper.may_act(809), Some(FencingNumber(1)));
    assert_eq!(keeper.may_act(810), None);
}

#[test]
fn settles_a_lost_answer_by_reading_back() {
    let mut keeper = keeper(1);
    keeper.tick(0);
    keeper.handle(0, LeaseEvent::Missing);
    keeper.tick(0);
    keeper.handle(100, LeaseEvent::AnswerLost);
    assert_eq!(keeper.tick(100), LeaseAction::Read);
    keeper.handle(110, LeaseEvent::Read { revision: 1, lease: lease(1, 1, 1) });
    assert_eq!(keeper.may_act(799), Some(FencingNumber(1)));
    assert_eq!(keeper.may_act(800), None);
}

#[test]
fn takes_over_only_a_lease_that_it_saw_unchanged_for_its_duration() {
    let mut keeper = keeper(2);
    let mut now_ms = 0;
    while now_ms < 1_000 {
        assert_eq!(keeper.tick(now_ms), LeaseAction::Read);
        keeper.handle(now_ms, LeaseEvent::Read { revision: 4, lease: lease(1, 7, 3) });
        now_ms += 250;
    }
    let write = LeaseAction::Write { if_revision: Some(4), lease: lease(2, 8, 1) };
    assert_eq!(keeper.tick(1_000), write);
    keeper.handle(1_010, LeaseEvent::Conflict);
    assert_eq!(keeper.tick(1_010), LeaseAction::Read);
}

#[test]
fn renews_with_the_same_number_and_takes_a_new_one_after_a_lapse() {
    let mut keeper = keeper(1);
    keeper.tick(0);
    keeper.handle(0, LeaseEvent::Missing);
    keeper.tick(0);
    keeper.handle(0, LeaseEvent::Written { revision: 1 });
    let renewal = LeaseAction::Write { if_revision: Some(1), lease: lease(1, 1, 2) };
    assert_eq!(keeper.tick(250), renewal);
    keeper.handle(260, LeaseEvent::Written { revision: 2 });
    assert_eq!(keeper.may_act(5_000), None);
    let acquisition = LeaseAction::Write { if_revision: Some(2), lease: lease(1, 2, 3) };
    assert_eq!(keeper.tick(5_000), acquisition);
}

#[test]
fn gives_the_lease_up_when_closed() {
    let mut keeper = keeper(1);
    keeper.tick(0);
    keeper.handle(0, LeaseEvent::Missing);
    keeper.tick(0);
    keeper.handle(0, LeaseEvent::Written { revision: 1 });
    let released = Lease { duration_ms: 0, ..lease(1, 1, 2) };
    let write = LeaseAction::Write { if_revision: Some(1), lease: released };
    assert_eq!(keeper.close(), Some(write));
}

#[test]
fn guards_the_upstream_against_old_orders() {
    let mut guard = FenceGuard::new(0, 0);
    assert_eq!(guard.begin(0, FencingNumber(5)), Err(FenceRefusal::Unconfirmed));
    guard.learn(FencingNumber(4));
    assert_eq!(guard.begin(0, FencingNumber(5)), Ok(()));
    assert_eq!(guard.begin(0, FencingNumber(5)), Err(FenceRefusal::Unsettled));
    guard.end(0, true);
    let highest = FencingNumber(5);
    assert_eq!(guard.begin(0, FencingNumber(4)), Err(FenceRefusal::Old { highest }));
}

#[test]
fn waits_until_an_order_without_answer_can_not_arrive_any_more() {
    let mut guard = FenceGuard::new(0, 100);
    guard.learn(FencingNumber(1));
    assert_eq!(guard.begin(99, FencingNumber(1)), Err(FenceRefusal::Unsettled));
    assert_eq!(guard.begin(100, FencingNumber(1)), Ok(()));
    guard.end(150, false);
    assert_eq!(guard.begin(249, FencingNumber(2)), Err(FenceRefusal::Unsettled));
    assert_eq!(guard.begin(250, FencingNumber(2)), Ok(()));
}

fn desired() -> DesiredPool {
    DesiredPool {
        pool: "models".to_owned(),
        fence: FencingNumber(3),
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

fn order(upstream: &str, action: OrderAction) -> Order {
    Order { upstream: upstream.to_owned(), fence: FencingNumber(3), action }
}

#[test]
fn loads_a_model_on_few_upstreams_at_a_time() {
    let orders = orders_for_pool(&desired(), &[observed("a", "1"), observed("b", "1")]);
    let action = OrderAction::LoadModel { model: "writer".to_owned(), version: "2".to_owned() };
    assert_eq!(orders, [order("a", action)]);
    let loading = ObservedUpstream { is_loading: true, ..observed("a", "2") };
    assert!(orders_for_pool(&desired(), &[loading, observed("b", "1")]).is_empty());
}

#[test]
fn changes_adapters_and_as_few_roles_as_possible() {
    let old = ObservedUpstream { adapters: vec!["drafts".to_owned()], ..observed("a", "2") };
    let prefill = ObservedUpstream {
        adapters: vec!["reports".to_owned()],
        role: Role::Prefill,
        ..observed("b", "2")
    };
    let orders = orders_for_pool(&desired(), &[old, prefill]);
    let unload = OrderAction::UnloadAdapter { adapter: "drafts".to_owned() };
    let load = OrderAction::LoadAdapter { adapter: "reports".to_owned() };
    assert_eq!(orders, [order("a", unload), order("a", load)]);
}
