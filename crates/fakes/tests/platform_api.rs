//! The platform client against the stand-in.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatrail_core::{
    control::{AuthorToken, ConfigRecord, HistoryEntry, Stored, StoredConfig},
    ids::Digest,
};
use yuccatrail_fakes::platform::{FakePlatform, FakeSettings, Outage, Switches};
use yuccatrail_platform::{
    Client, ClientSettings, Kind, PlatformError, ResourceVersion, WatchEvent,
};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Spec {
    holder: String,
}

fn spec(holder: &str) -> Spec {
    Spec { holder: holder.to_owned() }
}

async fn start() -> (FakePlatform, Client) {
    let platform = FakePlatform::start(FakeSettings::default()).await.unwrap();
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
async fn an_old_version_is_gone() {
    let (platform, client) = start().await;
    client.create(Kind::Leases, "a", &spec("one")).await.unwrap();
    platform.compact();
    let from = ResourceVersion("0".to_owned());
    let watch = client.watch::<Spec>(Kind::Leases, &from).await;
    assert!(matches!(watch.err(), Some(PlatformError::Gone { .. })));
    platform.close().await;
}

#[tokio::test]
async fn a_lost_answer_is_told_apart_from_a_refusal() {
    let (platform, client) = start().await;
    platform.set_switches(Switches { lost_answers: 1, ..Switches::default() });
    let lost = client.create(Kind::Claims, "a", &spec("one")).await;
    assert!(matches!(lost, Err(PlatformError::AnswerLost { .. })));
    let read_back = client.get::<Spec>(Kind::Claims, "a").await.unwrap();
    assert_eq!(read_back.map(|it| it.spec), Some(spec("one")));

    platform.set_switches(Switches { outage: Some(Outage::Unavailable), ..Switches::default() });
    let refused = client.create(Kind::Claims, "b", &spec("one")).await;
    let Err(PlatformError::Unavailable { retry_after_ms, .. }) = refused else {
        panic!("503 with Retry-After had no effect")
    };
    assert_eq!(retry_after_ms, Some(1_000));

    for outage in [Outage::Reset, Outage::Hang] {
        platform.set_switches(Switches { outage: Some(outage), ..Switches::default() });
        let write = client.create(Kind::Claims, "b", &spec("one")).await;
        assert!(matches!(write, Err(PlatformError::AnswerLost { .. })), "{outage:?}");
        let read = client.get::<Spec>(Kind::Claims, "b").await;
        assert!(matches!(read, Err(PlatformError::Unavailable { .. })), "{outage:?}");
    }
    platform.close().await;
}

#[tokio::test]
async fn a_refused_connection_had_no_effect() {
    let (platform, client) = start().await;
    platform.close().await;
    let write = client.create(Kind::Claims, "a", &spec("one")).await;
    assert!(matches!(write, Err(PlatformError::Unavailable { .. })));
}

#[tokio::test]
async fn a_stored_configuration_survives_the_json_of_the_platform() {
    let (platform, client) = start().await;
    let text = "[[customer]]\nname = \"acme\"\n";
    let record =
        ConfigRecord { version: 1, digest: Digest::of(text.as_bytes()), text: Arc::from(text) };
    let entry =
        HistoryEntry { version: 1, digest: record.digest, author: AuthorToken(u128::MAX - 1) };
    let stored = Stored { record, history: vec![entry] };
    client.create(Kind::Environments, "current", &stored).await.unwrap();
    let read = client.get::<StoredConfig>(Kind::Environments, "current").await.unwrap();
    assert_eq!(read.map(|it| it.spec), Some(stored));
    platform.close().await;
}
