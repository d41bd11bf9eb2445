//! Watches: streams of the changes after a version.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream;
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use tokio::{sync::watch, time::Instant};
use yuccatrail_platform::API_VERSION;

use super::{
    Switches,
    server::Shared,
    status::{Body, Cut, failure, status_value, stream_response},
    store::{Change, ChangeKind, Collection},
};

/// Time after which a watch ends when its call does not say, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 30;

/// Progress of one watch.
struct Progress {
    shared: Arc<Shared>,
    collection: Collection,
    /// Version up to which every change was delivered.
    version: u64,
    end: Instant,
    ended: bool,
    newest: watch::Receiver<u64>,
    switches: watch::Receiver<Switches>,
}

/// What a watch does next.
enum Step {
    Deliver(Value),
    Cut,
    End,
    WaitUntil(Instant),
}

/// Opens a watch.
pub(crate) fn open(
    shared: Arc<Shared>,
    collection: Collection,
    query: Option<&str>,
) -> Response<Body> {
    let query = query.unwrap_or_default();
    let Some(version) = number(query, "resourceVersion") else {
        let message = "resourceVersion is missing or not a version of this store";
        return failure(StatusCode::BAD_REQUEST, "BadRequest", message);
    };
    if !shared.state().store.holds_changes_since(version) {
        return failure(StatusCode::GONE, "Expired", "the requested version is too old");
    }
    let timeout_s = number(query, "timeoutSeconds").unwrap_or(DEFAULT_TIMEOUT_S);
    let progress = Progress {
        collection,
        version,
        end: Instant::now() + Duration::from_secs(timeout_s),
        ended: false,
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

fn number(query: &str, name: &str) -> Option<u64> {
    parameter(query, name)?.parse().ok()
}

async fn next_line(mut progress: Progress) -> Option<(Result<Bytes, Cut>, Progress)> {
    if progress.ended {
        return None;
    }
    loop {
        match progress.step() {
            Step::Deliver(event) => {
                let line = Bytes::from(format!("{event}\n"));
                return Some((Ok(line), progress));
            }
            Step::Cut => {
                progress.ended = true;
                return Some((Err(Cut::Switched), progress));
            }
            Step::End => return None,
            Step::WaitUntil(until) => progress.wait(until).await,
        }
    }
}

impl Progress {
    /// Decides what comes next from the switches, the clock and the store.
    fn step(&mut self) -> Step {
        let switches = self.switches.borrow_and_update().clone();
        self.newest.mark_unchanged();
        let now = Instant::now();
        if switches.outage.is_some() {
            return Step::Cut;
        }
        if switches.silent_watches {
            return if now >= self.end { Step::End } else { Step::WaitUntil(self.end) };
        }
        let lag = match self.collection.lags() {
            true => Duration::from_millis(switches.instances_lag_ms),
            false => Duration::ZERO,
        };
        self.next_change(now, lag)
    }

    fn next_change(&mut self, now: Instant, lag: Duration) -> Step {
        let shared = Arc::clone(&self.shared);
        let state = shared.state();
        if !state.store.holds_changes_since(self.version) {
            self.ended = true;
            let message = "the changes that the watch needs are no longer held";
            let status = status_value(StatusCode::GONE, "Expired", message);
            return Step::Deliver(json!({ "type": "ERROR", "object": status }));
        }
        let Some(change) = state.store.change_after(&self.collection, self.version) else {
            if now < self.end {
                return Step::WaitUntil(self.end);
            }
            // The bookmark lets the next watch skip the changes of other collections.
            self.ended = true;
            return Step::Deliver(bookmark(state.store.version()));
        };
        let visible_at = Instant::from_std(change.at) + lag;
        if now >= visible_at {
            self.version = change.version;
            return Step::Deliver(event(change));
        }
        if now >= self.end {
            return Step::End;
        }
        Step::WaitUntil(visible_at.min(self.end))
    }

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
