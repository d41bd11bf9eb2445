//! HTTP server and response helpers shared by the binaries.

use std::{convert::Infallible, future::Future, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    ext::ReasonPhrase,
    header::{self, HeaderValue},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use log::debug;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    accept::accept_with_room,
    open_connections::{OpenConnection, OpenConnections},
};

mod counted_body;

use counted_body::CountedBody;

/// Longest time in which a client has to send the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a connection that makes room for another one has to send the rest of its last response.
const REPLACED_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest number of concurrent HTTP/2 streams on one connection.
const MAX_CONCURRENT_STREAMS: u32 = 1024;

/// `Content-Type` of metrics in the OpenMetrics text format.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Response body, either complete or streamed.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// How the end of a response body of HTTP/1 is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
pub enum BodyFraming {
    /// The headers state the length.
    #[default]
    #[display("length")]
    Length,
    /// The body is sent in chunks, and the last one marks the end.
    #[display("chunks")]
    Chunks,
    /// The body ends with its connection, whether it is complete or not.
    #[display("close")]
    Close,
}

impl BodyFraming {
    /// Returns the framing that the status and the headers of a response declare.
    pub fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Self::Chunks;
        }
        let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if has_no_body || headers.contains_key(header::CONTENT_LENGTH) {
            return Self::Length;
        }
        Self::Close
    }
}

/// Tells whether a response to a request with these headers may have this status (RFC 9110, section 15).
///
/// Statuses outside the five classes are invalid, informational ones end no request, and some have a
/// meaning only for a client that has asked for it: a part of the content, or none because it is known.
pub fn is_expected_status(status: StatusCode, request: &HeaderMap) -> bool {
    match status.as_u16() {
        ..200 | 600.. => false,
        206 => request.contains_key(header::RANGE),
        226 => request.contains_key("a-im"),
        304 => {
            request.contains_key(header::IF_NONE_MATCH)
                || request.contains_key(header::IF_MODIFIED_SINCE)
        }
        _ => true,
    }
}

/// Tells whether the head of a response holds the status line of another one.
///
/// Additional bytes before a response that end within a line of a head join with its status line, so that
/// its own headers seem to belong to their status.
pub fn has_inner_status_line<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let mut values = response.headers().values().map(HeaderValue::as_bytes);
    reason.is_some_and(|it| contains_status_line(it.as_bytes())) || values.any(contains_status_line)
}

fn contains_status_line(text: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    const LENGTH: usize = b"HTTP/1.1 200".len();
    text.windows(LENGTH).any(|it| {
        it.strip_prefix(VERSION).is_some_and(|rest| {
            let [minor, space, status @ ..] = rest else { return false };
            minor.is_ascii_digit() && *space == b' ' && status.iter().all(u8::is_ascii_digit)
        })
    })
}

/// Creates a complete body from bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// Creates a response with a complete body.
pub fn respond(
    status: StatusCode,
    content_type: &'static str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Serves HTTP/1.1 and HTTP/2 until `stop` is cancelled, then waits for the requests in flight.
///
/// The connections count towards `connections`; `end_request` is as for [`OpenConnections::open`].
pub async fn serve<F, Fut>(
    listener: Arc<TcpListener>,
    connections: Arc<OpenConnections>,
    end_request: impl Fn() -> bool,
    stop: CancellationToken,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let tasks = TaskTracker::new();
    let until_room = || connections.until_room(&end_request);
    accept_with_room(&listener, &stop, until_room, |stream| {
        let Some(open) = connections.open(&end_request) else { return };
        tasks.spawn(serve_connection(stream, open, stop.clone(), handler.clone()));
    })
    .await;
    tasks.close();
    tasks.wait().await;
}

/// Serves one connection until its client closes it, or `stop` or another connection ends it after the requests
/// in flight.
async fn serve_connection<F, Fut>(
    stream: TcpStream,
    open: OpenConnection,
    stop: CancellationToken,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    // With Nagle's algorithm, small responses would wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let open = Arc::new(open);
    let service_open = open.clone();
    let service = service_fn(move |request| {
        let open_request = service_open.open_request();
        let response = handler(request);
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|it| CountedBody::new(it, open_request)))
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_READ_TIMEOUT);
    builder.http2().timer(TokioTimer::new()).max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let is_replaced = tokio::select! {
        ended = connection.as_mut() => {
            if let Err(error) = ended {
                debug!(error:% = error; "connection of a client failed");
            }
            return;
        }
        () = stop.cancelled() => false,
        () = open.until_replaced_and_idle() => true,
    };
    connection.as_mut().graceful_shutdown();
    let limit = if is_replaced { REPLACED_TIMEOUT } else { Duration::MAX };
    match tokio::time::timeout(limit, connection).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(error:% = error; "connection of a client failed"),
        Err(_) => debug!("connection of a client closed for another one"),
    }
}

#[cfg(test)]
mod tests;
