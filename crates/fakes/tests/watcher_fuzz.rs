//! Fuzz test of the watcher: whichever faults occur, the consumer ends with the objects that the
//! platform holds.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use serde_json::{Value, json};
use tokio::{runtime::Runtime, sync::mpsc::Receiver};
use tokio_util::sync::CancellationToken;
use yuccatrail_fakes::platform::{FakePlatform, FakePlatformSettings, Outage, PlatformSwitches};
use yuccatrail_platform::{
    BackoffSettings, BudgetSettings, Client, ClientSettings, Kind, Object, WatchUpdate, Watcher,
    WatcherSettings,
};

const SEED: u64 = 7_301;
const CASES: u32 = 16;
const ENVIRONMENT: &str = "production";

/// Time after each event in which the watcher can react to it.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// Number of checks after which a condition counts as not reached.
const CHECKS: u32 = 1_000;
/// Time between two of these checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone, Debug)]
enum Event {
    Put(u8, u64),
    Remove(u8),
    StartOutage(Outage),
    SilenceWatches,
    ClearFaults,
    Compact,
    Wait(u64),
}

/// Objects that the platform holds: numbers by name.
type Model = BTreeMap<String, u64>;

struct Events;

impl ReferenceStateMachine for Events {
    type State = Model;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::new()).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Event> {
        let outage = prop_oneof![
            Just(Outage::Unavailable),
            Just(Outage::Error),
            Just(Outage::Reset),
            Just(Outage::Hang),
        ];
        prop_oneof![
            10 => (0..3_u8, any::<u64>()).prop_map(|(name, number)| Event::Put(name, number)),
            3 => (0..3_u8).prop_map(Event::Remove),
            3 => outage.prop_map(Event::StartOutage),
            1 => Just(Event::SilenceWatches),
            5 => Just(Event::ClearFaults),
            1 => Just(Event::Compact),
            2 => (1..60_u64).prop_map(Event::Wait),
        ]
        .boxed()
    }

    fn apply(mut model: Model, event: &Event) -> Model {
        match event {
            Event::Put(name, number) => {
                model.insert(object_name(*name), *number);
            }
            Event::Remove(name) => {
                model.remove(&object_name(*name));
            }
            _ => {}
        }
        model
    }
}

fn object_name(name: u8) -> String {
    format!("object-{name}")
}

/// Objects that the consumer holds: versions and numbers by name.
type Replica = BTreeMap<String, (u64, u64)>;

struct WatcherTest {
    runtime: Runtime,
    platform: FakePlatform,
    watcher: Watcher,
    replica: Arc<Mutex<Replica>>,
    model: Model,
}

impl StateMachineTest for WatcherTest {
    type SystemUnderTest = Self;
    type Reference = Events;

    fn init_test(model: &Model) -> Self {
        let runtime = Runtime::new().unwrap();
        let replica = Arc::new(Mutex::new(Replica::new()));
        let (platform, watcher) = runtime.block_on(start(replica.clone()));
        wait_until(|| platform.counters().watches > 0);
        Self { runtime, platform, watcher, replica, model: model.clone() }
    }

    fn apply(mut test: Self, model: &Model, event: Event) -> Self {
        let set_outage = |outage| {
            test.platform.set_switches(PlatformSwitches { outage, ..PlatformSwitches::default() })
        };
        match event {
            Event::Put(name, number) => {
                let spec = json!({ "number": number });
                test.platform.put(Kind::Leases, ENVIRONMENT, &object_name(name), spec);
            }
            Event::Remove(name) => {
                test.platform.remove(Kind::Leases, ENVIRONMENT, &object_name(name));
            }
            Event::StartOutage(outage) => set_outage(Some(outage)),
            Event::SilenceWatches => {
                let silent =
                    PlatformSwitches { silent_watches: true, ..PlatformSwitches::default() };
                test.platform.set_switches(silent);
            }
            Event::ClearFaults => set_outage(None),
            Event::Compact => test.platform.compact(),
            Event::Wait(ms) => std::thread::sleep(Duration::from_millis(ms)),
        }
        std::thread::sleep(EVENT_INTERVAL);
        test.model = model.clone();
        test
    }

    fn teardown(test: Self, _: Model) {
        test.platform.set_switches(PlatformSwitches::default());
        wait_until(|| numbers(&test.replica) == test.model);
        assert_eq!(numbers(&test.replica), test.model);
        test.runtime.block_on(async {
            test.watcher.close().await;
            test.platform.close().await;
        });
    }
}

/// Waits until a condition holds, at most for [`CHECKS`] checks.
fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..CHECKS {
        if condition() {
            return;
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
}

async fn start(replica: Arc<Mutex<Replica>>) -> (FakePlatform, Watcher) {
    let platform = FakePlatform::start(FakePlatformSettings::default()).await.unwrap();
    let budget = BudgetSettings {
        reads_per_second: 1_000.0,
        watches_per_second: 1_000.0,
        ..BudgetSettings::default()
    };
    let client = Client::new(ClientSettings {
        address: platform.address(),
        environment: ENVIRONMENT.to_owned(),
        request_timeout_ms: 50,
        watch_timeout_s: 1,
        budget,
        ..ClientSettings::default()
    });
    let settings = WatcherSettings {
        backoff: BackoffSettings { first_ms: 1, max_ms: 5 },
        max_silence_ms: 60_000,
        ..WatcherSettings::default()
    };
    let cancel = CancellationToken::new();
    let (watcher, updates) = Watcher::start(client, Kind::Leases, settings, &cancel);
    tokio::spawn(consume(updates, replica));
    (platform, watcher)
}

async fn consume(mut updates: Receiver<WatchUpdate<Value>>, replica: Arc<Mutex<Replica>>) {
    while let Some(update) = updates.recv().await {
        let mut replica = replica.lock().unwrap();
        match update {
            WatchUpdate::Snapshot(objects) => {
                let mut listed = Replica::new();
                for object in objects {
                    store_object(&mut listed, &replica, object);
                }
                *replica = listed;
            }
            WatchUpdate::Changed(object) => {
                let held = replica.clone();
                store_object(&mut replica, &held, object);
            }
            WatchUpdate::Deleted(object) => {
                replica.remove(&object.name);
            }
            WatchUpdate::Unavailable(_) | WatchUpdate::Available => {}
        }
    }
}

/// Stores an object; its version must not be older than that of the held one.
fn store_object(replica: &mut Replica, held: &Replica, object: Object<Value>) {
    let version: u64 = object.resource_version.0.parse().unwrap();
    let held_version = held.get(&object.name).map_or(0, |it| it.0);
    assert!(version >= held_version, "{} went back to version {version}", object.name);
    replica.insert(object.name, (version, object.spec["number"].as_u64().unwrap()));
}

fn numbers(replica: &Mutex<Replica>) -> Model {
    // If a version decreases, the consumer panics with the lock held, and locking it here fails the
    // test case.
    let replica = replica.lock().unwrap();
    replica.iter().map(|(name, (_, number))| (name.clone(), *number)).collect()
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 20,
        ..Config::default()
    })]

    #[test]
    fn the_consumer_ends_with_the_objects_of_the_platform(sequential 20..80 => WatcherTest);
}
