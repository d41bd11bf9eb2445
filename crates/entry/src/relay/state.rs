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
    freshness::{Belief, BeliefFreshness},
    ownership::Candidate,
    retry_share::RetryShare,
    route_table::RouteTable,
    upstreams::{Upstreams, UpstreamsSettings},
};
use yuccatrail_runtime::clock::Clock;

use crate::relay::{
    crashes::CrashTracker, metrics::RelayMetrics, peers::Peers, pool::ConnectionPool,
    release::ResultReleases, settings::RelaySettings, stages::StageQueues,
};

/// Time between two looks whether beliefs are fresh; lists take some milliseconds.
const FRESHNESS_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State of one relay.
pub(crate) struct Relay {
    /// Settings in force at the start.
    pub(crate) settings: RelaySettings,
    /// Clock of all times in milliseconds.
    pub(crate) clock: Clock,
    /// Connections to upstreams.
    pub(crate) pool: ConnectionPool,
    /// Queues of the stage services.
    pub(crate) stages: StageQueues,
    /// The other entries.
    pub(crate) peers: Peers,
    /// Results that nobody needs any more.
    pub(crate) releases: ResultReleases,
    /// Requests that crash upstreams.
    pub(crate) crashes: CrashTracker,
    /// Counters and histograms.
    pub(crate) metrics: RelayMetrics,
    table: Mutex<Option<Arc<RouteTable>>>,
    upstreams: Mutex<Upstreams>,
    retries: Mutex<RetryShare>,
    freshness: Mutex<BeliefFreshness>,
    /// How far the lists can be trusted.
    relist_signal: watch::Sender<RelistSignal>,
    is_stopping: AtomicBool,
    /// Cancelled when a planned stop gives up what no upstream has received.
    refuse_unsent_token: CancellationToken,
    /// Whether the platform's list of upstreams can be followed now.
    follows_platform: AtomicBool,
    in_progress: AtomicUsize,
}

/// How far the lists of the platform can be trusted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RelistSignal {
    /// Number of times that all lists had to be read again.
    relists: u64,
    /// Whether the platform left the last check unanswered.
    pub(crate) is_platform_unresponsive: bool,
}

/// Counts a request for as long as it is in progress.
pub(crate) struct InProgressGuard {
    relay: Arc<Relay>,
}

impl Drop for InProgressGuard {
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
            pool: ConnectionPool::default(),
            stages: StageQueues::default(),
            peers: Peers::new(own),
            releases: ResultReleases::default(),
            crashes: CrashTracker::default(),
            metrics: RelayMetrics::new(),
            table: Mutex::new(None),
            upstreams: Mutex::new(Upstreams::new(UpstreamsSettings::default(), &settings.name)),
            retries: Mutex::new(RetryShare::new(settings.bounds.retries)),
            freshness: Mutex::new(BeliefFreshness::new(boottime_ms())),
            relist_signal: watch::Sender::new(RelistSignal::default()),
            is_stopping: AtomicBool::new(false),
            refuse_unsent_token: CancellationToken::new(),
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
    pub(crate) fn activate_configuration(&self, table: RouteTable, source: &str) -> bool {
        let mut current = lock(&self.table);
        if current.as_ref().is_some_and(|it| it.version() >= table.version()) {
            return false;
        }
        info!(version = table.version(), source = source; "configuration in force");
        let mut cold_starts = FastMap::default();
        for service in table.services() {
            let cold = (service.cold_start_ms, service.cold_per_s);
            cold_starts.insert(service.name.clone(), cold);
            if let Some(stage) = service.stage {
                self.stages.configure(&service.name, stage);
            }
        }
        self.peers.invalidate_polled_entries();
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
    pub(crate) fn begin_request(self: &Arc<Self>) -> InProgressGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgressGuard { relay: self.clone() }
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Notes that this process runs, and tells the feeds if it did not for a while; returns the time
    /// of the sign, in milliseconds.
    pub(crate) fn detect_pause(&self) -> u64 {
        let now_ms = boottime_ms();
        let pause_ms = lock(&self.freshness).note_sign(now_ms);
        if let Some(length_ms) = pause_ms {
            warn!(length_ms = length_ms; "this process did not run, lists are read again");
            self.relist();
        }
        now_ms
    }

    /// Makes the feeds break off their polls and read their lists again.
    pub(crate) fn relist(&self) {
        self.relist_signal.send_modify(|it| it.relists += 1);
    }

    /// Notes whether the platform answers checks; the feeds don't press one that does not.
    pub(crate) fn set_platform_unresponsive(&self, is_unresponsive: bool) {
        self.relist_signal.send_if_modified(|it| {
            let was_unresponsive =
                std::mem::replace(&mut it.is_platform_unresponsive, is_unresponsive);
            was_unresponsive != is_unresponsive
        });
    }

    /// Returns a receiver that changes each time that the lists have to be read again.
    pub(crate) fn relist_signal(&self) -> watch::Receiver<RelistSignal> {
        self.relist_signal.subscribe()
    }

    /// Notes that a belief was read as a whole from the platform.
    pub(crate) fn mark_fresh(&self, belief: Belief) {
        lock(&self.freshness).renew(belief, boottime_ms());
    }

    /// Tells whether nothing may be sent before beliefs are fresh.
    pub(crate) fn must_wait_for_lists(&self) -> bool {
        let now_ms = self.detect_pause();
        lock(&self.freshness).has_to_wait(now_ms)
    }

    /// Waits until beliefs are fresh after a pause of this process.
    pub(crate) async fn wait_until_fresh(&self) {
        while self.must_wait_for_lists() {
            tokio::time::sleep(FRESHNESS_POLL_INTERVAL).await;
        }
    }

    /// Notes that a planned stop has begun.
    pub(crate) fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Refuses the requests that no upstream has received yet.
    pub(crate) fn refuse_unsent(&self) {
        self.refuse_unsent_token.cancel();
    }

    /// Waits until requests that no upstream has received are refused.
    pub(crate) async fn until_unsent_refused(&self) {
        self.refuse_unsent_token.cancelled().await;
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
fn boottime_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
