//! HTTP servers for callers, readiness checks and metrics.

use std::sync::Arc;

use hyper::{Request, Response, StatusCode, body::Incoming};
use log::warn;
use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccatrail_runtime::{
    accept::accept,
    http::{Body, METRICS_CONTENT_TYPE, respond},
};

use crate::relay::{connection::serve_connection, pool::set_socket_options, state::Relay};

/// Serves callers until `stop` is cancelled, then finishes the requests in progress.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    relay: Arc<Relay>,
    stop: CancellationToken,
) {
    let connections = TaskTracker::new();
    accept(&listener, &stop, |stream| {
        if let Err(error) = set_socket_options(&stream) {
            warn!(error:% = error; "failed to set socket options of a caller's connection");
        }
        connections.spawn(serve_connection(stream, relay.clone(), stop.clone()));
    })
    .await;
    connections.close();
    connections.wait().await;
}

/// Handles the platform's readiness check.
pub(crate) async fn handle_ready(relay: Arc<Relay>, _: Request<Incoming>) -> Response<Body> {
    let status = if relay.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    respond(status, "text/plain", "")
}

/// Serves the metrics.
pub(crate) async fn handle_metrics(relay: Arc<Relay>, _: Request<Incoming>) -> Response<Body> {
    respond(StatusCode::OK, METRICS_CONTENT_TYPE, relay.metrics.encode())
}
