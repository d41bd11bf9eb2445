//! Releases stage results that are no longer needed at the upstreams that hold them, in batches.

use std::{
    mem,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use log::warn;
use yuccatrail_adapter::{RELEASE_PATH, encode_release, result_holder};
use yuccatrail_core::{FastMap, stage_graph::ResultHandle, upstreams::UpstreamKey};

use crate::relay::{
    attempt::Attempt,
    peers::{Owner, Peer, context_for},
    rollouts::results,
    state::{Relay, lock},
};

/// Timeout for delegating releases to an owner, in milliseconds; results expire after this time
/// anyway.
const DELEGATE_TIMEOUT_MS: u64 = 4_000;

/// Results to release, by the address of the upstream that holds them.
#[derive(Debug, Default)]
pub(crate) struct ResultReleases {
    /// Results that have not been passed to the owner of their service yet.
    waiting: Mutex<FastMap<SocketAddr, Vec<ResultHandle>>>,
    /// Results of services that this entry owns, or whose release another entry delegated to it.
    delegated: Mutex<FastMap<SocketAddr, Vec<ResultHandle>>>,
}

/// Results of one request, which are released when it ends for any reason.
pub(crate) struct HeldResults {
    relay: Arc<Relay>,
    handles: Vec<ResultHandle>,
}

impl Drop for HeldResults {
    fn drop(&mut self) {
        self.release_all();
    }
}

impl HeldResults {
    /// Creates an empty set of results.
    pub(crate) fn new(relay: Arc<Relay>) -> Self {
        Self { relay, handles: Vec::new() }
    }

    /// Adds results.
    pub(crate) fn hold(&mut self, handles: &[ResultHandle]) {
        results::hold(&self.relay, handles);
        self.handles.extend_from_slice(handles);
    }

    /// Releases some of the results now.
    pub(crate) fn release(&mut self, handles: &[ResultHandle]) {
        let (released, kept): (Vec<_>, Vec<_>) =
            mem::take(&mut self.handles).into_iter().partition(|it| handles.contains(it));
        self.handles = kept;
        results::release(&self.relay, &released);
        self.relay.releases.add(handles.to_vec());
    }

    /// Releases all results now.
    pub(crate) fn release_all(&mut self) {
        results::release(&self.relay, &self.handles);
        self.relay.releases.add(mem::take(&mut self.handles));
    }
}

impl ResultReleases {
    /// Queues results for release.
    pub(crate) fn add(&self, handles: Vec<ResultHandle>) {
        queue_by_holder(&self.waiting, handles);
    }

    /// Queues results for release by this entry, as the owner of their service.
    pub(crate) fn add_delegated(&self, handles: Vec<ResultHandle>) {
        queue_by_holder(&self.delegated, handles);
    }

    /// Delegates queued results to the owners of their services, and releases those of this entry's
    /// own services with one call for each upstream.
    pub(crate) fn flush(&self, relay: &Arc<Relay>) {
        let waiting = mem::take(&mut *lock(&self.waiting));
        for (holder, handles) in waiting {
            match owner_of(relay, holder) {
                Owner::Remote(peer) => {
                    tokio::spawn(delegate(peer, handles));
                }
                Owner::Local => self.add_delegated(handles),
            }
        }
        let delegated = mem::take(&mut *lock(&self.delegated));
        for (holder, handles) in delegated {
            // Results do not outlive the upstream that holds them.
            let Some(key) = relay.upstreams().at_address(holder) else { continue };
            if relay.upstreams().wants_no_calls(key, relay.now_ms()) {
                self.add_delegated(handles);
                continue;
            }
            tokio::spawn(release(relay.clone(), key, handles));
        }
    }
}

fn queue_by_holder(
    waiting: &Mutex<FastMap<SocketAddr, Vec<ResultHandle>>>,
    handles: Vec<ResultHandle>,
) {
    let mut waiting = lock(waiting);
    for handle in handles {
        let Some(holder) = result_holder(&handle) else {
            warn!(handle:% = handle; "result handle has no address; the result expires by itself");
            continue;
        };
        waiting.entry(holder).or_default().push(handle);
    }
}

fn owner_of(relay: &Relay, holder: SocketAddr) -> Owner {
    let service = relay.upstreams().service_at(holder).cloned();
    match service {
        Some(service) => relay.peers.owner(relay, &service),
        None => Owner::Local,
    }
}

async fn delegate(peer: Peer, handles: Vec<ResultHandle>) {
    if let Err(error) = peer.client.release(context_for(DELEGATE_TIMEOUT_MS), handles).await {
        warn!(error:% = error; "failed to delegate release to the owner; the results expire by themselves");
    }
}

async fn release(relay: Arc<Relay>, key: UpstreamKey, handles: Vec<ResultHandle>) {
    let body = match encode_release(&handles) {
        Ok(body) => body,
        Err(error) => {
            warn!(error:% = error; "failed to encode release; the results expire by themselves");
            return;
        }
    };
    let Some(mut attempt) = Attempt::begin(&relay, key) else {
        if relay.upstreams().wants_no_calls(key, relay.now_ms()) {
            relay.releases.add_delegated(handles);
        }
        return;
    };
    match attempt.post(RELEASE_PATH, body).await {
        Ok((_, meta, _)) => {
            attempt.finish(&meta);
            relay.stages.record_released(&relay, &handles);
        }
        Err(error) => {
            let upstream = &attempt.record.id;
            warn!(upstream:% = upstream, results = handles.len(), error:% = error; "release of results failed");
        }
    }
}
