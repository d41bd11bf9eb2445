//! The platform's list of entries, and this entry's record in it.

use std::{sync::Arc, time::Duration};

use hyper::Method;
use log::{info, warn};
use tokio_util::sync::CancellationToken;
use yuccatrail_adapter::{
    EntryRecord, StoreChange, encode_entry, entries_protocol, entry_collection_path, entry_path,
};
use yuccatrail_core::{FastSet, ownership::ListedEntries};
use yuccatrail_platform::{Client, PlatformError, PollUpdate};

use crate::relay::{feed::Feed, state::Relay};

/// Delay between attempts to write this entry's record, in milliseconds.
const REGISTER_INTERVAL_MS: u64 = 500;
/// Longest delay before this entry's record is written again, in milliseconds.
const MAX_REWRITE_DELAY_MS: u64 = 2_000;
/// Interval at which entries that a restored list lacks are checked.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for removing this entry's record during a graceful shutdown, in milliseconds; less than
/// the time left before the kill.
const UNREGISTER_LIMIT_MS: u64 = 300;

/// Follows the list of entries.
pub(crate) async fn follow_entries(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let mut feed = Feed::start(&relay, client, entries_protocol(), &stop);
    let mut listed = ListedEntries::default();
    loop {
        let removed = tokio::select! {
            update = feed.next() => match update {
                Some(update) => apply_update(&relay, &mut listed, update),
                None => break,
            },
            () = tokio::time::sleep(EXPIRY_INTERVAL) => listed.take_expired(relay.now_ms()),
        };
        for name in &removed {
            relay.peers.remove(name);
        }
        let mut names = relay.peers.names();
        names.push(relay.settings.name.clone());
        relay.upstreams().set_entries(names);
    }
    feed.close().await;
}

/// Applies an update of the list; returns the entries that are no longer listed.
fn apply_update(
    relay: &Relay,
    listed: &mut ListedEntries,
    update: PollUpdate<StoreChange<EntryRecord>>,
) -> Vec<String> {
    match update {
        PollUpdate::Snapshot { items, revision } => {
            let names: FastSet<String> = items.iter().filter_map(present_name).collect();
            if !names.contains(&relay.settings.name) {
                relay.peers.register_again();
            }
            let removed = listed.replace(names, revision, relay.now_ms());
            apply_changes(relay, listed, items);
            removed
        }
        PollUpdate::Changes { items, .. } => {
            apply_changes(relay, listed, items);
            Vec::new()
        }
        PollUpdate::Unavailable(_) | PollUpdate::Available => Vec::new(),
    }
}

fn apply_changes(
    relay: &Relay,
    listed: &mut ListedEntries,
    changes: Vec<StoreChange<EntryRecord>>,
) {
    for change in changes {
        match change {
            StoreChange::Present { name, content, .. } => {
                listed.add(&name);
                relay.peers.set_record(relay, &name, content);
            }
            StoreChange::Absent { name } => {
                listed.remove(&name);
                relay.peers.remove(&name);
            }
            StoreChange::Unreadable { name, detail } => {
                warn!(entry:% = name, detail:% = detail; "record of an entry can't be read");
            }
        }
    }
}

fn present_name(change: &StoreChange<EntryRecord>) -> Option<String> {
    match change {
        StoreChange::Present { name, .. } => Some(name.clone()),
        StoreChange::Absent { .. } | StoreChange::Unreadable { .. } => None,
    }
}

/// Keeps this entry's record in the platform, so that the other entries find it.
///
/// A platform that was restored from a copy may have lost it; the entries write theirs again at
/// different times.
pub(crate) async fn register(relay: Arc<Relay>, client: Client) {
    loop {
        write_record(&relay, &client).await;
        relay.peers.until_unregistered().await;
        let delay_ms = rand::random_range(0..MAX_REWRITE_DELAY_MS);
        info!(delay_ms = delay_ms; "platform does not list this entry, registering again");
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Writes this entry's record; retries until that succeeds.
async fn write_record(relay: &Relay, client: &Client) {
    let name = &relay.settings.name;
    let record = EntryRecord {
        peer_address: relay.settings.peer_listen,
        cpu_share: relay.settings.cpu_share,
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
