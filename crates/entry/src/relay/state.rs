//! What the tasks of a relay share.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use log::{info, warn};
use rustix::time::{ClockId, clock_gettime};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    FastMap,
    freshness::{PlatformData, PlatformDataFreshness},
    ownership::Candidate,
    retry_share::RetryShare,
    route_table::RouteTable,
    upstreams::{Upstreams, UpstreamsSettings},
};
use yuccatrail_runtime::clock::Clock;

use crate::relay::{
    crashes::Crashes, metrics::RelayMetrics, peers::Peers, pool::Pool, release::Releases,
    settings::RelaySettings, stages::StageQueues,
};

/// Time between two looks whether beliefs are fresh; lists take some milliseconds.
const FRESH_CHECK: Duration = Duration::from_millis(2);

/// State of one relay.
pub(crate) struct Relay {
    /// Settings in force at the start.
    pub(crate) settings: RelaySettings,
    /// Clock of all times in milliseconds.
    pub(crate) clock: Clock,
    /// Connections to upstreams.
    pub(crate) pool: Pool,
    /// Queues of the stage services.
    pub(crate) stages: StageQueues,
    /// The other entries.
    pub(crate) peers: Peers,
    /// Results that nobody needs any more.
    pub(crate) releases: Releases,
    /// Requests that crash upstreams.
    pub(crate) crashes: Crashes,
    /// Counters and histograms.
    pub(crate) metrics: RelayMetrics,
    table: Mutex<Option<Arc<RouteTable>>>,
    upstreams: Mutex<Upstreams>,
    retries: Mutex<RetryShare>,
    freshness: Mutex<PlatformDataFreshness>,
    /// How far the lists can be trusted.
    list_trust: watch::Sender<ListTrust>,
    is_stopping: AtomicBool,
    /// Cancelled when a planned stop gives up what no upstream has received.
    gives_up_waiting: CancellationToken,
    /// Whether the platform's list of upstreams can be followed now.
    follows_platform: AtomicBool,
    in_progress: AtomicUsize,
}

/// How far the lists of the platform can be trusted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListTrust {
    /// Number of times that all lists had to be read again.
    rereads: u64,
    /// Whether the platform left the last check unanswered.
    pub(crate) is_platform_silent: bool,
}

/// Counts a request for as long as it is in progress.
pub(crate) struct InProgress {
    relay: Arc<Relay>,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.relay.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Relay {
    /// Creates the state of a relay that knows nothing yet.
    pub(crate) fn new(settings: RelaySettings) -> Arc<Self> {
        let own = Candidate { name: settings.name.clone(), cpu_share: settings.cpu_share };
        Arc::new(Self {
            clock: Clock::new(),
            pool: Pool::default(),
            stages: StageQueues::default(),
            peers: Peers::new(own),
            releases: Releases::default(),
            crashes: Crashes::default(),
            metrics: RelayMetrics::new(),
            table: Mutex::new(None),
            upstreams: Mutex::new(Upstreams::new(UpstreamsSettings::default(), &settings.name)),
            retries: Mutex::new(RetryShare::new(settings.bounds.retries)),
            freshness: Mutex::new(PlatformDataFreshness::new(suspended_clock_ms())),
            list_trust: watch::Sender::new(ListTrust::default()),
            is_stopping: AtomicBool::new(false),
            gives_up_waiting: CancellationToken::new(),
            follows_platform: AtomicBool::new(true),
            in_progress: AtomicUsize::new(0),
            settings,
        })
    }

    /// Returns the time since the start, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the configuration in force, if any has arrived.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        lock(&self.table).clone()
    }

    /// Puts a configuration in force unless it is older than the one that is; returns whether it did.
    pub(crate) fn adopt(&self, table: RouteTable, source: &str) -> bool {
        let mut current = lock(&self.table);
        if current.as_ref().is_some_and(|it| it.version() >= table.version()) {
            return false;
        }
        info!(version = table.version(), source = source; "configuration in force");
        let mut cold_starts = FastMap::default();
        for service in table.services() {
            let cold = (service.cold_start_ms, service.cold_requests_per_s);
            cold_starts.insert(service.name.clone(), cold);
            if let Some(stage) = service.stage {
                self.stages.configure(&service.name, stage);
            }
        }
        self.peers.note_change();
        self.upstreams().set_cold_starts(cold_starts);
        *current = Some(Arc::new(table));
        true
    }

    /// Locks the upstreams; the guard must not be held across a wait.
    pub(crate) fn upstreams(&self) -> MutexGuard<'_, Upstreams> {
        lock(&self.upstreams)
    }

    /// Locks the retry share; the guard must not be held across a wait.
    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryShare> {
        lock(&self.retries)
    }

    /// Counts a request until the returned value is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress { relay: self.clone() }
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Notes that this process runs, and tells the feeds if it did not for a while; returns the time
    /// of the sign, in milliseconds.
    pub(crate) fn note_sign_of_life(&self) -> u64 {
        let now_ms = suspended_clock_ms();
        let pause_ms = lock(&self.freshness).tick(now_ms);
        if let Some(length_ms) = pause_ms {
            warn!(length_ms = length_ms; "this process did not run, lists are read again");
            self.read_lists_again();
        }
        now_ms
    }

    /// Makes the feeds break off their polls and read their lists again.
    pub(crate) fn read_lists_again(&self) {
        self.list_trust.send_modify(|it| it.rereads += 1);
    }

    /// Notes whether the platform answers checks; the feeds don't press one that does not.
    pub(crate) fn set_platform_silent(&self, is_silent: bool) {
        self.list_trust.send_if_modified(|it| {
            let was_silent = std::mem::replace(&mut it.is_platform_silent, is_silent);
            was_silent != is_silent
        });
    }

    /// Returns a receiver that changes each time that the lists have to be read again.
    pub(crate) fn list_trust(&self) -> watch::Receiver<ListTrust> {
        self.list_trust.subscribe()
    }

    /// Notes that a belief was read as a whole from the platform.
    pub(crate) fn renew(&self, belief: PlatformData) {
        lock(&self.freshness).mark_refreshed(belief, suspended_clock_ms());
    }

    /// Tells whether nothing may be sent before beliefs are fresh.
    pub(crate) fn has_to_wait(&self) -> bool {
        let now_ms = self.note_sign_of_life();
        lock(&self.freshness).must_hold_requests(now_ms)
    }

    /// Waits until beliefs are fresh after a pause of this process.
    pub(crate) async fn until_fresh(&self) {
        while self.has_to_wait() {
            tokio::time::sleep(FRESH_CHECK).await;
        }
    }

    /// Notes that a planned stop has begun.
    pub(crate) fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Refuses the requests that no upstream has received yet.
    pub(crate) fn give_up_waiting(&self) {
        self.gives_up_waiting.cancel();
    }

    /// Waits until requests that no upstream has received are refused.
    pub(crate) async fn gives_up_waiting(&self) {
        self.gives_up_waiting.cancelled().await;
    }

    /// Notes whether the platform's list of upstreams can be followed.
    pub(crate) fn set_follows_platform(&self, follows: bool) {
        self.follows_platform.store(follows, Ordering::Relaxed);
    }

    /// Tells whether the beliefs come from the platform and are kept up to date.
    pub(crate) fn follows_platform(&self) -> bool {
        self.follows_platform.load(Ordering::Relaxed) && self.upstreams().has_platform_list()
    }

    /// Tells whether callers may come: the relay holds a configuration and a list and stays.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping.load(Ordering::Relaxed)
            && lock(&self.table).is_some()
            && self.upstreams().has_list()
    }
}

/// Returns the time since the instance started, which counts suspensions, in milliseconds.
fn suspended_clock_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
