//! HTTP client for the one upstream.

mod connect;
#[cfg(test)]
mod tests;

use std::{
    error::Error,
    hash::{Hash, Hasher},
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use http_body_util::{BodyExt, BodyStream, Full};
use hyper::{Request, Response, body::Incoming, header};
use hyper_util::{
    client::{
        self,
        legacy::{Client, connect::HttpConnector},
    },
    rt::{TokioExecutor, TokioTimer},
};
use rustc_hash::FxHasher;
use serde::Deserialize;
use yuccatrail_core::{agent::ProbeResult, ids::AttemptId};
use yuccatrail_rpc::messages::{ResponseForm, UpstreamCall};

use self::connect::RunConnector;

/// Time after which an attempt to connect fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unanswered probe counts as silence.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Event that ends a complete stream, as in the completions protocol.
const STREAM_END: &str = "[DONE]";

/// Why a call ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection could be opened, so the upstream saw nothing of the call.
    NotConnected,
    /// Nothing listens on the upstream's address.
    Refused,
    /// The connection broke after the call may have been sent.
    Lost,
    /// The stream ended before its final event.
    Cut,
    /// The upstream answered with an error status.
    Status(u16),
}

/// Head of a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AnswerHead {
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type.
    pub(crate) content_type: Option<String>,
}

/// Answer of the upstream's health endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
struct Health {
    /// Identity of the engine start.
    boot_id: String,
    /// Whether the engine considers itself warm, if it tells.
    #[serde(default)]
    warm: Option<bool>,
}

impl Health {
    /// Returns the number that stands for the engine start.
    fn run(&self) -> u64 {
        boot_number(&self.boot_id)
    }
}

/// Connections to the one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamClient {
    address: SocketAddr,
    connector: HttpConnector,
    /// Connections of probes, which go to any run.
    probes: Client<HttpConnector, Full<Bytes>>,
    /// Connections of calls to the run that was probed last.
    calls: Mutex<RunClient>,
}

/// Connections of calls to one run of the upstream.
#[derive(Clone, Debug)]
pub(crate) struct RunClient {
    address: SocketAddr,
    run: Option<u64>,
    client: Client<RunConnector, Full<Bytes>>,
}

impl UpstreamClient {
    /// Creates a client for the upstream at `address`; it connects on demand.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let probes = builder().build(connector.clone());
        let calls = Mutex::new(RunClient::new(connector.clone(), address, None));
        Self { address, connector, probes, calls }
    }

    /// Notes the run that a probe found; calls that begin from now on go to this run.
    pub(crate) fn set_run(&self, run: u64) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        if calls.run != Some(run) {
            *calls = RunClient::new(self.connector.clone(), self.address, Some(run));
        }
    }

    /// Returns the connections to the run that was noted last.
    ///
    /// A call takes them when it is decided on, so that it cannot reach a later run.
    pub(crate) fn current_run(&self) -> RunClient {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Asks the upstream for its health.
    pub(crate) async fn probe(&self) -> ProbeResult {
        match tokio::time::timeout(PROBE_TIMEOUT, self.health()).await {
            Ok(Ok(health)) => {
                let boot_id = Some(boot_number(&health.boot_id));
                ProbeResult::Answered { boot_id, warm: health.warm }
            }
            Ok(Err(CallError::Refused)) => ProbeResult::Refused,
            Ok(Err(_)) | Err(_) => ProbeResult::NoAnswer,
        }
    }

    async fn health(&self) -> Result<Health, CallError> {
        let request = Request::get(format!("http://{}/health", self.address)).body(Full::default());
        let Ok(request) = request else { return Err(CallError::NotConnected) };
        let response = sent(self.probes.request(request).await)?;
        if !response.status().is_success() {
            return Err(CallError::Status(response.status().as_u16()));
        }
        let body = response.into_body().collect().await.map_err(|_| CallError::Lost)?.to_bytes();
        serde_json::from_slice(&body).map_err(|_| CallError::Cut)
    }
}

impl RunClient {
    fn new(connector: HttpConnector, address: SocketAddr, run: Option<u64>) -> Self {
        let client = builder().build(RunConnector::new(connector, address, run));
        Self { address, run, client }
    }

    /// Makes a call and passes each chunk of the answer to `on_chunk`.
    pub(crate) async fn call(
        &self,
        attempt: AttemptId,
        call: UpstreamCall,
        mut on_chunk: impl FnMut(Bytes),
    ) -> Result<AnswerHead, CallError> {
        let form = call.response;
        let Some(request) = self.build(attempt, call) else { return Err(CallError::NotConnected) };
        let response = sent(self.client.request(request).await)?;
        let head = AnswerHead {
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
        let body = response.into_body().collect().await.map_err(|_| CallError::Lost)?.to_bytes();
        if response_is_server_error(head.status) {
            return Err(CallError::Status(head.status));
        }
        on_chunk(body);
        Ok(head)
    }

    fn build(&self, attempt: AttemptId, call: UpstreamCall) -> Option<Request<Full<Bytes>>> {
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

fn builder() -> client::legacy::Builder {
    let mut builder = Client::builder(TokioExecutor::new());
    builder.pool_timer(TokioTimer::new()).pool_idle_timeout(IDLE_TIMEOUT);
    builder
}

/// Tells what a failed request has come to.
fn sent(
    result: Result<Response<Incoming>, client::legacy::Error>,
) -> Result<Response<Incoming>, CallError> {
    match result {
        Ok(response) => Ok(response),
        Err(error) if is_refused(&error) => Err(CallError::Refused),
        Err(error) if error.is_connect() => Err(CallError::NotConnected),
        Err(_) => Err(CallError::Lost),
    }
}

/// Tells whether a connection was refused, which only happens when nothing listens.
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

/// Maps the text of a boot identity to a number.
fn boot_number(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    text.hash(&mut hasher);
    hasher.finish()
}

fn response_is_server_error(status: u16) -> bool {
    status >= 500
}

fn content_type(response: &Response<Incoming>) -> Option<String> {
    Some(response.headers().get(header::CONTENT_TYPE)?.to_str().ok()?.to_owned())
}

async fn data_frame(
    frame: Result<hyper::body::Frame<Bytes>, hyper::Error>,
) -> Option<Result<Bytes, hyper::Error>> {
    match frame {
        Ok(frame) => frame.into_data().ok().map(Ok),
        Err(error) => Some(Err(error)),
    }
}

async fn read_events(
    chunks: impl Stream<Item = Result<Bytes, hyper::Error>>,
    mut on_chunk: impl FnMut(Bytes),
) -> Result<(), CallError> {
    let mut events = std::pin::pin!(chunks.eventsource());
    while let Some(event) = events.next().await {
        let Ok(event) = event else { return Err(CallError::Lost) };
        if event.data == STREAM_END {
            return Ok(());
        }
        on_chunk(Bytes::from(event.data));
    }
    Err(CallError::Cut)
}
