//! Tasks of a relay that run as long as the process.

use std::{future::Future, io, sync::Arc, time::Duration};

use hyper::{Request, Response, body::Incoming};
use log::{info, warn};
use tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    sync::Mutex,
    task::JoinHandle,
    time::MissedTickBehavior,
};
use tokio_util::sync::CancellationToken;
use yuccatrail_platform::Client;
use yuccatrail_runtime::{
    http::{self, Body},
    open_connections::OpenConnections,
};

use crate::relay::{
    configurations, crash_record, feed, listed_versions, memory, peers, platform_check, rollouts,
    settings::{self, RelaySettings},
    state::Relay,
    updates::log_evacuations,
};

/// Interval of the housekeeping task, in milliseconds; bounds how long after its deadline work is
/// still queued.
const HOUSEKEEPING_INTERVAL_MS: u64 = 25;

/// What the tasks share; each has its own copy.
#[derive(Clone)]
pub(crate) struct Tasks {
    relay: Arc<Relay>,
    client: Client,
    /// Cancelled when the tasks have to end.
    finished: CancellationToken,
}

impl Tasks {
    /// Creates the tasks' common part.
    pub(crate) fn new(relay: Arc<Relay>, client: Client, finished: CancellationToken) -> Self {
        Self { relay, client, finished }
    }

    /// Starts all tasks that need no listener.
    ///
    /// # Errors
    ///
    /// Returns an error when the handler of SIGHUP cannot be installed.
    pub(crate) fn start(&self) -> io::Result<()> {
        // Without a handler, the first SIGHUP would end the process.
        let hangup = Arc::new(Mutex::new(signal(SignalKind::hangup())?));
        self.spawn("configuration_feed", |it| {
            feed::follow_configuration(it.relay, it.client, it.finished)
        });
        self.spawn("upstream_feed", |it| feed::follow_upstreams(it.relay, it.client, it.finished));
        self.spawn("evacuation_feed", |it| {
            feed::follow_evacuations(it.relay, it.client, it.finished)
        });
        self.spawn("entry_feed", |it| feed::follow_entries(it.relay, it.client, it.finished));
        if self.relay.rollouts.is_enabled() {
            self.spawn("rollout_feed", |it| {
                feed::follow_rollouts(it.relay, it.client, it.finished)
            });
            self.spawn("rollouts", |it| rollouts::run(it.relay, it.client, it.finished));
        }
        self.spawn("sources", |it| peers::follow_sources(it.relay, it.finished));
        self.spawn("configuration_offers", |it| {
            configurations::fetch_offered(it.relay, it.finished)
        });
        self.spawn("listed_versions", |it| {
            listed_versions::read_when_wanted(it.relay, it.client, it.finished)
        });
        self.spawn("platform_check", |it| platform_check::check(it.relay, it.client, it.finished));
        self.spawn("crash_record", |it| crash_record::keep(it.relay, it.client, it.finished));
        self.spawn("housekeeping", |it| run_housekeeping(it.relay, it.finished));
        self.spawn("reload", move |it| reload_on_hangup(it.relay, hangup.clone(), it.finished));
        Ok(())
    }

    /// Starts the server for the other entries.
    pub(crate) fn start_peer_server(&self, listener: TcpListener) {
        let listener = Arc::new(listener);
        self.spawn("peer_server", move |it| peers::serve(listener.clone(), it.relay, it.finished));
    }

    /// Starts an HTTP server.
    pub(crate) fn start_http_server<F>(
        &self,
        name: &'static str,
        listener: TcpListener,
        handle: fn(Arc<Relay>, Request<Incoming>) -> F,
    ) where
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = Arc::new(listener);
        self.spawn(name, move |it| {
            let relay = it.relay;
            let connections = OpenConnections::for_internal_use(relay.clock);
            http::serve(
                listener.clone(),
                connections,
                || false,
                it.finished,
                move |request| handle(relay.clone(), request),
            )
        });
    }

    /// Starts to keep this entry's record in the platform; aborting the task ends that.
    pub(crate) fn start_registration(&self) -> JoinHandle<()> {
        self.spawn("registration", |it| peers::register(it.relay, it.client))
    }

    fn spawn<F>(
        &self,
        name: &'static str,
        mut start: impl FnMut(Self) -> F + Send + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let shared = self.clone();
        self.relay.supervisor.spawn(name, &self.finished, move || start(shared.clone()))
    }
}

/// Periodically drops expired work and state, and sends pending releases.
async fn run_housekeeping(relay: Arc<Relay>, finished: CancellationToken) {
    let mut interval = tokio::time::interval(Duration::from_millis(HOUSEKEEPING_INTERVAL_MS));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !finished.is_cancelled() {
        interval.tick().await;
        relay.detect_pause();
        let now_ms = relay.now_ms();
        let changed = {
            let mut upstreams = relay.upstreams();
            upstreams.detect_slow(now_ms);
            upstreams.expire(now_ms)
        };
        log_evacuations(&changed);
        memory::update_metrics(&relay);
        relay.expire_entries();
        relay.expire_durations();
        relay.crashes.expire(now_ms);
        relay.streams().expire(now_ms);
        relay.prompt_holders.expire(now_ms);
        relay.peers.update_polled_entries(&relay);
        relay.reading.update(&relay);
        relay.update_owned_services();
        // Before new stage calls, which would take the requests that a limited upstream permits.
        relay.releases.flush(&relay);
        relay.stages.tick(&relay);
        let upstreams = relay.upstreams();
        relay.pool.expire(|it| upstreams.get(it).is_some(), now_ms);
    }
}

/// Rereads the settings on each SIGHUP; only the retry limit takes effect without a restart.
async fn reload_on_hangup(
    relay: Arc<Relay>,
    hangup: Arc<Mutex<Signal>>,
    finished: CancellationToken,
) {
    let mut hangup = hangup.lock().await;
    while !finished.is_cancelled() {
        if hangup.recv().await.is_none() {
            return;
        }
        match settings::reread() {
            Ok(settings) => {
                relay.retries().set_limit(settings.bounds.retries);
                let former = RelaySettings {
                    is_first_start: settings.is_first_start,
                    ..relay.settings.clone()
                };
                let needs_restart = settings != former;
                info!(needs_restart = needs_restart; "settings reloaded");
            }
            Err(error) => {
                warn!(error:% = error; "settings not reloaded, the new ones are invalid")
            }
        }
    }
}
