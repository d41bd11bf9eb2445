use proptest::{prelude::*, test_runner::RngSeed};

use super::*;
use crate::route_table::{RouteKind, Target};

fn route(number: u32, service: u32) -> Arc<Route> {
    Arc::new(Route {
        name: format!("route-{number}"),
        host: format!("h{}.example", number % 3),
        path_prefix: format!("/{number}/"),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 3,
        targets: vec![Target { service: format!("s{service}").as_str().into(), weight: 1.0 }],
        max_attempts: 2,
        stages: Vec::new(),
        allows_anonymous: false,
        is_resumable: false,
        target_gap_ms: None,
    })
}

fn configuration(version: u64, routes: &[(u32, u32)]) -> Configuration {
    let routes = routes.iter().map(|(number, service)| route(*number, *service)).collect();
    Configuration { version, routes, ..Configuration::default() }
}

#[test]
fn added_routes_alone_are_part_of_the_change() {
    let base = configuration(1, &(0..1_000).map(|it| (it, 0)).collect::<Vec<_>>());
    let target = configuration(2, &(0..1_010).map(|it| (it, 0)).collect::<Vec<_>>());
    let change = ConfigurationChange::between(Some((base.id(), &base)), &target);
    assert_eq!(change.routes[0], RouteRun::Kept { first: 0, count: 1_000 });
    assert_eq!(change.routes[1], RouteRun::Added(target.routes[1_000..].to_vec()));
    assert_eq!(change.routes.len(), 2);
}

#[test]
fn a_change_is_applied_to_its_own_base_only() {
    let base = configuration(1, &[(1, 0), (2, 0)]);
    let same_number = configuration(1, &[(1, 0), (2, 1)]);
    let target = configuration(2, &[(1, 0), (3, 0)]);
    let change = ConfigurationChange::between(Some((base.id(), &base)), &target);
    assert_ne!(base.id(), same_number.id());
    assert_eq!(change.clone().apply(Some((same_number.id(), &same_number))), None);
    assert_eq!(change.clone().apply(None), None);
    let outside = RouteRun::Kept { first: 1, count: usize::MAX };
    let damaged = ConfigurationChange { routes: vec![outside], ..change.clone() };
    assert_eq!(damaged.apply(Some((base.id(), &base))), None);
    assert_eq!(change.apply(Some((base.id(), &base))), Some(target));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(3_604),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Routes may be added, removed, changed, moved and listed twice.
    #[test]
    fn a_change_leads_from_any_configuration_to_any_other(
        before in prop::collection::vec((0_u32..20, 0_u32..3), 0..40),
        after in prop::collection::vec((0_u32..20, 0_u32..3), 0..40),
        has_base in any::<bool>(),
    ) {
        let (base, target) = (configuration(4, &before), configuration(5, &after));
        let base = has_base.then_some((base.id(), &base));
        let change = ConfigurationChange::between(base, &target);
        prop_assert_eq!(change.apply(base), Some(target));
    }
}
