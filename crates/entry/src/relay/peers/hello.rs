//! Polls another entry with hellos, and fetches its lists where they are newer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use log::{info, warn};
use tarpc::client::Config;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    ownership::{EntryAddress, ReadingRole},
    upstreams::ListRevisions,
};
use yuccatrail_rpc::{entries::EntryPeerClient, transport};

use crate::relay::{
    peers::{Peer, context_for},
    rollouts,
    state::Relay,
    updates::log_evacuations,
};

/// Timeout of a hello, after which the entry counts as lost, in milliseconds; an entry short of CPU
/// time responds within 100 ms.
pub(crate) const HELLO_TIMEOUT_MS: u64 = 700;
/// Delay before reconnecting, in milliseconds.
const RECONNECT_MS: u64 = 300;
/// Keeps a connection to an entry and polls it until `stop` is cancelled.
pub(super) async fn poll_entry(
    relay: Arc<Relay>,
    name: String,
    address: SocketAddr,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        let detail = tokio::select! {
            detail = exchange_hellos(&relay, &name, address, &stop) => detail,
            () = stop.cancelled() => return,
        };
        relay.peers.record_loss(&name, &detail, &stop);
        tokio::time::sleep(Duration::from_millis(RECONNECT_MS)).await;
    }
}

/// Connects to an entry and sends hellos until one fails; returns the reason of the failure.
async fn exchange_hellos(
    relay: &Arc<Relay>,
    name: &str,
    address: SocketAddr,
    stop: &CancellationToken,
) -> String {
    let limit = Duration::from_millis(HELLO_TIMEOUT_MS);
    let transport = match tokio::time::timeout(limit, transport::connect(address)).await {
        Ok(Ok(transport)) => transport,
        Ok(Err(error)) => return error.to_string(),
        Err(_) => return "connecting timed out".to_owned(),
    };
    let client = EntryPeerClient::new(Config::default(), Box::pin(transport)).spawn();
    let peer = Peer { name: name.to_owned(), client, lost: CancellationToken::new() };
    let mut has_entries = false;
    // Position of the last own stream that the entry was told of.
    let mut told_streams = 0;
    loop {
        let strikes = relay.crashes.recent(relay.now_ms());
        let corrections = relay.upstreams().corrections(relay.now_ms());
        let context = context_for(HELLO_TIMEOUT_MS);
        let (begun, told) = match relay.peers.is_registrar(name) {
            true => relay.streams().begun_after(told_streams),
            false => (Vec::new(), told_streams),
        };
        let hello = peer.client.hello(context, own_address(relay), strikes, corrections, begun);
        match tokio::time::timeout(limit, hello).await {
            Ok(Ok(reply)) => {
                relay.configurations.offer(relay, &peer, reply.config_version, false);
                fetch_newer_lists(relay, &peer, reply.list_revisions).await;
                relay.crashes.merge(&reply.strikes, relay.now_ms());
                relay.merge_corrections(&reply.corrections);
                if let Some(versions) = &reply.versions {
                    relay.upstreams().merge_versions(versions, relay.now_ms());
                }
                told_streams = told;
                relay.peers.record_reply(name, reply, &peer, stop);
                rollouts::exchange(relay, &peer).await;
                if !has_entries {
                    has_entries = fetch_entries(relay, &peer).await;
                }
            }
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "hello timed out".to_owned(),
        }
        tokio::time::sleep(Duration::from_millis(relay.peers.hello_interval_ms())).await;
    }
}

/// Returns name, address and capacity of this entry.
pub(crate) fn own_address(relay: &Relay) -> EntryAddress {
    EntryAddress {
        name: relay.settings.name.clone(),
        peer_address: relay.settings.reachable_peer_address(),
        cpu_share: relay.settings.cpu_share,
        data_centre: relay.settings.data_centre.as_str().into(),
    }
}

/// Fetches the list of entries from another entry if the platform has not delivered it; returns
/// false if that failed.
async fn fetch_entries(relay: &Relay, peer: &Peer) -> bool {
    if relay.upstreams().has_entries() {
        return true;
    }
    match peer.client.entries(context_for(HELLO_TIMEOUT_MS)).await {
        Ok(entries) => {
            info!(entry:% = peer.name, entries = entries.len(); "fetched entries from another entry");
            for entry in entries {
                relay.peers.set_address(relay, entry);
            }
            true
        }
        Err(error) => {
            warn!(entry:% = peer.name, error:% = error; "failed to fetch entries from another entry");
            false
        }
    }
}

/// Fetches newer lists from an entry that follows the platform while this one does not.
async fn fetch_newer_lists(relay: &Arc<Relay>, peer: &Peer, revisions: Option<ListRevisions>) {
    let is_newer = |it: ListRevisions| it.has_newer_than(relay.upstreams().revisions());
    let waits_for_source = relay.reading.role() == ReadingRole::Starts;
    if waits_for_source || relay.follows_platform() || !revisions.is_some_and(is_newer) {
        return;
    }
    let lists = match peer.client.beliefs(context_for(HELLO_TIMEOUT_MS)).await {
        Ok(Some(lists)) => lists,
        Ok(None) => return,
        Err(error) => {
            warn!(entry:% = peer.name, error:% = error; "failed to fetch newer lists");
            return;
        }
    };
    // The platform's lists may have arrived meanwhile.
    if relay.follows_platform() {
        return;
    }
    let now_ms = relay.now_ms();
    let mut upstreams = relay.upstreams();
    info!(
        entry:% = peer.name,
        upstreams = lists.upstreams.len(),
        revision:% = lists.revisions.upstreams,
        known_revision:% = upstreams.revisions().upstreams;
        "fetched lists from another entry"
    );
    let changed = upstreams.adopt_newer(lists, now_ms);
    drop(upstreams);
    log_evacuations(&changed);
    relay.stages.start_all_calls(relay);
}
