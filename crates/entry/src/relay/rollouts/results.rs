//! Stage results and interrupted streams that need the upstreams of their software version.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use yuccatrail_adapter::result_holder;
use yuccatrail_core::{FastMap, batching::PieceResult, stage_graph::ResultHandle};

use crate::relay::state::{Relay, lock};

/// Time after which a result that was not delivered has expired at its upstream, in milliseconds.
const RESULT_LIFETIME_MS: u64 = 4_000;
/// Time for which a delivered result counts at the owner of its stage service, in milliseconds; within
/// this time, the entry that asked for it receives it and counts it.
const DELIVERY_MS: u64 = 500;

/// Results of stage calls that this entry has made as the owner of a service, and that the entry of
/// their request may not count yet.
#[derive(Debug, Default)]
pub(crate) struct UnclaimedResults {
    /// Time from which each no longer counts, in milliseconds.
    until_ms: Mutex<FastMap<ResultHandle, u64>>,
}

impl UnclaimedResults {
    /// Counts the results that an upstream has just stored.
    pub(crate) fn add_all(&self, relay: &Relay, results: &[PieceResult]) {
        if !relay.rollouts.is_enabled() {
            return;
        }
        let until_ms = relay.now_ms() + RESULT_LIFETIME_MS;
        let mut added = lock(&self.until_ms);
        for result in results {
            let PieceResult::Completed(handle) = result else { continue };
            if added.insert(handle.clone(), until_ms).is_none() {
                hold(relay, std::slice::from_ref(handle));
            }
        }
    }

    /// Records that results are on the way to the entry of their request.
    pub(crate) fn deliver(&self, relay: &Relay, handles: &[ResultHandle]) {
        if !relay.rollouts.is_enabled() {
            return;
        }
        let delivered_ms = relay.now_ms() + DELIVERY_MS;
        let mut until_ms = lock(&self.until_ms);
        for handle in handles {
            if let Some(until_ms) = until_ms.get_mut(handle) {
                *until_ms = delivered_ms.min(*until_ms);
            }
        }
    }

    /// Stops counting results that have been delivered or have expired.
    pub(super) fn expire(&self, relay: &Relay, now_ms: u64) {
        let mut expired = Vec::new();
        lock(&self.until_ms).retain(|handle, until_ms| {
            let counts = now_ms < *until_ms;
            if !counts {
                expired.push(handle.clone());
            }
            counts
        });
        release(relay, &expired);
    }
}

/// Counts results that this entry needs at the upstreams which hold them.
pub(crate) fn hold(relay: &Relay, handles: &[ResultHandle]) {
    if !relay.rollouts.is_enabled() {
        return;
    }
    let mut upstreams = relay.upstreams();
    for holder in handles.iter().filter_map(|it| result_holder(it)) {
        upstreams.hold_results(holder, 1);
    }
}

/// Stops counting results that this entry does not need any more.
pub(crate) fn release(relay: &Relay, handles: &[ResultHandle]) {
    if !relay.rollouts.is_enabled() || handles.is_empty() {
        return;
    }
    let mut upstreams = relay.upstreams();
    for holder in handles.iter().filter_map(|it| result_holder(it)) {
        upstreams.release_results(holder, 1);
    }
}

/// Counts as a held result at an upstream until dropped: a stream that was interrupted there and goes on
/// at an upstream of the same version.
pub(crate) struct NeededUpstream {
    relay: Arc<Relay>,
    address: SocketAddr,
}

impl NeededUpstream {
    /// Begins to count; none if roll-outs are disabled.
    pub(crate) fn new(relay: &Arc<Relay>, address: SocketAddr) -> Option<Self> {
        if !relay.rollouts.is_enabled() {
            return None;
        }
        relay.upstreams().hold_results(address, 1);
        Some(Self { relay: relay.clone(), address })
    }
}

impl Drop for NeededUpstream {
    fn drop(&mut self) {
        self.relay.upstreams().release_results(self.address, 1);
    }
}
