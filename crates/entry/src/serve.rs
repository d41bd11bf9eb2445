//! The `serve` subcommand: wires the entry's parts together and carries it through a planned stop.

use std::{io, process::ExitCode, sync::Arc, time::Duration};

use log::{LevelFilter, error, info, warn};
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::sync::CancellationToken;
use yuccatrail_core::drain::{GracefulShutdown, ShutdownPhase, ShutdownSettings};
use yuccatrail_platform::{Client, ClientSettings};
use yuccatrail_runtime::{http, logging, shutdown};

use crate::{
    caller::routes, entry::Entry, gossip, metrics::Metrics, platform_feed, settings::Settings,
};

/// Longest wait of a stopping entry for claims whose callers have been answered.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);
/// Time between two rounds of housekeeping; estimates count on one second.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two looks at the work in progress of a stopping entry.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Serves callers until a planned stop has finished.
pub(crate) async fn run(settings: Settings) -> ExitCode {
    run_with_logging(settings.log_level, serve(settings)).await
}

/// Runs an entry with the process's logger and turns its end into an exit code.
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
    let listener = TcpListener::bind(settings.listen).await?;
    let peer_listener = TcpListener::bind(settings.peer_listen).await?;
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
    tasks.spawn(keep_house(entry.clone(), finished.clone()));
    let handler_entry = entry.clone();
    let handler = move |request| routes::handle(handler_entry.clone(), request);
    let callers = tokio::spawn(http::serve(listener, finished.clone(), handler));
    signal.cancelled().await;
    stop(&entry, &settings).await;
    finished.cancel();
    // Connections that only wait for another request end at once; the others were awaited above.
    let _ = callers.await;
    tasks.join_all().await;
    info!("planned stop ends");
    Ok(())
}

/// Passes each change of the control state on to the parts that act on it.
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

/// Lets go of old strikes and old estimates.
async fn keep_house(entry: Arc<Entry>, finished: CancellationToken) {
    while !finished.is_cancelled() {
        entry.strikes.expire(entry.clock.now_ms());
        entry.policy.relax();
        tokio::select! {
            () = tokio::time::sleep(HOUSEKEEPING_INTERVAL) => {}
            () = finished.cancelled() => {}
        }
    }
}

/// Refuses new requests and waits for those in progress.
async fn stop(entry: &Entry, settings: &Settings) {
    info!("planned stop begins");
    entry.begin_stop();
    let mut planned = GracefulShutdown::new(ShutdownSettings {
        notice_ms: settings.stop_notice_ms,
        time_limit_ms: Some(settings.stop_limit_ms),
    });
    planned.begin(entry.clock.now_ms());
    loop {
        let phase = planned.advance(entry.clock.now_ms(), entry.in_progress());
        if let ShutdownPhase::Finished { cut } = phase {
            if cut > 0 {
                warn!(cut = cut; "the time limit of the planned stop cuts work in progress");
            }
            break;
        }
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    let settled = async {
        while entry.settling() > 0 {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
    };
    if tokio::time::timeout(SETTLE_LIMIT, settled).await.is_err() {
        warn!(claims = entry.settling(); "stopping with claims whose outcome is not recorded");
    }
}
