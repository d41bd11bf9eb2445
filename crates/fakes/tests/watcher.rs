//! Tests of the watcher against the platform stand-in: resumption, outages, a compacted history and
//! silent watches.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::Receiver;
use tokio_util::sync::CancellationToken;
use yuccatrail_fakes::platform::{FakePlatform, FakePlatformSettings, Outage, PlatformSwitches};
use yuccatrail_platform::{
    BackoffSettings, Client, ClientSettings, Kind, Object, WatchUpdate, Watcher, WatcherSettings,
};

/// Longest wait for an update; it only elapses when a test fails.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Spec {
    number: u32,
}

struct Fixture {
    platform: FakePlatform,
    client: Client,
    watcher: Watcher,
    updates: Receiver<WatchUpdate<Spec>>,
}

impl Fixture {
    async fn start(max_silence_ms: u64) -> Self {
        let platform = FakePlatform::start(FakePlatformSettings::default()).await.unwrap();
        let client = Client::new(ClientSettings {
            address: platform.address(),
            request_timeout_ms: 300,
            watch_timeout_s: 1,
            ..ClientSettings::default()
        });
        client.create(Kind::Operations, "first", &Spec { number: 0 }).await.unwrap();
        let settings = WatcherSettings {
            backoff: BackoffSettings { first_ms: 10, max_ms: 50 },
            max_silence_ms,
            ..WatcherSettings::default()
        };
        let cancel = CancellationToken::new();
        let (watcher, updates) =
            Watcher::start(client.clone(), Kind::Operations, settings, &cancel);
        Self { platform, client, watcher, updates }
    }

    async fn create(&self, name: &str, number: u32) -> Object<Spec> {
        self.client.create(Kind::Operations, name, &Spec { number }).await.unwrap()
    }

    async fn next(&mut self) -> WatchUpdate<Spec> {
        let next = tokio::time::timeout(UPDATE_TIMEOUT, self.updates.recv()).await;
        next.expect("an update arrives").expect("the watcher runs")
    }

    async fn next_snapshot(&mut self) -> Vec<Object<Spec>> {
        match self.next().await {
            WatchUpdate::Snapshot(objects) => objects,
            other => panic!("expected a snapshot, got {other:?}"),
        }
    }

    async fn close(self) {
        self.watcher.close().await;
        self.platform.close().await;
    }
}

#[tokio::test]
async fn changes_are_delivered_across_several_watches_without_a_gap() {
    let mut fixture = Fixture::start(60_000).await;
    assert_eq!(fixture.next_snapshot().await.len(), 1);
    let mut written = Vec::new();
    for number in 0..30 {
        written.push(WatchUpdate::Changed(fixture.create(&format!("n{number}"), number).await));
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    for expected in written {
        assert_eq!(fixture.next().await, expected);
    }
    assert!(fixture.platform.counters().watches >= 2, "the watch was resumed at least once");
    assert_eq!(fixture.client.counts().reads, 1, "resuming needs no further list");
    fixture.close().await;
}

#[tokio::test]
async fn the_watch_resumes_after_each_kind_of_outage() {
    let mut fixture = Fixture::start(60_000).await;
    fixture.next_snapshot().await;
    let outages = [Outage::Unavailable, Outage::Error, Outage::Reset, Outage::Hang];
    for (number, outage) in outages.into_iter().enumerate() {
        let down = PlatformSwitches { outage: Some(outage), ..PlatformSwitches::default() };
        fixture.platform.set_switches(down);
        assert!(matches!(fixture.next().await, WatchUpdate::Unavailable(_)), "{outage:?}");
        fixture.platform.set_switches(PlatformSwitches::default());
        let created = fixture.create(&format!("after-{number}"), 1).await;
        assert_eq!(fixture.next().await, WatchUpdate::Available, "{outage:?}");
        assert_eq!(fixture.next().await, WatchUpdate::Changed(created), "{outage:?}");
    }
    assert_eq!(fixture.client.counts().reads, 1, "resuming needs no further list");
    fixture.close().await;
}

#[tokio::test]
async fn the_watcher_relists_when_the_history_was_compacted() {
    let mut fixture = Fixture::start(60_000).await;
    fixture.next_snapshot().await;
    let down = PlatformSwitches { outage: Some(Outage::Reset), ..PlatformSwitches::default() };
    fixture.platform.set_switches(down);
    assert!(matches!(fixture.next().await, WatchUpdate::Unavailable(_)));

    // An object is written while the watcher gets no events.
    fixture
        .platform
        .set_switches(PlatformSwitches { silent_watches: true, ..PlatformSwitches::default() });
    let created = fixture.create("second", 2).await;
    fixture.platform.compact();
    fixture.platform.set_switches(PlatformSwitches::default());

    let mut update = fixture.next().await;
    if update == WatchUpdate::Available {
        update = fixture.next().await;
    }
    let WatchUpdate::Snapshot(objects) = update else {
        panic!("expected a snapshot, got {update:?}")
    };
    assert!(objects.contains(&created));
    assert_eq!(objects.len(), 2);
    fixture.close().await;
}

#[tokio::test]
async fn the_watcher_relists_when_its_watch_stays_silent() {
    let mut fixture = Fixture::start(500).await;
    fixture.next_snapshot().await;
    fixture
        .platform
        .set_switches(PlatformSwitches { silent_watches: true, ..PlatformSwitches::default() });
    let created = fixture.create("second", 2).await;
    for _ in 0..10 {
        if fixture.next_snapshot().await.contains(&created) {
            fixture.close().await;
            return;
        }
    }
    panic!("no list contained the change");
}

#[tokio::test]
async fn the_watcher_stops_when_its_receiver_is_closed() {
    let mut fixture = Fixture::start(60_000).await;
    fixture.next_snapshot().await;
    fixture.updates.close();
    fixture.create("second", 2).await;
    let finished = async {
        while !fixture.watcher.is_finished() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(UPDATE_TIMEOUT, finished).await.expect("the watcher stops by itself");
    fixture.close().await;
}
