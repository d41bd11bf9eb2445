//! Follows another entry that reads the platform, instead of reading it.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use tokio_util::sync::CancellationToken;
use yuccatrail_core::freshness::PlatformData;
use yuccatrail_rpc::entries::FollowerState;

use crate::relay::{
    peers::{HELLO_TIMEOUT_MS, Peer, context_for},
    state::Relay,
};

/// Time for which a source may hold a question while it has nothing new, in milliseconds; a source that
/// is paused is noticed this time and the timeout of a hello later.
const UPDATES_WAIT_MS: u64 = 500;
/// Delay before the sources are tried again, in milliseconds.
const RETRY_MS: u64 = 50;

/// Follows the first source that follows the platform, until `stop` is cancelled.
pub(crate) async fn follow_sources(relay: Arc<Relay>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let mut sources = relay.peers.sources();
        sources.sort_by_key(|(_, follows_platform)| !follows_platform);
        for (peer, _) in &sources {
            if relay.peers.reader_plan().is_reader {
                break;
            }
            let end = follow(&relay, peer).await;
            if relay.reading.has_source() {
                warn!(entry:% = peer.name, reason = end; "no longer follows another entry");
            }
            relay.reading.set_has_source(&relay, false);
        }
        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

/// Applies the updates of a source until it can't be followed any more; returns why.
async fn follow(relay: &Arc<Relay>, peer: &Peer) -> &'static str {
    let mut relist_signal = relay.relist_signal();
    let mut cursor = None;
    // Version that the source has offered.
    let mut offered = None;
    let mut wait_ms = UPDATES_WAIT_MS;
    loop {
        let plan = relay.peers.reader_plan();
        if plan.is_reader || !plan.sources.contains(&peer.name) {
            return "the plan has changed";
        }
        let relists = relist_signal.borrow_and_update().relists;
        let config_version = relay.table().map(|it| it.version()).max(offered);
        let state = FollowerState { cursor, config_version };
        let limit_ms = wait_ms + HELLO_TIMEOUT_MS;
        let corrections = relay.upstreams().corrections(relay.now_ms());
        let call = peer.client.updates(context_for(limit_ms), state, corrections, wait_ms);
        let call = tokio::time::timeout(Duration::from_millis(limit_ms), call);
        let reply = tokio::select! {
            reply = call => reply,
            () = peer.lost.cancelled() => return "it was lost",
            // After a pause of this process, an answer to a question from before it proves nothing.
            Ok(_) = relist_signal.wait_for(|it| it.relists != relists) => {
                wait_ms = 0;
                continue;
            }
        };
        wait_ms = UPDATES_WAIT_MS;
        let Ok(Ok(reply)) = reply else { return "it does not respond" };
        relay.detect_pause();
        let Some(next) = reply.cursor else { return "it does not follow the platform" };
        for update in reply.updates {
            relay.apply_update(Arc::unwrap_or_clone(update));
        }
        relay.merge_corrections(&reply.corrections);
        cursor = Some(next);
        offered = reply.config_version;
        relay.configurations.offer(relay, peer, offered, true);
        relay.configurations.until_active(relay, HELLO_TIMEOUT_MS).await;
        if relay.table().is_none() {
            continue;
        }
        if !relay.reading.has_source() {
            info!(entry:% = peer.name; "follows another entry instead of the platform");
            relay.reading.set_has_source(relay, true);
        }
        if relist_signal.borrow().relists == relists {
            for data in PlatformData::ALL {
                relay.mark_fresh(data);
            }
        }
    }
}
