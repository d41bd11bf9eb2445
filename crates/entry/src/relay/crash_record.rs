//! Keeps the crashes that this entry has observed on the platform, and reads those of all entries once
//! after the start.

use std::{
    sync::{Arc, OnceLock},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use hyper::Method;
use log::{debug, info, warn};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use yuccatrail_adapter::{
    CrashRecordContent, StoreChange, crash_collection_path, crash_record_deletion_path,
    crash_record_path, crashes_protocol, encode_crash_record, object_revision,
};
use yuccatrail_core::quarantine::{Moment, RecordCall, RecordOutcome};
use yuccatrail_platform::{Backoff, BackoffSettings, Client, ConditionalReply, PlatformError};

use crate::relay::{peers::Owner, state::Relay};

/// Longest time for which a started entry holds requests until it has read the recorded crashes, in
/// milliseconds since it has a configuration. Other entries tell it theirs in that time.
const HOLD_LIMIT_MS: u64 = 1_000;
/// Longest delay before a write per entry of the installation, in milliseconds, so that entries which
/// observe the crash of the same upstreams don't write at the same moment.
const SPREAD_MS_PER_ENTRY: u64 = 1;
/// Interval at which one entry deletes the records of entries that no longer exist, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 600_000;
/// Delays between attempts to read the records.
const READ_BACKOFF: BackoffSettings = BackoffSettings { first_ms: 50, max_ms: 1_000 };

/// Whether the crashes of earlier runs are known, and requests to write.
#[derive(Debug)]
pub(crate) struct CrashRecordState {
    /// Whether the records have been read.
    is_restored: watch::Sender<bool>,
    /// Time of the first configuration, in milliseconds.
    configured_ms: OnceLock<u64>,
    /// Notified when a crash was observed.
    pub(crate) changed: Notify,
}

impl CrashRecordState {
    /// Creates the state of an entry that starts; there are no records at the first start of the
    /// installation.
    pub(crate) fn new(is_first_start: bool) -> Self {
        Self {
            is_restored: watch::Sender::new(is_first_start),
            configured_ms: OnceLock::new(),
            changed: Notify::new(),
        }
    }

    /// Records that the entry has a configuration.
    pub(crate) fn set_configured(&self, now_ms: u64) {
        self.configured_ms.get_or_init(|| now_ms);
    }

    /// Tells whether requests may be decided on: the records have been read, or that takes too long.
    pub(crate) fn is_known(&self, now_ms: u64) -> bool {
        *self.is_restored.borrow() || self.hold_ms(now_ms) == 0
    }

    /// Waits until requests may be decided on.
    pub(crate) async fn until_known(&self, now_ms: u64) {
        if self.is_known(now_ms) {
            return;
        }
        let limit = Duration::from_millis(self.hold_ms(now_ms));
        let mut is_restored = self.is_restored.subscribe();
        if tokio::time::timeout(limit, is_restored.wait_for(|it| *it)).await.is_err() {
            debug!("a request is decided on without the recorded crashes");
        }
    }

    /// Returns for how long requests are still held at most, in milliseconds.
    fn hold_ms(&self, now_ms: u64) -> u64 {
        let since_ms = self.configured_ms.get().copied().unwrap_or(now_ms);
        (since_ms + HOLD_LIMIT_MS).saturating_sub(now_ms)
    }
}

/// Returns the current time on both clocks.
pub(crate) fn moment(relay: &Relay) -> Moment {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_else(|error| {
        warn!(error:% = error; "crashes are recorded as too old, since the clock shows a time before 1970");
        Duration::ZERO
    });
    Moment { now_ms: relay.now_ms(), unix_ms: unix.as_millis() as u64 }
}

/// Reads the recorded crashes and then keeps this entry's own record, until `stop` is cancelled.
pub(crate) async fn keep(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    // A write before the read would replace what an earlier run has recorded.
    while !*relay.crashes.record_state.is_restored.borrow() {
        restore(&relay, &client).await;
    }
    let mut era = client.era();
    let mut swept_ms = relay.now_ms();
    while !stop.is_cancelled() {
        let wait_ms = relay.crashes.next_check_ms(relay.now_ms()).unwrap_or(SWEEP_INTERVAL_MS);
        let is_idle = tokio::select! {
            () = relay.crashes.record_state.changed.notified() => false,
            Ok(()) = era.changed() => {
                relay.crashes.on_platform_restored();
                false
            }
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => true,
        };
        if !is_idle {
            let limit_ms = relay.upstreams().entry_count() as u64 * SPREAD_MS_PER_ENTRY;
            tokio::time::sleep(Duration::from_millis(rand::random_range(0..=limit_ms))).await;
        }
        // A read or a conflict is followed by a write at once.
        for _ in 0..2 {
            let Some(call) = relay.crashes.next_call(relay.now_ms()) else { break };
            let outcome = send(&relay, &client, &call).await;
            relay.crashes.on_call_outcome(&call, outcome, relay.now_ms());
        }
        let now_ms = relay.now_ms();
        if now_ms >= swept_ms + SWEEP_INTERVAL_MS {
            swept_ms = now_ms;
            if matches!(relay.peers.owner_of_queries(&relay), Owner::Local) {
                sweep(&relay, &client).await;
            }
        }
    }
}

/// Reads the records of all entries; retries while the platform does not respond.
async fn restore(relay: &Relay, client: &Client) {
    let mut backoff = Backoff::new(READ_BACKOFF);
    loop {
        let failure = match client.list_pages(&crashes_protocol()).await {
            Ok(listing) => {
                take_over(relay, listing.items);
                listing.failure
            }
            Err(error) => Some(error),
        };
        let Some(error) = failure else { break };
        warn!(error:% = error; "failed to read recorded crashes");
        // What can't be decoded now won't be later.
        if matches!(error, PlatformError::Invalid { .. }) {
            break;
        }
        tokio::time::sleep(backoff.fail(None, rand::random())).await;
    }
    relay.crashes.record_state.is_restored.send_replace(true);
}

fn take_over(relay: &Relay, records: Vec<StoreChange<CrashRecordContent>>) {
    let moment = moment(relay);
    let mut suspects = 0;
    let count = records.len();
    for record in records {
        match record {
            StoreChange::Present { name, changed_at, content } => {
                if content.unreadable > 0 {
                    let suspects = content.unreadable;
                    warn!(entry:% = name, suspects = suspects; "suspects of recorded crashes can't be read");
                }
                suspects += content.suspects.len();
                let own_revision = (name == relay.settings.name).then_some(changed_at);
                relay.crashes.restore(&content.suspects, own_revision, moment);
            }
            StoreChange::Unreadable { name, detail } => {
                // An own record like that is replaced by the next write, after a conflict.
                warn!(entry:% = name, detail:% = detail; "recorded crashes can't be read");
            }
            StoreChange::Absent { .. } => {}
        }
    }
    info!(records = count, suspects = suspects; "read recorded crashes");
}

/// Makes a call and returns its outcome.
async fn send(relay: &Relay, client: &Client, call: &RecordCall) -> RecordOutcome {
    let name = &relay.settings.name;
    let (method, path, body) = match call {
        RecordCall::Read => return read_revision(relay, client).await,
        RecordCall::Create(suspects) => {
            (Method::POST, crash_collection_path(), encode_crash_record(name, None, suspects))
        }
        RecordCall::Replace { revision, suspects } => {
            let body = encode_crash_record(name, Some(*revision), suspects);
            (Method::PUT, crash_record_path(name), body)
        }
        RecordCall::Delete { revision } => {
            (Method::DELETE, crash_record_deletion_path(name, *revision), Bytes::new())
        }
    };
    let sent_ms = relay.now_ms();
    let reply = client.write_if_unchanged(name, method, &path, body).await;
    let outcome = match reply {
        Ok(ConditionalReply::Written(_)) if matches!(call, RecordCall::Delete { .. }) => {
            RecordOutcome::Done(None)
        }
        Ok(ConditionalReply::Written(reply)) => match object_revision(&reply.body) {
            Some(revision) => RecordOutcome::Done(Some(revision)),
            None => read_revision(relay, client).await,
        },
        Ok(ConditionalReply::Changed(reply)) => match object_revision(&reply.body) {
            Some(revision) => RecordOutcome::Conflict(Some(revision)),
            None => read_revision(relay, client).await,
        },
        Ok(ConditionalReply::Missing) => RecordOutcome::Conflict(None),
        Err(error) => {
            warn!(error:% = error; "failed to record crashes, retrying");
            RecordOutcome::Unknown
        }
    };
    let suspects = match call {
        RecordCall::Create(suspects) | RecordCall::Replace { suspects, .. } => suspects.len(),
        RecordCall::Delete { .. } | RecordCall::Read => 0,
    };
    let took_ms = relay.now_ms().saturating_sub(sent_ms);
    info!(suspects = suspects, outcome:? = outcome, took_ms = took_ms; "recorded crashes");
    relay.metrics.crash_record_writes.inc();
    outcome
}

/// Reads the revision of this entry's record.
async fn read_revision(relay: &Relay, client: &Client) -> RecordOutcome {
    let name = &relay.settings.name;
    match client.read_if_present(name, &crash_record_path(name)).await {
        Ok(reply) => RecordOutcome::Conflict(reply.and_then(|it| object_revision(&it.body))),
        Err(error) => {
            warn!(error:% = error; "failed to read the record of crashes");
            RecordOutcome::Unknown
        }
    }
}

/// Deletes the records of other entries in which nothing counts any more.
async fn sweep(relay: &Relay, client: &Client) {
    let listing = match client.list_pages(&crashes_protocol()).await {
        Ok(listing) => listing,
        Err(error) => {
            warn!(error:% = error; "failed to read recorded crashes");
            return;
        }
    };
    let now_unix_ms = moment(relay).unix_ms;
    for item in listing.items {
        let StoreChange::Present { name, changed_at, content } = item else { continue };
        // An entry of another version may read what this one can't.
        let has_expired = content.unreadable == 0
            && content.suspects.iter().all(|it| it.has_expired(now_unix_ms));
        if name == relay.settings.name || !has_expired {
            continue;
        }
        let path = crash_record_deletion_path(&name, changed_at);
        match client.write_if_unchanged(&name, Method::DELETE, &path, Bytes::new()).await {
            Ok(_) => info!(entry:% = name; "deleted a record of crashes that no longer count"),
            Err(error) => {
                warn!(entry:% = name, error:% = error; "failed to delete a record of crashes")
            }
        }
    }
}
