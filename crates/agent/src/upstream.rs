//! HTTP client of the upstream.

mod connect;
#[cfg(test)]
mod tests;

use std::{
    error::Error,
    hash::{Hash, Hasher},
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use http_body_util::{BodyExt, BodyStream, Full, Limited};
use hyper::{HeaderMap, Request, Response, Uri, body::Incoming, header};
use hyper_util::{
    client::{
        self,
        legacy::{Client, connect::HttpConnector},
    },
    rt::{TokioExecutor, TokioTimer},
};
use rustc_hash::FxHasher;
use serde::Deserialize;
use tower_service::Service;
use yuccatrail_core::{agent::ProbeResult, ids::AttemptId, upstreams::ResponseEnds};
use yuccatrail_rpc::messages::{ResponseForm, UpstreamCall};
use yuccatrail_runtime::{
    http::{BodyFraming, has_inner_status_line, is_expected_status},
    response_end::ResponseEnd,
};

use self::connect::BootConnector;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a plain response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of a response of the health endpoint, in bytes.
const MAX_HEALTH_BYTES: usize = 64 * 1024;
/// Maximum number of bytes of a stream without a complete event.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Data of the event that marks the end of a complete stream, as in the completions protocol.
const STREAM_END: &str = "[DONE]";

/// Header of any response that states how many requests a second the upstream takes, a decimal number.
const REQUEST_LIMIT_HEADER: &str = "x-request-limit";

/// Why a call ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection could be opened, so the upstream received nothing of the call.
    NotConnected,
    /// The connection was refused because nothing listens on the upstream's address.
    Refused,
    /// The connection broke after the call may have been sent.
    Lost,
    /// The stream ended before its final event, or the body of a health response is malformed.
    Truncated,
    /// The upstream responded with an error status.
    Status(u16),
}

/// Head of a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    /// HTTP status code.
    pub(crate) status: u16,
    /// `Content-Type`, if the response has one.
    pub(crate) content_type: Option<String>,
}

/// Response body of the upstream's health endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
struct Health {
    /// Identifies the engine's boot; every start of the engine uses a new value.
    boot_id: String,
    /// Whether the engine is warm, if it reports that.
    #[serde(default)]
    warm: Option<bool>,
}

impl Health {
    /// Returns the engine's boot identifier as a number.
    fn boot_id(&self) -> u64 {
        hash_boot_id(&self.boot_id)
    }
}

/// Result of a probe, and what its response states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ProbeReply {
    /// Result of the probe.
    pub(crate) result: ProbeResult,
    /// Request limit that the response states, in requests a second; not a number if it can't be read.
    pub(crate) request_limit_per_s: Option<f64>,
}

/// Client of the upstream; sends probes, and provides clients for calls.
#[derive(Debug)]
pub(crate) struct UpstreamClient {
    address: SocketAddr,
    connector: HttpConnector,
    /// Connections for probes, which may reach any boot of the upstream.
    probes: Client<HttpConnector, Full<Bytes>>,
    /// Client for calls to the boot that the last probe reached.
    current: Mutex<BootClient>,
}

/// Client for calls to one boot of the upstream.
#[derive(Clone, Debug)]
pub(crate) struct BootClient {
    address: SocketAddr,
    /// The only boot that calls may reach; `None` if no boot is known yet.
    boot_id: Option<u64>,
    connector: BootConnector,
    client: Client<BootConnector, Full<Bytes>>,
    /// How the boot's responses without a length have ended.
    response_ends: Arc<Mutex<ResponseEnds>>,
}

impl UpstreamClient {
    /// Creates a client for the upstream at `address`; it connects on demand.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let probes = client_builder().build(connector.clone());
        let current = Mutex::new(BootClient::new(connector.clone(), address, None));
        Self { address, connector, probes, current }
    }

    /// Sets the boot that a probe reached; later calls may reach only this boot.
    pub(crate) fn set_boot_id(&self, boot_id: u64) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if current.boot_id != Some(boot_id) {
            *current = BootClient::new(self.connector.clone(), self.address, Some(boot_id));
        }
    }

    /// Returns the client for calls to the boot that the last probe reached.
    ///
    /// A call takes the client at the time of its dispatch decision, so that it cannot reach a
    /// later boot.
    pub(crate) fn current_boot(&self) -> BootClient {
        self.current.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a health probe to the upstream.
    pub(crate) async fn probe(&self) -> ProbeReply {
        let mut request_limit_per_s = None;
        let fetched = self.fetch_health(&mut request_limit_per_s);
        let result = match tokio::time::timeout(PROBE_TIMEOUT, fetched).await {
            Ok(Ok(health)) => {
                ProbeResult::Answered { boot_id: Some(health.boot_id()), warm: health.warm }
            }
            Ok(Err(CallError::Refused)) => ProbeResult::Refused,
            Ok(Err(_)) | Err(_) => ProbeResult::NoAnswer,
        };
        ProbeReply { result, request_limit_per_s }
    }

    async fn fetch_health(
        &self,
        request_limit_per_s: &mut Option<f64>,
    ) -> Result<Health, CallError> {
        let request = Request::get(format!("http://{}/health", self.address)).body(Full::default());
        let Ok(request) = request else { return Err(CallError::NotConnected) };
        let response = map_send_error(self.probes.request(request).await)?;
        *request_limit_per_s = stated_limit(&response);
        if !response.status().is_success() {
            return Err(CallError::Status(response.status().as_u16()));
        }
        let body = Limited::new(response.into_body(), MAX_HEALTH_BYTES).collect().await;
        let body = body.map_err(|_| CallError::Lost)?.to_bytes();
        serde_json::from_slice(&body).map_err(|_| CallError::Truncated)
    }
}

impl BootClient {
    fn new(connector: HttpConnector, address: SocketAddr, boot_id: Option<u64>) -> Self {
        let connector = BootConnector::new(connector, address, boot_id);
        let client = client_builder().build(connector.clone());
        Self { address, boot_id, connector, client, response_ends: Arc::default() }
    }

    /// Makes a call and passes the request limit that its response states to `on_limit`, and each chunk
    /// of the response to `on_chunk`.
    pub(crate) async fn call(
        &self,
        attempt: AttemptId,
        call: UpstreamCall,
        on_limit: impl FnOnce(Option<f64>),
        mut on_chunk: impl FnMut(Bytes),
    ) -> Result<ResponseHead, CallError> {
        let form = call.response;
        let Some(request) = self.build_request(attempt, call) else {
            return Err(CallError::NotConnected);
        };
        let response = map_send_error(self.client.request(request).await)?;
        let end = response.extensions().get::<ResponseEnd>().cloned();
        let framing = BodyFraming::of(response.status(), response.headers());
        // A stream has a final event.
        let is_marked = framing != BodyFraming::Close || form == ResponseForm::Events;
        if let Some(end) = end.as_ref().filter(|_| is_marked) {
            end.set_marked();
        }
        // The request has no headers that ask for a special status.
        if !is_expected_status(response.status(), &HeaderMap::new()) {
            return Err(CallError::Lost);
        }
        on_limit(stated_limit(&response));
        let head = ResponseHead {
            status: response.status().as_u16(),
            content_type: content_type(&response),
        };
        if form == ResponseForm::Events {
            if !response.status().is_success() {
                return Err(CallError::Status(head.status));
            }
            let chunks = BodyStream::new(response.into_body()).filter_map(data_frame);
            read_events(chunks, on_chunk).await?;
            return Ok(head);
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|_| CallError::Lost)?.to_bytes();
        if !is_marked {
            self.confirm_end(end.ok_or(CallError::Lost)?).await?;
        }
        if is_server_error(head.status) {
            return Err(CallError::Status(head.status));
        }
        on_chunk(body);
        Ok(head)
    }

    /// Waits until a response that ended with its connection is known to be whole.
    async fn confirm_end(&self, end: ResponseEnd) -> Result<(), CallError> {
        let limit = Duration::from_millis(self.response_ends().confirmation_ms());
        let confirmed = end.confirm(limit).await;
        if confirmed.is_err() || !self.is_running().await {
            self.response_ends().record_failure();
            return Err(CallError::Lost);
        }
        self.response_ends().record_whole();
        Ok(())
    }

    fn response_ends(&self) -> MutexGuard<'_, ResponseEnds> {
        self.response_ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the boot still answers; its connections also end if it crashes.
    async fn is_running(&self) -> bool {
        let Ok(uri) = self.url("/health").parse::<Uri>() else { return false };
        let connecting = self.connector.clone().call(uri);
        matches!(tokio::time::timeout(PROBE_TIMEOUT, connecting).await, Ok(Ok(_)))
    }

    fn build_request(
        &self,
        attempt: AttemptId,
        call: UpstreamCall,
    ) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(call.method.as_str())
            .uri(self.url(&call.path))
            .header("x-request-id", attempt.request.to_string())
            .header("x-attempt-id", attempt.to_string());
        if let Some(content_type) = &call.content_type {
            builder = builder.header(header::CONTENT_TYPE, content_type);
        }
        if let Some(key) = &call.idempotency_key {
            builder = builder.header("idempotency-key", key);
        }
        builder.body(Full::new(call.body)).ok()
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn client_builder() -> client::legacy::Builder {
    let mut builder = Client::builder(TokioExecutor::new());
    builder.pool_timer(TokioTimer::new()).pool_idle_timeout(IDLE_TIMEOUT);
    builder
}

/// Converts the error of a failed request, or of a response whose head begins with a part of another one.
fn map_send_error(
    result: Result<Response<Incoming>, client::legacy::Error>,
) -> Result<Response<Incoming>, CallError> {
    match result {
        Ok(response) if has_inner_status_line(&response) => Err(CallError::Lost),
        Ok(response) => Ok(response),
        Err(error) if is_refused(&error) => Err(CallError::Refused),
        Err(error) if error.is_connect() => Err(CallError::NotConnected),
        Err(_) => Err(CallError::Lost),
    }
}

/// Tells whether a connection was refused, which happens only if nothing listens on the address.
fn is_refused(error: &client::legacy::Error) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        let refused = cause
            .downcast_ref::<io::Error>()
            .is_some_and(|it| it.kind() == io::ErrorKind::ConnectionRefused);
        if refused {
            return true;
        }
        source = cause.source();
    }
    false
}

/// Maps the text of a boot identifier to a number.
fn hash_boot_id(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    text.hash(&mut hasher);
    hasher.finish()
}

fn is_server_error(status: u16) -> bool {
    status >= 500
}

/// Returns the request limit that a response states, in requests a second; not a number if it can't be
/// read.
fn stated_limit(response: &Response<Incoming>) -> Option<f64> {
    let value = response.headers().get(REQUEST_LIMIT_HEADER)?;
    let per_s = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    Some(per_s.unwrap_or(f64::NAN))
}

fn content_type(response: &Response<Incoming>) -> Option<String> {
    Some(response.headers().get(header::CONTENT_TYPE)?.to_str().ok()?.to_owned())
}

/// Returns the data of a body frame; `None` for a frame of trailers.
async fn data_frame(
    frame: Result<hyper::body::Frame<Bytes>, hyper::Error>,
) -> Option<Result<Bytes, hyper::Error>> {
    match frame {
        Ok(frame) => frame.into_data().ok().map(Ok),
        Err(error) => Some(Err(error)),
    }
}

/// Passes the data of each event to `on_chunk` until the final event.
async fn read_events(
    chunks: impl Stream<Item = Result<Bytes, hyper::Error>>,
    mut on_chunk: impl FnMut(Bytes),
) -> Result<(), CallError> {
    let unfinished_bytes = AtomicUsize::new(0);
    let chunks = chunks.map(|chunk| {
        let chunk = chunk.map_err(|_| CallError::Lost)?;
        match unfinished_bytes.fetch_add(chunk.len(), Ordering::Relaxed) {
            MAX_EVENT_BYTES.. => Err(CallError::Lost),
            _ => Ok(chunk),
        }
    });
    let mut events = std::pin::pin!(chunks.eventsource());
    while let Some(event) = events.next().await {
        let Ok(event) = event else { return Err(CallError::Lost) };
        unfinished_bytes.store(0, Ordering::Relaxed);
        if event.data == STREAM_END {
            return Ok(());
        }
        on_chunk(Bytes::from(event.data));
    }
    Err(CallError::Truncated)
}
