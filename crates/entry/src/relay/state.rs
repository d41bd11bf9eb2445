//! State shared by the tasks of a relay.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use log::{info, warn};
use rustix::time::{ClockId, clock_gettime};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    FastMap,
    freshness::{PlatformData, PlatformDataFreshness},
    ownership::{Candidate, ReadingRole},
    retry_share::RetryShare,
    route_table::{CallerLimits, Route, RouteKind, RouteTable},
    stop_admission::{RouteDurations, StopSchedule},
    stream_origin::StreamOrigins,
    upstreams::{ListCorrections, Upstreams, UpstreamsSettings},
};
use yuccatrail_runtime::{
    clock::Clock, open_connections::OpenConnections, request_body::RequestBodies,
    supervisor::Supervisor,
};

use crate::relay::{
    buffers::ResponseBuffers,
    configurations::Configurations,
    crashes::RequestCrashes,
    listed_versions::ListedVersions,
    metrics::RelayMetrics,
    peers::{Owner, Peers},
    pool::ConnectionPool,
    prompt_holders::PromptHolderSearch,
    reading::Reading,
    release::ResultReleases,
    rollouts::RelayRollouts,
    settings::RelaySettings,
    stages::StageQueues,
    updates::{Updates, log_evacuations},
};

/// Interval at which waiting requests check for fresh lists; reading the lists takes a few
/// milliseconds.
const FRESHNESS_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State of one relay.
pub(crate) struct Relay {
    /// Settings at process start.
    pub(crate) settings: RelaySettings,
    /// Clock behind all times in milliseconds since the start.
    pub(crate) clock: Clock,
    /// Starts the tasks that run as long as the process.
    pub(crate) supervisor: Supervisor,
    /// Idle connections to upstreams.
    pub(crate) pool: ConnectionPool,
    /// Connections of callers.
    pub(crate) caller_connections: Arc<OpenConnections>,
    /// Bodies of callers' requests.
    pub(crate) request_bodies: Arc<RequestBodies>,
    /// Limits on the response bodies that are read at the same time.
    pub(crate) response_buffers: ResponseBuffers,
    /// Queues of the stage services.
    pub(crate) stages: StageQueues,
    /// The other entries.
    pub(crate) peers: Peers,
    /// Configurations that entries pass on to one another.
    pub(crate) configurations: Configurations,
    /// Updates for entries that follow this one.
    pub(crate) updates: Updates,
    /// Whether this entry reads the platform or follows another one.
    pub(crate) reading: Reading,
    /// Stage results to release at their upstreams.
    pub(crate) releases: ResultReleases,
    /// Roll-outs that this entry decides on, and their reports.
    pub(crate) rollouts: RelayRollouts,
    /// Tracks requests that crash upstreams.
    pub(crate) crashes: RequestCrashes,
    /// Which versions keep which prompts.
    pub(crate) prompt_holders: PromptHolderSearch,
    /// Software versions that the platform lists, read when they have to be certain.
    pub(crate) listed_versions: ListedVersions,
    /// Counters and histograms.
    pub(crate) metrics: RelayMetrics,
    table: Mutex<Option<Arc<RouteTable>>>,
    /// Limits on callers of the active configuration; the default ones before the first has arrived.
    limits: watch::Sender<CallerLimits>,
    upstreams: Mutex<Upstreams>,
    streams: Mutex<StreamOrigins>,
    retries: Mutex<RetryShare>,
    freshness: Mutex<PlatformDataFreshness>,
    /// Notified when a call to the platform has failed, so that it is checked at once.
    pub(crate) check_platform_now: Notify,
    /// Tells the feeds to read their lists again.
    relist_signal: watch::Sender<RelistSignal>,
    /// Times of the graceful shutdown in progress, if any.
    stop: OnceLock<StopSchedule>,
    /// Cancelled when a graceful shutdown refuses the requests that no upstream has received.
    refuse_unsent_token: CancellationToken,
    /// Cancelled when a graceful shutdown answers the requests that upstreams are still at work on.
    answer_all_token: CancellationToken,
    /// How long requests of each route lasted lately.
    durations: Mutex<RouteDurations>,
    /// Whether the feed of upstreams currently gets responses from the platform.
    follows_platform: AtomicBool,
    in_progress: AtomicUsize,
}

/// Tells the feeds when to read the platform's lists again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RelistSignal {
    /// Number of relists so far; each increase wakes the feeds.
    pub(crate) relists: u64,
    /// Role of this entry, which decides on what the feeds read.
    pub(crate) role: ReadingRole,
    /// Whether the last platform check got no response.
    pub(crate) is_platform_unresponsive: bool,
}

/// Counts a request as in progress until dropped.
pub(crate) struct InProgressGuard {
    relay: Arc<Relay>,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.relay.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Relay {
    /// Creates the state of a relay without a configuration or upstreams.
    pub(crate) fn new(settings: RelaySettings) -> Arc<Self> {
        let own = Candidate {
            name: settings.name.clone(),
            cpu_share: settings.cpu_share,
            data_centre: settings.data_centre.as_str().into(),
        };
        let clock = Clock::new();
        let mut upstreams = Upstreams::new(UpstreamsSettings::default(), &settings.name);
        upstreams.set_exposure_limit(settings.bounds.exposure, rand::random());
        let is_first_start = settings.is_first_start;
        let retries = RetryShare::new(settings.bounds.retries, is_first_start, clock.now_ms());
        Arc::new(Self {
            clock,
            supervisor: Supervisor::new(clock),
            pool: ConnectionPool::default(),
            caller_connections: OpenConnections::new(settings.machine.caller_connections(), clock),
            request_bodies: RequestBodies::new(settings.machine.request_body_bytes(), clock),
            response_buffers: ResponseBuffers::new(settings.machine.response_bytes()),
            stages: StageQueues::default(),
            peers: Peers::new(own),
            configurations: Configurations::default(),
            updates: Updates::new(),
            reading: Reading::new(clock.now_ms()),
            releases: ResultReleases::default(),
            rollouts: RelayRollouts::new(settings.bounds.exposure),
            crashes: RequestCrashes::new(is_first_start),
            prompt_holders: PromptHolderSearch::default(),
            listed_versions: ListedVersions::default(),
            metrics: RelayMetrics::new(settings.bounds.exposure.is_some()),
            table: Mutex::new(None),
            limits: watch::Sender::new(CallerLimits::default()),
            upstreams: Mutex::new(upstreams),
            streams: Mutex::default(),
            retries: Mutex::new(retries),
            freshness: Mutex::new(PlatformDataFreshness::new(boottime_ms())),
            check_platform_now: Notify::new(),
            relist_signal: watch::Sender::new(RelistSignal::default()),
            stop: OnceLock::new(),
            refuse_unsent_token: CancellationToken::new(),
            answer_all_token: CancellationToken::new(),
            durations: Mutex::default(),
            follows_platform: AtomicBool::new(true),
            in_progress: AtomicUsize::new(0),
            settings,
        })
    }

    /// Returns the time since the start, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the clock of the process.
    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the active configuration; none before the first has arrived.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        lock(&self.table).clone()
    }

    /// Returns a receiver that is notified when the limits on callers change.
    pub(crate) fn subscribe_limits(&self) -> watch::Receiver<CallerLimits> {
        self.limits.subscribe()
    }

    /// Activates a configuration if it is newer than the active one; returns whether it did.
    pub(crate) fn activate_configuration(&self, table: RouteTable, source: &str) -> bool {
        let mut current = lock(&self.table);
        if current.as_ref().is_some_and(|it| it.version() >= table.version()) {
            return false;
        }
        info!(
            version = table.version(),
            routes = table.configuration().routes.len(),
            source = source;
            "configuration in force"
        );
        let mut cold_starts = FastMap::default();
        let mut model_memory = FastMap::default();
        for service in table.services() {
            let cold = (service.cold_start_ms, service.cold_requests_per_s);
            cold_starts.insert(service.name.clone(), cold);
            if let Some(tokens) = service.model_memory_tokens {
                model_memory.insert(service.name.clone(), tokens);
            }
            if let Some(stage) = service.stage {
                self.stages.configure(&service.name, stage);
            }
        }
        self.peers.invalidate_polled_entries();
        self.upstreams().set_cold_starts(cold_starts);
        if self.settings.limits_upstream_memory {
            self.upstreams().set_model_memory(model_memory);
        }
        let table = Arc::new(table);
        *current = Some(table.clone());
        drop(current);
        self.crashes.record_state.set_configured(self.now_ms());
        self.limits.send_if_modified(|it| std::mem::replace(it, table.limits()) != table.limits());
        self.configurations.record_active(table);
        self.updates.notify();
        true
    }

    /// Locks the upstreams; the guard must not be held across an await.
    pub(crate) fn upstreams(&self) -> MutexGuard<'_, Upstreams> {
        lock(&self.upstreams)
    }

    /// Locks the origins of streams; the guard must not be held across an await.
    pub(crate) fn streams(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.streams)
    }

    /// Merges what another entry knows beyond the platform's lists.
    pub(crate) fn merge_corrections(&self, corrections: &ListCorrections) {
        let now_ms = self.now_ms();
        let changed = self.upstreams().merge_corrections(corrections, now_ms);
        log_evacuations(&changed);
    }

    /// Records which stage services this entry owns now.
    pub(crate) fn update_owned_services(&self) {
        let services = self.stages.services().into_iter();
        let owned = services.map(|it| {
            let is_own = matches!(self.peers.owner(self, &it), Owner::Local);
            (it, is_own)
        });
        let owned = owned.collect();
        self.upstreams().set_owned_services(owned);
    }

    /// Locks the retry share; the guard must not be held across an await.
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

    /// Detects whether this process was paused since the last call, and makes the feeds relist if
    /// so; returns the current time on the boot-time clock, in milliseconds.
    pub(crate) fn detect_pause(&self) -> u64 {
        let now_ms = boottime_ms();
        let pause_ms = lock(&self.freshness).tick(now_ms);
        if let Some(length_ms) = pause_ms {
            warn!(length_ms = length_ms; "this process did not run for a while, relisting");
            self.relist();
        }
        now_ms
    }

    /// Makes the feeds abort their long polls and read their lists again.
    pub(crate) fn relist(&self) {
        self.relist_signal.send_modify(|it| it.relists += 1);
    }

    /// Records whether the platform responds to checks; the feeds back off while it does not.
    pub(crate) fn set_platform_unresponsive(&self, is_unresponsive: bool) {
        self.relist_signal.send_if_modified(|it| {
            let was_unresponsive =
                std::mem::replace(&mut it.is_platform_unresponsive, is_unresponsive);
            was_unresponsive != is_unresponsive
        });
    }

    /// Tells the feeds the role of this entry.
    pub(crate) fn set_role(&self, role: ReadingRole) {
        self.relist_signal.send_modify(|it| {
            it.role = role;
            it.is_platform_unresponsive = false;
        });
    }

    /// Returns a receiver that is notified whenever the lists have to be read again.
    pub(crate) fn relist_signal(&self) -> watch::Receiver<RelistSignal> {
        self.relist_signal.subscribe()
    }

    /// Records that a full list of this kind was read from the platform.
    pub(crate) fn mark_fresh(&self, data: PlatformData) {
        lock(&self.freshness).mark_refreshed(data, boottime_ms());
    }

    /// Tells whether requests must wait because a pause left the lists possibly outdated.
    pub(crate) fn must_wait_for_lists(&self) -> bool {
        let now_ms = self.detect_pause();
        lock(&self.freshness).must_hold_requests(now_ms)
    }

    /// Waits until the lists are fresh after a pause of this process.
    pub(crate) async fn wait_until_fresh(&self) {
        while self.must_wait_for_lists() {
            tokio::time::sleep(FRESHNESS_POLL_INTERVAL).await;
        }
    }

    /// Begins a graceful shutdown, which makes the relay report not ready.
    pub(crate) fn begin_shutdown(&self, schedule: StopSchedule) {
        if self.stop.set(schedule).is_err() {
            warn!("graceful shutdown has begun before");
        }
    }

    /// Tells whether a graceful shutdown leaves time for a request that would be sent now.
    pub(crate) fn has_time_for(&self, route: &Route, deadline_ms: u64) -> bool {
        let Some(stop) = self.stop.get() else { return true };
        let now_ms = self.now_ms();
        let usual_ms = lock(&self.durations).expected_ms(&route.name, now_ms);
        // The target of a stream says nothing of its end.
        let target_ms = (route.kind != RouteKind::Stream).then_some(route.target_latency_ms);
        stop.admits(now_ms, deadline_ms, usual_ms.or(target_ms))
    }

    /// Records how long a request of a route lasted, from its arrival to the end of its response.
    pub(crate) fn record_duration(&self, route: &str, took_ms: u64) {
        lock(&self.durations).record(route, took_ms, self.now_ms());
    }

    /// Forgets the durations of routes without requests.
    pub(crate) fn expire_durations(&self) {
        lock(&self.durations).expire(self.now_ms());
    }

    /// Makes [`Self::until_all_answered`] return, so that requests without a response get one.
    pub(crate) fn answer_all(&self) {
        self.answer_all_token.cancel();
    }

    /// Waits until a graceful shutdown answers the requests that upstreams are still at work on.
    pub(crate) async fn until_all_answered(&self) {
        self.answer_all_token.cancelled().await;
    }

    /// Makes [`Self::until_unsent_refused`] return, so that requests that no upstream has received
    /// are refused.
    pub(crate) fn refuse_unsent(&self) {
        self.refuse_unsent_token.cancel();
    }

    /// Waits until a graceful shutdown refuses the requests that no upstream has received.
    pub(crate) async fn until_unsent_refused(&self) {
        self.refuse_unsent_token.cancelled().await;
    }

    /// Records whether the feed of upstreams gets responses from the platform.
    pub(crate) fn set_follows_platform(&self, follows: bool) {
        self.follows_platform.store(follows, Ordering::Relaxed);
    }

    /// Tells whether the lists come from the platform, directly or through other entries, and are kept
    /// up to date.
    pub(crate) fn follows_platform(&self) -> bool {
        let follows = match self.reading.role() {
            ReadingRole::Reads => self.follows_platform.load(Ordering::Relaxed),
            ReadingRole::Follows => self.reading.has_source(),
            ReadingRole::Starts | ReadingRole::Waits | ReadingRole::Checks => false,
        };
        follows && self.upstreams().has_platform_list()
    }

    /// Tells whether the relay takes callers: it has a configuration and a list of upstreams, knows the
    /// recorded crashes, all its tasks run, and it is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        self.stop.get().is_none()
            && self.supervisor.is_healthy()
            && lock(&self.table).is_some()
            && self.upstreams().has_list()
            && self.crashes.record_state.is_known(self.now_ms())
    }
}

/// Returns the time since the instance booted, including suspensions, in milliseconds.
fn boottime_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Locks a mutex, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
