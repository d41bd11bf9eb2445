//! Watches: streams of the changes to a collection after a version.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream;
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use tokio::{sync::watch, time::Instant};
use yuccatrail_platform::API_VERSION;

use super::{
    PlatformSwitches,
    server::Shared,
    status::{Body, ConnectionAbort, failure, status_value, stream_response},
    store::{Change, ChangeKind, Collection},
};

/// Duration of a watch whose call sets no timeout, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 30;

/// State of one watch.
struct WatchProgress {
    shared: Arc<Shared>,
    collection: Collection,
    /// Version of the last change that was delivered.
    version: u64,
    deadline: Instant,
    is_finished: bool,
    newest: watch::Receiver<u64>,
    switches: watch::Receiver<PlatformSwitches>,
}

/// Next step of a watch.
enum WatchStep {
    Deliver(Value),
    Abort,
    End,
    WaitUntil(Instant),
}

/// Opens a watch of a collection, with the version and the timeout from the query string.
pub(crate) fn open(
    shared: Arc<Shared>,
    collection: Collection,
    query: Option<&str>,
) -> Response<Body> {
    let query = query.unwrap_or_default();
    let Some(version) = parse_number(query, "resourceVersion") else {
        let message = "resourceVersion is missing or not a version of this store";
        return failure(StatusCode::BAD_REQUEST, "BadRequest", message);
    };
    if !shared.state().store.retains_changes_since(version) {
        return failure(StatusCode::GONE, "Expired", "the requested version is too old");
    }
    let timeout_s = parse_number(query, "timeoutSeconds").unwrap_or(DEFAULT_TIMEOUT_S);
    let progress = WatchProgress {
        collection,
        version,
        deadline: Instant::now() + Duration::from_secs(timeout_s),
        is_finished: false,
        newest: shared.newest.subscribe(),
        switches: shared.switches.subscribe(),
        shared,
    };
    stream_response(stream::unfold(progress, next_line))
}

/// Returns the value of a parameter in a query string.
pub(crate) fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else { continue };
        if key == name {
            return Some(value);
        }
    }
    None
}

fn parse_number(query: &str, name: &str) -> Option<u64> {
    parameter(query, name)?.parse().ok()
}

/// Returns the next line of the response with the state after it, or none at the end.
async fn next_line(
    mut progress: WatchProgress,
) -> Option<(Result<Bytes, ConnectionAbort>, WatchProgress)> {
    if progress.is_finished {
        return None;
    }
    loop {
        match progress.next_step() {
            WatchStep::Deliver(event) => {
                let line = Bytes::from(format!("{event}\n"));
                return Some((Ok(line), progress));
            }
            WatchStep::Abort => {
                progress.is_finished = true;
                return Some((Err(ConnectionAbort::Requested), progress));
            }
            WatchStep::End => return None,
            WatchStep::WaitUntil(until) => progress.wait(until).await,
        }
    }
}

impl WatchProgress {
    /// Determines the next step from the switches, the clock and the store.
    fn next_step(&mut self) -> WatchStep {
        let switches = self.switches.borrow_and_update().clone();
        self.newest.mark_unchanged();
        let now = Instant::now();
        if switches.outage.is_some() {
            return WatchStep::Abort;
        }
        if switches.silent_watches {
            return if now >= self.deadline {
                WatchStep::End
            } else {
                WatchStep::WaitUntil(self.deadline)
            };
        }
        let lag = match self.collection.is_lagging() {
            true => Duration::from_millis(switches.instances_lag_ms),
            false => Duration::ZERO,
        };
        self.next_change(now, lag)
    }

    fn next_change(&mut self, now: Instant, lag: Duration) -> WatchStep {
        let shared = Arc::clone(&self.shared);
        let state = shared.state();
        if !state.store.retains_changes_since(self.version) {
            self.is_finished = true;
            let message = "the changes that the watch needs are no longer held";
            let status = status_value(StatusCode::GONE, "Expired", message);
            return WatchStep::Deliver(json!({ "type": "ERROR", "object": status }));
        }
        let Some(change) = state.store.change_after(&self.collection, self.version) else {
            if now < self.deadline {
                return WatchStep::WaitUntil(self.deadline);
            }
            // The bookmark lets the next watch start after the changes of other collections.
            self.is_finished = true;
            return WatchStep::Deliver(bookmark(state.store.version()));
        };
        let visible_at = Instant::from_std(change.changed_at) + lag;
        if now >= visible_at {
            self.version = change.version;
            return WatchStep::Deliver(event(change));
        }
        if now >= self.deadline {
            return WatchStep::End;
        }
        WatchStep::WaitUntil(visible_at.min(self.deadline))
    }

    /// Waits for a change, for new switches or until the given time.
    async fn wait(&mut self, until: Instant) {
        tokio::select! {
            _ = self.newest.changed() => {}
            _ = self.switches.changed() => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }
}

fn event(change: &Change) -> Value {
    let name = match change.kind {
        ChangeKind::Added => "ADDED",
        ChangeKind::Modified => "MODIFIED",
        ChangeKind::Deleted => "DELETED",
    };
    json!({ "type": name, "object": change.object })
}

fn bookmark(version: u64) -> Value {
    let metadata = json!({ "resourceVersion": version.to_string() });
    json!({ "type": "BOOKMARK", "object": { "apiVersion": API_VERSION, "metadata": metadata } })
}
