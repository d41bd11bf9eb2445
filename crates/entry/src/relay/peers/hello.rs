//! Asks another entry again and again, and takes over what it knows better.

#[cfg(test)]
mod tests;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use log::{info, warn};
use tarpc::client::Config;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{route_table::RouteTable, upstreams::ListRevisions};
use yuccatrail_rpc::{
    entries::{EntryAddress, EntryPeerClient},
    transport,
};

use crate::relay::{
    feed::log_evacuations,
    peers::{Peer, context_for, record_address},
    state::{Relay, lock},
};

/// Time after which an unanswered question means that the entry is gone, in milliseconds; an entry
/// short of processor time answers in a hundred.
const HELLO_TIMEOUT_MS: u64 = 700;
/// Time between two attempts to connect, in milliseconds.
const RECONNECT_MS: u64 = 300;
/// Time for which the platform is given to tell of a configuration that another entry has, in
/// milliseconds: its answers are gathered for 250, and two seconds are the bound.
const PLATFORM_DELIVERY_GRACE_MS: u64 = 600;

/// A configuration that another entry has and this one lacks.
#[derive(Default)]
pub(super) struct MissingConfiguration {
    /// Its version, and the time at which it was first heard of, in milliseconds.
    first_offer: Option<(u64, u64)>,
    /// Time until which an entry is being asked for it, in milliseconds.
    fetching_until_ms: u64,
}

impl MissingConfiguration {
    /// Notes that another entry has a version; tells whether it is time to ask for it.
    ///
    /// A whole configuration takes a narrow link tens of milliseconds, so it is asked for only where
    /// the platform has not told of it in time, and from one entry. An entry without any asks at once.
    fn begin_fetch(&mut self, own: Option<u64>, offered: u64, now_ms: u64) -> bool {
        let (_, since_ms) = match self.first_offer.filter(|(version, _)| own < Some(*version)) {
            Some(first_offer) => first_offer,
            None => *self.first_offer.insert((offered, now_ms)),
        };
        let is_within_grace = own.is_some() && now_ms < since_ms + PLATFORM_DELIVERY_GRACE_MS;
        if is_within_grace || now_ms < self.fetching_until_ms {
            return false;
        }
        self.fetching_until_ms = now_ms + HELLO_TIMEOUT_MS;
        true
    }
}

/// Keeps a connection to an entry and asks it again and again.
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

/// Returns why the conversation ended.
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
    loop {
        let strikes = relay.crashes.recent(relay.now_ms());
        let hello = peer.client.hello(context_for(HELLO_TIMEOUT_MS), own_address(relay), strikes);
        match tokio::time::timeout(limit, hello).await {
            Ok(Ok(reply)) => {
                fetch_newer_configuration(relay, &peer, reply.config_version).await;
                fetch_newer_lists(relay, &peer, reply.list_revisions).await;
                relay.crashes.merge(&reply.strikes, relay.now_ms());
                relay.peers.record_reply(name, reply, &peer, stop);
                if !has_entries {
                    has_entries = fetch_entries(relay, &peer).await;
                }
            }
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "no answer in time".to_owned(),
        }
        tokio::time::sleep(Duration::from_millis(relay.peers.hello_interval_ms())).await;
    }
}

fn own_address(relay: &Relay) -> EntryAddress {
    EntryAddress {
        name: relay.settings.name.clone(),
        peer_address: relay.settings.peer_listen,
        cpu_share: relay.settings.cpu_share,
    }
}

/// Learns of the other entries where the platform tells of none; returns whether that is done.
async fn fetch_entries(relay: &Relay, peer: &Peer) -> bool {
    if relay.upstreams().has_platform_list() {
        return true;
    }
    match peer.client.entries(context_for(HELLO_TIMEOUT_MS)).await {
        Ok(entries) => {
            info!(entry:% = peer.name, entries = entries.len(); "entries heard from an entry");
            for entry in entries {
                record_address(relay, entry);
            }
            true
        }
        Err(error) => {
            warn!(entry:% = peer.name, error:% = error; "other entries not heard");
            false
        }
    }
}

/// Takes over a newer configuration from an entry that the store has told of it.
async fn fetch_newer_configuration(relay: &Relay, peer: &Peer, version: Option<u64>) {
    let own = relay.table().map(|it| it.version());
    let Some(offered) = version.filter(|it| Some(*it) > own) else { return };
    if !lock(&relay.peers.missing_configuration).begin_fetch(own, offered, relay.now_ms()) {
        return;
    }
    match peer.client.configuration(context_for(HELLO_TIMEOUT_MS)).await {
        Ok(Some(configuration)) => {
            let table = RouteTable::new(Arc::unwrap_or_clone(configuration));
            // The platform had its time to tell of it: the polls that wait may never be answered.
            if relay.activate_configuration(table, &peer.name) && own.is_some() {
                warn!(entry:% = peer.name; "platform did not tell of a configuration, lists are read again");
                relay.relist();
            }
        }
        Ok(None) => {}
        Err(error) => warn!(entry:% = peer.name, error:% = error; "newer configuration not heard"),
    }
    lock(&relay.peers.missing_configuration).fetching_until_ms = 0;
}

/// Takes over newer lists from an entry that follows the platform while this one does not.
async fn fetch_newer_lists(relay: &Arc<Relay>, peer: &Peer, revisions: Option<ListRevisions>) {
    let is_newer = |it: ListRevisions| it.has_newer_than(relay.upstreams().revisions());
    if relay.follows_platform() || !revisions.is_some_and(is_newer) {
        return;
    }
    let beliefs = match peer.client.beliefs(context_for(HELLO_TIMEOUT_MS)).await {
        Ok(Some(beliefs)) => beliefs,
        Ok(None) => return,
        Err(error) => {
            warn!(entry:% = peer.name, error:% = error; "newer lists not heard");
            return;
        }
    };
    // The platform's own lists may have arrived meanwhile.
    if relay.follows_platform() {
        return;
    }
    let now_ms = relay.now_ms();
    let mut upstreams = relay.upstreams();
    info!(
        entry:% = peer.name,
        upstreams = beliefs.upstreams.len(),
        revision = beliefs.revisions.upstreams,
        known_revision = upstreams.revisions().upstreams;
        "lists heard from an entry"
    );
    let changed = upstreams.take_over(beliefs, now_ms);
    drop(upstreams);
    log_evacuations(&changed);
    relay.stages.start_all_calls(relay);
}
