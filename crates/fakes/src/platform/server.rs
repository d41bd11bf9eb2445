//! HTTP server of the stand-in, and the handle to control it.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccatrail_platform::{API_VERSION, Kind, TokenBucket};

use super::{
    Counters, PlatformSwitches, Seed, admin, api,
    status::{Body, ConnectionAbort},
    store::{Collection, Store},
};

/// Settings of the stand-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FakePlatformSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Rate limit for reads, lists and watches, in calls per second.
    pub reads_per_second: f64,
    /// Rate limit for writes, in calls per second.
    pub writes_per_second: f64,
}

impl Default for FakePlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            reads_per_second: 2_000.0,
            writes_per_second: 400.0,
        }
    }
}

/// Handle of a running stand-in.
#[derive(Debug)]
pub struct FakePlatform {
    address: SocketAddr,
    shared: Arc<Shared>,
    cancel: CancellationToken,
    accept_task: JoinHandle<()>,
}

/// State that is shared by all connections.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    pub(crate) switches: watch::Sender<PlatformSwitches>,
    /// Version of the newest change; waiting watches are woken when it is set.
    pub(crate) newest: watch::Sender<u64>,
}

/// Part of the shared state that is protected by the lock.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) store: Store,
    pub(crate) counters: Counters,
    pub(crate) reads: TokenBucket,
    pub(crate) writes: TokenBucket,
}

impl Shared {
    /// Locks the state; the lock must not be held across an await.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time whose state a lagging collection shows at present.
    pub(crate) fn lagging_view_time(&self) -> Instant {
        let lag = Duration::from_millis(self.switches.borrow().instances_lag_ms);
        let now = Instant::now();
        now.checked_sub(lag).unwrap_or(now)
    }
}

impl FakePlatform {
    /// Binds the configured address and starts serving.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(settings: FakePlatformSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let now = Instant::now();
        let state = State {
            store: Store::default(),
            counters: Counters::default(),
            reads: TokenBucket::new(settings.reads_per_second, now),
            writes: TokenBucket::new(settings.writes_per_second, now),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            switches: watch::Sender::new(PlatformSwitches::default()),
            newest: watch::Sender::new(0),
        });
        let cancel = CancellationToken::new();
        let accept_task =
            tokio::spawn(accept_connections(listener, Arc::clone(&shared), cancel.clone()));
        Ok(Self { address, shared, cancel, accept_task })
    }

    /// Returns the address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Creates the objects of a seed; objects that already exist are left unchanged.
    pub fn seed(&self, seed: Seed) {
        let now = Instant::now();
        let mut state = self.shared.state();
        for (collection, name, object) in seed.objects {
            // Of objects with the same name, the first one is kept.
            let _ = state.store.create(&collection, &name, object, now);
        }
        self.shared.newest.send_replace(state.store.version());
    }

    /// Creates or replaces an object regardless of the switches, like a client that no fault
    /// affects.
    pub fn put(&self, kind: Kind, environment: &str, name: &str, spec: Value) {
        let collection = collection(kind, environment);
        let object = json!({
            "apiVersion": API_VERSION,
            "kind": kind.name(),
            "metadata": { "name": name, "namespace": environment },
            "spec": spec,
        });
        let now = Instant::now();
        let mut state = self.shared.state();
        if state.store.create(&collection, name, object.clone(), now).is_err() {
            // The object exists. An update without a version replaces any state of it, so it
            // succeeds.
            let _ = state.store.update(&collection, name, None, object, now);
        }
        self.shared.newest.send_replace(state.store.version());
    }

    /// Deletes an object regardless of the switches; does nothing if it does not exist.
    pub fn remove(&self, kind: Kind, environment: &str, name: &str) {
        let collection = collection(kind, environment);
        let mut state = self.shared.state();
        let _ = state.store.delete(&collection, name, None, Instant::now());
        self.shared.newest.send_replace(state.store.version());
    }

    /// Returns the current switches.
    pub fn switches(&self) -> PlatformSwitches {
        self.shared.switches.borrow().clone()
    }

    /// Replaces all switches.
    pub fn set_switches(&self, switches: PlatformSwitches) {
        self.shared.switches.send_replace(switches);
    }

    /// Returns the current counters.
    pub fn counters(&self) -> Counters {
        self.shared.state().counters
    }

    /// Discards the history of changes, so that watches from older versions fail with 410.
    pub fn compact(&self) {
        self.shared.state().store.compact();
    }

    /// Stops serving and closes every connection.
    pub async fn close(self) {
        self.cancel.cancel();
        // Awaited only for its end: the panic hook has already reported a panic of the task.
        let _ = self.accept_task.await;
    }
}

fn collection(kind: Kind, environment: &str) -> Collection {
    Collection { namespace: environment.to_owned(), plural: kind.plural().to_owned() }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>, cancel: CancellationToken) {
    let tracker = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        // An error concerns only a connection that was reset before it was accepted.
        let Ok((stream, _)) = accepted else { continue };
        tracker.spawn(serve_connection(stream, Arc::clone(&shared), cancel.clone()));
    }
    tracker.close();
    tracker.wait().await;
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>, cancel: CancellationToken) {
    let service = service_fn(move |request| handle(Arc::clone(&shared), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = cancel.cancelled() => {}
        // A client may close its connection at any time, so errors are ignored.
        _ = connection => {}
    }
}

async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionAbort> {
    if request.uri().path().starts_with(admin::PREFIX) {
        return Ok(admin::handle(&shared, request).await);
    }
    api::handle(shared, request).await
}
