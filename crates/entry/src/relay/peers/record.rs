//! The platform's list of entries, and this entry's record in it.

use std::{sync::Arc, time::Duration};

use hyper::Method;
use log::{info, warn};
use tokio_util::sync::CancellationToken;
use yuccatrail_adapter::{
    EntryRecord, StoreChange, encode_entry, entries_protocol, entry_collection_path, entry_path,
};
use yuccatrail_core::FastSet;
use yuccatrail_platform::{Client, PlatformError, PollUpdate};

use crate::relay::{feed::Feed, state::Relay};

/// Delay between attempts to write this entry's record, in milliseconds.
const REGISTER_INTERVAL_MS: u64 = 500;
/// Timeout for removing this entry's record during a graceful shutdown, in milliseconds; less than
/// the time left before the kill.
const UNREGISTER_LIMIT_MS: u64 = 300;

/// Follows the list of entries.
pub(crate) async fn follow_entries(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let mut feed = Feed::start(&relay, client, entries_protocol(), &stop);
    while let Some(update) = feed.next().await {
        match update {
            PollUpdate::Snapshot { items, .. } => {
                let listed: FastSet<String> = items.iter().filter_map(present_name).collect();
                for name in relay.peers.names().iter().filter(|it| !listed.contains(*it)) {
                    relay.peers.remove(name);
                }
                apply_changes(&relay, items);
            }
            PollUpdate::Changes(changes) => apply_changes(&relay, changes.items),
            PollUpdate::Unavailable(_) | PollUpdate::Available => {}
        }
        let mut names = relay.peers.names();
        names.push(relay.settings.name.clone());
        relay.upstreams().set_entries(names);
    }
    feed.close().await;
}

fn apply_changes(relay: &Relay, changes: Vec<StoreChange<EntryRecord>>) {
    for change in changes {
        match change {
            StoreChange::Present { name, content } => {
                relay.peers.set_record(relay, &name, content);
            }
            StoreChange::Absent { name } => relay.peers.remove(&name),
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

/// Writes this entry's record, so that the other entries find it; retries until that succeeds.
pub(crate) async fn register(relay: Arc<Relay>, client: Client) {
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
