//! This entry's record in the platform's list of entries.

use std::{sync::Arc, time::Duration};

use hyper::Method;
use log::{info, warn};
use yuccatrail_adapter::{EntryRecord, encode_entry, entry_collection_path, entry_path};
use yuccatrail_platform::{CallKind, Client, PlatformError};

use crate::relay::state::Relay;

/// Delay between attempts to write this entry's record, in milliseconds.
const REGISTER_INTERVAL_MS: u64 = 500;
/// Shortest delay before this entry's record is written again, in milliseconds; longer than the largest
/// delay between polls for changes of the list, so that a record that was written is listed by then.
const MIN_REWRITE_DELAY_MS: u64 = 1_000;
/// Longest delay before this entry's record is written again, in milliseconds.
const MAX_REWRITE_DELAY_MS: u64 = 2_000;
/// Timeout for removing this entry's record during a graceful shutdown, in milliseconds; less than
/// the time left before the kill.
const UNREGISTER_LIMIT_MS: u64 = 300;

/// Keeps this entry's record in the platform, so that the other entries find it.
///
/// A platform that was restored from a copy may have lost it; the entries write theirs again at
/// different times.
pub(crate) async fn register(relay: Arc<Relay>, client: Client) {
    write_record(&relay, &client).await;
    loop {
        relay.peers.until_unregistered().await;
        let delay_ms = rand::random_range(MIN_REWRITE_DELAY_MS..MAX_REWRITE_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let name = &relay.settings.name;
        // The list may have been read before the record was written; a later change of the list has
        // brought the record then, and reading it would cost a needless call.
        if relay.updates.is_entry_listed(name) {
            continue;
        }
        if client.read(CallKind::Read, name, &entry_path(name), 0).await.is_ok() {
            continue;
        }
        info!(delay_ms = delay_ms; "platform does not list this entry, registering again");
        write_record(&relay, &client).await;
    }
}

/// Writes this entry's record; retries until that succeeds.
async fn write_record(relay: &Relay, client: &Client) {
    let name = &relay.settings.name;
    let record = EntryRecord {
        peer_address: relay.settings.reachable_peer_address(),
        cpu_share: relay.settings.cpu_share,
        data_centre: relay.settings.data_centre.clone(),
    };
    let body = encode_entry(name, &record);
    let mut path = entry_collection_path();
    let mut method = Method::POST;
    loop {
        match client.write(name, method.clone(), &path, body.clone()).await {
            Ok(()) => {
                info!("registered this entry");
                return;
            }
            Err(PlatformError::Conflict { .. } | PlatformError::AlreadyExists { .. }) => {
                // The record is from an earlier run under the same name; replace it.
                method = Method::PUT;
                path = entry_path(name);
                continue;
            }
            Err(error) => warn!(error:% = error; "failed to register this entry, retrying"),
        }
        tokio::time::sleep(Duration::from_millis(REGISTER_INTERVAL_MS)).await;
    }
}

/// Removes this entry's record, so that the other entries no longer count it.
pub(crate) async fn unregister(relay: &Relay, client: &Client) {
    let name = &relay.settings.name;
    let path = entry_path(name);
    let removal = client.write(name, Method::DELETE, &path, bytes::Bytes::new());
    let limit = Duration::from_millis(UNREGISTER_LIMIT_MS);
    match tokio::time::timeout(limit, removal).await {
        Ok(Ok(())) => info!("unregistered this entry"),
        Ok(Err(error)) => warn!(error:% = error; "failed to unregister this entry"),
        Err(_) => warn!("failed to unregister this entry, the platform did not respond in time"),
    }
}
