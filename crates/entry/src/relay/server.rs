//! HTTP servers for callers, readiness checks and metrics.

use std::sync::Arc;

use hyper::{Request, Response, StatusCode, body::Incoming};
use log::warn;
use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccatrail_runtime::{
    accept::accept_with_room,
    http::{Body, METRICS_CONTENT_TYPE, respond},
};

use crate::relay::{connection::serve_connection, pool::set_socket_options, state::Relay};

/// Unanswered TCP keepalive probes after which the connection of a caller that sends nothing is closed.
/// There is no limit on unacknowledged bytes (`TCP_USER_TIMEOUT`): the kernel takes the closed window of a
/// slow reader for a peer that has gone. Responses have limits of their own, their deadlines.
const KEEPALIVE_PROBES: u32 = 30;

/// Begins to serve callers; `stop` ends accepting connections and, after the requests in progress, the
/// connections.
///
/// Returns the tracker of the connections.
pub(crate) fn serve_callers(
    listener: TcpListener,
    relay: &Arc<Relay>,
    stop: &CancellationToken,
) -> TaskTracker {
    let connections = TaskTracker::new();
    let listener = Arc::new(listener);
    let (task_relay, task_connections, task_stop) =
        (relay.clone(), connections.clone(), stop.clone());
    relay.supervisor.spawn("caller_server", stop, move || {
        accept_callers(
            listener.clone(),
            task_relay.clone(),
            task_connections.clone(),
            task_stop.clone(),
        )
    });
    connections
}

async fn accept_callers(
    listener: Arc<TcpListener>,
    relay: Arc<Relay>,
    connections: TaskTracker,
    stop: CancellationToken,
) {
    let until_room = || {
        let (connections, bodies) =
            (relay.caller_connections.clone(), relay.request_bodies.clone());
        async move { connections.until_room(|| bodies.evict_stalled()).await }
    };
    accept_with_room(&listener, &stop, until_room, |stream| {
        if let Err(error) = set_socket_options(&stream, KEEPALIVE_PROBES) {
            warn!(error:% = error; "failed to set socket options of a caller's connection");
        }
        let open = relay.caller_connections.open(|| relay.request_bodies.evict_stalled());
        let Some(open) = open else { return };
        connections.spawn(serve_connection(stream, open, relay.clone(), stop.clone()));
    })
    .await;
}

/// Handles the platform's readiness check.
pub(crate) async fn handle_ready(relay: Arc<Relay>, _: Request<Incoming>) -> Response<Body> {
    let status = if relay.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    respond(status, "text/plain", "")
}

/// Serves the metrics.
pub(crate) async fn handle_metrics(relay: Arc<Relay>, _: Request<Incoming>) -> Response<Body> {
    relay.metrics.request_body_bytes.set(relay.request_bodies.held_bytes() as i64);
    relay.metrics.response_bytes.set(relay.response_buffers.held_bytes() as i64);
    relay.metrics.caller_connections.set(relay.caller_connections.count() as i64);
    respond(StatusCode::OK, METRICS_CONTENT_TYPE, relay.metrics.encode())
}
