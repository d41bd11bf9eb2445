//! The `relay` subcommand: an entry that forwards requests directly to upstreams without agents.

mod attempt;
mod buffers;
mod configurations;
mod connection;
mod crash_record;
mod crashes;
mod feed;
mod listed_versions;
mod memory;
mod metrics;
mod model;
mod observed_stream;
mod peers;
mod plain;
mod platform_check;
mod pool;
mod prompt_holders;
mod reading;
mod rejection;
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
mod tasks;
mod updates;

use std::{io, process::ExitCode, sync::Arc, time::Duration};

use log::{info, warn};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccatrail_core::stop_admission::StopSchedule;
use yuccatrail_platform::{BudgetSettings, Client, ClientSettings};
use yuccatrail_runtime::{accept::listen, shutdown};

use crate::{
    relay::{
        sabotage::Mechanism,
        server::{handle_metrics, handle_ready, serve_callers},
        state::Relay,
        tasks::Tasks,
    },
    serve::run_with_logging,
};

pub(crate) use settings::{RelaySettings, options, with_rendered_settings};

/// Time for which a stopping relay still accepts connections, in milliseconds. The platform checks
/// readiness every second and removes an instance from rotation after two failed checks.
const READINESS_GRACE_MS: u64 = 2_600;
/// Time before the kill at which a graceful shutdown stops waiting for requests in progress, in
/// milliseconds.
const SHUTDOWN_MARGIN_MS: u64 = 400;
/// Time before the end of a graceful shutdown at which requests that no upstream has received are
/// refused, in milliseconds; a busy entry needs part of it to send all the refusals.
const REFUSAL_MARGIN_MS: u64 = 300;
/// Time before the end of a graceful shutdown at which requests that upstreams are still at work on get
/// their answer, in milliseconds: that they may have run.
const ANSWER_MARGIN_MS: u64 = 150;
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
    let callers = listen(settings.listen)?;
    let ready = listen(settings.ready_listen)?;
    let peers = listen(settings.peer_listen)?;
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
    let tasks = Tasks::new(relay.clone(), client.clone(), finished.clone());
    tasks.start()?;
    tasks.start_peer_server(peers);
    tasks.start_http_server("readiness", ready, handle_ready);
    if let Some(address) = relay.settings.metrics_listen {
        tasks.start_http_server("metrics", listen(address)?, handle_metrics);
    }
    let registering = tasks.start_registration();
    let closing = CancellationToken::new();
    let connections = serve_callers(callers, &relay, &closing);
    signal.cancelled().await;
    registering.abort();
    shut_down(&relay, &closing, &connections).await;
    // Until its record is removed, other entries leave their work in progress here, and count this
    // entry when they share the limit on calls to cold upstreams.
    peers::unregister(&relay, &client).await;
    finished.cancel();
    info!("graceful shutdown ends");
    Ok(())
}

/// Reports not ready, finishes the requests in progress and closes the connections.
///
/// The listener is closed once the balancer has noticed, so that later connections are refused at once.
async fn shut_down(relay: &Arc<Relay>, closing: &CancellationToken, connections: &TaskTracker) {
    info!(in_progress = relay.in_progress(); "graceful shutdown begins");
    let begun_ms = relay.now_ms();
    let limit_ms = relay.settings.bounds.grace_period_ms.saturating_sub(SHUTDOWN_MARGIN_MS);
    let refusal_ms = limit_ms.saturating_sub(REFUSAL_MARGIN_MS);
    let notice_ms = READINESS_GRACE_MS.min(refusal_ms);
    relay.begin_shutdown(StopSchedule {
        notice_ends_ms: begun_ms + notice_ms,
        cutoff_ms: begun_ms + refusal_ms,
    });
    tokio::time::sleep(Duration::from_millis(notice_ms)).await;
    closing.cancel();
    connections.close();
    while relay.in_progress() > 0 || !connections.is_empty() {
        if Mechanism::PatientStop.is_off() {
            return;
        }
        let elapsed_ms = relay.now_ms().saturating_sub(begun_ms);
        if elapsed_ms >= refusal_ms {
            relay.refuse_unsent();
        }
        if elapsed_ms >= limit_ms.saturating_sub(ANSWER_MARGIN_MS) {
            relay.answer_all();
        }
        if elapsed_ms >= limit_ms {
            warn!(
                cut = relay.in_progress(),
                connections = connections.len();
                "time limit of the graceful shutdown reached, requests are aborted"
            );
            return;
        }
        tokio::time::sleep(Duration::from_millis(SHUTDOWN_POLL_MS)).await;
    }
}
