//! HTTP servers for callers, readiness checks and metrics.

use std::{convert::Infallible, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::{
    Request, Response, StatusCode, Version, body::Incoming, server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use log::{debug, info, warn};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use yuccatrail_runtime::{
    accept::accept,
    http::{Body, METRICS_CONTENT_TYPE, respond},
};

use crate::relay::{
    buffers::MAX_RESPONSE_BYTES,
    pool::set_socket_options,
    request::{ResponseBody, handle_request},
    state::Relay,
};

/// Smallest read buffer that hyper accepts, in bytes; it panics below.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Largest read buffer of a connection, in bytes: a head that exceeds it is refused whatever the
/// configured limit, since callers would otherwise decide on the memory that this process uses.
const MAX_BUFFER_BYTES: usize = 1024 * 1024;

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
        let service = service_fn(move |request: Request<Incoming>| {
            let version = request.version();
            let response = handle_request(relay.clone(), request);
            async move {
                let response = response.await;
                Ok::<_, Infallible>(match version {
                    Version::HTTP_10 => with_length(response).await,
                    _ => response,
                })
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
            .max_header_size(limits.header_bytes.max(1))
            .max_buf_size(limits.header_bytes.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES))
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

/// Reads the body of a response to its end, so that it is sent with its length.
///
/// A caller of HTTP/1.0 can't receive chunks, so that a streamed body that is aborted would look
/// complete.
async fn with_length(response: Response<ResponseBody>) -> Response<ResponseBody> {
    let (parts, body) = response.into_parts();
    match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => {
            let body = Full::new(body.to_bytes()).map_err(|never| match never {});
            Response::from_parts(parts, body.boxed_unsync())
        }
        Err(error) => {
            info!(error:% = error; "response to a caller of HTTP/1.0 is incomplete");
            let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
            let mut response = Response::new(body);
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        }
    }
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
