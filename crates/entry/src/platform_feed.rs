//! Feeds the control state and the instance list from the platform.

use std::{sync::Arc, time::Duration};

use log::warn;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    control::{ControlUpdate, OperationsRecord, StoredConfig, StoredOperations},
    membership::InstanceRecord,
};
use yuccatrail_platform::{Client, Kind, PlatformError};

use crate::entry::Entry;

/// Time between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Name of the one environment object and of the one operations object.
const CURRENT: &str = "current";
/// Source named in the log.
const SOURCE: &str = "platform";

/// Reads the platform until `stop` is cancelled.
pub(crate) async fn run(entry: Arc<Entry>, client: Client, stop: CancellationToken) {
    while !stop.is_cancelled() {
        if let Err(error) = read(&entry, &client).await {
            warn!(error:% = error; "platform read failed");
        }
        tokio::select! {
            () = tokio::time::sleep(READ_INTERVAL) => {}
            () = stop.cancelled() => {}
        }
    }
}

async fn read(entry: &Arc<Entry>, client: &Client) -> Result<(), PlatformError> {
    let sent_ms = entry.clock.now_ms();
    let config = client.get::<StoredConfig>(Kind::Environments, CURRENT).await?;
    let operations = client.get::<StoredOperations>(Kind::Operations, CURRENT).await?;
    let operations = operations.map_or_else(OperationsRecord::initial, |it| it.spec.record);
    let update =
        ControlUpdate { config: config.map(|it| it.spec.record), operations: Some(operations) };
    entry.control.adopt(update, SOURCE);
    entry.control.confirm(sent_ms, 0);
    let listed = client.list::<InstanceRecord>(Kind::Instances).await?;
    let mut instances = Vec::new();
    for object in listed.objects {
        instances.push(object.spec);
    }
    entry.fleet.apply(&instances);
    Ok(())
}
