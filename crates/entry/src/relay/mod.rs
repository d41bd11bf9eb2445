//! The `relay` subcommand: an entry that forwards requests directly to upstreams without agents.

mod attempt;
mod buffers;
mod configurations;
mod connection;
mod crashes;
mod feed;
mod listed_versions;
mod memory;
mod metrics;
mod model;
mod peers;
mod plain;
mod platform_check;
mod pool;
mod prompt_holders;
mod reading;
mod release;
mod request;
mod resumption;
mod retries;
mod rollouts;
mod sabotage;
mod server;
mod settings;
mod state;
mod stages;
mod stream;
mod updates;

use std::{io, process::ExitCode, sync::Arc, time::Duration};

use log::{info, warn};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    time::MissedTickBehavior,
};
use tokio_util::sync::CancellationToken;
use yuccatrail_platform::{BudgetSettings, Client, ClientSettings};
use yuccatrail_runtime::{http, shutdown};

use crate::{
    relay::{
        sabotage::Mechanism,
        server::{handle_metrics, handle_ready, serve_callers},
        state::Relay,
        updates::log_evacuations,
    },
    serve::run_with_logging,
};

pub(crate) use settings::{RelaySettings, options, with_rendered_settings};

/// Interval of the housekeeping task, in milliseconds; bounds how long after its deadline work is
/// still queued.
const HOUSEKEEPING_INTERVAL_MS: u64 = 25;
/// Time for which a stopping relay still accepts connections, in milliseconds. The platform checks
/// readiness every second and removes an instance from rotation after two failed checks.
const READINESS_GRACE_MS: u64 = 2_600;
/// Time before the kill at which a graceful shutdown stops waiting for requests in progress, in
/// milliseconds.
const SHUTDOWN_MARGIN_MS: u64 = 400;
/// Time before the end of a graceful shutdown at which requests that no upstream has received are
/// refused, in milliseconds; a busy entry needs part of it to send all the refusals.
const REFUSAL_MARGIN_MS: u64 = 300;
/// Interval at which a stopping relay checks for requests in progress, in milliseconds.
const SHUTDOWN_POLL_MS: u64 = 50;
/// Timeout of one call to the platform's object store, in milliseconds; a slow store takes 240.
const STORE_TIMEOUT_MS: u64 = 1_000;

/// Runs a relay until a graceful shutdown has finished.
pub(crate) async fn run(settings: RelaySettings) -> ExitCode {
    run_with_logging(settings.log_level, serve(settings)).await
}

async fn serve(mut settings: RelaySettings) -> io::Result<()> {
    let signal = shutdown::stop_signal()?;
    let callers = TcpListener::bind(settings.listen).await?;
    let ready = TcpListener::bind(settings.ready_listen).await?;
    let peers = TcpListener::bind(settings.peer_listen).await?;
    // With port 0 in the settings, the other entries need the port that was actually bound.
    settings.peer_listen = peers.local_addr()?;
    let client = Client::new(ClientSettings {
        address: settings.platform,
        request_timeout_ms: STORE_TIMEOUT_MS,
        budget: BudgetSettings { watches_per_second: 50.0, ..BudgetSettings::default() },
        era_header: Some(yuccatrail_adapter::era_header()),
        ..ClientSettings::default()
    });
    let relay = Relay::new(settings);
    info!(
        address:% = callers.local_addr()?,
        admin_address:% = ready.local_addr()?,
        name:% = relay.settings.name,
        data_centre:% = relay.settings.data_centre;
        "listening"
    );
    let finished = CancellationToken::new();
    tokio::spawn(feed::follow_configuration(relay.clone(), client.clone(), finished.clone()));
    tokio::spawn(feed::follow_upstreams(relay.clone(), client.clone(), finished.clone()));
    tokio::spawn(feed::follow_evacuations(relay.clone(), client.clone(), finished.clone()));
    if relay.rollouts.is_enabled() {
        tokio::spawn(feed::follow_rollouts(relay.clone(), client.clone(), finished.clone()));
        tokio::spawn(rollouts::run(relay.clone(), client.clone(), finished.clone()));
    }
    tokio::spawn(feed::follow_entries(relay.clone(), client.clone(), finished.clone()));
    tokio::spawn(peers::follow_sources(relay.clone(), finished.clone()));
    tokio::spawn(configurations::fetch_offered(relay.clone(), finished.clone()));
    tokio::spawn(listed_versions::read_when_wanted(
        relay.clone(),
        client.clone(),
        finished.clone(),
    ));
    tokio::spawn(platform_check::check(relay.clone(), client.clone(), finished.clone()));
    tokio::spawn(peers::serve(peers, relay.clone(), finished.clone()));
    let registering = tokio::spawn(peers::register(relay.clone(), client.clone()));
    tokio::spawn(run_housekeeping(relay.clone(), finished.clone()));
    tokio::spawn(reload_on_hangup(relay.clone(), finished.clone())?);
    let handler_relay = relay.clone();
    let ready_handler = move |request| handle_ready(handler_relay.clone(), request);
    tokio::spawn(http::serve(ready, finished.clone(), ready_handler));
    if let Some(address) = relay.settings.metrics_listen {
        let handler_relay = relay.clone();
        let handler = move |request| handle_metrics(handler_relay.clone(), request);
        let listener = TcpListener::bind(address).await?;
        tokio::spawn(http::serve(listener, finished.clone(), handler));
    }
    let closing = CancellationToken::new();
    let serving = tokio::spawn(serve_callers(callers, relay.clone(), closing.clone()));
    signal.cancelled().await;
    registering.abort();
    shut_down(&relay, &closing).await;
    // Until its record is removed, other entries leave their work in progress here, and count this
    // entry when they share the limit on calls to cold upstreams.
    peers::unregister(&relay, &client).await;
    finished.cancel();
    serving.abort();
    info!("graceful shutdown ends");
    Ok(())
}

/// Reports not ready, waits for the requests in progress and closes the connections.
async fn shut_down(relay: &Arc<Relay>, closing: &CancellationToken) {
    info!(in_progress = relay.in_progress(); "graceful shutdown begins");
    relay.begin_shutdown();
    let begun_ms = relay.now_ms();
    let limit_ms = relay.settings.bounds.grace_period_ms.saturating_sub(SHUTDOWN_MARGIN_MS);
    let waiting_ms = limit_ms.saturating_sub(REFUSAL_MARGIN_MS);
    tokio::time::sleep(Duration::from_millis(READINESS_GRACE_MS.min(waiting_ms))).await;
    closing.cancel();
    while relay.in_progress() > 0 {
        if Mechanism::PatientStop.is_off() {
            return;
        }
        let elapsed_ms = relay.now_ms().saturating_sub(begun_ms);
        if elapsed_ms >= waiting_ms {
            relay.refuse_unsent();
        }
        if elapsed_ms >= limit_ms {
            warn!(cut = relay.in_progress(); "time limit of the graceful shutdown reached, requests are aborted");
            return;
        }
        tokio::time::sleep(Duration::from_millis(SHUTDOWN_POLL_MS)).await;
    }
    // The last responses may not have been written to the callers' sockets yet.
    tokio::time::sleep(Duration::from_millis(SHUTDOWN_POLL_MS)).await;
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
fn reload_on_hangup(
    relay: Arc<Relay>,
    finished: CancellationToken,
) -> io::Result<impl Future<Output = ()> + Send + 'static> {
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(async move {
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
    })
}
