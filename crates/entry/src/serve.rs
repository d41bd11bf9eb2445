//! The `serve` subcommand: starts the tasks of the entry and shuts it down gracefully.

use std::{io, process::ExitCode, sync::Arc, time::Duration};

use log::{LevelFilter, error, info, warn};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::drain::{GracefulShutdown, ShutdownPhase, ShutdownSettings};
use yuccatrail_platform::{Client, ClientSettings};
use yuccatrail_runtime::{
    accept::listen, http, logging, open_connections::OpenConnections, shutdown,
};

use crate::{
    caller::routes, entry::Entry, gossip, metrics::Metrics, platform_feed, settings::Settings,
};

/// Maximum time for which a stopping entry waits until the outcomes of all claims are recorded,
/// after the callers have their responses.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of the housekeeping task; the decay of estimates relies on one second.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a stopping entry checks for work in progress.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves callers until a graceful shutdown has finished.
pub(crate) async fn run(settings: Settings) -> ExitCode {
    run_with_logging(settings.log_level, serve(settings)).await
}

/// Installs the process's logger, runs an entry and returns the exit code.
pub(crate) async fn run_with_logging(
    level: LevelFilter,
    entry: impl Future<Output = io::Result<()>>,
) -> ExitCode {
    if let Err(error) = logging::install(level) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    match entry.await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(error:% = error; "entry failed");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: Settings) -> io::Result<()> {
    let signal = shutdown::stop_signal()?;
    let listener = listen(settings.listen)?;
    let peer_listener = listen(settings.peer_listen)?;
    let client = Client::new(ClientSettings {
        address: settings.platform,
        environment: settings.environment.clone(),
        ..ClientSettings::default()
    });
    let entry = Entry::new(&settings, client.clone(), Metrics::new(client.clone()));
    info!(
        address:% = listener.local_addr()?,
        admin_address:% = peer_listener.local_addr()?,
        name:% = settings.name,
        data_centre:% = settings.data_centre,
        incarnation:% = entry.incarnation;
        "listening"
    );
    let finished = CancellationToken::new();
    let mut tasks = JoinSet::new();
    tasks.spawn(platform_feed::read_control(entry.clone(), client.clone(), finished.clone()));
    tasks.spawn(platform_feed::follow_instances(entry.clone(), client, finished.clone()));
    tasks.spawn(gossip::run(entry.clone(), finished.clone()));
    tasks.spawn(gossip::serve(peer_listener, entry.clone(), finished.clone()));
    tasks.spawn(apply_control(entry.clone(), finished.clone()));
    tasks.spawn(run_housekeeping(entry.clone(), finished.clone()));
    let handler_entry = entry.clone();
    let handler = move |request| routes::handle(handler_entry.clone(), request);
    let connections = OpenConnections::new(settings.machine.caller_connections(), entry.clock);
    let bodies = entry.request_bodies.clone();
    let end_request = move || bodies.evict_stalled();
    let (listener, stop) = (Arc::new(listener), finished.clone());
    let callers = tokio::spawn(http::serve(listener, connections, end_request, stop, handler));
    signal.cancelled().await;
    shut_down(&entry, &settings).await;
    finished.cancel();
    // Idle connections end at once; requests in progress were awaited above.
    let _ = callers.await;
    tasks.join_all().await;
    info!("graceful shutdown ends");
    Ok(())
}

/// Applies each change of the control state to the fleet, the policy, the strikes and the retry
/// budget.
async fn apply_control(entry: Arc<Entry>, finished: CancellationToken) {
    let mut changed = entry.control.subscribe();
    while !finished.is_cancelled() {
        entry.fleet.apply_operations();
        if let Ok(document) = entry.document() {
            entry.policy.apply_document(&document);
            entry.strikes.set_limit(document.limits.quarantine_strikes);
            entry.retry_budget().set_retries_per_hundred(document.limits.retries_per_hundred);
        }
        tokio::select! {
            _ = changed.changed() => {}
            () = finished.cancelled() => {}
        }
    }
}

/// Periodically expires strikes and decays estimates.
async fn run_housekeeping(entry: Arc<Entry>, finished: CancellationToken) {
    while !finished.is_cancelled() {
        entry.strikes.expire(entry.clock.now_ms());
        entry.policy.decay_estimates();
        tokio::select! {
            () = tokio::time::sleep(HOUSEKEEPING_INTERVAL) => {}
            () = finished.cancelled() => {}
        }
    }
}

/// Refuses new requests, and waits for requests in progress and for open claims.
async fn shut_down(entry: &Entry, settings: &Settings) {
    info!("graceful shutdown begins");
    entry.begin_shutdown();
    let mut shutdown = GracefulShutdown::new(ShutdownSettings {
        notice_ms: settings.stop_notice_ms,
        time_limit_ms: Some(settings.stop_limit_ms),
    });
    shutdown.begin(entry.clock.now_ms());
    loop {
        let phase = shutdown.advance(entry.clock.now_ms(), entry.in_progress());
        if let ShutdownPhase::Finished { cut } = phase {
            if cut > 0 {
                warn!(cut = cut; "graceful shutdown timed out; interrupting work in progress");
            }
            break;
        }
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    let claims_closed = async {
        while entry.open_claims() > 0 {
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(CLAIM_TIMEOUT, claims_closed).await.is_err() {
        warn!(claims = entry.open_claims(); "stopping with claims whose outcome is not recorded");
    }
}
