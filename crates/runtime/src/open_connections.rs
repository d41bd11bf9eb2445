//! Open connections of a listener, whose number is limited.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use log::{debug, warn};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    FastMap,
    connection_limit::{Admission, ConnectionKey, ConnectionLimit, Room},
};

use crate::clock::Clock;

/// Connections of a listener for health checks and metrics, each of which has a few clients.
const INTERNAL_CONNECTIONS: usize = 32;
/// Interval at which refused connections are logged, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;
/// Interval at which the accept loop checks for room, and a replaced connection for the end of its requests, in
/// milliseconds.
const ROOM_POLL_MS: u64 = 10;

/// The open connections of a listener.
#[derive(Debug)]
pub struct OpenConnections {
    clock: Clock,
    state: Mutex<State>,
    /// Notified when a connection was closed.
    closed: Notify,
}

#[derive(Debug)]
struct State {
    limit: ConnectionLimit,
    /// Cancelled when a connection has to make room for another one.
    replaced: FastMap<ConnectionKey, CancellationToken>,
    refused: u64,
    logged_ms: Option<u64>,
}

/// One open connection; counts towards the limit until dropped.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Arc<OpenConnections>,
    key: ConnectionKey,
    replaced: CancellationToken,
    /// Requests in progress, of which HTTP/2 allows several.
    requests: AtomicUsize,
}

/// A request in progress on a connection, until dropped.
#[derive(Debug)]
pub struct OpenRequest {
    connection: Arc<OpenConnection>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let OpenConnection { connections, key, requests, .. } = &*self.connection;
        if requests.fetch_sub(1, Ordering::Relaxed) == 1 {
            let now_ms = connections.clock.now_ms();
            lock(&connections.state).limit.end_request(*key, now_ms);
        }
    }
}

impl OpenConnections {
    /// Limits the number of connections.
    pub fn new(max_connections: usize, clock: Clock) -> Arc<Self> {
        let state = State {
            limit: ConnectionLimit::new(max_connections),
            replaced: FastMap::default(),
            refused: 0,
            logged_ms: None,
        };
        Arc::new(Self { clock, state: Mutex::new(state), closed: Notify::new() })
    }

    /// Limits the connections of a listener for health checks and metrics.
    pub fn for_internal_use(clock: Clock) -> Arc<Self> {
        Self::new(INTERNAL_CONNECTIONS, clock)
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        lock(&self.state).limit.connections()
    }

    /// Waits until a connection can be opened, or all carry a request; `end_request` is as for
    /// [`open`](Self::open).
    pub async fn until_room(&self, end_request: impl Fn() -> bool) {
        loop {
            let room = lock(&self.state).make_room(&end_request);
            if !matches!(room, Room::Pending { .. }) {
                return;
            }
            let poll_interval = Duration::from_millis(ROOM_POLL_MS);
            tokio::select! {
                () = self.closed.notified() => {}
                // A request that was ended early leaves its connection without closing it.
                () = tokio::time::sleep(poll_interval) => {}
            }
        }
    }

    /// Counts a connection that was accepted; none if it has to be closed. If all others carry a request,
    /// `end_request` is called to end one of them early and tells whether it could.
    pub fn open(self: &Arc<Self>, end_request: impl FnOnce() -> bool) -> Option<OpenConnection> {
        let mut state = lock(&self.state);
        let now_ms = self.clock.now_ms();
        let Admission::Admitted { key, replaced } = state.limit.open(now_ms, end_request) else {
            state.log_refusal(now_ms);
            return None;
        };
        state.replace(replaced);
        let replaced = CancellationToken::new();
        state.replaced.insert(key, replaced.clone());
        Some(OpenConnection {
            connections: self.clone(),
            key,
            replaced,
            requests: AtomicUsize::new(0),
        })
    }
}

impl State {
    fn make_room(&mut self, end_request: impl FnOnce() -> bool) -> Room {
        let room = self.limit.make_room(end_request);
        if let Room::Pending { replaced } = room {
            self.replace(replaced);
        }
        room
    }

    /// Closes a connection that makes room.
    fn replace(&self, key: Option<ConnectionKey>) {
        if let Some(token) = key.and_then(|it| self.replaced.get(&it)) {
            debug!("idle connection closed for another one");
            token.cancel();
        }
    }

    fn log_refusal(&mut self, now_ms: u64) {
        self.refused += 1;
        if self.logged_ms.is_some_and(|it| now_ms < it + LOG_INTERVAL_MS) {
            return;
        }
        self.logged_ms = Some(now_ms);
        let refused = std::mem::take(&mut self.refused);
        warn!(refused = refused, open = self.limit.connections(); "connections refused, all others carry requests");
    }
}

impl OpenConnection {
    /// Counts a request until the returned guard is dropped.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        if self.requests.fetch_add(1, Ordering::Relaxed) == 0 {
            lock(&self.connections.state).limit.begin_request(self.key);
        }
        OpenRequest { connection: self.clone() }
    }

    /// Waits until the connection has to make room for another one and carries no request.
    pub async fn until_replaced_and_idle(&self) {
        self.replaced.cancelled().await;
        while self.requests.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(ROOM_POLL_MS)).await;
        }
    }

    /// Waits until the connection has to make room for another one.
    pub async fn until_replaced(&self) {
        self.replaced.cancelled().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = lock(&self.connections.state);
        state.limit.close(self.key);
        state.replaced.remove(&self.key);
        drop(state);
        // Only the accept loop waits; a permit is kept for it if it does not wait yet.
        self.connections.closed.notify_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
