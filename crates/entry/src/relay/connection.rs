//! A caller's connection and the operators' limits on its duration.
//!
//! hyper knows one limit, from the end of a response to the end of the next head. The operators set two:
//! how long a connection may be idle, and how long a head may take from its first byte on.

mod activity;
mod linger;
mod tracked_body;

use std::{
    convert::Infallible,
    error::Error,
    pin::{Pin, pin},
    sync::Arc,
    time::Duration,
};

use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::{
    Request, Response, StatusCode, Version,
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use log::{debug, info};
use tokio::{io::AsyncWriteExt, net::TcpStream};
use tokio_util::sync::CancellationToken;
use yuccatrail_runtime::open_connections::OpenConnection;

use crate::relay::{
    buffers::MAX_RESPONSE_BYTES,
    connection::{
        activity::{Activity, Expired},
        linger::linger,
        tracked_body::TrackedBody,
    },
    rejection::UnreadBody,
    request::{AnsweredRequest, ResponseBody, handle_request},
    state::Relay,
};

/// Smallest read buffer that hyper accepts, in bytes; it panics below.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Largest read buffer of a connection, in bytes: a head that exceeds it is refused whatever the
/// configured limit, since callers would otherwise decide on the memory that this process uses.
const MAX_BUFFER_BYTES: usize = 256 * 1024;
/// Time that a stopping entry leaves to a new connection for its first request, in milliseconds; a round
/// trip within a region takes less.
const FIRST_REQUEST_MS: u64 = 100;
/// Time for which the response to a late head may take to be written, in milliseconds.
const REJECTION_TIMEOUT_MS: u64 = 100;
/// Response to a late head; hyper has not handed out the request, so that none can be built for it.
const HEAD_LATE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Why a connection is closed.
#[derive(Clone, Copy, Debug)]
enum Ended {
    /// The last request was answered before its body was read.
    Unread,
    /// It has reached a time limit.
    Expired(Expired),
}

/// Serves the requests of one connection until the caller closes it, it reaches a limit, or `closing` is
/// cancelled and the request in progress has been answered.
pub(crate) async fn serve_connection(
    stream: TcpStream,
    open: OpenConnection,
    relay: Arc<Relay>,
    closing: CancellationToken,
) {
    let mut limits_changed = relay.subscribe_limits();
    let limits = *limits_changed.borrow_and_update();
    let activity = Arc::new(Activity::new(open));
    let io = activity.watch(stream);
    let service_activity = activity.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        service_activity.begin_request();
        let (activity, clock) = (service_activity.clone(), relay.clock());
        let version = request.version();
        let has_body = !request.body().is_end_stream();
        let response = handle_request(relay.clone(), request);
        async move {
            let mut response = response.await;
            if has_body && response.extensions().get::<UnreadBody>().is_some() {
                activity.record_unread_body();
            }
            if let Some(answered) = response.extensions_mut().remove::<AnsweredRequest>() {
                activity.begin_response(answered.id, clock.instant_at(answered.deadline_ms).into());
            }
            let response = match version {
                Version::HTTP_10 if response.body().size_hint().exact().is_none() => {
                    with_length(response).await
                }
                _ => response,
            };
            Ok::<_, Infallible>(response.map(|it| TrackedBody::new(it, activity)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_header_size(limits.header_bytes.max(1))
        .max_buf_size(limits.header_bytes.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES))
        // Events are small: copying one into a single buffer is cheaper than a vectored write of
        // three.
        .writev(false);
    let mut connection = builder.serve_connection(TokioIo::new(io), service);
    let mut timer = pin!(activity.timer(limits));
    let mut is_closing = false;
    let ended = loop {
        tokio::select! {
            // What has arrived is read before the connection is closed.
            biased;
            ended = &mut connection => {
                match ended {
                    Ok(()) if activity.has_unread_body() => break Ended::Unread,
                    Ok(()) => {}
                    Err(error) => log_failure(&activity, &error),
                }
                return;
            }
            () = activity.until_replaced(), if !is_closing || !activity.has_request() => {
                if !activity.has_request() {
                    return;
                }
            }
            () = until_closing(&closing, &activity), if !is_closing => {}
            // The caller's next connection has the new limits.
            _ = limits_changed.wait_for(|it| *it != limits), if !is_closing => {}
            expired = activity.until_expired(limits, timer.as_mut()) => break Ended::Expired(expired),
        }
        is_closing = true;
        Pin::new(&mut connection).graceful_shutdown();
    };
    let stream = connection.into_parts().io.into_inner().into_inner();
    match ended {
        Ended::Unread => tokio::select! {
            () = linger(stream) => {}
            () = activity.until_replaced() => {}
        },
        Ended::Expired(expired) => {
            match activity.unwritten_response() {
                Some(id) => {
                    info!(id = id, limit:? = expired; "caller did not take its response in time, connection closed")
                }
                None => debug!(limit:? = expired; "connection of a caller reached a time limit"),
            }
            // An earlier response may still have to be written, which can't be done without hyper.
            if expired == Expired::Head && activity.is_flushed() {
                reject_late_head(stream).await;
            }
        }
    }
}

fn log_failure(activity: &Activity, error: &hyper::Error) {
    let cause = error.source().map_or_else(String::new, ToString::to_string);
    match activity.unwritten_response() {
        Some(id) => {
            info!(id = id, error:% = error, cause = cause; "connection of a caller failed before its response was written")
        }
        None => debug!(error:% = error, cause = cause; "connection of a caller failed"),
    }
}

/// Waits until a connection has to be closed after its request; one that was just accepted has time to send
/// one.
async fn until_closing(closing: &CancellationToken, activity: &Activity) {
    closing.cancelled().await;
    if activity.is_unused() {
        tokio::time::sleep(Duration::from_millis(FIRST_REQUEST_MS)).await;
    }
}

/// Answers a head that did not arrive in time.
async fn reject_late_head(mut stream: TcpStream) {
    let writing = async {
        stream.write_all(HEAD_LATE).await?;
        stream.shutdown().await
    };
    let limit = Duration::from_millis(REJECTION_TIMEOUT_MS);
    match tokio::time::timeout(limit, writing).await {
        Ok(Ok(())) => info!(status = 408; "request head did not arrive in time"),
        Ok(Err(error)) => debug!(error:% = error; "caller with a late request head has left"),
        Err(_) => debug!("caller with a late request head does not read"),
    }
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
