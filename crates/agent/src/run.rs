//! Starts the agent's tasks and shuts the agent down gracefully.

use std::{io, sync::Arc, time::Duration};

use log::{info, warn};
use prometheus_client::registry::Registry;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    agent::{AgentCore, AgentSettings},
    drain::{FreshnessSettings, GateSettings, GracefulShutdown, ShutdownPhase, ShutdownSettings},
    ids::Incarnation,
};
use yuccatrail_runtime::{accept::listen, clock::Clock, control::SharedControl, shutdown};

use crate::{
    admin::{self, AdminState},
    executor::Executor,
    metrics::Metrics,
    server,
    settings::Settings,
    upstream::UpstreamClient,
};

/// Interval between two ticks of the executor, and between two checks of a graceful shutdown.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time for which an agent still responds during a graceful shutdown, in milliseconds.
const SHUTDOWN_NOTICE_MS: u64 = 200;
/// Maximum time for which a graceful shutdown waits for entries to read the results of attempts.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the agent until a graceful shutdown has finished.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or a signal handler cannot be installed.
pub(crate) async fn run(settings: Settings) -> io::Result<()> {
    let signal = shutdown::stop_signal()?;
    let listener = listen(settings.listen)?;
    let admin_listener = listen(settings.admin_listen)?;
    let clock = Clock::new();
    let mut registry = Registry::with_prefix("yuccatrail_agent");
    let executor = create_executor(&settings, clock, Metrics::new(&mut registry));
    info!(
        address:% = listener.local_addr()?,
        admin_address:% = admin_listener.local_addr()?,
        name:% = settings.name,
        pool:% = settings.pool,
        data_centre:% = settings.data_centre,
        upstream:% = settings.upstream;
        "listening"
    );
    let finished = CancellationToken::new();
    let admin = AdminState { registry: Arc::new(registry), shutdown: signal.clone() };
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(server::serve(listener, executor.clone(), finished.clone()));
    tasks.spawn(admin::serve(admin_listener, admin, finished.clone()));
    tasks.spawn(run_ticks(executor.clone(), finished.clone()));
    let probe_interval = Duration::from_millis(settings.probe_interval_ms);
    tasks.spawn(run_probes(executor.clone(), probe_interval, finished.clone()));
    signal.cancelled().await;
    shut_down(&executor, clock, settings.stop_limit_ms).await;
    finished.cancel();
    tasks.join_all().await;
    Ok(())
}

fn create_executor(settings: &Settings, clock: Clock, metrics: Metrics) -> Arc<Executor> {
    let incarnation = Incarnation(rand::random());
    let gate = GateSettings {
        upstream: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        freshness: FreshnessSettings::default(),
    };
    let core_settings = AgentSettings::new(incarnation, settings.pool.clone(), gate);
    let core = AgentCore::new(core_settings, clock.now_ms());
    let upstream = UpstreamClient::new(settings.upstream);
    let control = Arc::new(SharedControl::new());
    Executor::new(incarnation, clock, core, upstream, control, metrics)
}

async fn run_ticks(executor: Arc<Executor>, finished: CancellationToken) {
    while !finished.is_cancelled() {
        executor.tick();
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

async fn run_probes(executor: Arc<Executor>, interval: Duration, finished: CancellationToken) {
    while !finished.is_cancelled() {
        executor.probe().await;
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = finished.cancelled() => {}
        }
    }
}

/// Refuses new work, and waits for work in progress and until entries have read its results.
async fn shut_down(executor: &Arc<Executor>, clock: Clock, time_limit_ms: u64) {
    info!("graceful shutdown begins");
    executor.begin_shutdown();
    let settings =
        ShutdownSettings { notice_ms: SHUTDOWN_NOTICE_MS, time_limit_ms: Some(time_limit_ms) };
    let mut graceful = GracefulShutdown::new(settings);
    graceful.begin(clock.now_ms());
    loop {
        let (in_progress, _) = executor.remaining();
        if let ShutdownPhase::Finished { cut } = graceful.advance(clock.now_ms(), in_progress) {
            log_interrupted(cut);
            break;
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    let all_read = async {
        while executor.remaining().1 > 0 {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    };
    if tokio::time::timeout(UNREAD_TIMEOUT, all_read).await.is_err() {
        warn!(unread = executor.remaining().1; "shutting down with results that no entry has read");
    }
    // Replies that were just passed to their connections still have to be sent.
    tokio::time::sleep(Duration::from_millis(SHUTDOWN_NOTICE_MS)).await;
    info!("graceful shutdown ends");
}

fn log_interrupted(cut: u32) {
    if cut > 0 {
        warn!(cut = cut; "graceful shutdown timed out; interrupting work in progress");
    }
}
