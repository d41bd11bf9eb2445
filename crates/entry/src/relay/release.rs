//! Releases results that nobody needs any more, several at a time.

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
    state::{Relay, lock},
};

/// Time for which an owner is given results to release, in milliseconds: their lifetime.
const RELEASE_LIMIT_MS: u64 = 4_000;

/// Results to release, by the upstream that holds them.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    waiting: Mutex<FastMap<SocketAddr, Vec<ResultHandle>>>,
    /// Results that another entry has left to this one, as the owner of their service.
    own: Mutex<FastMap<SocketAddr, Vec<ResultHandle>>>,
}

/// Results of one request that are released when it ends, however that happens.
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
    /// Creates a holder without results.
    pub(crate) fn new(relay: Arc<Relay>) -> Self {
        Self { relay, handles: Vec::new() }
    }

    /// Takes responsibility for results.
    pub(crate) fn hold(&mut self, handles: &[ResultHandle]) {
        self.handles.extend_from_slice(handles);
    }

    /// Releases some of the results.
    pub(crate) fn release(&mut self, handles: &[ResultHandle]) {
        self.handles.retain(|it| !handles.contains(it));
        self.relay.releases.add(handles.to_vec());
    }

    /// Releases all results.
    pub(crate) fn release_all(&mut self) {
        self.relay.releases.add(mem::take(&mut self.handles));
    }
}

impl Releases {
    /// Notes results that nobody needs any more.
    pub(crate) fn add(&self, handles: Vec<ResultHandle>) {
        sort_in(&self.waiting, handles);
    }

    /// Notes results whose release another entry has left to this one.
    pub(crate) fn add_own(&self, handles: Vec<ResultHandle>) {
        sort_in(&self.own, handles);
    }

    /// Leaves results to the owners of their services, and releases the own ones with one call for
    /// each upstream.
    pub(crate) fn send_all(&self, relay: &Arc<Relay>) {
        let waiting = mem::take(&mut *lock(&self.waiting));
        for (maker, handles) in waiting {
            match owner_of(relay, maker) {
                Owner::Other(peer) => {
                    tokio::spawn(leave_to(peer, handles));
                }
                Owner::Own => self.add_own(handles),
            }
        }
        let own = mem::take(&mut *lock(&self.own));
        for (maker, handles) in own {
            // Results do not outlive their maker.
            let Some(key) = relay.upstreams().at_address(maker) else { continue };
            tokio::spawn(release(relay.clone(), key, handles));
        }
    }
}

fn sort_in(waiting: &Mutex<FastMap<SocketAddr, Vec<ResultHandle>>>, handles: Vec<ResultHandle>) {
    let mut waiting = lock(waiting);
    for handle in handles {
        let Some(maker) = result_holder(&handle) else {
            warn!(handle:% = handle; "result names no maker; it expires by itself");
            continue;
        };
        waiting.entry(maker).or_default().push(handle);
    }
}

fn owner_of(relay: &Relay, maker: SocketAddr) -> Owner {
    let service = relay.upstreams().service_at(maker).cloned();
    match service {
        Some(service) => relay.peers.owner(relay, &service),
        None => Owner::Own,
    }
}

async fn leave_to(peer: Peer, handles: Vec<ResultHandle>) {
    if let Err(error) = peer.client.release(context_for(RELEASE_LIMIT_MS), handles).await {
        warn!(error:% = error; "release was not left to the owner; the results expire by themselves");
    }
}

async fn release(relay: Arc<Relay>, key: UpstreamKey, handles: Vec<ResultHandle>) {
    let body = match encode_release(&handles) {
        Ok(body) => body,
        Err(error) => {
            warn!(error:% = error; "release can't be encoded; the results expire by themselves");
            return;
        }
    };
    let Some(mut attempt) = Attempt::begin(&relay, key) else { return };
    match attempt.post(RELEASE_PATH, body).await {
        Ok((_, meta, _)) => {
            attempt.finish(&meta);
            relay.stages.note_released(&relay, &handles);
        }
        Err(error) => {
            let upstream = &attempt.record.id;
            warn!(upstream:% = upstream, results = handles.len(), error:% = error; "release failed");
        }
    }
}
