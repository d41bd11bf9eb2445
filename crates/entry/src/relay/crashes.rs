//! Tracks requests that crash the upstreams running them, as observed by this entry and its peers.

use std::{
    hash::{Hash, Hasher},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use log::info;
use rustc_hash::FxHasher;
use tokio::net::TcpStream;
use yuccatrail_core::{
    ids::{Digest, Incarnation},
    quarantine::{CrashTracker, RequestHash, Strike},
    upstreams::UpstreamRecord,
};

use crate::{
    caller::service::fingerprint,
    relay::{
        request::CallerRequest,
        state::{Relay, lock},
    },
};

/// Timeout for checking whether an upstream still listens, in milliseconds.
const CRASH_CHECK_TIMEOUT_MS: u64 = 300;

/// Crashes counted against requests; shared by all tasks of the relay.
#[derive(Debug, Default)]
pub(crate) struct RequestCrashes {
    tracker: Mutex<CrashTracker>,
}

impl RequestCrashes {
    /// Tells whether a request is refused because of the crashes counted against it.
    pub(crate) fn is_refused(&self, request: &CallerRequest, now_ms: u64) -> bool {
        let tracker = lock(&self.tracker);
        !tracker.is_empty() && tracker.is_refused(request_digest(request), now_ms)
    }

    /// Records that an upstream completed a request.
    pub(crate) fn record_completed(&self, request: &CallerRequest, now_ms: u64) {
        lock(&self.tracker).on_complete(request_hash(request), || request_digest(request), now_ms);
    }

    /// Returns the recent strikes, to share with other entries.
    pub(crate) fn recent(&self, now_ms: u64) -> Vec<Strike> {
        lock(&self.tracker).recent_strikes(now_ms)
    }

    /// Merges strikes that another entry shared.
    pub(crate) fn merge(&self, strikes: &[Strike], now_ms: u64) {
        if !strikes.is_empty() {
            lock(&self.tracker).merge(strikes, now_ms);
        }
    }

    /// Drops strikes that no longer count.
    pub(crate) fn expire(&self, now_ms: u64) {
        lock(&self.tracker).expire(now_ms);
    }
}

/// Checks in the background whether an upstream whose response was lost after `events` whole events has
/// crashed, and if so counts the crash against the request.
pub(crate) fn check_for_crash(
    relay: &Arc<Relay>,
    request: &Arc<CallerRequest>,
    upstream: &UpstreamRecord,
    events: u64,
) {
    let (relay, request, upstream) = (relay.clone(), request.clone(), upstream.clone());
    tokio::spawn(async move {
        if !has_crashed(upstream.address).await {
            return;
        }
        let now_ms = relay.now_ms();
        let incarnation = incarnation_of(&upstream);
        let counts = lock(&relay.crashes.tracker).on_crash(
            incarnation,
            request_digest(&request),
            request_hash(&request),
            now_ms,
        );
        info!(
            id:% = request.id,
            upstream:% = upstream.id,
            counts = counts,
            events = events,
            prompt_parts:% = shared_parts(&request).collect::<Vec<_>>().join(",");
            "upstream crashed while it ran the request"
        );
    });
}

/// Tells whether nothing listens at the address; a live process accepts connections even if one of
/// its responses was lost.
async fn has_crashed(address: SocketAddr) -> bool {
    let limit = Duration::from_millis(CRASH_CHECK_TIMEOUT_MS);
    match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        // An unreachable upstream may still be alive.
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Returns the identifiers of the prompt parts that other requests may have too: all but the last.
fn shared_parts(request: &CallerRequest) -> impl Iterator<Item = &str> {
    let parts = &request.head.prompt_parts;
    parts[..parts.len().saturating_sub(1)].iter().map(|(id, _)| id.as_str())
}

/// Returns the identifier of one run of an upstream, which is the same at all entries.
fn incarnation_of(upstream: &UpstreamRecord) -> Incarnation {
    let mut hasher = FxHasher::default();
    (&upstream.id, upstream.started_unix_ms).hash(&mut hasher);
    Incarnation(hasher.finish())
}

fn request_hash(request: &CallerRequest) -> RequestHash {
    let mut hasher = FxHasher::default();
    request.authorized.customer.hash(&mut hasher);
    request.target().hash(&mut hasher);
    request.body().hash(&mut hasher);
    RequestHash(hasher.finish())
}

fn request_digest(request: &CallerRequest) -> Digest {
    // Anonymous requests belong to no customer.
    let customer = request.authorized.customer.as_deref().unwrap_or_default();
    fingerprint(customer, request.method().as_str(), request.target(), request.body())
}
