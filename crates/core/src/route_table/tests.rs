use crate::route_table::{
    Configuration, CustomerKeys, Denial, Route, RouteKind, RouteTable, Target,
};

fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 3,
        targets: vec![Target { service: service.into(), weight: 1.0 }],
        max_attempts: 2,
        stages: Vec::new(),
        allows_anonymous: false,
        is_resumable: false,
        target_gap_ms: None,
    }
}

fn table() -> RouteTable {
    let mut anonymous = route("b.example", "/open/", "other");
    anonymous.allows_anonymous = true;
    RouteTable::new(Configuration {
        version: 7,
        routes: vec![
            route("a.example", "/x/", "short").into(),
            route("a.example", "/x/deep/", "long").into(),
            anonymous.into(),
        ],
        customers: vec![CustomerKeys {
            name: "north".into(),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
            priority: Some(1),
        }],
        ..Configuration::default()
    })
}

#[test]
fn longest_matching_prefix_of_the_host_is_chosen() {
    let table = table();
    let authorized = table.authorize("a.example", "/x/deep/1", Some("k1")).unwrap();
    assert_eq!(authorized.route.select_service(0.5).unwrap().as_ref(), "long");
    let authorized = table.authorize("A.example:80", "/x/deeper", Some("k1")).unwrap();
    assert_eq!(authorized.route.select_service(0.5).unwrap().as_ref(), "short");
    assert_eq!(table.authorize("b.example", "/x/1", Some("k1")).unwrap_err(), Denial::NoRoute);
    assert_eq!(table.authorize("a.example", "/x", Some("k1")).unwrap_err(), Denial::NoRoute);
}

#[test]
fn api_key_determines_the_customer_and_priority() {
    let table = table();
    let authorized = table.authorize("a.example", "/x/1", Some("k2")).unwrap();
    assert_eq!(authorized.customer.as_deref(), Some("north"));
    assert_eq!(authorized.priority, 1);
    assert_eq!(table.authorize("a.example", "/x/1", Some("k3")).unwrap_err(), Denial::UnknownKey);
    assert_eq!(table.authorize("a.example", "/x/1", None).unwrap_err(), Denial::UnknownKey);
}

#[test]
fn anonymous_route_accepts_an_unknown_key_without_a_customer() {
    let table = table();
    let authorized = table.authorize("b.example", "/open/1", Some("unknown")).unwrap();
    assert_eq!(authorized.customer, None);
    assert_eq!(authorized.priority, 3);
}

#[test]
fn traffic_split_follows_the_weights() {
    let mut route = route("a.example", "/", "left");
    route.targets = vec![
        Target { service: "left".into(), weight: 90.0 },
        Target { service: "right".into(), weight: 10.0 },
    ];
    assert_eq!(route.select_service(0.0).unwrap().as_ref(), "left");
    assert_eq!(route.select_service(0.899).unwrap().as_ref(), "left");
    assert_eq!(route.select_service(0.901).unwrap().as_ref(), "right");
    assert_eq!(route.select_service(0.999_999).unwrap().as_ref(), "right");
}
