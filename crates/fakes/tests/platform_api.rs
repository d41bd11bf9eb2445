//! Tests of the platform client against the platform stand-in.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::{client::legacy, rt::TokioExecutor};
use serde::{Deserialize, Serialize};
use yuccatrail_core::{
    control::{ChangeId, ConfigRecord, HistoryEntry, Stored, StoredConfig},
    ids::Digest,
};
use yuccatrail_fakes::platform::{
    Counters, FakePlatform, FakePlatformSettings, Outage, PlatformSwitches,
};
use yuccatrail_platform::{
    BudgetSettings, CallCounts, Client, ClientSettings, Kind, MAX_VALUE_BYTES, PlatformError,
    ResourceVersion, WatchEvent,
};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Spec {
    holder: String,
}

fn spec(holder: &str) -> Spec {
    Spec { holder: holder.to_owned() }
}

async fn start() -> (FakePlatform, Client) {
    let platform = FakePlatform::start(FakePlatformSettings::default()).await.unwrap();
    let client = Client::new(settings(&platform));
    (platform, client)
}

fn settings(platform: &FakePlatform) -> ClientSettings {
    ClientSettings {
        address: platform.address(),
        request_timeout_ms: 300,
        watch_timeout_s: 1,
        ..ClientSettings::default()
    }
}

#[tokio::test]
async fn objects_are_created_read_updated_and_deleted_conditionally() {
    let (platform, client) = start().await;
    assert_eq!(client.get::<Spec>(Kind::Leases, "pool-a").await, Ok(None));

    let created = client.create(Kind::Leases, "pool-a", &spec("one")).await.unwrap();
    assert_eq!(client.get(Kind::Leases, "pool-a").await, Ok(Some(created.clone())));
    assert!(matches!(
        client.create(Kind::Leases, "pool-a", &spec("two")).await,
        Err(PlatformError::AlreadyExists { .. })
    ));

    let from = &created.resource_version;
    let updated = client.update(Kind::Leases, "pool-a", from, &spec("two")).await.unwrap();
    assert!(matches!(
        client.update(Kind::Leases, "pool-a", from, &spec("three")).await,
        Err(PlatformError::Conflict { .. })
    ));
    assert!(matches!(
        client.delete(Kind::Leases, "pool-a", Some(from)).await,
        Err(PlatformError::Conflict { .. })
    ));
    let list = client.list::<Spec>(Kind::Leases).await.unwrap();
    assert_eq!(list.objects, vec![updated.clone()]);

    assert_eq!(
        client.delete(Kind::Leases, "pool-a", Some(&updated.resource_version)).await,
        Ok(true)
    );
    assert_eq!(client.delete(Kind::Leases, "pool-a", None).await, Ok(false));
    assert!(matches!(
        client.update(Kind::Leases, "pool-a", &updated.resource_version, &spec("four")).await,
        Err(PlatformError::Conflict { .. })
    ));
    platform.close().await;
}

#[tokio::test]
async fn a_watch_delivers_each_change_of_its_kind_and_ends_with_a_bookmark() {
    let (platform, client) = start().await;
    let list = client.list::<Spec>(Kind::Leases).await.unwrap();
    let mut watch = client.watch::<Spec>(Kind::Leases, &list.resource_version).await.unwrap();

    client.create(Kind::Claims, "other", &spec("x")).await.unwrap();
    let added = client.create(Kind::Leases, "a", &spec("one")).await.unwrap();
    let from = &added.resource_version;
    let modified = client.update(Kind::Leases, "a", from, &spec("two")).await.unwrap();
    client.delete(Kind::Leases, "a", None).await.unwrap();

    assert_eq!(watch.next().await, Ok(Some(WatchEvent::Added(added))));
    assert_eq!(watch.next().await, Ok(Some(WatchEvent::Modified(modified))));
    let Ok(Some(WatchEvent::Deleted(deleted))) = watch.next().await else {
        panic!("a deletion is delivered")
    };
    assert_eq!(deleted.spec, spec("two"));
    assert!(matches!(watch.next().await, Ok(Some(WatchEvent::Bookmark(_)))));
    assert_eq!(watch.next().await, Ok(None));
    watch.close();
    platform.close().await;
}

#[tokio::test]
async fn a_watch_from_a_compacted_version_fails_as_gone() {
    let (platform, client) = start().await;
    client.create(Kind::Leases, "a", &spec("one")).await.unwrap();
    platform.compact();
    let from = ResourceVersion("0".to_owned());
    let watch = client.watch::<Spec>(Kind::Leases, &from).await;
    assert!(matches!(watch.err(), Some(PlatformError::Gone { .. })));
    platform.close().await;
}

#[tokio::test]
async fn a_lost_response_is_distinguished_from_a_refusal() {
    let (platform, client) = start().await;
    platform.set_switches(PlatformSwitches { lost_answers: 1, ..PlatformSwitches::default() });
    let lost = client.create(Kind::Claims, "a", &spec("one")).await;
    assert!(matches!(lost, Err(PlatformError::AnswerLost { .. })));
    let read_back = client.get::<Spec>(Kind::Claims, "a").await.unwrap();
    assert_eq!(read_back.map(|it| it.spec), Some(spec("one")));

    platform.set_switches(PlatformSwitches {
        outage: Some(Outage::Unavailable),
        ..PlatformSwitches::default()
    });
    let refused = client.create(Kind::Claims, "b", &spec("one")).await;
    let Err(PlatformError::Unavailable { retry_after_ms, .. }) = refused else {
        panic!("a write that got 503 with Retry-After is reported as unavailable")
    };
    assert_eq!(retry_after_ms, Some(1_000));

    for outage in [Outage::Error, Outage::Reset, Outage::Hang] {
        platform
            .set_switches(PlatformSwitches { outage: Some(outage), ..PlatformSwitches::default() });
        let write = client.create(Kind::Claims, "b", &spec("one")).await;
        assert!(matches!(write, Err(PlatformError::AnswerLost { .. })), "{outage:?}");
        let read = client.get::<Spec>(Kind::Claims, "b").await;
        assert!(matches!(read, Err(PlatformError::Unavailable { .. })), "{outage:?}");
    }
    platform.close().await;
}

#[tokio::test]
async fn a_write_without_a_connection_is_reported_as_unavailable() {
    let (platform, client) = start().await;
    platform.close().await;
    let write = client.create(Kind::Claims, "a", &spec("one")).await;
    assert!(matches!(write, Err(PlatformError::Unavailable { .. })));
}

#[tokio::test]
async fn a_stored_configuration_is_read_back_unchanged() {
    let (platform, client) = start().await;
    let text = "[[customer]]\nname = \"acme\"\n";
    let record =
        ConfigRecord { version: 1, digest: Digest::of(text.as_bytes()), text: Arc::from(text) };
    let entry =
        HistoryEntry { version: 1, digest: record.digest, change_id: ChangeId(u128::MAX - 1) };
    let stored = Stored { record, history: vec![entry] };
    client.create(Kind::Environments, "current", &stored).await.unwrap();
    let read = client.get::<StoredConfig>(Kind::Environments, "current").await.unwrap();
    assert_eq!(read.map(|it| it.spec), Some(stored));
    platform.close().await;
}

#[tokio::test]
async fn an_oversized_value_is_refused_before_it_is_sent() {
    let (platform, client) = start().await;
    let large = spec(&"x".repeat(MAX_VALUE_BYTES));
    let refused = client.create(Kind::Claims, "a", &large).await;
    let Err(PlatformError::TooLarge { object, limit_bytes, .. }) = refused else {
        panic!("a value above the limit is refused")
    };
    assert_eq!((object.as_str(), limit_bytes), ("production/claims/a", MAX_VALUE_BYTES));
    assert_eq!(platform.counters().writes, 0);
    platform.close().await;
}

#[tokio::test]
async fn a_name_that_is_not_valid_in_a_path_is_refused_before_it_is_sent() {
    let (platform, client) = start().await;
    for name in ["", "../current", "Current", "a?b", "-a"] {
        let read = client.get::<Spec>(Kind::Claims, name).await;
        assert!(matches!(read, Err(PlatformError::Invalid { .. })), "{name:?}");
    }
    assert_eq!(platform.counters().reads, 0);
    platform.close().await;
}

#[tokio::test]
async fn writes_above_the_rate_limit_of_the_platform_are_refused() {
    let settings =
        FakePlatformSettings { writes_per_second: 1.0, ..FakePlatformSettings::default() };
    let platform = FakePlatform::start(settings).await.unwrap();
    let client = Client::new(self::settings(&platform));
    let mut refused = 0;
    for number in 0..5 {
        match client.create(Kind::Claims, &format!("c{number}"), &spec("one")).await {
            Ok(_) => {}
            Err(PlatformError::Unavailable { retry_after_ms: Some(1_000), .. }) => refused += 1,
            Err(other) => panic!("{other}"),
        }
    }
    let counters = platform.counters();
    assert!(refused > 0);
    assert_eq!((counters.limited, counters.effects), (refused, 5 - refused));
    platform.close().await;
}

#[tokio::test]
async fn a_call_beyond_the_call_budget_is_refused_before_it_is_sent() {
    let platform = FakePlatform::start(FakePlatformSettings::default()).await.unwrap();
    let budget =
        BudgetSettings { writes_per_second: 0.001, max_wait_ms: 1, ..BudgetSettings::default() };
    let client = Client::new(ClientSettings { budget, ..settings(&platform) });
    client.create(Kind::Claims, "a", &spec("one")).await.unwrap();
    let refused = client.create(Kind::Claims, "b", &spec("one")).await;
    assert!(matches!(refused, Err(PlatformError::Unavailable { .. })));
    client.get::<Spec>(Kind::Claims, "a").await.unwrap();
    let expected = CallCounts { reads: 1, writes: 1, watches: 0, refused: 1 };
    assert_eq!(client.counts(), expected);
    assert_eq!(platform.counters().writes, 1);
    platform.close().await;
}

#[tokio::test]
async fn the_instance_list_lags_behind_and_other_lists_do_not() {
    let (platform, client) = start().await;
    client.create(Kind::Instances, "early", &spec("one")).await.unwrap();
    let lag = PlatformSwitches { instances_lag_ms: 3_600_000, ..PlatformSwitches::default() };
    platform.set_switches(lag);
    client.create(Kind::Instances, "late", &spec("one")).await.unwrap();
    client.create(Kind::Leases, "late", &spec("one")).await.unwrap();
    assert!(client.list::<Spec>(Kind::Instances).await.unwrap().objects.is_empty());
    assert_eq!(client.list::<Spec>(Kind::Leases).await.unwrap().objects.len(), 1);
    platform.set_switches(PlatformSwitches::default());
    assert_eq!(client.list::<Spec>(Kind::Instances).await.unwrap().objects.len(), 2);
    platform.close().await;
}

#[tokio::test]
async fn switches_and_counters_are_available_over_http() {
    let (platform, _) = start().await;
    let http = legacy::Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let base = format!("http://{}/fake", platform.address());
    let switches = r#"{ "outage": "reset", "lost_answers": 2 }"#;
    let request = Request::put(format!("{base}/switches")).body(Full::from(switches)).unwrap();
    assert_eq!(http.request(request).await.unwrap().status(), StatusCode::OK);
    let expected = PlatformSwitches {
        outage: Some(Outage::Reset),
        lost_answers: 2,
        ..PlatformSwitches::default()
    };
    assert_eq!(platform.switches(), expected);

    // The admin API remains available during an outage, so that a harness can end it.
    let response = http.get(format!("{base}/counters").parse().unwrap()).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(serde_json::from_slice::<Counters>(&body).unwrap(), platform.counters());

    let unknown = r#"{ "colour": 1 }"#;
    let request = Request::put(format!("{base}/switches")).body(Full::from(unknown)).unwrap();
    assert_eq!(http.request(request).await.unwrap().status(), StatusCode::BAD_REQUEST);
    platform.close().await;
}
