//! Feeds the control state and the instance list from the platform.
//!
//! The instance list is watched. The control state is read by a few entries of each data centre, and
//! by the others only when no peer has passed on a recent confirmation. So the reads of the platform
//! do not grow with the number of entries.

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

/// Time between two checks of the control state's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age from which on a reader reads the operational state again, in milliseconds.
const OPERATIONS_STALE_MS: u64 = 1_000;
/// Age from which on a reader reads the environment document again, in milliseconds.
const CONFIG_STALE_MS: u64 = 2_000;
/// Age from which on an entry reads that leaves this to the readers, in milliseconds.
const UNREAD_STALE_MS: u64 = 3_500;
/// Entries of each data centre that read the platform for all.
const READERS_A_DATA_CENTRE: usize = 2;
/// Largest random addition to a stale age, in milliseconds, so that one entry reads for all.
const STALE_JITTER_MS: u64 = 400;
/// Source named in the log.
const SOURCE: &str = "platform";

/// Reads the control state whenever it is stale, until `stop` is cancelled.
pub(crate) async fn read_control(entry: Arc<Entry>, client: Client, stop: CancellationToken) {
    while !stop.is_cancelled() {
        if let Err(error) = read_stale(&entry, &client).await {
            warn!(error:% = error; "platform read failed");
        }
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = stop.cancelled() => {}
        }
    }
}

/// Follows the instance list until `stop` is cancelled.
pub(crate) async fn follow_instances(entry: Arc<Entry>, client: Client, stop: CancellationToken) {
    let (watcher, mut updates) = Watcher::start::<InstanceRecord>(
        client,
        Kind::Instances,
        WatcherSettings::default(),
        &stop,
    );
    let mut listed = FastMap::default();
    while let Some(update) = updates.recv().await {
        match update {
            WatchUpdate::Snapshot(objects) => {
                listed = objects.into_iter().map(|it| (it.name, it.spec)).collect();
            }
            WatchUpdate::Changed(object) => {
                listed.insert(object.name, object.spec);
            }
            WatchUpdate::Deleted(object) => {
                listed.remove(&object.name);
            }
            WatchUpdate::Unavailable(error) => {
                warn!(error:% = error; "instance list unavailable; the last one stays in use");
                continue;
            }
            WatchUpdate::Available => continue,
        }
        entry.fleet.apply_list(listed.values().cloned().collect());
    }
    watcher.close().await;
}

async fn read_stale(entry: &Entry, client: &Client) -> Result<(), PlatformError> {
    let now_ms = entry.clock.now_ms();
    let ages = entry.control.ages(now_ms);
    let (operations_limit_ms, config_limit_ms) = match is_reader(entry) {
        true => (OPERATIONS_STALE_MS, CONFIG_STALE_MS),
        false => (UNREAD_STALE_MS, UNREAD_STALE_MS),
    };
    if is_stale(ages.operations_ms, operations_limit_ms) {
        read_operations(entry, client, now_ms).await?;
    }
    if is_stale(ages.config_ms, config_limit_ms) {
        read_config(entry, client, now_ms).await?;
    }
    Ok(())
}

/// Tells whether the entry is one of those that read for all, by the order of names in the list.
///
/// An entry that is not listed cannot rely on others. Should all readers fail, the others' knowledge
/// grows old and they read themselves.
fn is_reader(entry: &Entry) -> bool {
    let mut names = Vec::new();
    for instance in entry.fleet.entries() {
        if instance.data_centre == entry.data_centre {
            names.push(instance.name);
        }
    }
    names.sort_unstable();
    let position = names.iter().position(|it| *it == entry.name);
    position.is_none_or(|it| it < READERS_A_DATA_CENTRE)
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
    entry.control.adopt(update, SOURCE);
    entry.control.confirm(sent_ms, Ages { config_ms: None, operations_ms: Some(0) });
    Ok(())
}

async fn read_config(entry: &Entry, client: &Client, sent_ms: u64) -> Result<(), PlatformError> {
    let stored = client.get::<StoredConfig>(Kind::Environments, CURRENT).await?;
    let update = ControlUpdate { config: stored.map(|it| it.spec.record), operations: None };
    entry.control.adopt(update, SOURCE);
    entry.control.confirm(sent_ms, Ages { config_ms: Some(0), operations_ms: None });
    Ok(())
}
