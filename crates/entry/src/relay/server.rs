//! HTTP servers for callers, readiness checks and metrics.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use log::{debug, warn};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use yuccatrail_runtime::{
    accept::accept,
    http::{Body, METRICS_CONTENT_TYPE, respond},
};

use crate::relay::{pool::set_socket_options, request::handle_request, state::Relay};

/// Serves callers until `stop` is cancelled, then finishes the requests in progress.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    relay: Arc<Relay>,
    stop: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    accept(&listener, &stop, |stream| {
        if let Err(error) = set_socket_options(&stream) {
            warn!(error:% = error; "failed to set socket options of a caller's connection");
        }
        // Before the first configuration the default limits apply, and requests are refused.
        let limits = relay.table().map(|it| it.limits()).unwrap_or_default();
        let relay = relay.clone();
        let service = service_fn(move |request| {
            let response = handle_request(relay.clone(), request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
            .max_buf_size(limits.header_bytes)
            // Events are small: copying one into a single buffer is cheaper than a vectored write
            // of three.
            .writev(false);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!(error:% = error; "connection of a caller failed");
            }
        });
    })
    .await;
    graceful.shutdown().await;
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
