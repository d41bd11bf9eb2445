//! Wires the agent's parts together and carries it through a planned stop.

use std::{io, sync::Arc, time::Duration};

use log::{info, warn};
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    agent::{AgentCore, AgentSettings},
    drain::{FreshnessSettings, GateSettings, GracefulShutdown, ShutdownPhase, ShutdownSettings},
    ids::Incarnation,
};
use yuccatrail_runtime::{clock::Clock, control::SharedControl, shutdown};

use crate::{
    admin::{self, Admin},
    executor::Executor,
    metrics::Metrics,
    server,
    settings::Settings,
    upstream::UpstreamClient,
};

/// Time between two rounds of periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time for which a stopping agent still answers, in milliseconds.
const STOP_NOTICE_MS: u64 = 200;
/// Longest wait of a stopping agent for entries that have not read the end of an attempt.
const UNREAD_LIMIT: Duration = Duration::from_secs(5);

/// Runs the agent until a planned stop has finished.
///
/// # Errors
///
/// Returns an error when an address cannot be opened or a signal handler not be installed.
pub(crate) async fn run(settings: Settings) -> io::Result<()> {
    let signal = shutdown::stop_signal()?;
    let listener = TcpListener::bind(settings.listen).await?;
    let admin_listener = TcpListener::bind(settings.admin_listen).await?;
    let clock = Clock::new();
    let mut registry = Registry::with_prefix("yuccatrail_agent");
    let executor = executor(&settings, clock, Metrics::new(&mut registry));
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
    let admin = Admin { registry: Arc::new(registry), stop: signal.clone() };
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(server::serve(listener, executor.clone(), finished.clone()));
    tasks.spawn(admin::serve(admin_listener, admin, finished.clone()));
    tasks.spawn(tick(executor.clone(), finished.clone()));
    let probe_interval = Duration::from_millis(settings.probe_interval_ms);
    tasks.spawn(probe(executor.clone(), probe_interval, finished.clone()));
    signal.cancelled().await;
    stop(&executor, clock, settings.stop_limit_ms).await;
    finished.cancel();
    tasks.join_all().await;
    Ok(())
}

fn executor(settings: &Settings, clock: Clock, metrics: Metrics) -> Arc<Executor> {
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

async fn tick(executor: Arc<Executor>, finished: CancellationToken) {
    while !finished.is_cancelled() {
        executor.tick();
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

async fn probe(executor: Arc<Executor>, interval: Duration, finished: CancellationToken) {
    while !finished.is_cancelled() {
        executor.probe().await;
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = finished.cancelled() => {}
        }
    }
}

/// Finishes the work in progress and lets the entries read its end.
async fn stop(executor: &Arc<Executor>, clock: Clock, limit_ms: u64) {
    info!("planned stop begins");
    executor.stop();
    let settings = ShutdownSettings { notice_ms: STOP_NOTICE_MS, time_limit_ms: Some(limit_ms) };
    let mut planned = GracefulShutdown::new(settings);
    planned.begin(clock.now_ms());
    loop {
        let (in_progress, _) = executor.remaining();
        if let ShutdownPhase::Finished { cut } = planned.advance(clock.now_ms(), in_progress) {
            report_cut(cut);
            break;
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    let all_read = async {
        while executor.remaining().1 > 0 {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    };
    if tokio::time::timeout(UNREAD_LIMIT, all_read).await.is_err() {
        warn!(unread = executor.remaining().1; "stopping with results that no entry has read");
    }
    // Replies that were just handed to their connections have to leave the process.
    tokio::time::sleep(Duration::from_millis(STOP_NOTICE_MS)).await;
    info!("planned stop ends");
}

fn report_cut(cut: u32) {
    if cut > 0 {
        warn!(cut = cut; "the time limit of the planned stop cuts work in progress");
    }
}
