//! HTTP endpoint for health, readiness and metrics of the agent.

use std::sync::Arc;

use hyper::{Request, Response, StatusCode, body::Incoming};
use prometheus_client::{encoding::text, registry::Registry};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use yuccatrail_runtime::{
    clock::Clock,
    http::{self, Body, METRICS_CONTENT_TYPE, respond},
    open_connections::OpenConnections,
};

/// State that the endpoint reports.
#[derive(Clone)]
pub(crate) struct AdminState {
    /// Registry of the agent's metrics.
    pub(crate) registry: Arc<Registry>,
    /// Cancelled once a graceful shutdown begins.
    pub(crate) shutdown: CancellationToken,
}

/// Serves the endpoint until `finished` is cancelled.
pub(crate) async fn serve(listener: TcpListener, admin: AdminState, finished: CancellationToken) {
    let connections = OpenConnections::for_internal_use(Clock::new());
    let handler = move |request| handle(admin.clone(), request);
    http::serve(Arc::new(listener), connections, || false, finished, handler).await;
}

async fn handle(admin: AdminState, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/healthz" => respond(StatusCode::OK, "text/plain", "ok\n"),
        "/readyz" if admin.shutdown.is_cancelled() => {
            respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "stopping\n")
        }
        "/readyz" => respond(StatusCode::OK, "text/plain", "ready\n"),
        "/metrics" => metrics(&admin.registry),
        _ => respond(StatusCode::NOT_FOUND, "text/plain", "not found\n"),
    }
}

fn metrics(registry: &Registry) -> Response<Body> {
    let mut body = String::new();
    match text::encode(&mut body, registry) {
        Ok(()) => respond(StatusCode::OK, METRICS_CONTENT_TYPE, body),
        Err(_) => respond(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "metrics failed\n"),
    }
}
