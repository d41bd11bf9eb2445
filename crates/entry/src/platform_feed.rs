//! Reads the control state and watches the instance list on the platform.
//!
//! The control state is read by a few entries of each data centre. The other entries read it only
//! if gossip has not confirmed it recently. So the number of platform reads does not grow with the
//! number of entries.

use std::{sync::Arc, time::Duration};

use log::warn;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    FastMap,
    control::{ControlUpdate, OperationsRecord, StoredConfig, StoredOperations},
    membership::InstanceRecord,
};
use yuccatrail_platform::{
    CURRENT, Client, Kind, PlatformError, WatchUpdate, Watcher, WatcherSettings,
};
use yuccatrail_rpc::messages::Ages;

use crate::entry::Entry;

/// Interval at which the age of the control state is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age at which a reader refreshes the operational state, in milliseconds.
const OPERATIONS_STALE_MS: u64 = 1_000;
/// Age at which a reader refreshes the environment document, in milliseconds.
const CONFIG_STALE_MS: u64 = 2_000;
/// Age at which an entry that is not a reader refreshes the control state, in milliseconds.
const NON_READER_STALE_MS: u64 = 3_500;
/// Number of entries in each data centre that read the platform on behalf of all.
const READERS_PER_DATA_CENTRE: usize = 2;
/// Maximum jitter added to the age limits, in milliseconds, so that usually a single entry reads
/// and the others get the state from it.
const STALE_JITTER_MS: u64 = 400;
/// Source of control updates in log messages.
const UPDATE_SOURCE: &str = "platform";

/// Refreshes stale control state until `stop` is cancelled.
pub(crate) async fn read_control(entry: Arc<Entry>, client: Client, stop: CancellationToken) {
    while !stop.is_cancelled() {
        if let Err(error) = refresh_stale(&entry, &client).await {
            warn!(error:% = error; "platform read failed");
        }
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = stop.cancelled() => {}
        }
    }
}

/// Watches the instance list and applies its changes until `stop` is cancelled.
pub(crate) async fn follow_instances(entry: Arc<Entry>, client: Client, stop: CancellationToken) {
    let (watcher, mut updates) = Watcher::start::<InstanceRecord>(
        client,
        Kind::Instances,
        WatcherSettings::default(),
        &stop,
    );
    let mut instances = FastMap::default();
    while let Some(update) = updates.recv().await {
        match update {
            WatchUpdate::Snapshot(objects) => {
                instances = objects.into_iter().map(|it| (it.name, it.spec)).collect();
            }
            WatchUpdate::Changed(object) => {
                instances.insert(object.name, object.spec);
            }
            WatchUpdate::Deleted(object) => {
                instances.remove(&object.name);
            }
            WatchUpdate::Unavailable(error) => {
                warn!(error:% = error; "instance list unavailable; continuing with the last one");
                continue;
            }
            WatchUpdate::Available => continue,
        }
        entry.fleet.apply_list(instances.values().cloned().collect());
    }
    watcher.close().await;
}

async fn refresh_stale(entry: &Entry, client: &Client) -> Result<(), PlatformError> {
    let now_ms = entry.clock.now_ms();
    let ages = entry.control.ages(now_ms);
    let (operations_limit_ms, config_limit_ms) = match is_reader(entry) {
        true => (OPERATIONS_STALE_MS, CONFIG_STALE_MS),
        false => (NON_READER_STALE_MS, NON_READER_STALE_MS),
    };
    if is_stale(ages.operations_ms, operations_limit_ms) {
        read_operations(entry, client, now_ms).await?;
    }
    if is_stale(ages.config_ms, config_limit_ms) {
        read_config(entry, client, now_ms).await?;
    }
    Ok(())
}

/// Returns whether the entry is a reader, one of the first entries of its data centre by name.
///
/// An unlisted entry counts as a reader, because it cannot rely on its peers. If all readers fail,
/// the state of the other entries becomes stale and they read it themselves.
fn is_reader(entry: &Entry) -> bool {
    let mut names = Vec::new();
    for instance in entry.fleet.entries() {
        if instance.data_centre == entry.data_centre {
            names.push(instance.name);
        }
    }
    names.sort_unstable();
    let position = names.iter().position(|it| *it == entry.name);
    position.is_none_or(|it| it < READERS_PER_DATA_CENTRE)
}

fn is_stale(age_ms: Option<u64>, limit_ms: u64) -> bool {
    let jitter_ms = rand::random::<u64>() % STALE_JITTER_MS;
    age_ms.is_none_or(|it| it > limit_ms + jitter_ms)
}

async fn read_operations(
    entry: &Entry,
    client: &Client,
    sent_ms: u64,
) -> Result<(), PlatformError> {
    let stored = client.get::<StoredOperations>(Kind::Operations, CURRENT).await?;
    let record = stored.map_or_else(OperationsRecord::initial, |it| it.spec.record);
    let update = ControlUpdate { config: None, operations: Some(record) };
    entry.control.adopt(update, UPDATE_SOURCE);
    entry.control.confirm(sent_ms, Ages { config_ms: None, operations_ms: Some(0) });
    Ok(())
}

async fn read_config(entry: &Entry, client: &Client, sent_ms: u64) -> Result<(), PlatformError> {
    let stored = client.get::<StoredConfig>(Kind::Environments, CURRENT).await?;
    let update = ControlUpdate { config: stored.map(|it| it.spec.record), operations: None };
    entry.control.adopt(update, UPDATE_SOURCE);
    entry.control.confirm(sent_ms, Ages { config_ms: Some(0), operations_ms: None });
    Ok(())
}
