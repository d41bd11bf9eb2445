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
use yuccatrail_adapter::CallerHeaders;
use yuccatrail_core::{
    ids::{Digest, Incarnation},
    quarantine::{
        CrashRecord, CrashTracker, Moment, PartVerdict, RecordCall, RecordOutcome, RecordedSuspect,
        RequestHash, SOUND_EVENTS, Strike, SuspectKind,
    },
    upstreams::UpstreamRecord,
};

use crate::{
    caller::service::fingerprint,
    relay::{
        crash_record::{CrashRecordState, moment},
        request::CallerRequest,
        state::{Relay, lock},
    },
};

/// Timeout for checking whether an upstream still listens, in milliseconds.
const CRASH_CHECK_TIMEOUT_MS: u64 = 300;

/// Crashes counted against requests; shared by all tasks of the relay.
#[derive(Debug)]
pub(crate) struct RequestCrashes {
    counted: Mutex<CountedCrashes>,
    /// Whether the crashes of earlier runs are known, and requests to write.
    pub(crate) record_state: CrashRecordState,
}

/// Crashes as known to this entry, and those of them that it keeps on the platform.
#[derive(Debug, Default)]
struct CountedCrashes {
    tracker: CrashTracker,
    record: CrashRecord,
}

impl RequestCrashes {
    /// Creates the state of an entry that starts.
    pub(crate) fn new(is_first_start: bool) -> Self {
        Self { counted: Mutex::default(), record_state: CrashRecordState::new(is_first_start) }
    }

    /// Tells whether a request is refused because of the crashes counted against it.
    pub(crate) fn is_refused(&self, request: &CallerRequest, now_ms: u64) -> bool {
        let tracker = &lock(&self.counted).tracker;
        !tracker.is_empty() && tracker.is_refused(request_digest(request), now_ms)
    }

    /// Tells whether crashes count against a request.
    fn has_strikes(&self, request: &CallerRequest, now_ms: u64) -> bool {
        let tracker = &lock(&self.counted).tracker;
        !tracker.is_empty() && tracker.has_strikes(request_digest(request), now_ms)
    }

    /// Decides about a request by the crashes counted against the parts of its prompt.
    pub(crate) fn judge_parts(&self, request: &CallerRequest, now_ms: u64) -> PartVerdict {
        let tracker = &mut lock(&self.counted).tracker;
        if tracker.is_empty() {
            return PartVerdict::Clear;
        }
        tracker.judge_parts(&request.part_digests, || request_digest(request), now_ms)
    }

    /// Records that an upstream has begun to answer a request, so that the parts of its prompt are
    /// sound.
    pub(crate) fn record_sound(&self, request: &CallerRequest, now_ms: u64) {
        if !request.part_digests.is_empty() {
            lock(&self.counted).tracker.on_parts_sound(&request.part_digests, now_ms);
        }
    }

    /// Records that an upstream completed a request.
    pub(crate) fn record_completed(&self, request: &CallerRequest, now_ms: u64) {
        lock(&self.counted).tracker.on_complete(
            request_hash(request),
            || request_digest(request),
            now_ms,
        );
    }

    /// Returns the recent strikes, to share with other entries.
    pub(crate) fn recent(&self, now_ms: u64) -> Vec<Strike> {
        lock(&self.counted).tracker.recent_strikes(now_ms)
    }

    /// Merges strikes that another entry shared.
    pub(crate) fn merge(&self, strikes: &[Strike], now_ms: u64) {
        if strikes.is_empty() {
            return;
        }
        let mut counted = lock(&self.counted);
        counted.tracker.merge(strikes, now_ms);
        // With the crashes that others have observed, one of this entry's own may have to be recorded.
        if !counted.record.is_empty() {
            self.record_state.changed.notify_one();
        }
    }

    /// Takes over the crashes that an entry has recorded; `own_revision` is the revision of the record if
    /// it is one of an earlier run of this entry.
    pub(crate) fn restore(
        &self,
        suspects: &[RecordedSuspect],
        own_revision: Option<u64>,
        moment: Moment,
    ) {
        let mut counted = lock(&self.counted);
        counted.tracker.restore(suspects, moment);
        if let Some(revision) = own_revision {
            counted.record.take_over(suspects, revision);
        }
    }

    /// Returns the time after which a call for the record may be due without another crash, in
    /// milliseconds; none if nothing is recorded or could be.
    pub(crate) fn next_check_ms(&self, now_ms: u64) -> Option<u64> {
        lock(&self.counted).record.next_check_ms(now_ms)
    }

    /// Returns the call that keeps the record up to date and is due, if any.
    pub(crate) fn next_call(&self, now_ms: u64) -> Option<RecordCall> {
        let CountedCrashes { tracker, record } = &mut *lock(&self.counted);
        record.next_call(tracker, now_ms)
    }

    /// Records the outcome of such a call.
    pub(crate) fn on_call_outcome(&self, call: &RecordCall, outcome: RecordOutcome, now_ms: u64) {
        lock(&self.counted).record.on_outcome(call, outcome, now_ms);
    }

    /// Records that the platform was restored from a copy.
    pub(crate) fn on_platform_restored(&self) {
        lock(&self.counted).record.on_platform_restored();
    }

    /// Drops strikes that no longer count.
    pub(crate) fn expire(&self, now_ms: u64) {
        lock(&self.counted).tracker.expire(now_ms);
    }
}

/// A response that was lost, maybe because its upstream crashed.
pub(crate) struct LostResponse {
    /// Relay that sent the request.
    pub(crate) relay: Arc<Relay>,
    /// The request.
    pub(crate) request: Arc<CallerRequest>,
    /// Upstream that it was sent to.
    pub(crate) upstream: UpstreamRecord,
    /// Number of whole events that had arrived.
    pub(crate) events: u64,
}

impl LostResponse {
    /// Checks in the background whether the upstream has crashed, and if so counts the crash against the
    /// request and the parts of its prompt.
    pub(crate) fn check_in_background(self) {
        tokio::spawn(self.check());
    }

    /// Tells whether the request may be sent to another upstream.
    ///
    /// Waits for the result of the check only if the request or a part of its prompt has strikes already.
    pub(crate) async fn allows_retry(self) -> bool {
        let (relay, request) = (self.relay.clone(), self.request.clone());
        let crashes = &relay.crashes;
        let has_part_strikes =
            || crashes.judge_parts(&request, relay.now_ms()) != PartVerdict::Clear;
        if !crashes.has_strikes(&request, relay.now_ms()) && !has_part_strikes() {
            self.check_in_background();
            return true;
        }
        self.check().await;
        let now_ms = relay.now_ms();
        !crashes.is_refused(&request, now_ms)
            && crashes.judge_parts(&request, now_ms) < PartVerdict::NoRetry
    }

    async fn check(self) {
        let Self { relay, request, upstream, events } = self;
        if !has_crashed(upstream.address).await {
            return;
        }
        let Moment { now_ms, unix_ms } = moment(&relay);
        let incarnation = incarnation_of(&upstream);
        let had_just_begun = events < SOUND_EVENTS;
        let counts = {
            let CountedCrashes { tracker, record } = &mut *lock(&relay.crashes.counted);
            if had_just_begun {
                tracker.on_part_crash(incarnation, &request.part_digests, now_ms);
                for part in &request.part_digests {
                    record.observe(*part, SuspectKind::Part, incarnation, true, unix_ms);
                }
            }
            let digest = request_digest(&request);
            let counts = tracker.on_crash(incarnation, digest, request_hash(&request), now_ms);
            if counts {
                let kind = SuspectKind::Request;
                record.observe(digest, kind, incarnation, had_just_begun, unix_ms);
            }
            counts
        };
        relay.crashes.record_state.changed.notify_one();
        info!(
            id:% = request.id,
            upstream:% = upstream.id,
            counts = counts,
            events = events,
            prompt_parts:% = shared_parts(&request.head).collect::<Vec<_>>().join(",");
            "upstream crashed while it ran the request"
        );
    }
}

/// Returns the digests of the parts of a prompt that other requests may have too, for the model that
/// reads them.
pub(crate) fn part_digests(service: &str, head: &CallerHeaders) -> Vec<Digest> {
    let model = head.model.as_deref().unwrap_or_default();
    let digest = |part: &str| Digest::of(format!("{service}\n{model}\n{part}").as_bytes());
    shared_parts(head).map(digest).collect()
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
fn shared_parts(head: &CallerHeaders) -> impl Iterator<Item = &str> {
    let parts = &head.prompt_parts;
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
